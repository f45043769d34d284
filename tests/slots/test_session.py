"""What a client sends to a keeper, and what it makes of its answers."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

import attrs
import pytest
from result import Err, Ok, Result

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.slots import (
    KeeperError,
    KeeperProblem,
    SlotAnswer,
    SlotClient,
    SlotClientParts,
    SlotExchange,
    SlotGrant,
    SlotKeeper,
    SlotTransport,
)
from cranberryline.slots.const import MAX_ROWS
from cranberryline.slots.messages import SlotGranted

from ..virtual_time import LoopClock, run_virtual
from .site import MODEL, SERVICE, engine, need

ENGINES = (engine("e1"), engine("e2"))


class _Scripted(SlotTransport):
    """Records exchanges, and answers by the function `answer`, after `seconds`."""

    def __init__(self) -> None:
        self.sent: list[tuple[str, SlotExchange]] = []
        self.seconds = 0.01
        self.answer: Callable[[str, SlotExchange], SlotAnswer | None] = self.grant_first

    async def async_exchange(
        self, peer: str, msg: SlotExchange, timeout: timedelta
    ) -> Result[SlotAnswer, KeeperError]:
        self.sent.append((peer, msg))
        await asyncio.sleep(self.seconds)
        answer = self.answer(peer, msg)
        if answer is None:
            return Err(KeeperError(KeeperProblem.SILENT))
        return Ok(answer)

    def grant_first(self, peer: str, msg: SlotExchange) -> SlotAnswer:
        """Grant a slot to the first text that waits."""
        grants = tuple(SlotGranted(row.ticket, "e1") for row in msg.waiting[:1])
        return SlotAnswer(msg.number, grants=grants)

    @property
    def last(self) -> SlotExchange:
        return self.sent[-1][1]


@attrs.frozen(eq=False)
class _Bench:
    transport: _Scripted
    client: SlotClient
    rates: dict[str, float]


def _run(test: Callable[[_Bench], Awaitable[None]]) -> None:
    async def async_test() -> None:
        transport, rates = _Scripted(), {"e1": 20.0, "elsewhere": 3.0}
        parts = SlotClientParts(
            node="me",
            start="1",
            clock=LoopClock(),
            keeper=SlotKeeper(LoopClock(), lambda service: ENGINES),
            transport=transport,
            peers=lambda: {"k1": "k1:1", "k2": "k2:1", "k3": "k3:1"},
            engines=lambda service: ENGINES,
            is_shared=lambda service: True,
            rates=lambda: rates,
            connected=lambda service: ("e2", "elsewhere", "e1", "e2"),
        )
        client = SlotClient(parts)
        try:
            await test(_Bench(transport, client, rates))
        finally:
            await client.async_close()
        assert asyncio.all_tasks() == {asyncio.current_task()}

    run_virtual(async_test())


def test_connection_of_a_granted_text_is_not_told() -> None:
    """The next text is placed on a connection that a granted one is about to take."""

    async def async_test(bench: _Bench) -> None:
        grant = await bench.client.async_acquire(need())
        assert grant is not None and grant.upstream == "e1"
        bench.transport.answer = lambda peer, msg: SlotAnswer(msg.number)
        waiting = asyncio.create_task(bench.client.async_acquire(need()))
        await asyncio.sleep(0.02)
        assert bench.transport.last.connected == ("e2", "e2")
        grant.record_sent()
        await asyncio.sleep(0.2)
        assert bench.transport.last.connected == ("e1", "e2", "e2")
        waiting.cancel()
        await asyncio.gather(waiting, return_exceptions=True)

    _run(async_test)


def test_an_exchange_tells_all() -> None:
    """What waits, what runs, what was rejected, rates and connections of the shard's engines."""

    async def async_test(bench: _Bench) -> None:
        grant = await bench.client.async_acquire(need("t", 7.0, rank=3, avoid=frozenset({"e2"})))
        first = bench.transport.sent[0][1]
        assert (first.node, first.start, first.service) == ("me", "1", SERVICE)
        assert (first.shard, first.shards, first.wait_ms) == (0, 1, 100)
        assert first.rates == (("e1", 20.0),)
        assert first.connected == ("e1", "e2", "e2")
        (row,) = first.waiting
        assert (row.trainer, row.due_ms, row.model, row.rank) == ("t", 7000, MODEL, 3)
        assert row.avoid == ("e2",)
        await asyncio.sleep(0.02)
        (row,) = bench.transport.last.held
        assert (row.ticket, row.upstream, bench.transport.last.waiting) == (1, "e1", ())
        grant.release(RunEnd.FAILED)
        grant.release(RunEnd.FAILED)
        await asyncio.sleep(0.02)
        (rejected,) = bench.transport.last.rejected
        assert (rejected.upstream, rejected.model, rejected.end) == ("e1", MODEL, "failed")
        assert not bench.transport.last.held

    _run(async_test)


