"""A keeper of slots and the exchanges that it answers."""

import asyncio
import math
import time
from collections.abc import Sized
from datetime import timedelta

import pytest

from cranberryline.slots.const import MAX_ROWS
from cranberryline.slots.messages import RejectedText
from cranberryline.slots.shard_slots import ShardSlots

from ..virtual_time import run_virtual
from .exchanges import KeeperBench, async_timed, exchange, held, waiting
from .site import SERVICE, engine


def test_a_lost_answer_is_repeated() -> None:
    """A ticket that is listed as waiting again gets the same grant, and only one slot."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1"), engine("e2"))
        first = await bench.async_ask(1, waiting=(waiting(1),))
        assert await bench.async_ask(2, waiting=(waiting(1),)) == first
        assert sum(bench.held().values()) == 1

    run_virtual(async_test())


def test_a_confirmed_grant_counts_once() -> None:
    """Listed as held, the slot is not counted as granted as well."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1"))
        await bench.async_ask(1, waiting=(waiting(1),))
        assert await bench.async_ask(2, held=(held(1, "e1"),)) == {}
        assert bench.held() == {"e1": 1}

    run_virtual(async_test())


def test_a_grant_that_is_not_wanted_any_more_is_free() -> None:
    """A ticket that is listed neither way was cancelled, or is done already."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, waiting=(waiting(1),))
        await bench.async_ask(2)
        assert await bench.async_ask(1, node="b", waiting=(waiting(1),)) == {1: "e1"}

    run_virtual(async_test())


def test_a_late_exchange_changes_nothing() -> None:
    """An exchange that was overtaken does not take held slots away."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(5, held=(held(1, "e1"),))
        assert await bench.async_ask(4, waiting=(waiting(1),)) == {}
        assert bench.held() == {"e1": 1}

    run_virtual(async_test())


def test_a_restarted_gateway_replaces_what_it_held() -> None:
    """A new start with lower numbers counts, and an exchange of the old run does not any more."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(90, start="old", held=(held(1, "e1"),))
        assert await bench.async_ask(1, start="new", waiting=(waiting(1),)) == {1: "e1"}
        late = await bench.async_answer(91, start="old", held=(held(1, "e1"), held(2, "e1")))
        assert late.problem and not late.grants
        assert bench.held() == {"e1": 1}

    run_virtual(async_test())


def test_a_restart_ends_the_answer_to_the_old_run_empty() -> None:
    """The old run's parked exchange does not get the grants of the new one."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, node="b", held=(held(1, "e1"),))
        old = asyncio.create_task(bench.async_ask(7, start="old", waiting=(waiting(1),)))
        await asyncio.sleep(0.01)
        new = bench.async_ask(1, start="new", waiting=(waiting(1),))
        answers = await asyncio.gather(bench.async_ask(2, node="b"), new, old)
        assert answers == [{}, {1: "e1"}, {}]

    run_virtual(async_test())


def test_a_silent_gateway_is_forgotten() -> None:
    """After 1.2 s without an exchange its slots are free, before it they are not."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, held=(held(1, "e1"),))
        await asyncio.sleep(1.0)
        assert await bench.async_ask(1, node="b", waiting=(waiting(1),)) == {}
        assert await bench.async_ask(2, node="b", waiting=(waiting(1),)) == {}
        assert await bench.async_ask(3, node="b", waiting=(waiting(1),)) == {1: "e1"}

    run_virtual(async_test())


def test_waits_end() -> None:
    """At once with a grant or nothing to wait for, else after the wait, at most 100 ms."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        ask = bench.async_ask
        assert await async_timed(ask(0, waiting=(waiting(1),))) < 0.002
        assert await async_timed(ask(1, waiting=(waiting(1),))) < 0.002
        assert await async_timed(ask(2, held=(held(1, "e1"),))) < 0.002
        rows = {"held": (held(1, "e1"),), "waiting": (waiting(2),)}
        assert await async_timed(ask(3, **rows)) == pytest.approx(0.1, abs=0.005)
        assert await async_timed(ask(4, wait_ms=60_000, **rows)) == pytest.approx(0.1, abs=0.005)
        assert await async_timed(ask(5, wait_ms=40, **rows)) == pytest.approx(0.04, abs=0.005)

    run_virtual(async_test())


