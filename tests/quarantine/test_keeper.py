"""Quarantine shared by gateways: crashes, store outages, trials, clearing and operator releases."""

from datetime import timedelta
from typing import Any

import msgspec
import pytest

from cranberryline.decisions.crash_attribution import (
    CRASH_TTL,
    FIRST_TRIAL_DELAY,
    HELD_CRASH_TTL,
    MAX_TRACKED_REQUESTS,
)
from cranberryline.quarantine import CrashRecord, fingerprint
from tests.store_fake import StoreLink

from .conftest import CRASHING_REQUEST, OTHER_REQUEST, TOPIC, Cluster, async_advance, run_scenario

_PROPAGATION_SECONDS = 0.2


def test_crashes_seen_by_different_gateways_are_added_up() -> None:
    """Three gateways see one crash each. All of them must hold the request."""

    async def scenario(cluster: Cluster) -> None:
        first, second, third = cluster.nodes
        await first.async_crash("a")
        await second.async_crash("b")
        await third.async_crash("c")
        await async_advance(_PROPAGATION_SECONDS)
        assert all(node.is_held() for node in cluster.nodes)
        assert not any(node.is_held(OTHER_REQUEST) for node in cluster.nodes)

    run_scenario(scenario, gateways=3)


def test_crash_of_one_upstream_seen_by_two_gateways_counts_once() -> None:
    """Both gateways ran the request on the same two upstreams when these crashed.

    Two crashes are not enough to hold a request.
    """

    async def scenario(cluster: Cluster) -> None:
        for node in cluster.nodes:
            await node.async_crash("a", "b")
        await async_advance(_PROPAGATION_SECONDS)
        assert not any(node.is_held() for node in cluster.nodes)

    run_scenario(scenario)


def test_reset_connection_is_not_counted_as_a_crash() -> None:
    """The upstreams still accept connections, so the request must not be suspected."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        node.listening |= {"a", "b", "c", "d"}
        await node.async_crash("a", "b", "c", "d")
        assert not node.quarantine.has_suspects
        assert node.metrics.value("cranberryline_broken_runs_total", outcome="listens") == 4

    run_scenario(scenario, gateways=1)


def test_planned_shutdown_of_an_upstream_is_not_counted_as_a_crash() -> None:
    """A draining or unregistered upstream ends while requests still run on it."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        node.leaving |= {"a", "b", "c"}
        await node.async_crash("a", "b", "c")
        assert not node.quarantine.has_suspects

    run_scenario(scenario, gateways=1)


