"""Idle connections of gateways, each used by one placement."""

from collections import Counter
from collections.abc import Mapping
from datetime import timedelta
from typing import Any

import attrs
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.slot_allocation import ArrivalOrder, SlotAllocator
from cranberryline.decisions.slot_model import EngineState, TextDemand

NOW = timedelta(seconds=100)
ENGINE = EngineState("x", 8, 8, {}, 32.0)
COUNTS = st.dictionaries(st.sampled_from("xyz"), st.integers(0, 4))


def _demands(gateway: str, count: int, **changes: Any) -> list[TextDemand]:
    return [
        TextDemand((gateway, n), "t", NOW, NOW, 20, 20, gateway=gateway, **changes)
        for n in range(count)
    ]


def _placed(
    demands: list[TextDemand], idle: Mapping[str, Mapping[str, int]], *engines: EngineState
) -> Counter[tuple[str, str]]:
    """Return by gateway and engine how many texts were placed."""
    placements = SlotAllocator(ArrivalOrder()).place(demands, [], engines, NOW, idle)
    return Counter((placement.key[0], placement.engine) for placement in placements)


def test_each_idle_connection_serves_one_placement() -> None:
    """Eight texts are placed where one connection is idle, and seven are opened."""
    engines = [attrs.evolve(ENGINE, id=name) for name in "xyz"]
    placed = _placed(_demands("a", 6), {"a": {"x": 1, "y": 2, "z": 3}}, *engines)
    assert placed == {("a", "x"): 1, ("a", "y"): 2, ("a", "z"): 3}


def test_connections_of_another_gateway_do_not_count() -> None:
    """A text is placed where only another gateway has an idle connection, or uses that one up."""
    engines = [attrs.evolve(ENGINE, id=name) for name in "xy"]
    idle = {"a": {"x": 2}, "b": {"x": 1, "y": 1}}
    placed = _placed(_demands("a", 2) + _demands("b", 2), idle, *engines)
    assert placed == {("a", "x"): 2, ("b", "x"): 1, ("b", "y"): 1}


def test_without_a_connection_most_free_slots_decide() -> None:
    """Once its connections are used up, texts of a gateway meet at one engine."""
    engines = [attrs.evolve(ENGINE, id="x", free=3), attrs.evolve(ENGINE, id="y", free=8)]
    assert _placed(_demands("a", 4), {"a": {"x": 1}}, *engines) == {("a", "x"): 1, ("a", "y"): 3}


def test_connection_does_not_outweigh_speed() -> None:
    """The text that its group waits for goes to a slow engine, for a connection."""
    slow = attrs.evolve(ENGINE, id="slow", events_per_second=12.0)
    assert _placed(_demands("a", 1), {"a": {"slow": 1}}, ENGINE, slow) == {("a", "x"): 1}


def test_gateway_that_is_not_counted_tells_connections_by_text() -> None:
    """Connections that a demand tells are ignored where nobody counts them."""
    engines = [attrs.evolve(ENGINE, id=name) for name in "xy"]
    demands = _demands("a", 1, connected=frozenset("y"))
    assert _placed(demands, {"b": {"x": 1}}, *engines) == {("a", "y"): 1}


@given(
    free=st.tuples(*[st.integers(0, 4)] * 3),
    idle=st.fixed_dictionaries(dict.fromkeys("ab", COUNTS)),
)
def test_no_text_waits_for_a_connection(
    free: tuple[int, ...], idle: Mapping[str, Mapping[str, int]]
) -> None:
    """A slot stays free while a text waits for a connection that is used."""
    engines = [
        attrs.evolve(ENGINE, id=name, free=count) for name, count in zip("xyz", free, strict=True)
    ]
    placed = _placed(_demands("a", 5) + _demands("b", 5), idle, *engines)
    assert placed.total() == min(10, sum(free))
