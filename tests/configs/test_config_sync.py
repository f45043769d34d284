"""Tests that records reach every process within 4 s despite failures and outages.

A tailer is an entry that reads the log; the other processes get the records from peers.
"""

import asyncio
from typing import Any

import pytest
from result import Ok, Result

from cranberryline.configs.publish import ConfigPublisher
from cranberryline.decisions import rendezvous
from cranberryline.ports.errors import PlatformError
from tests.configs.config_fakes import Cluster, FakeLog, SilentLog, service_data, weights_data
from tests.virtual_time import LoopClock, run_virtual

ENTRIES = [f"entry-{number}" for number in range(6)]
SIDES = [f"side-{number}" for number in range(4)]
BOUND = 4.0


def ranked() -> list[str]:
    """Return the entries in the order of the tailer ranking."""
    return rendezvous.rank("config-tailers", ENTRIES)


async def async_start(log: FakeLog) -> Cluster:
    """Start a cluster and wait until all processes have a first record."""
    cluster = Cluster(log)
    log.put(service_data())
    for name in ENTRIES:
        cluster.add_entry(name)
    for name in SIDES:
        cluster.add_side(name)
    await cluster.async_until_all_have(1, 2.0)
    await asyncio.sleep(3)
    return cluster


def publisher(cluster: Cluster, name: str) -> ConfigPublisher:
    """Return a publisher on an entry."""
    return ConfigPublisher(cluster.log, cluster.nodes[name].sync, LoopClock())


def test_accepted_record_reaches_all_processes_within_the_bound() -> None:
    """An operator publishes at an entry that does not read the log.

    All processes must have the record in a fraction of 4 s.
    """

    async def async_case() -> float:
        cluster = await async_start(FakeLog())
        answer = await publisher(cluster, ranked()[5]).async_publish(weights_data(7), "p1")
        assert isinstance(answer, Ok)
        took = await cluster.async_until_all_have(answer.ok_value.revision.offset, BOUND)
        cluster.check_agreement()
        cluster.close()
        return took

    assert run_virtual(async_case()) < 0.1


def test_only_tailers_read_the_log() -> None:
    """Entries that receive heartbeats do not read the log: 3 tailers, 5 s per poll."""

    async def async_case() -> int:
        log = FakeLog()
        cluster = await async_start(log)
        before = log.reads
        await asyncio.sleep(60)
        cluster.close()
        return log.reads - before

    assert run_virtual(async_case()) <= 3 * 60 / 5 + 3


@pytest.mark.parametrize("killed_tailers", [1, 2, 3])
def test_record_arrives_if_tailers_are_killed(killed_tailers: int) -> None:
    """Another tool appends a record just after tailers were killed.

    Every live process must have it within 4 s. The killed entries stay in the VM list, so the
    ranking still includes them. With all three killed, no process reads the log until the others
    have received no heartbeat for 2.5 s and read the log themselves.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        for name in ranked()[:killed_tailers]:
            cluster.kill(name)
        offset = await cluster.log.async_put(weights_data(7))
        await cluster.async_until_all_have(offset, BOUND)
        cluster.check_agreement()
        cluster.close()

    run_virtual(async_case())


def test_record_arrives_if_log_fails_right_after_acceptance() -> None:
    """The log fails permanently right after an operator gets "accepted".

    The record must be in force on every process within 4 s, even if the entry that accepted it is
    killed at once, since that entry pushes the record to its peers before it responds.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        name = ranked()[4]
        answer = await publisher(cluster, name).async_publish(weights_data(7), "p1")
        assert isinstance(answer, Ok)
        assert answer.ok_value.confirmed_by >= 2
        cluster.log.in_outage = True
        cluster.kill(name)
        await cluster.async_until_all_have(answer.ok_value.revision.offset, BOUND)
        cluster.check_agreement()
        cluster.close()

    run_virtual(async_case())


