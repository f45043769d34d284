"""Which waiting texts get the free slots of shared engines, and on which engine."""

from collections import Counter
from collections.abc import Iterator, Sequence
from datetime import timedelta
from typing import Any

import attrs
import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.slot_allocation import (
    ArrivalOrder,
    DemandOrder,
    ShareOrder,
    SlackOrder,
    SlotAllocator,
)
from cranberryline.decisions.slot_model import EngineState, RunningText, TextDemand

NOW = timedelta(seconds=100)
FAST = EngineState("fast", 8, 1, {"m": 3}, 32.0)
MID = EngineState("mid", 8, 1, {"m": 3}, 19.0)
SLOW = EngineState("slow", 8, 1, {"m": 3}, 12.0)


def _demand(key: int, trainer: str = "a", **changes: Any) -> TextDemand:
    due, arrived = NOW + timedelta(seconds=10), NOW - timedelta(seconds=1)
    return attrs.evolve(TextDemand(key, trainer, due, arrived, 20, 20, "m", 3), **changes)


def _running(trainer: str, count: int) -> list[RunningText]:
    return [RunningText((trainer, n), trainer, "fast", NOW, NOW, 9, 9) for n in range(count)]


def _engine(free: int, **changes: Any) -> EngineState:
    return attrs.evolve(FAST, slots=64, free=free, **changes)


def _chosen(
    demands: list[TextDemand],
    *engines: EngineState,
    running: list[RunningText] | None = None,
    **changes: Any,
) -> dict[int, str]:
    placements = SlotAllocator(**changes).place(demands, running or [], engines, NOW)
    return {placement.key: placement.engine for placement in placements}


def _trainers(demands: list[TextDemand], *args: Any, **kwargs: Any) -> Counter[str]:
    by_key = {demand.key: demand.trainer for demand in demands}
    return Counter(by_key[key] for key in _chosen(demands, *args, **kwargs))


def _burst(trainer: str, start: int, count: int, **changes: Any) -> list[TextDemand]:
    return [_demand(start + n, trainer, **changes) for n in range(count)]


def test_trainer_that_bursts_does_not_take_all() -> None:
    """A trainer that sends ten times as many texts, all due earlier, starves the others."""
    early = NOW + timedelta(seconds=1)
    demands = _burst("burst", 0, 200, due=early) + _burst("b", 200, 20) + _burst("c", 220, 20)
    assert _trainers(demands, _engine(30)) == {"burst": 10, "b": 10, "c": 10}


def test_running_texts_count_to_the_share() -> None:
    """A trainer that holds all slots would get half of those that become free, too."""
    demands = _burst("a", 0, 20) + _burst("b", 20, 20)
    assert _trainers(demands, _engine(8), running=_running("a", 10)) == {"b": 8}
    assert _trainers(demands, _engine(12), running=_running("a", 10)) == {"a": 1, "b": 11}


def test_unused_share_goes_to_the_others_at_once() -> None:
    """Slots stay idle for a trainer that has no text."""
    demands = _burst("a", 0, 40) + _burst("b", 40, 2)
    assert _trainers(demands, _engine(20)) == {"a": 18, "b": 2}


def test_shares_follow_the_weights() -> None:
    """A trainer that is to get twice as much gets as much as the others."""
    demands = _burst("a", 0, 40, weight=2.0) + _burst("b", 40, 40) + _burst("z", 80, 9, weight=0.0)
    assert _trainers(demands, _engine(31)) == {"a": 20, "b": 10, "z": 1}


def test_lower_rank_comes_first() -> None:
    """Background work takes slots that a trainer waits for."""
    demands = _burst("background", 0, 20, rank=1) + _burst("a", 20, 5)
    assert _trainers(demands, _engine(8), running=_running("a", 9)) == {"a": 5, "background": 3}


def test_caps_hold() -> None:
    """A trainer that is limited takes more while the others have nothing to do."""
    demands = _burst("a", 0, 40) + _burst("b", 40, 40)
    caps = {"a": 5}
    assert _trainers(demands, _engine(20), running=_running("a", 3), caps=caps) == {"a": 2, "b": 18}
    assert not _chosen(demands[:40], _engine(20), running=_running("a", 5), caps=caps)


def test_lower_rank_comes_first_without_shares() -> None:
    """Background work that is due takes slots that a trainer waits for."""
    demands = _burst("background", 0, 9, rank=1, due=NOW) + _burst("a", 9, 5)
    assert _trainers(demands, _engine(8), order=SlackOrder()) == {"a": 5, "background": 3}


@pytest.mark.parametrize("order", [SlackOrder(), ShareOrder()])
def test_least_slack_comes_first_within_a_trainer(order: DemandOrder) -> None:
    """A long text starts so late that its group misses its due time."""
    short, long = _demand(1), _demand(2, events_left=100, due=NOW + timedelta(seconds=11))
    assert list(_chosen([short, long], _engine(1), order=order)) == [2]
    later = attrs.evolve(long, due=NOW + timedelta(seconds=13))
    assert list(_chosen([short, later], _engine(1), order=order)) == [1]


