"""The service that takes reports of use, its faults, and what it may never see."""

import asyncio

from stand_ins.platform_usage import PlatformUsage

from .model import Book, SoakPlan

__all__ = ["Reports"]

WINDOW_S = 2.0
LATE_S = 5.0
_BETWEEN_S = (1.0, 4.0)
_LASTS_S = (0.5, 3.0)
_TURNED_AWAY_SHARE = 0.5


class Reports:
    """Let the service fail again and again, and hold the gateways to one content a window."""

    def __init__(self, plan: SoakPlan, book: Book) -> None:
        self.stopping = False
        self.api = PlatformUsage()
        self._plan = plan
        self._book = book

    async def async_fail(self) -> None:
        """Turn calls away, or lose their answers and carry them out late."""
        rng = self._plan.luck("reports")
        while not self.stopping:
            await asyncio.sleep(rng.uniform(*_BETWEEN_S))
            if rng.random() < _TURNED_AWAY_SHARE:
                self.api.status = rng.choice((429, 503))
                await asyncio.sleep(rng.uniform(*_LASTS_S))
                self.api.status = 0
            else:
                self.api.lose, self.api.late_s = rng.randint(1, 4), rng.uniform(0.1, 4.0)

    def check(self) -> None:
        """Look at what the service accepted."""
        counts = self.api.counts()
        self._book.counts["usage_windows"] = len(counts)
        self._book.counts["usage_requests"] = sum(sum(each.values()) for each in counts.values())
        for problem in self.api.problems:
            self._book.break_promise("usage", problem)
