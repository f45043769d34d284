"""What gateways know together of requests that crash upstreams: told, lost, late, cleared, released."""

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

from .conftest import BESIDE, POISON, TOPIC, Fleet, async_pause, play

_SOON = 0.2


def test_crashes_at_several_gateways_add_up_at_all_of_them() -> None:
    """Each gateway has seen one or two crashes; together there are three."""

    async def scene(fleet: Fleet) -> None:
        first, second, third = fleet.nodes
        await first.async_crash("a")
        await second.async_crash("b")
        await third.async_crash("c")
        await async_pause(_SOON)
        assert all(node.holds() for node in fleet.nodes)
        assert not any(node.holds(BESIDE) for node in fleet.nodes)

    play(scene, gateways=3)


def test_two_gateways_that_tell_of_one_upstream_count_it_once() -> None:
    """Both had the request there when it crashed, and a third crash is still to come."""

    async def scene(fleet: Fleet) -> None:
        for node in fleet.nodes:
            await node.async_crash("a", "b")
        await async_pause(_SOON)
        assert not any(node.holds() for node in fleet.nodes)

    play(scene)


def test_a_connection_that_was_reset_is_no_crash() -> None:
    """The process behind it listens still: the request is run on."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        node.listening |= {"a", "b", "c", "d"}
        await node.async_crash("a", "b", "c", "d")
        assert not node.quarantine.suspecting
        assert node.metrics.value("cranberryline_broken_runs_total", outcome="listens") == 4

    play(scene, gateways=1)


def test_an_upstream_that_is_taken_away_is_no_crash() -> None:
    """It drains or has left its list, and ends under what still runs there."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        node.leaving |= {"a", "b", "c"}
        await node.async_crash("a", "b", "c")
        assert not node.quarantine.suspecting

    play(scene, gateways=1)


def test_a_gateway_that_starts_later_holds_what_the_others_hold() -> None:
    """It reads the crashes with its first read, before it has seen one."""

    async def scene(fleet: Fleet) -> None:
        await fleet.nodes[0].async_crash("a", "b", "c")
        await async_pause(5)
        assert (await fleet.async_add()).holds()

    play(scene)


@pytest.mark.parametrize("fault", ["silent", "refusing"])
def test_a_gateway_without_the_store_holds_what_it_saw_and_tells_it_afterwards(fault: str) -> None:
    """It is cut off while upstreams crash, and no crash is lost by that."""

    async def scene(fleet: Fleet) -> None:
        cut, other = fleet.nodes
        if fault == "silent":
            cut.link.silent = True
        else:
            cut.link.refusing = lambda _topic, _part: True
        await cut.async_crash("a", "b", "c")
        await async_pause(8)
        assert cut.holds() and not other.holds()
        cut.link.silent, cut.link.refusing = False, lambda _topic, _part: False
        await async_pause(3)
        assert other.holds()

    play(scene)


def test_a_gateway_that_returns_from_a_cut_hears_what_it_missed() -> None:
    """The others held a request meanwhile; it does so within the platform's bound of three seconds."""

    async def scene(fleet: Fleet) -> None:
        cut, other = fleet.nodes
        cut.link.silent = True
        await async_pause(3)
        await other.async_crash("a", "b", "c")
        await async_pause(3)
        cut.link.silent = False
        await async_pause(3)
        assert cut.holds()

    play(scene)


def test_an_append_without_an_answer_that_takes_effect_late_is_counted_once() -> None:
    """It is appended again, and the first one stands seconds later, too."""

    async def scene(fleet: Fleet) -> None:
        first, second = fleet.nodes
        first.link.lost, first.link.late = 1, timedelta(seconds=2)
        await first.async_crash("a")
        await async_pause(5)
        assert fleet.kept() == {f"{POISON}/a"}
        await second.async_crash("b")
        await async_pause(_SOON)
        assert not second.holds()

    play(scene)


def test_an_answer_clears_a_request_at_every_gateway() -> None:
    """A run that was under way when the request was held comes to its answer."""

    async def scene(fleet: Fleet) -> None:
        first, second = fleet.nodes
        await first.async_crash("a", "b", "c")
        await async_pause(_SOON)
        second.quarantine.answered(POISON)
        await async_pause(_SOON)
        assert not any(node.quarantine.suspecting for node in fleet.nodes)
        assert fleet.kept() == set()

    play(scene)


