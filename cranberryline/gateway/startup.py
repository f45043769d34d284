"""What a gateway has to have read before it serves requests and jobs."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.tail import KeyedTail, PartitionTail

__all__ = ["StartupTails"]

# Longest delay of reading jobs, per startup tail; a healthy store delivers each within 20 ms.
_STARTUP_TAIL_TIMEOUT = timedelta(milliseconds=300)
# How long startup waits for the requests that other gateways hold in quarantine. A store that fails
# for that topic alone must not keep callers from healthy upstreams.
_HOLDS_TIMEOUT = timedelta(seconds=2)


class StartupTails:
    """The tails that have to be loaded before requests and jobs can be served."""

    def __init__(self, needed: tuple[KeyedTail, ...], quarantine: KeyedTail, clock: Clock) -> None:
        self.tails = (*needed, quarantine)
        self._quarantine = quarantine
        self._clock = clock
        self._started_at = clock.monotonic()

    def is_quarantine_ready(self) -> bool:
        """Return whether the held requests are loaded, or loading them has timed out."""
        waited = self._clock.monotonic() - self._started_at
        return self._quarantine.loaded.is_set() or waited >= _HOLDS_TIMEOUT

    async def async_follow_partition(self, tail: PartitionTail, marks: asyncio.Event) -> None:
        """Read a partition of jobs from the offset in its mark, once plain requests can be served.

        Callers wait for routes and upstreams, which load in a tenth of the time for recent jobs.
        """
        for startup_tail in self.tails:
            try:
                async with asyncio.timeout(_STARTUP_TAIL_TIMEOUT.total_seconds()):
                    await startup_tail.loaded.wait()
            except TimeoutError:
                break
        await marks.wait()
        await tail.async_run()