@pytest.mark.parametrize("order", [SlackOrder(), ShareOrder()])
def test_longest_comes_first_without_known_speeds(order: DemandOrder) -> None:
    """After a restart the longest text of a group starts last."""
    demands = [_demand(1, events_left=5), _demand(2, events_left=50), _demand(3, events_left=20)]
    assert [demand.key for demand in order.sort(demands, [], NOW)] == [2, 3, 1]


def test_arrival_order_is_kept_as_baseline() -> None:
    """The way that the others are compared with changes."""
    demands = [_demand(1), _demand(2, arrived=NOW - timedelta(seconds=2))]
    assert list(_chosen(demands, _engine(1), order=ArrivalOrder())) == [2]


def test_text_that_ends_its_group_gets_the_fastest_engine() -> None:
    """The longest text of a group runs on the slowest engine, and the step waits for it."""
    assert _chosen([_demand(1)], SLOW, FAST, MID) == {1: "fast"}
    assert _chosen([_demand(1)], SLOW, attrs.evolve(FAST, free=0), MID) == {1: "mid"}


@pytest.mark.parametrize(
    ("events", "engine"), [(3, "slow"), (18, "slow"), (19, "mid"), (29, "mid"), (30, "fast")]
)
def test_short_text_leaves_the_fast_slots_free(events: int, engine: str) -> None:
    """Short texts fill the fast engines, also if they are twice as long as estimated."""
    # The longest takes 100 / 32 s. Twice 18 events at 12 a second, and twice 29 at 19, take less.
    demand = _demand(1, events_left=events, group_events_left=100)
    assert _chosen([demand], FAST, MID, SLOW) == {1: engine}


def test_short_texts_use_fast_slots_that_are_not_scarce() -> None:
    """A text far longer than estimated ends its step late, though fast slots stayed free."""
    plenty, slow = attrs.evolve(FAST, free=7), attrs.evolve(SLOW, free=8)
    demands = [_demand(n, events_left=5, group_events_left=100) for n in range(8)]
    # Of the eight fast slots, 3.2 are left to texts that decide when their group ends.
    assert Counter(_chosen(demands, plenty, slow).values()) == {"fast": 4, "slow": 4}


def test_short_text_is_in_time_for_a_text_on_a_full_engine() -> None:
    """The group's longest runs on the fastest engine, which is full, and ends before the others."""
    demand = _demand(1, events_left=30, group_events_left=100)
    assert _chosen([demand], attrs.evolve(FAST, free=0), MID, SLOW) == {1: "mid"}


def test_short_text_takes_a_fast_slot_if_it_is_the_only_one() -> None:
    """A text waits while a slot is free."""
    demand = _demand(1, events_left=3, group_events_left=100)
    assert _chosen([demand], FAST) == {1: "fast"}
    late = _demand(1, due=NOW)
    assert _chosen([late], SLOW, attrs.evolve(FAST, free=0)) == {1: "slow"}


def test_equal_engines_are_chosen_by_connection_then_by_free_slots() -> None:
    """Texts need new connections, or meet at one engine while another one is idle."""
    engines = [_engine(2, id="x"), _engine(5, id="y"), _engine(3, id="z", events_per_second=31.0)]
    assert _chosen([_demand(1)], *engines) == {1: "y"}
    assert _chosen([_demand(1, connected=frozenset("xz"))], *engines) == {1: "z"}
    assert _chosen([_demand(1, avoid=frozenset("y"))], *engines) == {1: "z"}
    avoided = _demand(1, avoid=frozenset("xyz"), connected=frozenset("x"))
    assert _chosen([avoided], *engines) == {1: "x"}


def test_avoided_engine_is_used_only_without_another() -> None:
    """A text goes back to the engine that has just broken it off, because it is the fastest."""
    demand = _demand(1, avoid=frozenset({"fast"}))
    assert _chosen([demand], FAST, SLOW) == {1: "slow"}
    assert _chosen([demand], FAST) == {1: "fast"}


def test_unknown_speed_counts_as_typical() -> None:
    """A new engine gets no text, or all of them."""
    new = attrs.evolve(FAST, id="new", events_per_second=0.0)
    assert _chosen([_demand(1)], SLOW, MID, FAST, new) == {1: "fast"}
    assert _chosen([_demand(1)], SLOW, MID, attrs.evolve(FAST, free=0), new)[1] in ("mid", "new")
    full = attrs.evolve(MID, free=0), attrs.evolve(FAST, free=0)
    assert _chosen([_demand(1)], SLOW, *full, new) == {1: "new"}
    assert _chosen([_demand(1)], new) == {1: "new"}