def test_a_popular_request_is_not_held_for_upstreams_that_are_killed_together() -> None:
    """It runs at all of them at once, and was answered a moment ago, at this gateway or at another."""

    async def scene(fleet: Fleet) -> None:
        first, second = fleet.nodes
        first.quarantine.answered(BESIDE)
        await async_pause(10)
        await second.async_crash("a", "b", "c", "d", request=BESIDE)
        await first.async_crash("a", "b", "c", "d", request=BESIDE)
        await async_pause(_SOON)
        assert not any(node.holds(BESIDE) for node in fleet.nodes)
        assert fleet.kept() == set()

    play(scene)


def test_a_trial_goes_to_one_gateway() -> None:
    """All have the request at the moment in which its trial is due; one may run it."""

    async def scene(fleet: Fleet) -> None:
        await fleet.nodes[0].async_crash("a", "b", "c")
        await async_pause(1)
        assert not await fleet.nodes[0].quarantine.async_try(POISON)
        await async_pause(FIRST_TRIAL_DELAY.total_seconds())
        tried = [await node.quarantine.async_try(POISON) for node in fleet.nodes * 2]
        assert sum(tried) == 1
        await async_pause(_SOON)
        for node in fleet.nodes:
            held = node.quarantine.held(POISON)
            assert held is not None and held.retry_after > FIRST_TRIAL_DELAY

    play(scene, gateways=4)


def test_a_trial_is_taken_though_its_record_is_read_before_its_append_is_answered() -> None:
    """The store wakes this gateway's own reader first; the trial is not given away for that."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        await node.async_crash("a", "b", "c")
        await async_pause(FIRST_TRIAL_DELAY.total_seconds() + 1)
        append = node.link.async_append

        async def async_slowly_answered(*args: Any, **more: Any) -> Any:
            taken = await append(*args, **more)
            await async_pause(0.1)
            return taken

        node.link.async_append = async_slowly_answered  # type: ignore[method-assign]
        assert await node.quarantine.async_try(POISON)
        assert not await node.quarantine.async_try(POISON)

    play(scene, gateways=1)


def test_a_gateway_that_starts_later_knows_of_trials() -> None:
    """What stands in the store is read by key, a trial before the crashes that it belongs to."""

    async def scene(fleet: Fleet) -> None:
        first = fleet.nodes[0]
        await first.async_crash("a", "b", "c")
        await async_pause(FIRST_TRIAL_DELAY.total_seconds() + 1)
        assert await first.quarantine.async_try(POISON)
        await async_pause(_SOON)
        late = (await fleet.async_add()).quarantine.held(POISON)
        assert late is not None and late.retry_after > 2 * FIRST_TRIAL_DELAY

    play(scene)


def test_without_the_store_there_is_no_trial() -> None:
    """Each gateway that is cut off would run the request once."""

    async def scene(fleet: Fleet) -> None:
        first, second = fleet.nodes
        await first.async_crash("a", "b", "c")
        await async_pause(_SOON)
        second.link.silent = True
        await async_pause(2 * FIRST_TRIAL_DELAY.total_seconds())
        assert not await second.quarantine.async_try(POISON)

    play(scene)


def test_a_held_request_tells_when_its_trial_is_due() -> None:
    """What a caller is told as time to come back goes down to it."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        await node.async_crash("a", "b", "c")
        await async_pause(5)
        held = node.quarantine.held(POISON)
        assert held is not None and held.crashes == 3
        assert 14 < held.retry_after.total_seconds() <= 15

    play(scene, gateways=1)


def test_an_operator_releases_a_request_everywhere() -> None:
    """The first gateway was asked; the others run it again, too, and a request that nobody knows is told as such."""

    async def scene(fleet: Fleet) -> None:
        first, second = fleet.nodes
        await second.async_crash("a", "b", "c")
        await async_pause(_SOON)
        (row,) = first.quarantine.suspected()
        assert (row.fingerprint, row.upstreams, row.record.request_id) == (
            POISON,
            ("a", "b", "c"),
            "id-c",
        )
        assert row.trial_in is not None
        assert await first.quarantine.async_release(POISON)
        assert await first.quarantine.async_release(BESIDE) is None
        await async_pause(_SOON)
        assert not second.quarantine.suspecting

    play(scene)


