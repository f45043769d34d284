"""Follow the platform's VM list into the membership view."""

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

POLL_WAIT = timedelta(seconds=20)
MIN_BACKOFF = timedelta(milliseconds=200)
MAX_BACKOFF = timedelta(seconds=5)
DROP_PREFIX = "membership_"
DROP_UNREACHABLE = "membership_list_"


class MembershipWatch:
    """The task that long-polls the VM list, and the way in for what processes say themselves."""

    def __init__(self, vm_list: VmListPort, clock: Clock, metrics: Metrics) -> None:
        self.membership = Membership()
        self._vm_list = vm_list
        self._clock = clock
        self._metrics = metrics
        self._logger = once_per_burst(__name__, clock)
        self._backoff = MIN_BACKOFF

    async def async_run(self) -> None:
        """Follow the list until cancelled."""
        await async_keep_running(
            "vm-list", self._async_follow, self._clock, self._logger, self._metrics
        )

    async def _async_follow(self) -> None:
        while True:
            match await self.async_poll(POLL_WAIT):
                case Ok(changed) if changed:
                    self._backoff = MIN_BACKOFF
                case Ok(_):
                    # A list service that answers "unchanged" at once must not be asked in a loop.
                    await self._clock.async_sleep(MIN_BACKOFF)
                case Err(error):
                    self._drop(DROP_UNREACHABLE + error.reason.value, detail=error.detail)
                    await self._clock.async_sleep(self._backoff * (0.5 + random.random()))
                    self._backoff = min(self._backoff * 2, MAX_BACKOFF)

    async def async_poll(self, wait: timedelta) -> Result[bool, PlatformError]:
        """Ask once; return whether a newer list was taken."""
        answer = await self._vm_list.async_list(self.membership.version, wait)
        if isinstance(answer, Err):
            return answer
        if answer.ok_value is None:
            return Ok(False)
        match self.membership.apply_list(answer.ok_value):
            case Err(refused):
                self._drop(DROP_PREFIX + refused.reason.value, detail=refused.detail)
                return Ok(False)
            case Ok(applied):
                for row in applied.refused:
                    self._drop(DROP_PREFIX + row.reason.value, row=row.id, detail=row.detail)
                return Ok(True)
        return Ok(False)

    def on_welcome(self, welcome: Welcome) -> None:
        """Take what a side process says of itself when it is reached."""
        self._check(
            self.membership.apply_welcome(welcome.vm_id, welcome.incarnation, welcome.draining)
        )

    def on_drain(self, vm_id: str, drain: Drain) -> None:
        """Take a side process's notice that it stops."""
        self._check(self.membership.apply_drain(vm_id, drain.incarnation))

    def _check(self, taken: Result[bool, object]) -> None:
        if isinstance(taken, Err):
            refused = taken.err_value
            reason = getattr(refused, "reason", MembershipReason.BAD_NOTICE)
            self._drop(DROP_PREFIX + str(reason), detail=getattr(refused, "detail", ""))

    def _drop(self, reason: str, **fields: object) -> None:
        self._metrics.drop(reason)
        self._logger.warning(reason, **fields)
