"""Where work goes, and where it does not."""

from collections import Counter
from datetime import timedelta
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions import (
    HealthView,
    Priority,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
    free_slots,
    rendezvous,
)

FRESH = timedelta()
REQUEST = RouteRequest(tokens=100)


def upstream(name: str, **fields: object) -> UpstreamView:
    """Return an upstream with sixteen slots that makes 50 tokens a second for each request."""
    return UpstreamView(**{"id": name, "slots": 16, "tokens_per_second": 50.0, **fields})  # type: ignore[arg-type]


def chosen(upstreams: list[UpstreamView], req: RouteRequest = REQUEST, times: int = 200) -> Counter:
    """Return how often each upstream is chosen."""
    rng = Random(3)
    return Counter(RoutingPolicy().choose(upstreams, req, rng) for _ in range(times))


def test_own_outstanding_work_counts_before_any_report() -> None:
    """The entry has sent much to a; the report, a second old, still calls both idle."""
    sent = upstream("a", own_requests=10, own_tokens=5000, report_age=timedelta(seconds=1))
    assert set(chosen([sent, upstream("b")])) == {"b"}


def test_a_fresh_report_shows_the_work_of_other_entries() -> None:
    """Other entries have filled a."""
    busy = upstream("a", reported_requests=16, reported_tokens=5000, report_age=FRESH)
    assert set(chosen([busy, upstream("b", own_requests=1, own_tokens=100)])) == {"b"}


def test_an_old_report_is_not_trusted() -> None:
    """The report that calls a busy is half a minute old; own work at b is certain."""
    busy = upstream(
        "a", reported_requests=16, reported_tokens=5000, report_age=timedelta(seconds=30)
    )
    assert set(chosen([busy, upstream("b", own_requests=2, own_tokens=200)])) == {"a"}


def test_a_slow_upstream_gets_little() -> None:
    """One of three works at a tenth of the pace: it is not chosen while the others have room."""
    slow = upstream("slow", tokens_per_second=5.0)
    assert chosen([slow, upstream("a"), upstream("b")])["slow"] == 0


def test_an_upstream_without_a_measurement_is_tried() -> None:
    """A new upstream counts as typical, or it would never be measured."""
    others = [upstream(name, own_requests=4, own_tokens=400) for name in "ab"]
    assert chosen([upstream("new", tokens_per_second=0.0), *others])["new"] == 200


def test_a_cached_prefix_is_used_only_while_it_saves_more_than_it_costs() -> None:
    """A prefix saves 60 of 100 tokens on its upstream.

    With equal load its requests go there; once the wait there costs more, they go elsewhere.
    """
    names = ["a", "b", "c"]
    req = RouteRequest(tokens=100, prefix_key="p", prefix_tokens=60)
    home = rendezvous.rank("p", names)[0]
    assert chosen([upstream(name) for name in names], req)[home] == 200
    loaded = [
        upstream(name, own_requests=16 * (name == home), own_tokens=2000 * (name == home))
        for name in names
    ]
    assert chosen(loaded, req)[home] == 0


def test_draining_excluded_and_stale_upstreams_are_not_chosen() -> None:
    """Only the upstream that serves version 7 and stays may get the work."""
    upstreams = [
        upstream("draining", weight_version=7, draining=True),
        upstream("excluded", weight_version=7),
        upstream("stale", weight_version=6),
        upstream("unknown", weight_version=None),
        upstream("good", weight_version=7),
    ]
    req = RouteRequest(tokens=1, min_weight_version=7, excluded=frozenset({"excluded"}))
    assert set(chosen(upstreams, req)) == {"good"}
    assert RoutingPolicy().choose(upstreams[:4], req, Random(1)) is None


def test_a_probe_goes_first_and_only_where_allowed() -> None:
    """A drawn-down upstream is due for a probe; a request that may not be one avoids it."""
    down = upstream("down", health=HealthView(0.0, probe_due=True))
    upstreams = [down, upstream("a")]
    assert set(chosen(upstreams)) == {"down"}
    assert set(chosen(upstreams, RouteRequest(tokens=1, may_probe=False))) == {"a"}


def test_entries_that_see_the_same_reports_do_not_all_choose_the_same_upstream() -> None:
    """Of forty equal upstreams one is reported idle, the others almost idle."""
    upstreams = [
        upstream(f"u{i}", reported_requests=1 + (i > 0), reported_tokens=10, report_age=FRESH)
        for i in range(40)
    ]
    assert max(chosen(upstreams, times=400).values()) < 60


def test_room_leaves_out_slow_upstreams_and_reserved_slots() -> None:
    """Two healthy upstreams of sixteen slots, one with ten requests, and one that crawls."""
    upstreams = [
        upstream("a"),
        upstream("b", own_requests=3, reported_requests=10),
        upstream("slow", tokens_per_second=2.0),
        upstream("draining", draining=True),
    ]
    assert free_slots(upstreams) == 14 + 4
    assert free_slots([]) == 0


VIEWS = st.lists(
    st.builds(
        UpstreamView,
        id=st.uuids().map(str),
        slots=st.integers(1, 32),
        own_requests=st.integers(0, 40),
        own_tokens=st.integers(0, 10**6),
        reported_requests=st.integers(0, 40),
        reported_tokens=st.integers(0, 10**6),
        report_age=st.none() | st.timedeltas(timedelta(), timedelta(hours=1)),
        tokens_per_second=st.floats(0, 1000),
        weight_version=st.none() | st.integers(0, 9),
        health=st.builds(HealthView, weight=st.floats(0, 1), probe_due=st.booleans()),
        draining=st.booleans(),
    ),
    max_size=20,
    unique_by=lambda view: view.id,
)


@given(VIEWS, st.none() | st.integers(0, 9), st.integers(0, 99), st.sampled_from(list(Priority)))
def test_a_choice_is_allowed_and_a_function_of_its_inputs(
    views: list[UpstreamView], version: int | None, seed: int, priority: Priority
) -> None:
    """The chosen upstream may be chosen, and one is chosen whenever one may be."""
    req = RouteRequest(tokens=50, priority=priority, min_weight_version=version, prefix_key="p")
    choice = RoutingPolicy().choose(views, req, Random(seed))
    assert choice == RoutingPolicy().choose(views, req, Random(seed))
    allowed = {
        view.id
        for view in views
        if not view.draining
        and view.health.usable
        and (
            version is None or (view.weight_version is not None and view.weight_version >= version)
        )
    }
    assert (choice in allowed) if allowed else choice is None


@pytest.mark.parametrize("members", [1, 7, 40])
def test_ranking_moves_only_the_keys_of_a_member_that_left(members: int) -> None:
    """A member leaves; the keys whose first choice was another keep it."""
    ids = [f"m{i}" for i in range(members)]
    left = ids[1:]
    for key in (f"k{i}" for i in range(50)):
        before = rendezvous.rank(key, ids)
        assert before[0] == rendezvous.top(key, ids)
        assert [member for member in before if member != "m0"] == rendezvous.rank(key, left)
