"""A caller that makes a steady load and checks each answer for itself."""

import asyncio
import json
import random
import time
from typing import Any

import attrs

from .books import CallBook, Told
from .client import EntryClient, Reply
from .text import TextError, check_text

__all__ = ["Caller", "CallerPlan"]

KIND_COMPLETE = "complete"
KIND_CREATE = "create"
KIND_CREATE_KEYED = "create_keyed"
KIND_READ = "read"
KIND_STREAM = "stream"
SSE_DONE = "[DONE]"


@attrs.frozen
class CallerPlan:
    """A caller's load; `mix` gives the weight of each kind of call."""

    name: str
    plain: str
    engine: str
    caller_class: str = "application"
    rate: float = 20.0
    max_outstanding: int = 200
    max_tokens: int = 48
    timeout_s: float = 20.0
    seed: int = 1
    mix: dict[str, float] = attrs.field(
        factory=lambda: {
            KIND_READ: 5,
            KIND_CREATE: 2,
            KIND_CREATE_KEYED: 2,
            KIND_COMPLETE: 1,
            KIND_STREAM: 1,
        }
    )


class Caller:
    """One application caller."""

    def __init__(self, plan: CallerPlan, client: EntryClient) -> None:
        self.plan = plan
        self.book = CallBook(plan.name)
        self._client = client
        self._rng = random.Random(plan.seed)
        self._calls = 0
        self._tasks: set[asyncio.Task[None]] = set()

    async def async_run(self, seconds: float) -> None:
        """Make calls at random intervals for this long, then wait for the last answers."""
        deadline = time.monotonic() + seconds
        while time.monotonic() < deadline:
            if len(self._tasks) < self.plan.max_outstanding:
                task = asyncio.create_task(self._async_one())
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
            await asyncio.sleep(self._rng.expovariate(self.plan.rate))
        await asyncio.gather(*self._tasks)

    async def _async_one(self) -> None:
        """Make one call of a random kind."""
        kinds, weights = zip(*self.plan.mix.items(), strict=True)
        kind = self._rng.choices(kinds, weights)[0]
        self._calls += 1
        call = f"{self.plan.name}-{self.plan.seed}-{self._calls}"
        began = time.monotonic()
        if kind in (KIND_COMPLETE, KIND_STREAM):
            await self._async_completion(kind, call)
        elif kind == KIND_CREATE_KEYED:
            await self._async_keyed(call)
        else:
            await self._async_plain(kind, call, 1)
        self.book.latencies.setdefault(kind, []).append(time.monotonic() - began)

    async def _async_keyed(self, call: str) -> None:
        """Send one keyed creation through two entries at once, as an impatient caller does."""
        attempts = [self._async_plain(KIND_CREATE_KEYED, call, n, entry=n) for n in (1, 2)]
        await asyncio.gather(*attempts)

    async def _async_plain(
        self, kind: str, call: str, attempt: int, entry: int | None = None
    ) -> None:
        """Call the plain service and check that the answer is our own."""
        headers = {"X-Call-Id": f"{call}/{attempt}", "X-Priority": self.plan.caller_class}
        method, payload = "GET", None
        if kind != KIND_READ:
            method, payload = "POST", {"create": call}
            headers["X-Idempotent"] = "false"
            self.book.once.add(call)
        if kind == KIND_CREATE_KEYED:
            headers["Idempotency-Key"] = call
        path = f"/services/{self.plan.plain}/records/{call}"
        reply = await self._client.async_call(
            method, path, payload, headers, self.plan.timeout_s, entry
        )
        if not reply.ok:
            self._refused(reply, f"{call}/{attempt}")
            return
        self._check_plain(kind, call, reply)

    def _check_plain(self, kind: str, call: str, reply: Reply) -> None:
        data = reply.data
        own = (
            str(data.get("call", "")).split("/")[0] == call
            and data.get("path") == f"/records/{call}"
            and data.get("caller") == self.plan.name
            and (kind == KIND_READ or json.loads(data.get("echo") or "{}") == {"create": call})
        )
        self._note(kind, call, own)

    async def _async_completion(self, kind: str, call: str) -> None:
        """Ask for a completion and check that its text is whole and answers our prompt."""
        prompt = f"Call {call}: what should be done with it?"
        payload = {
            "model": self.plan.engine,
            "prompt": prompt,
            "max_tokens": self.plan.max_tokens,
            "stream": kind == KIND_STREAM,
        }
        reply = await self._client.async_call(
            "POST",
            "/v1/completions",
            payload,
            {"X-Priority": self.plan.caller_class},
            self.plan.timeout_s,
        )
        if not reply.ok:
            self._refused(reply, call)
            return
        text = _streamed(reply.body) if kind == KIND_STREAM else _text(reply.data)
        try:
            check_text(prompt, text)
        except TextError as exc:
            self._note(kind, f"{call}: {exc}", False)
            return
        self._note(kind, call, True)

    def _note(self, kind: str, call: str, own: bool) -> None:
        if own:
            self.book.ok[kind] += 1
        else:
            self.book.wrong.append(call)

    def _refused(self, reply: Reply, attempt: str) -> None:
        self.book.refusals[reply.reason] += 1
        self.book.told[attempt] = Told(reply.ran, reply.reason)


def _text(data: dict[str, Any]) -> str:
    """Return the text of a whole answer."""
    choices = data.get("choices") or [{}]
    return str(choices[0].get("text", ""))


def _streamed(body: bytes) -> str:
    """Return the text of a stream, or nothing where it has no end."""
    events = [line[6:] for line in body.decode().split("\n") if line.startswith("data: ")]
    if not events or events[-1] != SSE_DONE:
        return ""
    return "".join(_text(json.loads(event)) for event in events[:-1])
