"""Keep an entry's view of the members current by long-polling the platform's VM list."""

import random
from datetime import timedelta

from result import Err, Ok, Result

from cranberryline.configs.supervise import async_keep_running
from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import once_per_burst
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import VmListPort
from cranberryline.transport.model import Drain, Welcome
from cranberryline.upstreams import Membership, MembershipReason

__all__ = ["MembershipWatch"]

LONG_POLL_TIMEOUT = timedelta(seconds=20)
MIN_BACKOFF = timedelta(milliseconds=200)
MAX_BACKOFF = timedelta(seconds=5)
# Beginnings of the reasons of the drop counter, which are also the names of the log events.
DROP_PREFIX = "membership_"
DROP_LIST_PREFIX = "membership_list_"


class MembershipWatch:
    """Update the membership from the VM list and from notices of the side processes."""

    def __init__(self, vm_list: VmListPort, clock: Clock, metrics: Metrics) -> None:
        self.membership = Membership()
        self._vm_list = vm_list
        self._clock = clock
        self._metrics = metrics
        self._logger = once_per_burst(__name__, clock)
        self._backoff = MIN_BACKOFF

    async def async_run(self) -> None:
        """Poll the list until cancelled; an unexpected error is logged and the task restarted."""
        await async_keep_running(
            "vm-list", self._async_poll_list, self._clock, self._logger, self._metrics
        )

    async def _async_poll_list(self) -> None:
        while True:
            match await self.async_poll(LONG_POLL_TIMEOUT):
                case Ok(changed) if changed:
                    self._backoff = MIN_BACKOFF
                case Ok(_):
                    # Avoids a tight loop if the list service returns "unchanged" without delay.
                    await self._clock.async_sleep(MIN_BACKOFF)
                case Err(error):
                    self._record_drop(DROP_LIST_PREFIX + error.reason.value, detail=error.detail)
                    await self._clock.async_sleep(self._backoff * (0.5 + random.random()))
                    self._backoff = min(self._backoff * 2, MAX_BACKOFF)

    async def async_poll(self, wait: timedelta) -> Result[bool, PlatformError]:
        """Poll once, for up to `wait`; return whether a newer list was applied."""
        response = await self._vm_list.async_list(self.membership.version, wait)
        if isinstance(response, Err):
            return response
        if response.ok_value is None:
            return Ok(False)
        match self.membership.apply_list(response.ok_value):
            case Err(rejection):
                self._record_drop(DROP_PREFIX + rejection.reason.value, detail=rejection.detail)
                return Ok(False)
            case Ok(applied):
                for row in applied.refused:
                    self._record_drop(DROP_PREFIX + row.reason.value, row=row.id, detail=row.detail)
                return Ok(True)
        return Ok(False)

    def on_welcome(self, welcome: Welcome) -> None:
        """Apply the state that a side process reports when a connection to it is made."""
        self._record_if_rejected(
            self.membership.apply_welcome(welcome.vm_id, welcome.incarnation, welcome.draining)
        )

    def on_drain(self, vm_id: str, drain: Drain) -> None:
        """Apply a side process's notice that it stops."""
        self._record_if_rejected(self.membership.apply_drain(vm_id, drain.incarnation))

    def _record_if_rejected(self, applied: Result[bool, object]) -> None:
        if isinstance(applied, Err):
            rejection = applied.err_value
            reason = getattr(rejection, "reason", MembershipReason.BAD_NOTICE)
            self._record_drop(DROP_PREFIX + str(reason), detail=getattr(rejection, "detail", ""))

    def _record_drop(self, reason: str, **fields: object) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason, **fields)
