"""Moves of running texts: which slots are reserved, and until when."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

import attrs

from cranberryline.decisions.engine_speeds import EngineSpeeds
from cranberryline.decisions.slot_model import EngineState, Placement, RunEnd, RunningText
from cranberryline.decisions.text_moves import MoveBudget, MovePolicy
from cranberryline.slots.shard_slots import ShardSlots
from cranberryline.slots.shares import SlotShares

from ..virtual_time import run_virtual
from .exchanges import SECOND, exchange, held, waiting
from .site import Site, engine, need


@attrs.frozen
class _MoveToFree(MovePolicy):
    """Moves the first texts to engines with a free slot, and records what it was offered."""

    offered: list[list[str]] = attrs.field(factory=list)

    def choose(
        self,
        running: Sequence[RunningText],
        engines: Sequence[EngineState],
        budget: MoveBudget,
        now: timedelta,
    ) -> list[Placement]:
        free = [each.id for each in engines if each.free]
        self.offered.append(free)
        movable = [text for text in running if text.engine not in free]
        return [Placement(text.key, name) for text, name in zip(movable, free, strict=False)]


class _Shard:
    def __init__(self, *names: str) -> None:
        engines = {name: engine(name, slots=1) for name in names}
        self.policy = _MoveToFree()
        self.slots = ShardSlots(lambda: engines, EngineSpeeds(), SlotShares(), policy=self.policy)
        self.now = SECOND

    def tell(self, number: int, node: str = "a", after: float = 0.3, **fields: object) -> dict:
        """Return the moves, and the grants, in the answer to an exchange."""
        self.now += timedelta(seconds=after)
        msg = exchange(number, node, **fields)
        assert not self.slots.accept(msg, self.now)
        self.slots.place({node}, self.now)
        answer = self.slots.answer(msg)
        rows = (*answer.moves, *answer.grants)
        return {row.ticket: row.upstream for row in rows}

    def held(self) -> dict[str, int]:
        described = self.slots.describe_engines(self.now)
        return {name: row["held"] for name, row in described.items()}


def test_a_move_reserves_its_slot_until_the_text_is_there() -> None:
    """Nobody else gets the slot meanwhile, and the left one is free afterwards."""
    shard = _Shard("e1", "e2")
    assert shard.tell(1, held=(held(1, "e1", may_move=True),)) == {1: "e2"}
    assert shard.tell(1, "b", waiting=(waiting(7),)) == {}
    assert shard.tell(2, held=(held(1, "e1", may_move=True),)) == {1: "e2"}
    assert shard.held() == {"e1": 1, "e2": 1}
    assert shard.tell(3, held=(held(1, "e2"),)) == {}
    assert shard.held() == {"e1": 0, "e2": 1}
    assert shard.tell(2, "b", waiting=(waiting(7),)) == {7: "e1"}


def test_a_move_of_a_text_that_ended_frees_both_slots() -> None:
    """The reserved slot does not stay reserved for a text that is done."""
    shard = _Shard("e1", "e2")
    shard.tell(1, held=(held(1, "e1", may_move=True),))
    shard.tell(2)
    assert shard.held() == {"e1": 0, "e2": 0}


def test_no_move_to_a_slot_that_a_waiting_text_could_use() -> None:
    """Texts that wait come first, also those of a gateway that does not listen now."""
    shard = _Shard("e1", "e2")
    shard.tell(1, "b", waiting=(waiting(7, min_version=9),))
    assert shard.tell(1, held=(held(1, "e1", may_move=True),)) == {1: "e2"}
    shard = _Shard("e1", "e2")
    msg = exchange(1, "b", waiting=(waiting(7),))
    shard.slots.accept(msg, shard.now)
    assert shard.tell(1, held=(held(1, "e1", may_move=True),)) == {}
    assert shard.policy.offered == [[]]


def test_no_move_to_a_slot_that_was_just_granted() -> None:
    """A text that waits and one that may move never get the same slot in one turn."""
    shard = _Shard("e1", "e2")
    rows = {"held": (held(1, "e1", may_move=True),), "waiting": (waiting(2),)}
    assert shard.tell(1, **rows) == {2: "e2"}


def test_a_move_stands_while_others_are_chosen() -> None:
    """A text that was told to move is not sent elsewhere before it did."""
    shard = _Shard("e1", "e2", "e3")
    for number in range(3):
        assert shard.tell(number, held=(held(1, "e1", may_move=True),)) == {1: "e2"}


def test_moves_are_chosen_at_most_four_times_a_second() -> None:
    """Each choice is paid for by all texts of the shard."""
    shard = _Shard("e1", "e2")
    rows = (held(1, "e1", may_move=True), held(2, "e2", may_move=True))
    for number in range(50):
        shard.tell(number, after=0.02, held=rows)
    assert len(shard.policy.offered) == 4


def test_a_move_is_told_at_once_and_only_once() -> None:
    """It ends the wait of its gateway's exchange; the next ones wait for news again."""
    shard = _Shard("e1", "e2")
    rows = {"held": (held(1, "e1", may_move=True),)}
    msg = exchange(1, **rows)
    shard.slots.accept(msg, shard.now)
    shard.slots.place({"a"}, shard.now)
    assert shard.slots.has_news("a")
    shard.slots.answer(msg)
    assert not shard.slots.has_news("a")


