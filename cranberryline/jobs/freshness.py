"""The age of this node's view of a job, which decides whether work of the job may be sent."""

from collections.abc import Sequence
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.partition import partition_of
from cranberryline.helpers.shared_calls import SharedCalls
from cranberryline.helpers.tail import PartitionTail

from .const import MAX_VIEW_AGE, REFRESH_RETRY_DELAY, REFRESH_TIMEOUT

__all__ = ["JobFreshness"]


class JobFreshness:
    """Determine the age of this node's view of jobs from the tails of their partitions.

    A node learns of the end of a job by reading its partition. A node that cannot read, or is slow
    to process what it read, would continue to send items of jobs whose trainers were told that they
    had ended. Checking the age of the view when each request is sent prevents that regardless of
    the cause. While no node can reach the store, no end can be recorded, and work continues.
    """

    def __init__(self, tails: Sequence[PartitionTail], clock: Clock) -> None:
        self._tails = tails
        self._clock = clock
        self._refreshes: SharedCalls[None] = SharedCalls()

    def age(self, job_id: str) -> timedelta | None:
        """Return the maximum age of this node's view of a job, None if it is unbounded."""
        return self._tails[self._partition(job_id)].age()

    def is_fresh(self, job_id: str) -> bool:
        """Return whether the view of a job is recent enough to send work of the job."""
        age = self.age(job_id)
        return age is not None and age < MAX_VIEW_AGE

    async def async_refresh(self, job_id: str) -> None:
        """Read to the end of a job's partition now; concurrent callers share one read."""
        partition = self._partition(job_id)
        await self._refreshes.async_run(partition, lambda: self._async_read(partition))

    async def _async_read(self, partition: int) -> None:
        """Read once, and wait after a failure.

        Without the delay, hundreds of items would query the store and the peers in a loop.
        """
        if not await self._tails[partition].async_sync(REFRESH_TIMEOUT):
            await self._clock.async_sleep(REFRESH_RETRY_DELAY)

    def _partition(self, job_id: str) -> int:
        return partition_of(job_id, len(self._tails))