def test_a_newer_exchange_ends_the_older_one() -> None:
    """A gateway has one parked exchange, so that nothing adds up at the keeper."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, node="b", held=(held(1, "e1"),))
        older = asyncio.create_task(bench.async_ask(1, waiting=(waiting(1),)))
        await asyncio.sleep(0.01)
        newer = asyncio.create_task(bench.async_ask(2, waiting=(waiting(1),)))
        await asyncio.sleep(0.01)
        assert older.done() and not newer.done()
        await newer

    run_virtual(async_test())


def test_a_late_exchange_does_not_end_the_wait_of_the_newest() -> None:
    """It is answered at once, and the newest one stays parked."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, node="b", held=(held(1, "e1"),))
        newest = asyncio.create_task(bench.async_ask(5, waiting=(waiting(1),)))
        await asyncio.sleep(0.01)
        assert await async_timed(bench.async_ask(4, waiting=(waiting(1),))) == 0
        assert not newest.done()
        await bench.async_ask(2, node="b")
        assert await newest == {1: "e1"}

    run_virtual(async_test())


def test_a_gateway_that_does_not_listen_gets_no_slot() -> None:
    """A slot that is free between two exchanges of a gateway does not wait for the next one."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, node="b", held=(held(1, "e1"),))
        assert await bench.async_ask(1, waiting=(waiting(1),)) == {}
        await bench.async_ask(2, node="b")
        assert bench.held() == {"e1": 0}
        assert await bench.async_ask(2, waiting=(waiting(1),)) == {1: "e1"}

    run_virtual(async_test())


def test_exchanges_of_one_turn_are_allocated_together(monkeypatch: pytest.MonkeyPatch) -> None:
    """A burst of gateways costs one allocation, which sees the texts of all."""
    seen = []
    place = ShardSlots.place

    def count(self: ShardSlots, listening: Sized, now: timedelta) -> None:
        seen.append(len(listening))
        place(self, listening, now)

    monkeypatch.setattr(ShardSlots, "place", count)

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=50))
        asks = [bench.async_ask(1, node=f"g{each}", waiting=(waiting(1),)) for each in range(30)]
        assert all(await asyncio.gather(*asks))

    run_virtual(async_test())
    assert seen == [30]


def test_an_engine_that_is_not_listed_gets_nothing() -> None:
    """Its held slots count nowhere, and it is not granted."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1), engine("gone", slots=9))
        await bench.async_ask(1, held=(held(1, "gone"),))
        bench.engines = (engine("e1", slots=1),)
        rows = tuple(waiting(each) for each in range(5))
        assert await bench.async_ask(1, node="b", waiting=rows) in [{n: "e1"} for n in range(5)]
        assert bench.held() == {"e1": 1}

    run_virtual(async_test())


@pytest.mark.parametrize("min_version", [None, 1])
def test_a_rejection_counts_for_its_model_only(min_version: int | None) -> None:
    """For 250 ms the engine gets no text of the model, also none that any version would serve."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=9))
        rows = {"waiting": (waiting(1, min_version=min_version),)}
        rejected = (RejectedText("e1", "m", "rejected"),)
        assert await bench.async_ask(1, rejected=rejected, wait_ms=90, **rows) == {}
        assert await bench.async_ask(1, node="b", waiting=(waiting(1, model="other"),))
        assert await bench.async_ask(2, wait_ms=90, **rows) == {}
        await asyncio.sleep(0.08)
        assert await bench.async_ask(3, **rows) == {1: "e1"}

    run_virtual(async_test())


async def _async_seconds_out(bench: KeeperBench, number: int) -> float:
    """Return for how long an engine is out of choice after a failure."""
    began = asyncio.get_running_loop().time()
    failed = (RejectedText("e1", "m", "failed"),)
    while not await bench.async_ask(number, waiting=(waiting(number),), rejected=failed):
        number += 1
        failed = ()
        await asyncio.sleep(0.01)
    return asyncio.get_running_loop().time() - began


def test_an_engine_that_fails_again_is_left_out_longer() -> None:
    """Half a second, doubled to 4 s, until a rate is measured on it."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=9))
        out = [await _async_seconds_out(bench, 1000 * each) for each in range(1, 6)]
        assert out == pytest.approx([0.5, 1, 2, 4, 4], abs=0.12)
        await bench.async_ask(8000, rates=(("e1", 30.0),))
        assert await _async_seconds_out(bench, 9000) == pytest.approx(0.5, abs=0.12)

    run_virtual(async_test())


