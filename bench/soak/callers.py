"""Callers, a trainer and readers, each holding the gateways to what they promise."""

import asyncio
import itertools
from typing import Any

import msgspec

from stand_ins.platform_sampler import EVENTS

from .model import ALL, PLAIN, Book, SoakPlan, job
from .world import World

__all__ = ["Callers"]

_OK = 200
_ACCEPTED = 202
_PROMISES = (429, 503)
_GONE = (404, 410)
_STEP_SECONDS = 12.0


class Callers:
    """All load of a soak, until `stopping` is set."""

    def __init__(self, world: World, plan: SoakPlan, book: Book) -> None:
        self.stopping = False
        self.listed: dict[str, list[dict[str, Any]]] = {}
        self._world = world
        self._plan = plan
        self._rng = plan.luck("reads")
        self._book = book
        self._ids = itertools.count()
        self._allowed: dict[str, int] = {}

    async def async_plain(self, number: int) -> None:
        """Send requests of both kinds and look at every answer."""
        rng = self._plan.luck(f"caller {number}")
        while not self.stopping:
            kind = rng.choice(("safe", "once"))
            name = f"{kind}{next(self._ids)}"
            if kind == "once":
                self._book.once.add(name)
            answer = await self._world.async_call(
                rng.randrange(self._plan.gateways), "POST", f"/{kind}/x", name, body={}
            )
            status = 0 if answer is None else answer.code
            self._book.counts[f"{kind}_{status}"] += 1
            if status in _PROMISES:
                self._book.refused.add(name)
            elif status == _OK and answer is not None:
                right = (f"answer to {name}".encode(), f"seal-{name}")
                if (answer.body, answer.headers.get("Response-Seal")) != right:
                    self._book.break_promise("own_whole_answer", f"{name}: {answer.body!r}")
            await asyncio.sleep(0.02)

    async def async_train(self) -> None:
        """Ask for step after step, name a version after each, and read at any gateway."""
        step = 0
        while not self.stopping:
            min_version = max(1, self._world.version - 1)
            name = f"job{step}"
            enough = self._plan.luck(name).choice((ALL, ALL, ALL // 2, 1, 0))
            if await self._async_submit(name, job(step, min_version)):
                self._allowed[name] = min_version
                await self._async_read_step(name, enough)
                await self._async_end(name)
            step += 1
            self._world.name_version(self._world.version + 1)

    async def _async_submit(self, name: str, body: dict[str, Any]) -> bool:
        give_up = self._now() + _STEP_SECONDS / 2
        while self._now() < give_up:
            answer = await self._world.async_call(
                self._gateway(), "POST", f"/jobs/{name}", name, body
            )
            if answer is not None and answer.code == _ACCEPTED:
                self._book.counts["jobs_accepted"] += 1
                return True
            await asyncio.sleep(0.3)
        self._book.counts["jobs_not_accepted"] += 1
        return False

    async def _async_read_step(self, name: str, enough: int) -> None:
        give_up = self._now() + _STEP_SECONDS
        rows = self.listed.setdefault(name, [])
        while self._now() < give_up:
            await self.async_read(name, self._gateway())
            if len(rows) >= enough:
                self._book.counts["steps_whole" if enough == ALL else "steps_cut"] += 1
                return
            await asyncio.sleep(0.1)
        self._book.counts["steps_late"] += 1

    async def async_read(self, name: str, gateway: int) -> bool:
        """Read a job from some position and compare with what was listed; True for a whole read."""
        rows = self.listed[name]
        after = self._rng.randint(0, len(rows))
        answer = await self._world.async_call(
            gateway, "GET", f"/api/lots/{name}?after={after}", name
        )
        if answer is None or answer.code != _OK:
            if answer is not None and answer.code in _GONE:
                self._book.break_promise("job_lost", f"{name} at front-{gateway}")
            return False
        for number, row in enumerate(msgspec.json.decode(answer.body)["results"]):
            self._take(name, rows, after + number, row)
        return True

    def _take(self, name: str, rows: list[dict[str, Any]], at: int, row: dict[str, Any]) -> None:
        if at < len(rows):
            if rows[at] != row:
                self._book.break_promise("position", f"{name} {at}: {rows[at]} became {row}")
            return
        if any(known["id"] == row["id"] for known in rows):
            self._book.break_promise("listed_twice", f"{name}: {row['id']}")
        rows.append(row)
        self._book.counts[f"items_{row['state']}"] += 1
        if row["state"] == "completed":
            self._check(name, row)

    def _check(self, name: str, row: dict[str, Any]) -> None:
        item = row["id"]
        if row["text"] != "\n".join(f"{item}.{event}" for event in range(1, EVENTS + 1)):
            self._book.break_promise("text", f"{item}: {row['text']!r}")
        made = {
            version
            for sampler in (*self._world.samplers, *self._world.left)
            for version in sampler.versions_of.get(item, ())
        }
        versions = set(row["versions"])
        if not versions or not versions <= made or min(versions) < self._allowed.get(name, 1):
            self._book.break_promise("versions", f"{item}: {versions}, made under {made}")
        if row["score"] != f"seal-{item.replace('i', 'r')}":
            self._book.break_promise("score", f"{item}: {row['score']}")

    async def _async_end(self, name: str) -> None:
        give_up = self._now() + _STEP_SECONDS / 2
        self._world.ending.set()
        while self._now() < give_up:
            answer = await self._world.async_call(
                self._gateway(), "DELETE", f"/api/lots/{name}", name
            )
            if answer is not None and answer.code == _OK:
                self._world.judge.ended(name)
                self._book.counts["ends"] += 1
                return
            await asyncio.sleep(0.3)
        self._book.counts["ends_without_answer"] += 1

    async def async_read_all_again(self) -> None:
        """Read every job from the start at every gateway: all must list the same."""
        for name in self.listed:
            for gateway in range(self._plan.gateways):
                for _ in range(20):
                    if await self.async_read(name, gateway):
                        break
                    await asyncio.sleep(0.3)
                else:
                    self._book.break_promise("job_unreadable", f"{name} at front-{gateway}")

    def check_runs(self) -> None:
        """Compare what samplers ran with what callers were told."""
        runs: dict[str, int] = {}
        for sampler in (*self._world.samplers, *self._world.left):
            for run in sampler.runs:
                if sampler.service == PLAIN:
                    runs[run.id] = runs.get(run.id, 0) + 1
        for name in self._book.once:
            if runs.get(name, 0) > 1:
                self._book.break_promise("ran_twice", f"{name}: {runs[name]} runs")
        for name in self._book.refused & self._book.once:
            if name in runs:
                self._book.break_promise("ran_though_refused", name)

    def _gateway(self) -> int:
        return self._rng.randrange(self._plan.gateways)

    @staticmethod
    def _now() -> float:
        return asyncio.get_running_loop().time()