def test_gateway_that_starts_later_holds_the_same_requests() -> None:
    """A new gateway must apply the crashes from its initial read of the store."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.nodes[0].async_crash("a", "b", "c")
        await async_advance(5)
        assert (await cluster.async_add()).is_held()

    run_scenario(scenario)


@pytest.mark.parametrize("fault", ["silent", "refusing"])
def test_crashes_during_a_store_outage_are_held_locally_and_published_later(fault: str) -> None:
    """A gateway loses the store while upstreams crash.

    It must hold the request itself, and the others must hold it once the store is back.
    """

    async def scenario(cluster: Cluster) -> None:
        isolated, other = cluster.nodes
        if fault == "silent":
            isolated.link.silent = True
        else:
            isolated.link.refusing = lambda _topic, _part: True
        await isolated.async_crash("a", "b", "c")
        await async_advance(8)
        assert isolated.is_held() and not other.is_held()
        isolated.link.silent, isolated.link.refusing = False, lambda _topic, _part: False
        await async_advance(3)
        assert other.is_held()

    run_scenario(scenario)


def test_gateway_catches_up_after_it_lost_the_store() -> None:
    """Another gateway holds a request while this one cannot reach the store.

    It must hold the request within three seconds of its return, the limit set by the platform.
    """

    async def scenario(cluster: Cluster) -> None:
        isolated, other = cluster.nodes
        isolated.link.silent = True
        await async_advance(3)
        await other.async_crash("a", "b", "c")
        await async_advance(3)
        isolated.link.silent = False
        await async_advance(3)
        assert isolated.is_held()

    run_scenario(scenario)


def test_append_that_is_retried_and_takes_effect_twice_counts_once() -> None:
    """An append gets no response and is retried; 2 s later the first one takes effect too."""

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        first.link.lost, first.link.late = 1, timedelta(seconds=2)
        await first.async_crash("a")
        await async_advance(5)
        assert cluster.stored_keys() == {f"{CRASHING_REQUEST}/a"}
        await second.async_crash("b")
        await async_advance(_PROPAGATION_SECONDS)
        assert not second.is_held()

    run_scenario(scenario)


def test_response_clears_a_request_at_every_gateway() -> None:
    """A run that had started before the request was held gets its response."""

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        await first.async_crash("a", "b", "c")
        await async_advance(_PROPAGATION_SECONDS)
        second.quarantine.record_answer(CRASHING_REQUEST)
        await async_advance(_PROPAGATION_SECONDS)
        assert not any(node.quarantine.has_suspects for node in cluster.nodes)
        assert cluster.stored_keys() == set()

    run_scenario(scenario)


def test_frequent_request_is_not_held_when_its_upstreams_are_killed_together() -> None:
    """A request runs on several upstreams that are killed at once.

    It was answered 10 s before, at one of the two gateways, so it did not cause the crashes.
    """

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        first.quarantine.record_answer(OTHER_REQUEST)
        await async_advance(10)
        await second.async_crash("a", "b", "c", "d", request=OTHER_REQUEST)
        await first.async_crash("a", "b", "c", "d", request=OTHER_REQUEST)
        await async_advance(_PROPAGATION_SECONDS)
        assert not any(node.is_held(OTHER_REQUEST) for node in cluster.nodes)
        assert cluster.stored_keys() == set()

    run_scenario(scenario)


def test_trial_is_claimed_by_one_gateway_only() -> None:
    """Four gateways have the request when its trial is due, and each tries to claim it twice."""

    async def scenario(cluster: Cluster) -> None:
        await cluster.nodes[0].async_crash("a", "b", "c")
        await async_advance(1)
        assert not await cluster.nodes[0].quarantine.async_claim_trial(CRASHING_REQUEST)
        await async_advance(FIRST_TRIAL_DELAY.total_seconds())
        claimed = [
            await node.quarantine.async_claim_trial(CRASHING_REQUEST) for node in cluster.nodes * 2
        ]
        assert sum(claimed) == 1
        await async_advance(_PROPAGATION_SECONDS)
        for node in cluster.nodes:
            held = node.quarantine.held(CRASHING_REQUEST)
            assert held is not None and held.retry_after > FIRST_TRIAL_DELAY

    run_scenario(scenario, gateways=4)


def test_trial_is_claimed_if_its_record_is_read_before_the_append_returns() -> None:
    """The gateway's own tail reads the trial record first, which must not make the claim fail."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        await node.async_crash("a", "b", "c")
        await async_advance(FIRST_TRIAL_DELAY.total_seconds() + 1)
        append = node.link.async_append

        async def async_append_slowly(*args: Any, **kwargs: Any) -> Any:
            appended = await append(*args, **kwargs)
            await async_advance(0.1)
            return appended

        node.link.async_append = async_append_slowly  # type: ignore[method-assign]
        assert await node.quarantine.async_claim_trial(CRASHING_REQUEST)
        assert not await node.quarantine.async_claim_trial(CRASHING_REQUEST)

    run_scenario(scenario, gateways=1)


def test_gateway_that_starts_later_counts_earlier_trials() -> None:
    """The initial read returns records by key, so a trial may come before its crashes."""

    async def scenario(cluster: Cluster) -> None:
        first = cluster.nodes[0]
        await first.async_crash("a", "b", "c")
        await async_advance(FIRST_TRIAL_DELAY.total_seconds() + 1)
        assert await first.quarantine.async_claim_trial(CRASHING_REQUEST)
        await async_advance(_PROPAGATION_SECONDS)
        held = (await cluster.async_add()).quarantine.held(CRASHING_REQUEST)
        assert held is not None and held.retry_after > 2 * FIRST_TRIAL_DELAY

    run_scenario(scenario)


def test_no_trial_is_claimed_without_the_store() -> None:
    """Otherwise each gateway that cannot reach the store would run the request once."""

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        await first.async_crash("a", "b", "c")
        await async_advance(_PROPAGATION_SECONDS)
        second.link.silent = True
        await async_advance(2 * FIRST_TRIAL_DELAY.total_seconds())
        assert not await second.quarantine.async_claim_trial(CRASHING_REQUEST)

    run_scenario(scenario)


