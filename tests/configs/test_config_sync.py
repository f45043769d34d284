"""Configuration on every process within 4 s: relay, tailers' deaths, outages, starters."""

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
    """Return the entries as the tailers' ranking has them."""
    return rendezvous.rank("config-tailers", ENTRIES)


async def async_start(log: FakeLog) -> Cluster:
    """Start a cluster and wait until all know a first record."""
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
    """Return a publisher at an entry."""
    return ConfigPublisher(cluster.log, cluster.nodes[name].sync, LoopClock())


def test_accepted_is_everywhere_well_within_the_bound() -> None:
    """An operator publishes at an entry that does not tail; all have it in a fraction of 4 s."""

    async def async_case() -> float:
        cluster = await async_start(FakeLog())
        answer = await publisher(cluster, ranked()[5]).async_publish(weights_data(7), "p1")
        assert isinstance(answer, Ok)
        took = await cluster.async_until_all_have(answer.ok_value.revision.offset, BOUND)
        cluster.check_agreement()
        cluster.close()
        return took

    assert run_virtual(async_case()) < 0.1


def test_only_the_first_few_read_the_log() -> None:
    """Entries that hear signs of life leave the log alone: 3 tailers, 5 s a poll."""

    async def async_case() -> int:
        log = FakeLog()
        cluster = await async_start(log)
        before = log.reads
        await asyncio.sleep(60)
        cluster.close()
        return log.reads - before

    assert run_virtual(async_case()) <= 3 * 60 / 5 + 3


@pytest.mark.parametrize("victims", [1, 2, 3])
def test_record_arrives_though_tailers_die(victims: int) -> None:
    """Another tool appends a record just after tailers were killed.

    What is seen: every live process has it within 4 s. The dead stay in the VM list, so the
    ranking still counts on them; with all three dead nobody reads until the others have heard
    no sign for 2.5 s and tail the log themselves.
    """

    async def async_case() -> None:
        cluster = await async_start(FakeLog())
        for name in ranked()[:victims]:
            cluster.kill(name)
        offset = await cluster.log.async_put(weights_data(7))
        await cluster.async_until_all_have(offset, BOUND)
        cluster.check_agreement()
        cluster.close()

    run_virtual(async_case())


def test_record_arrives_though_the_log_fails_right_after_acceptance() -> None:
    """An operator is told "accepted", and the log goes out in the same instant, for good.

    What is seen: the record is in force on every process within 4 s, also after the entry that
    took it is killed at once. It told its peers before it told the operator.
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


class LogThatFailsWithAnAppend(FakeLog):
    """A log that takes one more append and answers it, and nothing after that."""

    failing = False

    async def async_append(
        self, stream: str, records: list[tuple[str, dict[str, Any]]]
    ) -> Result[list[int], PlatformError]:
        """Append, and be out before any reader is woken."""
        self.in_outage = self.failing
        return Ok([self.put(data, record_id) for record_id, data in records])


def test_accepted_record_survives_the_log_and_the_entry_that_took_it() -> None:
    """The log fails in the instant of the append, and the entry dies right after "accepted".

    What is seen: all others have the record within 4 s, though none of them could read it. The
    entry answers the operator only after peers have acknowledged the record.
    """

    async def async_case() -> None:
        log = LogThatFailsWithAnAppend()
        cluster = await async_start(log)
        log.failing = True
        answer = await publisher(cluster, ranked()[0]).async_publish(weights_data(7), "p1")
        cluster.kill(ranked()[0])
        assert isinstance(answer, Ok)
        assert log.in_outage
        await cluster.async_until_all_have(answer.ok_value.revision.offset, BOUND)
        cluster.close()

    run_virtual(async_case())


def test_record_of_another_tool_is_everywhere_at_once() -> None:
    """A record that did not come through an entry is read by the tailers and pushed at once."""

    async def async_case() -> float:
        cluster = await async_start(FakeLog())
        offset = await cluster.log.async_put(weights_data(7))
        took = await cluster.async_until_all_have(offset, BOUND)
        cluster.close()
        return took

    assert run_virtual(async_case()) < 0.1


def test_push_that_was_lost_is_sent_again() -> None:
    """The only entry's push to a side process is lost, and nothing else happens after it.

    What is seen: the side process has the record a few seconds later. A push that is not
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


def test_entry_that_has_read_half_the_log_makes_nobody_current() -> None:
    """A side process meets an entry that has read 500 of 600 records of a slow log.

    What is seen: it is current only with all 600. Current with 500, it could order weights that
    are long replaced.
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


def test_starters_in_an_outage_take_the_fold_from_peers() -> None:
    """The log is out; an entry and a side process start.

    What is seen: both are current within 4 s, at the offset that the others have. They ask every
    peer, and one that has the fold answers with its records or a snapshot.
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


def test_entries_replaced_in_an_outage_take_the_fold_from_side_processes() -> None:
    """All entries are replaced while the log is out, so only side processes have the records.

    What is seen: the new entries are current, at the old offset. A side process answers a request
    for records as an entry does.
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


def test_nobody_is_current_when_all_start_in_an_outage() -> None:
    """All processes start while the log is out.

    What is seen: none claims to know the configuration, and all do once the log is back. An entry
    that knows nothing must not tell another that there is nothing newer.
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


def test_record_arrives_over_a_network_that_loses_and_repeats() -> None:
    """A third of all messages between processes is lost and a third comes twice, out of order.

    What is seen: each record is everywhere within 4 s. What is not acknowledged is sent again.
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


def test_tailer_whose_log_connection_went_silent_gives_no_signs() -> None:
    """The only tailer's connection to the log stays open and carries nothing more.

    What is seen: the others read the log themselves once it has given no sign for long enough.
    If it gave signs all the same, the others would wait for records that it never gets.
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
        # Longer than 4 s: three connections went silent at once, and a poll has to be overdue.
        took = await cluster.async_until_all_have(offset, 14.0)
        cluster.close()
        return took

    assert run_virtual(async_case()) > 0


def test_paused_entry_catches_up_and_never_goes_back() -> None:
    """An entry misses many records, as after a pause, and gets old deltas late.

    What is seen: it has all of them in the end, and its offset never went down.
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


def test_records_that_are_not_ours_hold_nothing_up() -> None:
    """A tool appends what no message can carry, between good records.

    What is seen: the good ones are in force on every process within 4 s, and what was refused is
    counted by reason.
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
