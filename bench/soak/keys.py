"""Keys that are added and taken away while callers use them, and what may run under them."""

import asyncio
import itertools
from collections.abc import Iterator

from stand_ins.platform_sampler import PlatformSampler, Run

from .judge import BOUND_S
from .model import BETA, ENGINES, Book, SoakPlan, workspace_of
from .world import World

__all__ = ["KeyCallers"]

_PAUSE_S = 0.15
_KEPT_S = (2.0, 5.0)
_OK = range(200, 300)
_UNAUTHORIZED = 401


class KeyCallers:
    """Callers of a workspace whose key is replaced again and again, and callers with wrong keys."""

    def __init__(self, world: World, plan: SoakPlan, book: Book) -> None:
        self.stopping = False
        self._world = world
        self._plan = plan
        self._book = book
        self._taken: dict[str, float] = {}
        self._given: dict[str, float] = {}

    async def async_rotate(self) -> None:
        """Add a key, wait until it is in force, and take the previous one away."""
        rng = self._plan.luck("key rotation")
        key = ""
        for number in itertools.count():
            if self.stopping:
                return
            previous, key = key, f"beta-key-{self._plan.seed}-{number}"
            self._world.keys = [each for each in (previous, key) if each]
            self._world.configure()
            self._given[key] = self._now()
            await asyncio.sleep(rng.uniform(*_KEPT_S))
            if previous:
                self._world.keys = [key]
                self._world.configure()
                self._taken[previous] = self._now()

    async def async_use(self) -> None:
        """Send requests under keys in force, taken away, and never given out."""
        rng = self._plan.luck("key use")
        for number in itertools.count():
            if self.stopping:
                return
            gateway = rng.randrange(self._plan.gateways)
            key = rng.choice((*self._given, "never", "never"))
            sent, excused = self._now(), self._world.judge.troubled(gateway)
            answer = await self._world.async_call(
                gateway, "POST", "/safe/keys", f"{BETA}{number}", body={}, key=key
            )
            status = 0 if answer is None else answer.code
            excused = excused or self._world.judge.troubled(gateway)
            self._check(key, status, sent, excused, f"{BETA}{number} at front-{gateway}")
            await asyncio.sleep(_PAUSE_S)

    def _check(self, key: str, status: int, sent: float, excused: bool, what: str) -> None:
        ran = status in _OK
        if key == "never":
            self._book.counts[f"unknown_key_{status}"] += 1
            if ran:
                self._book.break_promise("ran_under_unknown_key", what)
            return
        taken = self._taken.get(key)
        if taken is not None and sent - taken > BOUND_S:
            self._book.counts[f"taken_key_{status}"] += 1
            if ran and not excused:
                self._book.break_promise("ran_under_taken_key", what)
        elif taken is None and sent - self._given[key] > BOUND_S:
            self._book.counts[f"known_key_{status}"] += 1
            # The key may have been taken away while the request was under way.
            if status == _UNAUTHORIZED and not excused and key not in self._taken:
                self._book.break_promise("refused_a_known_key", what)

    def check_runs(self) -> None:
        """Look at every run: the key is never passed on, and the workspace is the caller's."""
        for sampler, run in self._runs():
            names = {name.lower(): value for name, value in run.headers.items()}
            if "api-key" in names:
                self._book.break_promise("key_passed_on", run.id)
            expected = workspace_of(run.id)
            if names.get("tenant") != expected:
                self._book.break_promise("workspace", f"{run.id}: {names.get('tenant')}")
            self._book.counts["runs_of_workspaces"] += 1
            self._book.counts["item_runs_of_workspaces"] += sampler.service == ENGINES

    def _runs(self) -> Iterator[tuple[PlatformSampler, Run]]:
        for sampler in (*self._world.samplers, *self._world.left):
            for run in sampler.runs:
                yield sampler, run

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