def test_failures_of_all_texts_of_an_engine_count_once() -> None:
    """An engine that dies with eight texts is left out as for one."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=9))
        failed = (RejectedText("e1", "m", "failed"),)
        for number in range(1, 9):
            await bench.async_ask(number, rejected=failed)
        await asyncio.sleep(0.5)
        assert await bench.async_ask(10, waiting=(waiting(1),)) == {1: "e1"}

    run_virtual(async_test())


def test_reports_of_engines_that_are_not_listed_are_left_out() -> None:
    """They take no room from the others, and an engine that left is forgotten."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=9), engine("e2", slots=9))
        rows = tuple(RejectedText(f"none{each}", "m", "rejected") for each in range(MAX_ROWS))
        await bench.async_ask(0, rejected=rows)
        rejected = (RejectedText("e1", "m", "rejected"),)
        texts = (waiting(1), waiting(2))
        grants = await bench.async_ask(1, waiting=texts, rejected=rejected)
        assert grants == {1: "e2", 2: "e2"}
        await bench.async_ask(2, rejected=(RejectedText("e1", "m", "failed"),))
        bench.engines = (engine("e2", slots=9),)
        await bench.async_ask(3)
        bench.engines = (engine("e1", slots=9),)
        await asyncio.sleep(0.25)
        assert await bench.async_ask(4, waiting=(waiting(3),)) == {3: "e1"}

    run_virtual(async_test())


def test_the_keeper_describes_what_it_knows() -> None:
    """Texts and the longest wait by trainer, slots and speed by engine."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, held=(held(1, "e1"),), rates=(("e1", 20.0),))
        await bench.async_ask(1, node="b", waiting=(waiting(1, "u"),))
        await bench.async_ask(2, node="b", waiting=(waiting(1, "u"), waiting(2, "u")))
        assert bench.keeper.describe() == {
            SERVICE: {
                "trainers": {
                    "t": {"waiting": 0, "held": 1, "longest_wait_ms": 0},
                    "u": {"waiting": 2, "held": 0, "longest_wait_ms": 200},
                },
                "engines": {"e1": {"slots": 1, "held": 1, "speed": 20.0}},
            }
        }
        await asyncio.sleep(1.3)
        assert bench.keeper.describe() == {}

    run_virtual(async_test())


def test_an_answer_tells_how_many_wait_and_run() -> None:
    """By trainer, over all gateways."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1", slots=1))
        await bench.async_ask(1, held=(held(1, "e1"),))
        answer = await bench.async_answer(1, node="b", waiting=(waiting(1, "u"), waiting(2)))
        assert set(answer.waits) == {("t", 1, 1), ("u", 1, 0)}

    run_virtual(async_test())


def test_speeds_are_kept_and_restored() -> None:
    """Numbers that are no speeds are left out."""

    async def async_test() -> None:
        bench = KeeperBench(engine("e1"))
        rates = {"e1": 20.0, "e2": math.nan, "e3": -1.0, "e4": math.inf, "e" * 999: 1.0}
        bench.keeper.restore_speeds(SERVICE, rates)
        assert bench.keeper.known_speeds(SERVICE) == {"e1": 20.0}
        assert bench.keeper.known_speeds("other") == {}

    run_virtual(async_test())


def test_an_exchange_of_a_hundred_rows_is_cheap() -> None:
    """Fifty texts that run and fifty that wait, from the check to the answer, under 3 ms."""

    async def async_test() -> float:
        bench = KeeperBench(*(engine(f"e{each}", slots=2) for each in range(60)))
        rows = tuple(held(each, f"e{each}", f"t{each % 4}", may_move=True) for each in range(50))
        texts = tuple(waiting(100 + each, f"t{each % 4}") for each in range(50))
        costs = []
        for number in range(20):
            msg = exchange(number, waiting=texts, held=rows, wait_ms=0)
            began = time.process_time()
            await bench.keeper.async_exchange(msg)
            costs.append(time.process_time() - began)
        return sorted(costs)[len(costs) // 2]

    assert run_virtual(async_test()) < 0.003


def test_a_fault_in_an_allocation_is_told_to_all_that_wait_for_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without it a gateway whose texts only run would never be answered, and others too late."""

    def fail(*args: object) -> None:
        raise RuntimeError("fault")

    async def async_test() -> None:
        bench = KeeperBench(engine("e1"))
        with monkeypatch.context() as patched:
            patched.setattr(ShardSlots, "place", fail)
            rows = ({"held": (held(1, "e1"),)}, {"waiting": (waiting(1),)})
            asks = [bench.async_ask(1, node=str(each), **row) for each, row in enumerate(rows)]
            faults = await asyncio.wait_for(asyncio.gather(*asks, return_exceptions=True), 0.05)
        assert [type(fault) for fault in faults] == [RuntimeError, RuntimeError]
        assert await bench.async_ask(2, waiting=(waiting(1),)) == {1: "e1"}

    run_virtual(async_test())
