"""Keep the scoring requests of this node within their share of each service."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable

from cranberryline.decisions.scoring import scoring_places

__all__ = ["ScoringPlaces"]


class ScoringPlaces:
    """Places for scoring requests, by this node's parts in the jobs of the moment and all parts."""

    def __init__(self, places: Callable[[str], int]) -> None:
        self.own_parts = 1
        self.all_parts = 1
        self._places = places
        self._taken: Counter[str] = Counter()
        self._freed = asyncio.Condition()

    @contextlib.asynccontextmanager
    async def place(self, service: str) -> AsyncIterator[None]:
        """Wait for a place at a service and hold it."""
        async with self._freed:
            await self._freed.wait_for(lambda: self._has_place(service))
            self._taken[service] += 1
        try:
            yield
        finally:
            self._taken[service] -= 1
            async with self._freed:
                self._freed.notify_all()

    def _has_place(self, service: str) -> bool:
        allowed = scoring_places(self._places(service), self.own_parts, self.all_parts)
        return self._taken[service] < allowed
