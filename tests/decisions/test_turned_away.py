"""Upstreams that turned work away rest for a moment."""

from datetime import timedelta
from random import Random

import pytest

from cranberryline.decisions import RouteRequest, RoutingPolicy, UpstreamView
from cranberryline.decisions.turned_away import REPLACED_REST, REST, TurnedAway

NOW = timedelta(seconds=5)


def test_only_the_upstream_that_turned_work_away_rests_and_not_for_long() -> None:
    """Others get work at once; the one that loads is asked again within the load."""
    turned = TurnedAway()
    turned.note("a", NOW)
    assert turned.rests("a", NOW + REST / 2) and not turned.rests("b", NOW)
    assert not turned.rests("a", NOW + REST)


def test_an_upstream_that_is_gone_leaves_nothing_behind() -> None:
    """Upstreams come and go all day: what is kept is what rests now."""
    turned = TurnedAway()
    for number in range(1000):
        turned.note(str(number), NOW + number * REST)
    assert len(turned._until) <= 2


def _asked(outdated: int, rests: bool) -> float:
    """Play a minute of short requests; return how many upstreams each is sent to until one runs it.

    An entry that is out of date answers at once, so that its connection waits always; those of the others wait
    half of the time.
    """
    rng, asked, requests = Random(11), 0, 0
    until = dict.fromkeys(range(10), timedelta())
    for step in range(600):
        now, avoid, requests = NOW + timedelta(milliseconds=100) * step, frozenset(), requests + 1
        for _ in range(10):
            views = [
                UpstreamView(
                    str(number),
                    slots=4,
                    connected=number < outdated or rng.random() < 0.5,
                    resting=rests and now < until[number],
                )
                for number in range(10)
            ]
            req = RouteRequest(tokens=1, short=True, excluded=avoid)
            chosen = RoutingPolicy().choose(views, req, rng)
            assert chosen is not None
            asked += 1
            if int(chosen) >= outdated:
                break
            until[int(chosen)] = now + REPLACED_REST
            avoid |= {chosen}
    return asked / requests


@pytest.mark.parametrize("outdated", [1, 3, 5])
def test_upstreams_that_turn_all_away_draw_little(outdated: int) -> None:
    """Load: entries of processes that are gone, whose addresses answer at once that it is not they.

    They look free always; each is asked once in its rest, not by most requests.
    """
    assert _asked(outdated, rests=False) > 1.15
    assert _asked(outdated, rests=True) < 1 + 0.04 * outdated


def test_where_all_upstreams_rest_one_of_them_is_asked() -> None:
    """A service that was full everywhere a moment ago is not refused for the length of a rest."""
    views = [UpstreamView(name, slots=4, resting=True) for name in "abc"]
    assert RoutingPolicy().choose(views, RouteRequest(tokens=1), Random(1)) in ("a", "b", "c")