def test_texts_without_a_usable_engine_hold_nobody_up() -> None:
    """A new version that no engine serves yet blocks the texts of the old one."""
    newer = _burst("a", 0, 5, min_version=4, due=NOW)
    other = _burst("a", 5, 5, model="other", due=NOW)
    demands = newer + other + _burst("b", 10, 2) + _burst("a", 12, 1)
    assert set(_chosen(demands, _engine(8))) == {10, 11, 12}


def test_texts_that_find_no_slot_do_not_count_to_the_share() -> None:
    """A trainer loses its share for texts of a version whose engines have just become full."""
    newer = _burst("a", 0, 9, min_version=4, due=NOW)
    demands = newer + _burst("a", 9, 20) + _burst("b", 29, 20)
    engines = _engine(1, id="new", versions={"m": 4}), _engine(9)
    assert _trainers(demands, *engines) == {"a": 5, "b": 5}


class _Endless(DemandOrder):
    def sort(self, demands: Sequence[TextDemand], *args: Any) -> Iterator[TextDemand]:
        yield demands[0]
        raise AssertionError("asked for more although nothing is free")


def test_nothing_is_sorted_after_the_last_slot() -> None:
    """Each slot that becomes free costs the time of a sort of all that waits."""
    assert _chosen([_demand(1), _demand(2)], _engine(1), order=_Endless()) == {1: "fast"}


class _Unread(list[TextDemand]):
    """Demands that must not be looked at."""

    def __iter__(self) -> Iterator[TextDemand]:
        raise AssertionError("read although nothing is free")


def test_nothing_is_read_without_a_free_slot() -> None:
    """Each event of a full service costs the time of a sort of all that waits."""
    assert not SlotAllocator().place(_Unread([_demand(1)]), [], [_engine(0)], NOW)


DEMANDS = st.builds(
    _demand,
    key=st.uuids(),
    trainer=st.sampled_from("abc"),
    rank=st.integers(0, 1),
    weight=st.sampled_from([0.5, 1.0, 2.0]),
    events_left=st.floats(0, 135),
    group_events_left=st.floats(0, 135),
    min_version=st.sampled_from([None, 2, 3, 4]),
    avoid=st.frozensets(st.sampled_from("xyz")),
)
ENGINES = st.tuples(
    *(
        st.builds(
            EngineState,
            id=st.just(name),
            slots=st.just(8),
            free=st.integers(-1, 8),
            versions=st.sampled_from([{"m": 2}, {"m": 3}]),
            events_per_second=st.sampled_from([0.0, 12.0, 32.0]),
        )
        for name in "xyz"
    )
)


@pytest.mark.parametrize("order", [ArrivalOrder(), SlackOrder(), ShareOrder()])
@given(demands=st.lists(DEMANDS, max_size=30), engines=ENGINES)
def test_no_text_waits_while_a_slot_is_free_for_it(
    order: DemandOrder, demands: list[TextDemand], engines: tuple[EngineState, ...]
) -> None:
    """Slots are granted twice, or stay idle while a text that could use them waits."""
    placements = SlotAllocator(order).place(demands, [], engines, NOW)
    by_id = {engine.id: engine for engine in engines}
    used = Counter(placement.engine for placement in placements)
    assert all(used[name] <= max(by_id[name].free, 0) for name in by_id)
    by_key = {demand.key: demand for demand in demands}
    placed = {placement.key for placement in placements}
    assert len(placed) == len(placements)
    for placement in placements:
        demand = by_key[placement.key]
        assert by_id[placement.engine].serves(demand.model, demand.min_version)
    left = [engine for engine in engines if used[engine.id] < engine.free]
    for demand in demands:
        idle = any(engine.serves(demand.model, demand.min_version) for engine in left)
        assert demand.key in placed or not idle


def test_workspace_cap_bounds_the_slots_of_all_its_trainers() -> None:
    """Two trainers of a workspace would use the cap each."""
    demands = _burst("a", 0, 5, workspace="w") + _burst("b", 5, 5, workspace="w")
    demands += _burst("c", 10, 2)
    running = [attrs.evolve(text, workspace="w") for text in _running("a", 1)]
    got = _trainers(demands, _engine(9), running=running, workspace_caps={"w": 4})
    assert (got["a"] + got["b"], got["c"]) == (3, 2)


def test_capped_are_those_that_wait_for_their_own_cap() -> None:
    """A text that waits for a cap would leave the keeper, as one does that waits for long."""
    demands = [_demand(1, "a"), _demand(2, "b", workspace="w"), _demand(3, "b"), _demand(4, "c")]
    running = [attrs.evolve(text, workspace="w") for text in _running("a", 2)]
    allocator = SlotAllocator(caps={"a": 2, "c": 1}, workspace_caps={"w": 2})
    assert [text.key for text in allocator.capped(demands, running)] == [1, 2]