def test_a_release_that_the_store_does_not_have_yet_is_told_so() -> None:
    """It holds at this gateway, and goes to the others when the store is back."""

    async def scene(fleet: Fleet) -> None:
        first, second = fleet.nodes
        await first.async_crash("a", "b", "c")
        await async_pause(_SOON)
        first.link.refusing = lambda _topic, _part: True
        assert await first.quarantine.async_release(POISON) is False
        assert not first.holds() and second.holds()
        first.link.refusing = lambda _topic, _part: False
        await async_pause(1)
        assert not second.holds()

    play(scene)


def test_what_is_too_old_goes_from_the_store_as_well() -> None:
    """One of the gateways deletes it, also where the one that wrote it is gone."""

    async def scene(fleet: Fleet) -> None:
        first, second, _ = fleet.nodes
        await first.async_crash("a")
        await second.async_crash("b", "c", "d", request=BESIDE)
        await async_pause(1)
        fleet.live.discard(first.name)
        await async_pause(CRASH_TTL.total_seconds() + 40)
        assert fleet.kept() == {f"{BESIDE}/{upstream}" for upstream in "bcd"}
        await async_pause(HELD_CRASH_TTL.total_seconds())
        assert fleet.kept() == set()
        assert not any(node.quarantine.suspecting for node in fleet.nodes)

    play(scene, gateways=3)


def test_records_of_other_writers_change_nothing() -> None:
    """Keys and values that are none of ours are counted, and what follows them is taken."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        link, crash = StoreLink(fleet.store), CrashRecord("n9", 0.0)
        for key, value in (
            ("nothing", b"x"),
            (f"{POISON}/a", b"\xc1"),
            (f"{POISON}/", msgspec.msgpack.encode(crash)),
            (f"{POISON}/b", msgspec.msgpack.encode(["trial", "n9", 1.0, 7])),
            (f"{POISON}/c", msgspec.msgpack.encode(["crash", "n9", "soon"])),
        ):
            link.put(TOPIC, key, value)
        await async_pause(_SOON)
        assert not node.quarantine.suspecting
        drops = "cranberryline_drops_total"
        assert node.metrics.value(drops, reason="quarantine_key_unreadable") == 1
        assert node.metrics.value(drops, reason="quarantine_unreadable") == 4
        await node.async_crash("a", "b", "c")
        assert node.holds()

    play(scene, gateways=1)


def test_a_storm_of_crashes_leaves_a_bounded_record() -> None:
    """Thousands of requests run at upstreams that crash: what is told of them goes with what is counted."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        for number in range(MAX_TRACKED_REQUESTS + 200):
            record = CrashRecord("n9", node.clock.now().timestamp())
            value = msgspec.msgpack.encode(record)
            StoreLink(fleet.store).put(TOPIC, f"{number:032x}/u{number}", value)
        await async_pause(1)
        assert len(node.quarantine.suspected()) == MAX_TRACKED_REQUESTS
        assert len(node.quarantine._records) == MAX_TRACKED_REQUESTS

    play(scene, gateways=1)


def test_counters_tell_what_is_held_and_why() -> None:
    """Looks, holds and their changes are counted; the gauge follows."""

    async def scene(fleet: Fleet) -> None:
        (node,) = fleet.nodes
        value = node.metrics.value
        await node.async_crash("a", "b", "c")
        assert value("cranberryline_requests_held") == 1
        assert value("cranberryline_broken_runs_total", outcome="blamed") == 3
        assert value("cranberryline_request_holds_total", change="held") == 1
        node.quarantine.answered(POISON)
        assert value("cranberryline_requests_held") == 0
        assert value("cranberryline_request_holds_total", change="answered") == 1

    play(scene, gateways=1)


def test_a_fingerprint_tells_callers_methods_paths_and_bodies_apart() -> None:
    """Fields that read alike side by side are not taken for each other; the same request is the same everywhere."""
    asked = [
        ("h", "", "GET", "/x", b""),
        ("h", "", "POST", "/x", b""),
        ("h", "", "GET", "/x?a=1", b""),
        ("h", "key", "GET", "/x", b""),
        ("h", "", "GET", "/", b"x"),
        ("hG", "", "ET", "/x", b""),
        ("other", "", "GET", "/x", b""),
    ]
    assert len({fingerprint(*each) for each in asked}) == len(asked)
    assert fingerprint(*asked[0]) == fingerprint("h", "", "GET", "/x", b"")
