"""Which upstream a request is sent to, and rendezvous ranking."""

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
    """Return an upstream with sixteen slots that generates 50 tokens per second per request."""
    return UpstreamView(**{"id": name, "slots": 16, "tokens_per_second": 50.0, **fields})  # type: ignore[arg-type]


def chosen(upstreams: list[UpstreamView], req: RouteRequest = REQUEST, times: int = 200) -> Counter:
    """Return how often each upstream is chosen."""
    rng = Random(3)
    return Counter(RoutingPolicy().choose(upstreams, req, rng) for _ in range(times))


def test_own_outstanding_work_counts_before_a_report_shows_it() -> None:
    """The entry has sent much work to a, but the report, a second old, still shows both idle."""
    sent = upstream("a", own_requests=10, own_tokens=5000, report_age=timedelta(seconds=1))
    assert set(chosen([sent, upstream("b")])) == {"b"}


def test_fresh_report_counts_the_work_of_other_entries() -> None:
    """Other entries have filled upstream a."""
    busy = upstream("a", reported_requests=16, reported_tokens=5000, report_age=FRESH)
    assert set(chosen([busy, upstream("b", own_requests=1, own_tokens=100)])) == {"b"}


def test_old_report_is_discounted() -> None:
    """The report that shows a busy is half a minute old, while own work at b is known."""
    busy = upstream(
        "a", reported_requests=16, reported_tokens=5000, report_age=timedelta(seconds=30)
    )
    assert set(chosen([busy, upstream("b", own_requests=2, own_tokens=200)])) == {"a"}


def test_slow_upstream_is_avoided() -> None:
    """One of three runs at a tenth of the speed; it is not chosen while the others have slots."""
    slow = upstream("slow", tokens_per_second=5.0)
    assert chosen([slow, upstream("a"), upstream("b")])["slow"] == 0


def test_upstream_without_a_measurement_is_tried() -> None:
    """A new upstream is assumed to have the typical rate, or it would never be measured."""
    others = [upstream(name, own_requests=4, own_tokens=400) for name in "ab"]
    assert chosen([upstream("new", tokens_per_second=0.0), *others])["new"] == 200


def test_cached_prefix_is_used_only_while_it_saves_more_than_the_wait() -> None:
    """A cached prefix saves 60 of 100 tokens on one upstream.

    With equal load its requests go there; once waiting there takes longer, they go elsewhere.
    """
    names = ["a", "b", "c"]
    req = RouteRequest(tokens=100, prefix_key="p", prefix_tokens=60)
    cached_on = rendezvous.rank("p", names)[0]
    assert chosen([upstream(name) for name in names], req)[cached_on] == 200
    loaded = [
        upstream(name, own_requests=16 * (name == cached_on), own_tokens=2000 * (name == cached_on))
        for name in names
    ]
    assert chosen(loaded, req)[cached_on] == 0


def test_cached_prefix_is_ignored_without_a_free_slot() -> None:
    """A heavy caller has filled every upstream equally, so a call waits for a slot anywhere.

    Calls with the same prefix are spread instead of queueing behind each other at one upstream.
    """
    full = [upstream(name, own_requests=16, own_tokens=2000) for name in "abc"]
    spread = chosen(full, RouteRequest(tokens=100, prefix_key="p", prefix_tokens=60))
    assert min(spread[name] for name in "abc") > 40


def test_draining_excluded_and_outdated_upstreams_are_not_chosen() -> None:
    """Only the upstream that serves version 7 and is neither draining nor excluded is eligible."""
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


def test_due_probe_goes_first_if_the_request_may_probe() -> None:
    """A failed upstream is due for a probe; a request that may not be a probe avoids it."""
    down = upstream("down", health=HealthView(0.0, probe_due=True))
    upstreams = [down, upstream("a")]
    assert set(chosen(upstreams)) == {"down"}
    assert set(chosen(upstreams, RouteRequest(tokens=1, may_probe=False))) == {"a"}


def test_entries_with_the_same_reports_do_not_all_choose_the_same_upstream() -> None:
    """One of forty equal upstreams is reported idle and the others almost idle."""
    upstreams = [
        upstream(f"u{i}", reported_requests=1 + (i > 0), reported_tokens=10, report_age=FRESH)
        for i in range(40)
    ]
    assert max(chosen(upstreams, times=400).values()) < 60


def test_free_slots_exclude_slow_upstreams_and_reserved_slots() -> None:
    """Two healthy upstreams have sixteen slots, one of them ten requests; a third is slow."""
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
def test_choice_is_eligible_and_deterministic(
    views: list[UpstreamView], version: int | None, seed: int, priority: Priority
) -> None:
    """The chosen upstream is eligible, and one is chosen whenever one is eligible."""
    req = RouteRequest(tokens=50, priority=priority, min_weight_version=version, prefix_key="p")
    choice = RoutingPolicy().choose(views, req, Random(seed))
    assert choice == RoutingPolicy().choose(views, req, Random(seed))
    eligible = {
        view.id
        for view in views
        if not view.draining
        and view.health.usable
        and (
            version is None or (view.weight_version is not None and view.weight_version >= version)
        )
    }
    assert (choice in eligible) if eligible else choice is None


def test_a_rate_that_underflows_to_zero_is_not_divided_by() -> None:
    """The product of a tiny rate and a tiny health weight is 0; the request still gets a choice."""
    view = UpstreamView("a", tokens_per_second=3e-303, health=HealthView(weight=3e-254))
    assert RoutingPolicy().choose([view], RouteRequest(tokens=50), Random(1)) == "a"


@pytest.mark.parametrize("members", [1, 7, 40])
def test_ranking_reassigns_only_the_keys_of_a_member_that_left(members: int) -> None:
    """When a member leaves, keys that ranked another one first keep that one."""
    ids = [f"m{i}" for i in range(members)]
    remaining = ids[1:]
    for key in (f"k{i}" for i in range(50)):
        before = rendezvous.rank(key, ids)
        assert before[0] == rendezvous.top(key, ids)
        assert [member for member in before if member != "m0"] == rendezvous.rank(key, remaining)
