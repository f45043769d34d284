"""How old what this node knows of a job may be, and whether work for it may go out by that."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.tail import PartitionTail

from .const import KNOWN_WITHIN, REFRESH_PAUSE, REFRESH_TIMEOUT
from .partition import partition_of

__all__ = ["JobKnowledge"]


class JobKnowledge:
    """Tell from a node's tails of the jobs how young what it knows is.

    The end of a job is learned by reading. A node that cannot read, or is slow to take in what it read,
    would go on to send items of jobs whose trainers were told that they are over. A bound on the age of
    what is known, checked as each request goes out, holds whatever the reason is. While nobody reaches
    the store no end can be recorded, and work goes on.
    """

    def __init__(self, tails: Sequence[PartitionTail], clock: Clock) -> None:
        self._tails = tails
        self._clock = clock
        self._refreshing: dict[int, asyncio.Future[None]] = {}

    def age(self, job_id: str) -> timedelta | None:
        """Return how old what is known of a job may be, None if of any age."""
        return self._tails[self._part(job_id)].age()

    def suffices(self, job_id: str) -> bool:
        """Tell whether work for a job may go out now."""
        age = self.age(job_id)
        return age is not None and age < KNOWN_WITHIN

    async def async_refresh(self, job_id: str) -> None:
        """Read to the end of a job's partition now, together with all who ask meanwhile."""
        part = self._part(job_id)
        reading = self._refreshing.get(part)
        if reading is None:
            reading = asyncio.ensure_future(self._async_read(part))
            self._refreshing[part] = reading
            reading.add_done_callback(lambda _: self._refreshing.pop(part, None))
        await asyncio.shield(reading)

    async def _async_read(self, part: int) -> None:
        """Read once; a failed read rests, or hundreds of items would ask the store and peers in a loop."""
        if not await self._tails[part].async_sync(REFRESH_TIMEOUT):
            await self._clock.async_sleep(REFRESH_PAUSE)

    def _part(self, job_id: str) -> int:
        return partition_of(job_id, len(self._tails))
