"""Cooldown of upstreams that refused a request."""

from datetime import timedelta
from random import Random

import pytest

from cranberryline.decisions import RouteRequest, RoutingPolicy, UpstreamView
from cranberryline.decisions.upstream_cooldown import (
    REFUSED_COOLDOWN,
    REPLACED_COOLDOWN,
    UpstreamCooldowns,
)

NOW = timedelta(seconds=5)


def test_cooldown_applies_only_to_the_refusing_upstream_and_ends() -> None:
    """Other upstreams stay available; an engine that loads weights is tried again meanwhile."""
    cooldowns = UpstreamCooldowns()
    cooldowns.start("a", NOW)
    assert cooldowns.is_active("a", NOW + REFUSED_COOLDOWN / 2) and not cooldowns.is_active(
        "b", NOW
    )
    assert not cooldowns.is_active("a", NOW + REFUSED_COOLDOWN)


def test_ended_cooldowns_are_removed() -> None:
    """Upstreams are replaced all day; the state must not grow with each of them."""
    cooldowns = UpstreamCooldowns()
    for number in range(1000):
        cooldowns.start(str(number), NOW + number * REFUSED_COOLDOWN)
    assert len(cooldowns._until) <= 2


def _attempts_per_request(outdated: int, with_cooldown: bool) -> float:
    """Simulate a minute of short requests; return the mean number of upstreams tried per request.

    The first `outdated` of ten upstreams refuse at once, so that their connections are always free;
    the connections of the others are free half of the time.
    """
    rng, attempts, requests = Random(11), 0, 0
    until = dict.fromkeys(range(10), timedelta())
    for step in range(600):
        now, excluded, requests = (
            NOW + timedelta(milliseconds=100) * step,
            frozenset(),
            requests + 1,
        )
        for _ in range(10):
            views = [
                UpstreamView(
                    str(number),
                    slots=4,
                    connected=number < outdated or rng.random() < 0.5,
                    recently_refused=with_cooldown and now < until[number],
                )
                for number in range(10)
            ]
            req = RouteRequest(tokens=1, short=True, excluded=excluded)
            chosen = RoutingPolicy().choose(views, req, rng)
            assert chosen is not None
            attempts += 1
            if int(chosen) >= outdated:
                break
            until[int(chosen)] = now + REPLACED_COOLDOWN
            excluded |= {chosen}
    return attempts / requests


@pytest.mark.parametrize("outdated", [1, 3, 5])
def test_upstreams_that_refuse_everything_attract_few_requests(outdated: int) -> None:
    """Registry entries are outdated: another process answers at the address and refuses at once.

    Such upstreams always appear free and would be tried by most requests. With the cooldown each of
    them is tried once per cooldown.
    """
    assert _attempts_per_request(outdated, with_cooldown=False) > 1.15
    assert _attempts_per_request(outdated, with_cooldown=True) < 1 + 0.04 * outdated


def test_request_is_sent_if_all_upstreams_are_in_cooldown() -> None:
    """All upstreams were full a moment ago.

    Requests must not be rejected until a cooldown ends.
    """
    views = [UpstreamView(name, slots=4, recently_refused=True) for name in "abc"]
    assert RoutingPolicy().choose(views, RouteRequest(tokens=1), Random(1)) in ("a", "b", "c")
