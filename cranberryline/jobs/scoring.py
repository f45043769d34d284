"""Keep the scoring requests of this node within their share of each service."""

import asyncio
import contextlib
from collections import Counter
from collections.abc import AsyncIterator, Callable

from cranberryline.decisions.scoring import scoring_places

__all__ = ["ScoringPlaces"]


class ScoringPlaces:
    """Places for scoring requests; `nodes` is how many nodes run jobs now."""

    def __init__(self, places: Callable[[str], int]) -> None:
        self.nodes = 1
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
        return self._taken[service] < scoring_places(self._places(service), self.nodes)