def test_rates_are_told_once_to_each_keeper() -> None:
    """A keeper takes a rate that comes again for a new measurement."""

    async def async_test(bench: _Bench) -> None:
        told = []
        bench.client.record_unshared(need(), "e1")
        for rate in (20.0, 20.0, 21.0):
            bench.rates["e1"] = rate
            bench.transport.sent.clear()
            await asyncio.sleep(0.31)
            told.append([row for _, msg in bench.transport.sent for row in msg.rates])
        assert told == [[("e1", 20.0)], [], [("e1", 21.0)]]
        keeper = bench.transport.sent[-1][0]
        bench.transport.answer = lambda peer, msg: None if peer == keeper else SlotAnswer(0)
        await asyncio.sleep(0.5)
        to_next = [msg.rates for peer, msg in bench.transport.sent if peer != keeper]
        assert to_next[0] == (("e1", 21.0),)

    _run(async_test)


def test_a_grant_from_before_a_pause_is_not_used() -> None:
    """The keeper has forgotten it; the same keeper is asked again."""

    async def async_test(bench: _Bench) -> None:
        def answer_late(peer: str, msg: SlotExchange) -> SlotAnswer:
            if len(bench.transport.sent) == 1:
                asyncio.get_running_loop().jump(1.5)
                return SlotAnswer(msg.number, grants=(SlotGranted(1, "e2"),))
            return bench.transport.grant_first(peer, msg)

        bench.transport.answer = answer_late
        grant = await bench.client.async_acquire(need())
        assert grant.upstream == "e1"
        assert len({peer for peer, _ in bench.transport.sent}) == 1

    _run(async_test)


def test_the_state_is_told_after_many_changes() -> None:
    """With as many exchanges open as may be, the last change follows as soon as one ends."""

    async def async_test(bench: _Bench) -> None:
        grants = [bench.client.record_unshared(need(), "e1") for _ in range(8)]
        bench.transport.seconds = 0.1
        for grant in grants:
            grant.release(RunEnd.DONE)
            await asyncio.sleep(0.01)
        assert bench.transport.last.held
        await asyncio.sleep(0.1)
        assert not bench.transport.last.held
        assert len(bench.transport.sent) <= 5 + 1

    _run(async_test)


def test_a_burst_of_needs_is_one_exchange() -> None:
    """Needs of one turn are told together."""

    async def async_test(bench: _Bench) -> None:
        asks = [asyncio.create_task(bench.client.async_acquire(need())) for _ in range(16)]
        await asyncio.sleep(0.004)
        assert [len(msg.waiting) for _, msg in bench.transport.sent] == [16]
        for ask in asks:
            ask.cancel()
        await asyncio.wait(asks)

    _run(async_test)


@pytest.mark.parametrize(("rows", "most"), [(20, 210), (2000, 12)])
def test_long_lists_are_told_less_often(rows: int, most: int) -> None:
    """A gateway with thousands of texts does not take up its keeper, which serves others, too."""

    async def async_test(bench: _Bench) -> None:
        bench.transport.answer = lambda peer, msg: SlotAnswer(msg.number)
        for _ in range(rows):
            bench.client.record_unshared(need(), "e1")
        for _ in range(1000):
            bench.client.record_unshared(need(), "e1").release(RunEnd.DONE)
            await asyncio.sleep(0.001)
        assert most / 2 < len(bench.transport.sent) <= most

    _run(async_test)


def test_of_too_many_texts_the_first_by_rank_are_told() -> None:
    """Thousands of texts of a higher rank do not keep one of the lowest from the keeper."""

    async def async_test(bench: _Bench) -> None:
        bench.transport.answer = lambda peer, msg: SlotAnswer(msg.number)
        needs = [need(rank=1)] * MAX_ROWS + [need(seconds=1), need()]
        tasks = [asyncio.create_task(bench.client.async_acquire(each)) for each in needs]
        await asyncio.sleep(0.5)
        rows = bench.transport.last.waiting
        assert len(rows) == MAX_ROWS
        assert [row.rank for row in rows].count(0) == 2
        await asyncio.gather(*tasks)

    _run(async_test)


def test_moves_come_from_the_newest_answer() -> None:
    """An answer that was overtaken does not bring an old move back."""

    async def async_test(bench: _Bench) -> None:
        grant = bench.client.record_unshared(need(), "e1")
        moves = {1: (SlotGranted(1, "e2"),)}

        def answer(peer: str, msg: SlotExchange) -> SlotAnswer:
            return SlotAnswer(msg.number, moves=moves.get(msg.number, ()))

        bench.transport.answer = answer
        bench.transport.seconds = 0.1
        await asyncio.sleep(0.05)
        bench.transport.seconds = 0.01
        bench.client.record_unshared(need(), "e2")
        await asyncio.sleep(0.08)
        assert len(bench.transport.sent) == 2
        assert not grant.move_to
        await asyncio.sleep(0.2)
        moves |= dict.fromkeys(range(100), moves[1])
        await asyncio.sleep(0.3)
        assert grant.move_to == "e2"

    _run(async_test)