def test_a_text_that_may_not_move_is_not_offered() -> None:
    """Only what its gateway allows to move does."""
    shard = _Shard("e1", "e2")
    assert shard.tell(1, held=(held(1, "e1"),)) == {}


def test_a_grant_moves() -> None:
    """The client passes the move on, and the text keeps one slot."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", slots=1), engine("e2", slots=1)])
        gateway = site.others()[0]
        blocker = await site.async_acquire(gateway)
        grant = await site.async_acquire(gateway, need(may_move=lambda: True))
        site.release(blocker)
        await asyncio.sleep(0.02)
        (shard,) = site.keeper().keeper._shards.values()
        shard.slots._policy = _MoveToFree()
        await asyncio.sleep(0.7)
        assert grant.move_to == blocker.upstream
        moved = grant.move()
        assert moved.upstream == blocker.upstream
        assert not moved.move_to and not grant.move_to
        grant.release(RunEnd.DONE)
        shard.slots._policy = MovePolicy()
        await asyncio.sleep(0.05)
        described = shard.slots.describe_engines(timedelta())
        assert {name: row["held"] for name, row in described.items()} == {
            grant.upstream: 0,
            moved.upstream: 1,
        }
        assert gateway.events["moved"] == 1
        moved.release(RunEnd.DONE)
        await site.async_close()

    run_virtual(async_test())


def test_the_release_of_a_text_that_should_move_frees_both_slots() -> None:
    """A text that ends before it moves leaves nothing behind."""

    async def async_test() -> None:
        site = Site(["a", "b"], [engine("e1", slots=1), engine("e2", slots=1)])
        gateway = site.others()[0]
        grant = await site.async_acquire(gateway, need(may_move=lambda: True))
        await asyncio.sleep(0.02)
        (shard,) = site.keeper().keeper._shards.values()
        shard.slots._policy = _MoveToFree()
        await asyncio.sleep(0.7)
        assert grant.move_to
        grant.release(RunEnd.DONE)
        await asyncio.sleep(0.05)
        described = shard.slots.describe_engines(timedelta())
        assert [row["held"] for row in described.values()] == [0, 0]
        await site.async_close()

    run_virtual(async_test())


def test_reserved_slot_is_free_again_when_its_text_may_not_move_any_more() -> None:
    """A text that stays would block the slot for all others until it is complete."""
    shard = _Shard("e-1", "e-2")
    row = held(1, "e-1", may_move=True)
    assert shard.tell(1, held=(row,)) == {1: "e-2"}
    assert shard.held() == {"e-1": 1, "e-2": 1}
    assert shard.tell(2, held=(held(1, "e-1", may_move=False),)) == {}
    assert shard.held() == {"e-1": 1, "e-2": 0}