class LogFailingAfterAppend(FakeLog):
    """A log that completes one append and becomes unavailable."""

    failing = False

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append the records, and become unavailable before any reader is notified."""
        self.in_outage = self.failing
        return Ok([self.put(data, record_id) for record_id, data in records])


def test_accepted_record_survives_failure_of_log_and_entry() -> None:
    """The log fails during the append, and the entry is killed right after "accepted".

    All others must have the record within 4 s, although none could read it from the log. The entry
    responds to the operator only after peers have acknowledged the record.
    """

    async def async_case() -> None:
        log = LogFailingAfterAppend()
        cluster = await async_start(log)
        log.failing = True
        answer = await publisher(cluster, ranked()[0]).async_publish(weights_data(7), "p1")
        cluster.kill(ranked()[0])
        assert isinstance(answer, Ok)
        assert log.in_outage
        await cluster.async_until_all_have(answer.ok_value.revision.offset, BOUND)
        cluster.close()

    run_virtual(async_case())


def test_record_of_another_tool_reaches_all_processes_at_once() -> None:
    """A record that was not published through an entry is read by tailers and pushed at once."""

    async def async_case() -> float:
        cluster = await async_start(FakeLog())
        offset = await cluster.log.async_put(weights_data(7))
        took = await cluster.async_until_all_have(offset, BOUND)
        cluster.close()
        return took

    assert run_virtual(async_case()) < 0.1


def test_lost_push_is_sent_again() -> None:
    """The push of the only entry to a side process is lost, and no other message follows.

    The side process must have the record a few seconds later, since a push that is not
    acknowledged is sent again.
    """

    async def async_case() -> None:
        log = FakeLog()
        log.put(service_data())
        cluster = Cluster(log)
        cluster.add_entry("entry-0")
        cluster.add_side("side-0")
        await cluster.async_until_all_have(1, 2.0)
        await asyncio.sleep(3)
        cluster.cut_connections = {frozenset(("entry-0", "side-0"))}
        offset = await log.async_put(weights_data(7))
        await asyncio.sleep(0.6)
        cluster.cut_connections = set()
        await cluster.async_until_all_have(offset, BOUND)
        await asyncio.sleep(30)
        before = cluster.messages
        await asyncio.sleep(30)
        assert cluster.messages == before
        cluster.close()

    run_virtual(async_case())


def test_entry_that_has_not_read_whole_log_makes_no_peer_current() -> None:
    """A side process connects to an entry that has read 500 of 600 records of a slow log.

    It must report itself as current only with all 600. If it were current with 500, it could load
    outdated weights.
    """

    async def async_case() -> int:
        log = FakeLog()
        amends = 0
        for version in range(1, 601):
            amends = log.put(weights_data(version, amends))
        log.latency = 1.0
        cluster = Cluster(log)
        cluster.add_entry("entry-0")
        side = cluster.add_side("side-0")
        await side.async_wait_current()
        offset = side.fold.offset
        cluster.close()
        return offset

    assert run_virtual(async_case()) == 600


def test_processes_started_during_log_outage_get_the_fold_from_peers() -> None:
    """An entry and a side process start while the log is unavailable.

    Both must be current within 4 s, at the offset of the others. They send a request to every
    peer, and a peer that has the fold responds with its records or a snapshot.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        offset = await cluster.log.async_put(weights_data(7))
        await cluster.async_until_all_have(offset, BOUND)
        cluster.log.in_outage = True
        entry = cluster.add_entry("entry-new")
        side = cluster.add_side("side-new")
        await cluster.async_until_all_have(offset, BOUND)
        assert entry.current
        assert side.current
        cluster.check_agreement()
        cluster.close()

    run_virtual(async_case())


