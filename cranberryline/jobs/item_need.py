"""Whether an item still needs requests, by recent data about its job and the routes."""

from collections.abc import Awaitable, Callable
from datetime import timedelta

from .item_context import ItemContext
from .state import JobState

__all__ = ["ItemNeed"]


class ItemNeed:
    """Decides whether an item still needs a result.

    `job_data_age` is how old the data about the job was when a request was last assigned an upstream.
    """

    def __init__(
        self,
        context: ItemContext,
        state: JobState,
        index: int,
        async_back_off: Callable[[], Awaitable[None]],
    ) -> None:
        self.job_data_age: timedelta | None = None
        self._context = context
        self._state = state
        self._index = index
        self._async_back_off = async_back_off

    def is_needed(self) -> bool:
        """Return whether the item needs a result, as far as this node knows."""
        return not self._state.ended and self._index not in self._state.done

    async def async_is_needed(self) -> bool:
        """Return whether the item still needs a result.

        Waits until this node's data about the job and the routes is recent enough to decide that.
        """
        job, freshness = self._state.job.id, self._context.freshness
        while self.is_needed() and not freshness.is_fresh(job):
            self._context.metrics.retry("job_known_too_little")
            await freshness.async_refresh(job)
            if not freshness.is_fresh(job):
                await self._async_back_off()
        while self.is_needed() and not await self._context.async_confirm_routes():
            await self._async_back_off()
        return self.is_needed()

    def may_send(self) -> bool:
        """Return whether a request may still be sent, at the time when it is assigned an upstream.

        The request may have been queued for seconds, and its job may have ended in the meantime.
        """
        if not self.is_needed() or not self._context.freshness.is_fresh(self._state.job.id):
            return False
        self.job_data_age = self._context.freshness.age(self._state.job.id)
        return True
