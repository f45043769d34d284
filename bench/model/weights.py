"""A model of a rate-limited weight store and of the samplers' swaps."""

from collections.abc import Callable, Sequence
from random import Random

import attrs

from cranberryline.decisions import SwapSettings, swap_delay

from .metrics import Metrics
from .side import Side
from .simulation import Simulation

__all__ = ["Swapper", "WeightStore"]

RETRY = 1.0


@attrs.define
class WeightStore:
    """Serve `rate` fetches a second and refuse the others."""

    rate: float
    refused: int = 0
    _allowance: float = 1.0
    _since: float = 0.0

    def fetch(self, now: float) -> bool:
        """Return whether a fetch is served."""
        self._allowance = min(
            max(self.rate, 1.0), self._allowance + (now - self._since) * self.rate
        )
        self._since = now
        if self._allowance < 1:
            self.refused += 1
            return False
        self._allowance -= 1
        return True


class Swapper:
    """Bring new versions to the samplers, paced or all at once."""

    def __init__(
        self,
        sim: Simulation,
        sides: Sequence[Side],
        store: WeightStore,
        settings: SwapSettings,
        paced: bool,
        metrics: Metrics,
        rng: Random,
    ) -> None:
        self._sim = sim
        self._sides = sides
        self._store = store
        self._settings = settings
        self._paced = paced
        self._metrics = metrics
        self._rng = rng

    def publish(self, model: str, version: int, swapped: Callable[[], None]) -> None:
        """Let all samplers swap; `swapped` is called after each."""
        names = [side.name for side in self._sides]
        for side in self._sides:
            delay = 0.0
            if self._paced:
                plan = swap_delay(side.name, names, model, version, self._settings)
                delay = plan.delay.total_seconds()
            self._sim.after(delay, self._try, side, model, version, swapped, self._sim.seconds)

    def _try(
        self, side: Side, model: str, version: int, swapped: Callable[[], None], began: float
    ) -> None:
        if side.version.get(model, 0) >= version:
            return
        if not self._store.fetch(self._sim.seconds):
            wait = RETRY * (0.5 + self._rng.random())
            self._sim.after(wait, self._try, side, model, version, swapped, began)
            return
        side.engine.pause()
        swap = self._settings.swap_time.total_seconds()
        self._sim.after(swap, self._finish, side, model, version, swapped, began)

    def _finish(
        self, side: Side, model: str, version: int, swapped: Callable[[], None], began: float
    ) -> None:
        side.engine.resume()
        side.version[model] = max(version, side.version.get(model, 0))
        self._metrics.swaps.append(self._sim.seconds - began)
        swapped()
