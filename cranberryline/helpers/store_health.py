"""How the store does, as this process meets it."""

from datetime import timedelta
from typing import Any

from cranberryline.ports.store import StoreError

from .clock import Clock
from .logging import get_logger, once_per_burst
from .metrics import Metrics

__all__ = ["StoreHealth"]

_LOGGER = get_logger(__name__)

# A store that is out for some partitions answers and fails by turns; told each time, the log would
# hold nothing else.
_REGAINED_AFTER = timedelta(seconds=1)


class StoreHealth:
    """How the store does, as this process meets it: its last failure, and records that are not sound."""

    def __init__(self, clock: Clock, metrics: Metrics | None = None) -> None:
        self._clock = clock
        self._metrics = metrics
        self._records = once_per_burst(__name__, clock)
        self._lost = False
        self.last_failure: timedelta | None = None

    def succeeded(self) -> None:
        """Note an answer."""
        if self._lost and not self.failed_within(_REGAINED_AFTER):
            self._lost = False
            _LOGGER.info("store_regained")

    def failed(self, error: StoreError, what: str) -> None:
        """Note a call without one."""
        self.last_failure = self._clock.monotonic()
        if not self._lost:
            self._lost = True
            _LOGGER.warning("store_lost", call=what, problem=error.problem, detail=error.detail)

    def unsound(self, reason: str, **fields: Any) -> None:
        """Count a record that was passed over, by reason, and log it once a burst."""
        if self._metrics is not None:
            self._metrics.drop(reason)
        self._records.warning(reason, **fields)

    def failed_within(self, span: timedelta) -> bool:
        """Tell whether a call failed within the last `span`."""
        if self.last_failure is None:
            return False
        return self._clock.monotonic() - self.last_failure < span
