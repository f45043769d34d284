"""Connection reuse where each of many entries has only a few requests."""

from collections import Counter
from random import Random

import pytest

from cranberryline.decisions import RouteRequest, RoutingPolicy, UpstreamView
from cranberryline.decisions.routing import CONNECTION_REUSE_DISCOUNT

UPSTREAMS = tuple("abcdef")
KEPT_S = 4.0
SHORT = RouteRequest(tokens=1, short=True)


def _views(**connected: bool) -> list[UpstreamView]:
    return [UpstreamView(name, slots=6, connected=connected.get(name, False)) for name in UPSTREAMS]


def _chosen(views: list[UpstreamView], req: RouteRequest = SHORT) -> Counter[str | None]:
    rng = Random(7)
    return Counter(RoutingPolicy().choose(views, req, rng) for _ in range(300))


def _new_connections(entries: int, short: bool) -> int:
    """Return how many connections are opened in a simulated minute.

    Each entry has a request of 30 ms about every two seconds.
    """
    rng, opened = Random(3), 0
    for _ in range(entries):
        kept: dict[str, float] = {}
        now = 0.0
        while (now := now + rng.expovariate(0.5)) < 60:
            views = _views(**{name: kept.get(name, -1.0) > now for name in UPSTREAMS})
            chosen = RoutingPolicy().choose(views, RouteRequest(tokens=1, short=short), rng)
            assert chosen is not None
            opened += kept.get(chosen, -1.0) <= now
            kept[chosen] = now + KEPT_S
    return opened


def test_infrequent_short_requests_reuse_kept_connections() -> None:
    """Spread over all upstreams, kept connections would expire between requests."""
    assert _new_connections(91, short=True) < 0.35 * _new_connections(91, short=False)


def test_connection_reuse_does_not_overload_one_upstream() -> None:
    """Each entry stays with its first, random upstream, and none gets twice its share."""
    rng = Random(5)
    first = Counter(RoutingPolicy().choose(_views(), SHORT, rng) for _ in range(91))
    assert max(first.values()) < 2 * 91 / len(UPSTREAMS)


def test_kept_connection_does_not_outweigh_a_slow_or_full_upstream() -> None:
    """If the connected upstream is slow or has no free slot, requests go elsewhere."""
    slow = [
        UpstreamView(
            view.id,
            slots=6,
            connected=view.id == "a",
            tokens_per_second=(
                100 * (1 - CONNECTION_REUSE_DISCOUNT) * 0.9 if view.id == "a" else 100
            ),
        )
        for view in _views()
    ]
    assert _chosen(slow)["a"] == 0
    full = [
        UpstreamView(view.id, slots=6, connected=view.id == "a", own_requests=6 * (view.id == "a"))
        for view in _views()
    ]
    assert _chosen(full)["a"] < 100


@pytest.mark.parametrize("tokens", [1, 500])
def test_long_requests_ignore_kept_connections(tokens: int) -> None:
    """For a text of several seconds the cost of a new connection is negligible."""
    spread = _chosen(_views(a=True), RouteRequest(tokens=tokens))
    assert spread["a"] < 100