def test_entries_replaced_during_log_outage_get_the_fold_from_side_processes() -> None:
    """All entries are replaced during a log outage, so only side processes have the records.

    The new entries must be current at the previous offset, since a side process answers a request
    for records in the same way as an entry.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        offset = await cluster.log.async_put(weights_data(7))
        await cluster.async_until_all_have(offset, BOUND)
        cluster.log.in_outage = True
        for name in ENTRIES:
            cluster.kill(name, listed=False)
        first, second = cluster.add_entry("entry-a"), cluster.add_entry("entry-b")
        await cluster.async_until_all_have(offset, BOUND)
        assert first.current
        assert second.current
        cluster.check_agreement()
        cluster.close()

    run_virtual(async_case())


def test_no_process_is_current_if_all_start_during_log_outage() -> None:
    """All processes start while the log is unavailable.

    None may report itself as current until the log recovers, and all must afterwards. An entry
    that has no records must not tell another that there are no newer records.
    """

    async def async_case() -> None:
        log = FakeLog()
        log.put(service_data())
        log.in_outage = True
        cluster = Cluster(log)
        syncs = [cluster.add_entry(name) for name in ENTRIES[:3]]
        syncs += [cluster.add_side(name) for name in SIDES[:2]]
        await asyncio.sleep(10)
        assert not any(sync.current for sync in syncs)
        log.in_outage = False
        await cluster.async_until_all_have(1, BOUND)
        async with asyncio.timeout(1.0):
            for sync in syncs:
                await sync.async_wait_current()
        cluster.close()

    run_virtual(async_case())


def test_record_arrives_despite_message_loss_and_duplication() -> None:
    """A third of all messages is lost, and a third is delivered twice and out of order.

    Each record must reach all processes within 4 s, since unacknowledged records are sent again.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        cluster.loss, cluster.repeat, cluster.max_delay = 0.33, 0.33, 0.05
        amends = 0
        for version in range(1, 11):
            amends = await cluster.log.async_put(weights_data(version, amends))
            await cluster.async_until_all_have(amends, BOUND)
            cluster.check_agreement()
        cluster.close()

    run_virtual(async_case())


def test_tailer_with_stalled_log_connection_sends_no_heartbeats() -> None:
    """The log connections of all tailers stay open but deliver no more data.

    The other entries must read the log themselves after enough time without a heartbeat. If the
    tailers still sent heartbeats, the others would wait for records that the tailers never get.
    """

    async def async_case() -> float:
        log = FakeLog()
        log.put(service_data())
        cluster = Cluster(log)
        cut = {name: SilentLog(log) for name in ENTRIES}
        for name in ENTRIES:
            cluster.add_entry(name, cut[name])
        await cluster.async_until_all_have(1, 2.0)
        await asyncio.sleep(3)
        for name in ranked()[:3]:
            cut[name].silent = True
        offset = await log.async_put(weights_data(7))
        # Longer than 4 s: three connections stall at once, and a poll must first be overdue.
        took = await cluster.async_until_all_have(offset, 14.0)
        cluster.close()
        return took

    assert run_virtual(async_case()) > 0


def test_paused_entry_catches_up_without_decreasing_offset() -> None:
    """An entry misses many records, as after a pause, and then receives a delayed old delta.

    It must catch up with all records, and its offset must not decrease.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        name = ranked()[5]
        others = [other for other in [*ENTRIES, *SIDES] if other != name]
        cluster.cut_connections = {frozenset((name, other)) for other in others}
        amends = 0
        for version in range(1, 6):
            amends = await cluster.log.async_put(weights_data(version, amends))
        old = cluster.nodes[others[0]].sync.relay.delta_since(1)
        cluster.cut_connections = set()
        await cluster.async_until_all_have(amends, BOUND)
        cluster.nodes[name].sync.on_message(others[0], old)
        cluster.check_agreement()
        assert cluster.nodes[name].sync.fold.offset == amends
        cluster.close()

    run_virtual(async_case())


def test_invalid_records_do_not_block_later_records() -> None:
    """A tool appends records that no message can encode, between valid records.

    The valid records must be in force on every process within 4 s, and the rejected records must
    be counted by reason.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        for data in ([], {"x": 10**30}, {"x": "\ud800"}, "king", {1: 2}):
            await cluster.log.async_put(data)
        offset = await cluster.log.async_put(weights_data(7))
        await cluster.async_until_all_have(offset, BOUND)
        cluster.check_agreement()
        metrics = cluster.metrics[ranked()[0]]
        assert metrics.value("cranberryline_drops_total", reason="config_malformed") == 5
        cluster.close()

    run_virtual(async_case())