async def _async_told_to_move(bench: _Bench) -> SlotGrant:
    """Return the grant of a text that should move to another engine."""
    grant = bench.client.record_unshared(need(), "e1")
    bench.transport.answer = lambda peer, msg: SlotAnswer(msg.number, moves=(SlotGranted(1, "e2"),))
    await asyncio.sleep(0.1)
    assert grant.move_to == "e2"
    return grant


def test_a_move_ends_with_the_keeper_that_reserved_it() -> None:
    """Once no keeper answers, nobody keeps the slot for the text."""

    async def async_test(bench: _Bench) -> None:
        grant = await _async_told_to_move(bench)
        bench.transport.answer = lambda peer, msg: None
        await asyncio.sleep(0.4)
        assert not grant.move_to

    _run(async_test)


def test_a_move_from_before_a_pause_is_not_used() -> None:
    """A gateway that was frozen does not take a slot that was granted to others meanwhile."""

    async def async_test(bench: _Bench) -> None:
        grant = await _async_told_to_move(bench)
        asyncio.get_running_loop().jump(5)
        assert not grant.move_to
        assert grant.move() is grant
        await asyncio.sleep(0.1)
        assert grant.move_to == "e2"

    _run(async_test)


def test_a_keeper_that_rejects_is_passed_over() -> None:
    """A problem in an answer counts as a silent keeper."""

    async def async_test(bench: _Bench) -> None:
        bench.transport.answer = lambda peer, msg: SlotAnswer(msg.number, "no")
        assert await bench.client.async_acquire(need()) is None
        assert len({peer for peer, _ in bench.transport.sent}) == 2

    _run(async_test)


def test_a_keeper_that_rejects_one_service_is_asked_for_others() -> None:
    """Another service would have two keepers that grant the same slots."""

    async def async_test(bench: _Bench) -> None:
        def answer(peer: str, msg: SlotExchange) -> SlotAnswer:
            if msg.service == "other":
                return SlotAnswer(msg.number, "no")
            return bench.transport.grant_first(peer, msg)

        bench.transport.answer = answer
        assert await bench.client.async_acquire(need())
        keeper = bench.transport.sent[0][0]
        other = attrs.evolve(need(), service="other")
        while keeper not in {peer for peer, msg in bench.transport.sent if msg.service == "other"}:
            assert await bench.client.async_acquire(other) is None
            await asyncio.sleep(1)
        assert await bench.client.async_acquire(need())
        told = [peer for peer, msg in bench.transport.sent if msg.service == SERVICE]
        assert set(told) == {keeper}

    _run(async_test)


def test_a_keeper_without_waits_is_not_asked_all_the_time() -> None:
    """An answer that comes at once without a grant is not asked for again at once."""

    async def async_test(bench: _Bench) -> None:
        bench.transport.answer = lambda peer, msg: SlotAnswer(msg.number)
        bench.transport.seconds = 0.0
        assert await bench.client.async_acquire(need()) is None
        assert len(bench.transport.sent) <= 62

    _run(async_test)


def _fail(*args: object) -> Any:
    raise RuntimeError("fault")


def test_an_exchange_that_raises_counts_as_a_silent_keeper() -> None:
    """A fault in a keeper or on the way to it does not hold each text for three seconds."""

    async def async_test(bench: _Bench) -> None:
        bench.transport.answer = _fail
        began = asyncio.get_running_loop().time()
        assert await bench.client.async_acquire(need()) is None
        assert asyncio.get_running_loop().time() - began < 0.1
        assert len({peer for peer, _ in bench.transport.sent}) == 2

    _run(async_test)


def test_a_text_that_cannot_be_told_holds_nobody() -> None:
    """A fault in one text lets all choose by themselves, until exchanges go on without it."""

    async def async_test(bench: _Bench) -> None:
        faulty = bench.client.record_unshared(need(events_left=_fail), "e2")
        began = asyncio.get_running_loop().time()
        assert await bench.client.async_acquire(need()) is None
        assert asyncio.get_running_loop().time() - began < 0.1
        held = bench.client.record_unshared(need(), "e1")
        faulty.release(RunEnd.DONE)
        await asyncio.sleep(1.1)
        assert [row.upstream for row in bench.transport.last.held] == [held.upstream]

    _run(async_test)
