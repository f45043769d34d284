"""A request goes to its upstream only by recent knowledge of it."""

import asyncio
from typing import Any

import pytest
from result import Err

from cranberryline.execution.gate import SendGate
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.transport.model import End, NotRun

from .conftest import RunnerHarness

_WITHHELD = PlatformError(PlatformReason.WITHHELD, may_have_run=False)


class Gate(SendGate):
    """Knowledge that is too old until it is confirmed, which takes `takes_s` and calls `then`."""

    def __init__(self) -> None:
        self.current = True
        self.confirmations = 0
        self.sends = 0
        self.takes_s = 0.0
        self.then: Any = lambda: None

    def is_current(self) -> bool:
        return self.current

    async def async_confirm(self) -> None:
        self.confirmations += 1
        await asyncio.sleep(self.takes_s)
        self.current = True
        self.then()

    def record_send(self) -> None:
        self.sends += 1


class Gated:
    """A runner with a gate, before an upstream that asks directly before the first byte."""

    def __init__(self) -> None:
        self.harness = RunnerHarness()
        self.gate = Gate()
        self.left = False
        self.connecting: Any = lambda: None
        execution = self.harness.runner._execution
        execution.gate, execution.leaving = self.gate, lambda: self.left
        self._answer = self.harness.upstream.async_send
        self.harness.upstream.async_send = self._async_send  # type: ignore[method-assign]

    async def _async_send(self, req: Any, timeout: Any) -> Any:
        await asyncio.sleep(0)
        self.connecting()
        if not req.may_send():
            return Err(_WITHHELD)
        return await self._answer(req, timeout)

    def last_reply(self, budget_ms: int = 2000) -> Any:
        """Run a request and return the last message about it."""

        async def async_main() -> None:
            self.harness.submit(1, budget_ms=budget_ms)
            await self.harness.async_idle()

        asyncio.run(async_main())
        return self.harness.replies_to(1)[-1]


def test_recent_knowledge_is_not_confirmed_again() -> None:
    """Guards against a read of the store for each request."""
    gated = Gated()
    assert isinstance(gated.last_reply(), End)
    assert gated.gate.confirmations == 0 and gated.gate.sends == 1


def test_a_request_waits_until_old_knowledge_is_confirmed() -> None:
    """Guards against sending by a list of upstreams that nobody knows to be recent."""
    gated = Gated()
    gated.gate.current = False
    assert isinstance(gated.last_reply(), End)
    assert gated.gate.confirmations == 1 and len(gated.harness.upstream.runs) == 1


def test_an_upstream_that_turns_out_to_have_left_gets_nothing() -> None:
    """Guards against sending a request that was held up while its upstream was found to leave."""
    gated = Gated()
    gated.gate.current = False
    gated.gate.then = lambda: setattr(gated, "left", True)
    reply = gated.last_reply()
    assert isinstance(reply, NotRun) and reply.reason == "draining"
    assert not gated.harness.upstream.runs and gated.gate.sends == 0


@pytest.mark.parametrize("left", [False, True])
def test_knowledge_that_grew_old_while_connecting_is_confirmed_before_the_first_byte(
    left: bool,
) -> None:
    """Guards against a process that stood still between its choice of an upstream and the send."""
    gated = Gated()

    def stall() -> None:
        if not gated.gate.confirmations:
            gated.gate.current = False
            gated.gate.then = lambda: setattr(gated, "left", left)

    gated.connecting = stall
    reply = gated.last_reply()
    assert isinstance(reply, NotRun if left else End)
    assert gated.gate.confirmations == 1 and len(gated.harness.upstream.runs) == (not left)


def test_a_request_that_cannot_be_confirmed_in_its_time_was_not_run() -> None:
    """Guards against sending late by old knowledge, and against holding the request past its time."""
    gated = Gated()
    gated.connecting = lambda: setattr(gated.gate, "current", False)
    gated.gate.takes_s = 0.02
    reply = gated.last_reply(budget_ms=100)
    assert isinstance(reply, NotRun) and reply.reason == "deadline"
    assert not gated.harness.upstream.runs