def test_held_request_reports_the_time_until_its_trial() -> None:
    """The retry delay given to callers must count down to the trial: 15 s are left after 5 s."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        await node.async_crash("a", "b", "c")
        await async_advance(5)
        held = node.quarantine.held(CRASHING_REQUEST)
        assert held is not None and held.crashes == 3
        assert 14 < held.retry_after.total_seconds() <= 15

    run_scenario(scenario, gateways=1)


def test_release_by_an_operator_applies_to_every_gateway() -> None:
    """A release at one gateway must reach the others. An unknown request must return None."""

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        await second.async_crash("a", "b", "c")
        await async_advance(_PROPAGATION_SECONDS)
        (row,) = first.quarantine.suspected_requests()
        assert (row.fingerprint, row.upstreams, row.record.request_id) == (
            CRASHING_REQUEST,
            ("a", "b", "c"),
            "id-c",
        )
        assert row.trial_in is not None
        assert await first.quarantine.async_release(CRASHING_REQUEST)
        assert await first.quarantine.async_release(OTHER_REQUEST) is None
        await async_advance(_PROPAGATION_SECONDS)
        assert not second.quarantine.has_suspects

    run_scenario(scenario)


def test_release_without_the_store_is_reported_and_published_later() -> None:
    """The store refuses appends during a release.

    The release applies to this gateway at once, and to the others when the store is back.
    """

    async def scenario(cluster: Cluster) -> None:
        first, second = cluster.nodes
        await first.async_crash("a", "b", "c")
        await async_advance(_PROPAGATION_SECONDS)
        first.link.refusing = lambda _topic, _part: True
        assert await first.quarantine.async_release(CRASHING_REQUEST) is False
        assert not first.is_held() and second.is_held()
        first.link.refusing = lambda _topic, _part: False
        await async_advance(1)
        assert not second.is_held()

    run_scenario(scenario)


def test_expired_crashes_are_deleted_from_the_store() -> None:
    """One of the live gateways must delete them, even if the gateway that wrote them has ended."""

    async def scenario(cluster: Cluster) -> None:
        first, second, _ = cluster.nodes
        await first.async_crash("a")
        await second.async_crash("b", "c", "d", request=OTHER_REQUEST)
        await async_advance(1)
        cluster.live.discard(first.name)
        await async_advance(CRASH_TTL.total_seconds() + 40)
        assert cluster.stored_keys() == {f"{OTHER_REQUEST}/{upstream}" for upstream in "bcd"}
        await async_advance(HELD_CRASH_TTL.total_seconds())
        assert cluster.stored_keys() == set()
        assert not any(node.quarantine.has_suspects for node in cluster.nodes)

    run_scenario(scenario, gateways=3)


def test_invalid_records_are_counted_and_ignored() -> None:
    """Another writer appends invalid keys and values. Later records must still be applied."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        link, crash = StoreLink(cluster.store), CrashRecord("n9", 0.0)
        for key, value in (
            ("nothing", b"x"),
            (f"{CRASHING_REQUEST}/a", b"\xc1"),
            (f"{CRASHING_REQUEST}/", msgspec.msgpack.encode(crash)),
            (f"{CRASHING_REQUEST}/b", msgspec.msgpack.encode(["trial", "n9", 1.0, 7])),
            (f"{CRASHING_REQUEST}/c", msgspec.msgpack.encode(["crash", "n9", "soon"])),
        ):
            link.put(TOPIC, key, value)
        await async_advance(_PROPAGATION_SECONDS)
        assert not node.quarantine.has_suspects
        drops = "cranberryline_drops_total"
        assert node.metrics.value(drops, reason="quarantine_key_unreadable") == 1
        assert node.metrics.value(drops, reason="quarantine_unreadable") == 4
        await node.async_crash("a", "b", "c")
        assert node.is_held()

    run_scenario(scenario, gateways=1)


def test_stored_details_stay_bounded_when_many_requests_are_suspected() -> None:
    """More requests than the limit are suspected; details of evicted requests must be discarded."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        for number in range(MAX_TRACKED_REQUESTS + 200):
            record = CrashRecord("n9", node.clock.now().timestamp())
            value = msgspec.msgpack.encode(record)
            StoreLink(cluster.store).put(TOPIC, f"{number:032x}/u{number}", value)
        await async_advance(1)
        assert len(node.quarantine.suspected_requests()) == MAX_TRACKED_REQUESTS
        assert len(node.quarantine._latest_crashes) == MAX_TRACKED_REQUESTS

    run_scenario(scenario, gateways=1)


def test_metrics_count_crashes_and_held_requests() -> None:
    """Attributed crashes and changes of held requests are counted, and the gauge follows."""

    async def scenario(cluster: Cluster) -> None:
        (node,) = cluster.nodes
        value = node.metrics.value
        await node.async_crash("a", "b", "c")
        assert value("cranberryline_requests_held") == 1
        assert value("cranberryline_broken_runs_total", outcome="blamed") == 3
        assert value("cranberryline_request_holds_total", change="held") == 1
        node.quarantine.record_answer(CRASHING_REQUEST)
        assert value("cranberryline_requests_held") == 0
        assert value("cranberryline_request_holds_total", change="answered") == 1

    run_scenario(scenario, gateways=1)


def test_fingerprints_of_different_requests_differ() -> None:
    """Requests that differ in one field, or whose concatenated fields are equal, must differ."""
    requests = [
        ("h", "", "GET", "/x", b""),
        ("h", "", "POST", "/x", b""),
        ("h", "", "GET", "/x?a=1", b""),
        ("h", "key", "GET", "/x", b""),
        ("h", "", "GET", "/", b"x"),
        ("hG", "", "ET", "/x", b""),
        ("other", "", "GET", "/x", b""),
    ]
    assert len({fingerprint(*each) for each in requests}) == len(requests)
    assert fingerprint(*requests[0]) == fingerprint("h", "", "GET", "/x", b"")
