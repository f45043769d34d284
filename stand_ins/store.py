"""The weight store: deterministic bytes for each version, under a rate limit."""

import asyncio
import hashlib
from collections import Counter
from typing import Any

import attrs

from .http import Controls, Handler, RateLimit, StandIn

__all__ = ["StoreControls", "StoreStandIn"]


@attrs.define
class StoreControls(Controls):
    """`fetch_rate` is fetches a second, `fetch_s` the time that one takes."""

    fetch_rate: float = 4.0
    fetch_s: float = 0.1
    size: int = 64 * 1024


class StoreStandIn(StandIn):
    """The weight store."""

    def __init__(self, controls: StoreControls) -> None:
        super().__init__(controls)
        self.rate = RateLimit(controls.fetch_rate)
        self.served: Counter[str] = Counter()
        self.refused = 0

    def changed(self) -> None:
        """Apply a new rate."""
        self.rate.per_second = self.controls.fetch_rate

    def journal(self) -> Any:
        """Tell how often each version was fetched, and how much was refused."""
        return {"served": dict(self.served), "refused": self.refused}

    def routes(self) -> list[Any]:
        """Return the store's one route."""
        return [(r"/weights/([^/]+)/(\d+)", _WeightsHandler, {"stand_in": self})]


class _WeightsHandler(Handler):
    """Give weights."""

    async def get(self, model: str, version: str) -> None:
        """Give the bytes of one version."""
        store: StoreStandIn = self.stand_in
        if not store.rate.take():
            store.refused += 1
            self.answer({"error": "busy"}, 429, retry_after=0.5)
            return
        await asyncio.sleep(store.controls.fetch_s)
        store.served[f"{model}/{version}"] += 1
        seed = hashlib.sha256(f"{model}/{version}".encode()).digest()
        self.set_header("Content-Type", "application/octet-stream")
        self.finish(seed * (store.controls.size // len(seed)))
