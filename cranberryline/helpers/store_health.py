"""How the store does, as this process meets it."""

from collections import deque
from datetime import timedelta
from typing import Any

import attrs

from cranberryline.ports.store import StoreError

from .clock import Clock
from .logging import get_logger, once_per_burst
from .metrics import Metrics

__all__ = ["Outage", "StoreHealth", "source_name"]

_LOGGER = get_logger(__name__)

# A store that is out for some partitions answers and fails by turns; told each time, the log would
# hold nothing else.
_REGAINED_AFTER = timedelta(seconds=1)
_MAX_RECOVERIES = 32


@attrs.define
class Outage:
    """The last outage of one source of records, on the monotonic clock.

    `asked_at` is when the last call was made that failed. `returned_at` is when the store first answered
    again, after that, a source that had failed; None if no such answer is known.
    """

    asked_at: timedelta
    returned_at: timedelta | None


def source_name(topic: str, part: int = 0) -> str:
    """Return the name of a partition as a source."""
    return f"{topic}/{part}"


class StoreHealth:
    """How the store does, as this process meets it: its outages, and records that are not sound.

    A source is a partition that is read, named by `source_name`. The store may be out for some of them only.
    """

    def __init__(self, clock: Clock, metrics: Metrics | None = None) -> None:
        self._clock = clock
        self._metrics = metrics
        self._records = once_per_burst(__name__, clock)
        self._lost = False
        self._last_failure: timedelta | None = None
        self._failing: set[str] = set()
        self._outages: dict[str, Outage] = {}
        self._recoveries: deque[timedelta] = deque(maxlen=_MAX_RECOVERIES)

    def succeeded(self, source: str) -> None:
        """Note an answer."""
        if source in self._failing:
            self._failing.discard(source)
            self._recover()
        if self._lost and not self.failed_within(_REGAINED_AFTER):
            self._lost = False
            _LOGGER.info("store_regained")

    def failed(self, error: StoreError, source: str, asked_at: timedelta) -> None:
        """Note a call without one; `asked_at` is when it was made.

        A call that was made to a silent store fails seconds later, perhaps after the store's return. It
        tells of the outage in which it was made.
        """
        self._last_failure = self._clock.monotonic()
        self._failing.add(source)
        outage = self._outages.get(source)
        if outage is None or outage.returned_at is None or asked_at >= outage.returned_at:
            returned_at = next((at for at in self._recoveries if at > asked_at), None)
            self._outages[source] = Outage(asked_at, returned_at)
        if not self._lost:
            self._lost = True
            _LOGGER.warning("store_lost", call=source, problem=error.problem, detail=error.detail)

    def last_outage(self, source: str) -> Outage | None:
        """Return the last outage of a source, None if it has had none."""
        return self._outages.get(source)

    def _recover(self) -> None:
        now = self._clock.monotonic()
        self._recoveries.append(now)
        for outage in self._outages.values():
            if outage.returned_at is None:
                outage.returned_at = now

    def unsound(self, reason: str, **fields: Any) -> None:
        """Count a record that was passed over, by reason, and log it once a burst."""
        if self._metrics is not None:
            self._metrics.drop(reason)
        self._records.warning(reason, **fields)

    def failed_within(self, span: timedelta) -> bool:
        """Tell whether a call failed within the last `span`."""
        if self._last_failure is None:
            return False
        return self._clock.monotonic() - self._last_failure < span
