"""Limits the concurrent scoring requests of this node to its share of each service."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable

from cranberryline.decisions.scoring import scoring_concurrency_limit

__all__ = ["ScoringSlots"]


class ScoringSlots:
    """Slots for scoring requests.

    The slots of a service are divided by the shares of open jobs that the nodes run. A share is the
    job of one trainer at one node of its team; `own_shares` are those of this node, `total_shares`
    those of all nodes.
    """

    def __init__(self, slots: Callable[[str], int]) -> None:
        self.own_shares = 1
        self.total_shares = 1
        self._slots = slots
        self._in_use: Counter[str] = Counter()
        self._released = asyncio.Condition()

    @contextlib.asynccontextmanager
    async def slot(self, service: str) -> AsyncIterator[None]:
        """Wait for a slot at a service, and occupy it while the context is open."""
        async with self._released:
            await self._released.wait_for(lambda: self._has_slot(service))
            self._in_use[service] += 1
        try:
            yield
        finally:
            self._in_use[service] -= 1
            async with self._released:
                self._released.notify_all()

    def _has_slot(self, service: str) -> bool:
        allowed = scoring_concurrency_limit(
            self._slots(service), self.own_shares, self.total_shares
        )
        return self._in_use[service] < allowed
