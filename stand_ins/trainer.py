"""A trainer: declares steps, pulls samples by cursor, trains, announces weights, keeps books."""

import asyncio
import time
from typing import Any

import attrs

from .books import Received, TrainerBook
from .client import EntryClient, Reply

__all__ = ["Trainer", "TrainerPlan"]

PULL_WAIT_S = 5.0
GIVE_UP_S = 20.0
REASON_STEP_UNKNOWN = "step_unknown"


@attrs.frozen
class TrainerPlan:
    """What a trainer does.

    Each `lose_every`th pull's answer is thrown away as if it had been lost, and each
    `double_every`th pull is sent through two entries at once; neither may change the books.
    """

    name: str
    service: str
    bound: int
    groups: int = 4
    group_size: int = 8
    max_tokens: int = 160
    train_s: float = 0.5
    ahead: int = 1
    announce_every: int = 0
    lose_every: int = 7
    double_every: int = 5
    batch: int = 64
    steps: int = 1_000_000


class Trainer:
    """One trainer; `client` carries a trainer's token, `operator` that of whoever announces."""

    def __init__(self, plan: TrainerPlan, client: EntryClient, operator: EntryClient) -> None:
        self.plan = plan
        self.book = TrainerBook(plan.name, plan.bound)
        self.version = 0
        self._client = client
        self._operator = operator
        self._cursor = ""
        self._pulls = 0

    async def async_run(self, seconds: float) -> None:
        """Begin steps for this long; finish the last one."""
        began = time.monotonic()
        await self._async_adopt()
        step = 1
        while time.monotonic() - began < seconds and step <= self.plan.steps:
            if not await self._async_step(step):
                break
            step += 1
        self.book.total_s = time.monotonic() - began

    async def _async_step(self, step: int) -> bool:
        """Run one step; False when its samples did not come."""
        began = time.monotonic()
        for ahead in range(self.plan.ahead + 1):
            await self._async_declare(step + ahead)
        self.book.wanted.update(
            (step, group, index)
            for group in range(self.plan.groups)
            for index in range(self.plan.group_size)
        )
        whole = await self._async_collect(step)
        self.book.idle_s += time.monotonic() - began
        if not whole:
            self.book.stalled_steps += 1
            return False
        await asyncio.sleep(self.plan.train_s)
        self.book.steps += 1
        if self.plan.announce_every and step % self.plan.announce_every == 0:
            await self._async_announce()
        else:
            await self._async_adopt()
        return True

    def prompt(self, step: int, group: int) -> str:
        """Return a group's prompt: a long common part, and what makes it this group's."""
        common = f"You write for {self.plan.name} at {self.plan.service}. " * 4
        return f"{common}Step {step}, item {group}: describe it."

    async def _async_declare(self, step: int) -> None:
        """Declare a step until an entry has taken it."""
        groups = [
            {
                "prompt": self.prompt(step, group),
                "n": self.plan.group_size,
                "max_tokens": self.plan.max_tokens,
            }
            for group in range(self.plan.groups)
        ]
        path = f"/trainers/{self.plan.name}/steps/{step}"
        payload = {"service": self.plan.service, "groups": groups}
        deadline = time.monotonic() + GIVE_UP_S
        while time.monotonic() < deadline:
            reply = await self._client.async_call("PUT", path, payload)
            if reply.ok:
                return
            await self._async_refused(reply)

    async def _async_collect(self, step: int) -> bool:
        """Pull until the step is done."""
        self._cursor = ""
        deadline = time.monotonic() + GIVE_UP_S
        while time.monotonic() < deadline:
            for reply in await self._async_pull(step):
                if reply.ok:
                    if self._take(step, reply.data):
                        return True
                    continue
                if reply.reason == REASON_STEP_UNKNOWN:
                    self.book.refusals[reply.reason] += 1
                    await self._async_declare(step)
                    continue
                await self._async_refused(reply)
        return False

    async def _async_pull(self, step: int) -> list[Reply]:
        """Pull once, or twice at once; return the answers that were not lost."""
        self._pulls += 1
        payload = {
            "step": step,
            "cursor": self._cursor,
            "version": self.version,
            "max": self.plan.batch,
            "wait_s": PULL_WAIT_S,
        }
        path = f"/trainers/{self.plan.name}/pull"
        timeout_s = PULL_WAIT_S + 5
        twice = self.plan.double_every and self._pulls % self.plan.double_every == 0
        calls = [
            self._client.async_call("POST", path, payload, timeout_s=timeout_s)
            for _ in range(2 if twice else 1)
        ]
        replies = await asyncio.gather(*calls)
        if self.plan.lose_every and self._pulls % self.plan.lose_every == 0:
            return []
        return list(replies)

    def _take(self, step: int, batch: dict[str, Any]) -> bool:
        """Take a batch if we still stand at its cursor; return whether the step is done."""
        if batch["cursor"] != self._cursor:
            self.book.dropped_batches += 1
            return False
        for sample in batch["samples"]:
            self.book.received.append(self._received(step, sample))
        self._cursor = batch["next_cursor"]
        return bool(batch["done"])

    def _received(self, step: int, sample: dict[str, Any]) -> Received:
        segments = tuple((seg["weight_version"], seg["tokens"]) for seg in sample["segments"])
        return Received(
            step=step,
            group=sample["group"],
            index=sample["index"],
            prompt=self.prompt(step, sample["group"]),
            text=sample["text"],
            segments=segments,
            score=sample["score"],
            trainer_version=self.version,
        )

    async def _async_refused(self, reply: Reply) -> None:
        """Note a refusal and wait as told."""
        self.book.refusals[reply.reason] += 1
        await asyncio.sleep(min(reply.retry_after_s, 2.0))

    async def _async_in_force(self) -> tuple[int, int]:
        """Return revision and version of the weights record in force."""
        reply = await self._operator.async_call("GET", "/config/records")
        for record in reply.data.get("records", []):
            if (record["kind"], record["name"]) == ("weights", self.plan.service):
                return record["revision"], record["spec"]["version"]
        return 0, 0

    async def _async_adopt(self) -> None:
        """Train on with the newest weights announced by anyone."""
        _, version = await self._async_in_force()
        self.version = max(self.version, version)

    async def _async_announce(self) -> None:
        """Announce the next version; a racing announcement makes us read and try again."""
        for _ in range(10):
            revision, version = await self._async_in_force()
            record = {
                "kind": "weights",
                "name": self.plan.service,
                "schema": 1,
                "amends": revision,
                "spec": {"version": max(version, self.version) + 1},
            }
            reply = await self._operator.async_call("POST", "/config/records", record)
            if reply.ok:
                self.version = record["spec"]["version"]
                self.book.announced += 1
                return
            await self._async_refused(reply)
