"""Checkpoints and retention: what a starter gets when the log has forgotten records in force."""

import asyncio
from datetime import UTC, datetime, timedelta
from typing import Any

import pytest

from cranberryline.configs import ConfigFold, RejectReason
from cranberryline.configs.checkpoint import CheckpointPolicy, checkpoint_record, find_start
from cranberryline.configs.model import Kind
from cranberryline.configs.schema import READERS
from cranberryline.ports.model import LogRecord
from tests.configs.config_fakes import Cluster, FakeLog, service_data, weights_data
from tests.virtual_time import run_virtual

NOW = datetime(2026, 1, 1, tzinfo=UTC)
POLICY = CheckpointPolicy(retention=timedelta(seconds=60), check=timedelta(seconds=1))


def record(offset: int, data: Any, time: datetime = NOW) -> LogRecord:
    """Return a log record."""
    return LogRecord(offset, time, f"id-{offset}", data)


def folded(records: list[LogRecord]) -> ConfigFold:
    """Return a fold of records from the first on."""
    fold = ConfigFold()
    for rec in records:
        fold.apply(rec)
    return fold


def test_checkpoint_that_crossed_with_an_amendment_changes_nothing() -> None:
    """A tailer takes its checkpoint at offset 1, and an amendment lands before it.

    What is seen: the amendment stays in force for a full fold, and for a starter that begins from
    the checkpoint. Records carried forward one by one would bring the older value back.
    """
    records = [record(1, weights_data(1))]
    data = checkpoint_record(folded(records), "entry-1")[1]
    records += [record(2, weights_data(2, 1)), record(3, data)]
    full = folded(records)
    start = find_start(records[1:], first=2)
    assert start is not None
    started = ConfigFold()
    started.install(start)
    for rec in records[1:]:
        started.apply(rec)
    assert started.snapshot() == full.snapshot()
    assert full.weights("samplers")[0].version == 2


def test_starter_needs_a_checkpoint_that_reaches_back_far_enough() -> None:
    """A checkpoint as of 1 is of no use once the log has forgotten record 2."""
    records = [record(1, weights_data(1))]
    data = checkpoint_record(folded(records), "entry-1")[1]
    records += [record(2, weights_data(2, 1)), record(3, data)]
    assert find_start(records[2:], first=3) is None


def test_damaged_checkpoint_is_not_started_from() -> None:
    """A checkpoint whose entries do not match its digest is refused, counted and passed."""
    fold = folded([record(1, weights_data(1))])
    data = checkpoint_record(fold, "entry-1")[1]
    data["snapshot"]["entries"][0]["spec"] = {"version": 5}
    assert find_start([record(2, data)], first=2) is None
    refused = fold.apply(record(2, data)).unwrap_err()
    assert refused.reason is RejectReason.MALFORMED


def test_checkpoint_of_another_fold_is_noticed() -> None:
    """A checkpoint that is whole but differs from this process's fold is counted."""
    other = folded([record(1, weights_data(9))])
    fold = folded([record(1, weights_data(1))])
    applied = fold.apply(record(2, checkpoint_record(other, "entry-1")[1])).unwrap()
    assert not applied.digest_matches
    assert fold.digest_mismatches == 1
    assert fold.weights("samplers")[0].version == 1


def test_policy_follows_the_logs_own_times() -> None:
    """Due at a quarter of the retention, when records pile up, and when the last one is too old."""
    fold = folded([record(1, weights_data(1))])
    policy = CheckpointPolicy(retention=timedelta(seconds=40), max_records=3)
    assert not policy.due(ConfigFold(), 1, NOW)
    assert not policy.due(fold, 1, NOW + timedelta(seconds=9))
    assert policy.due(fold, 1, NOW + timedelta(seconds=10))
    fold.apply(record(2, checkpoint_record(fold, "e")[1], NOW + timedelta(seconds=10)))
    assert not policy.due(fold, 1, NOW + timedelta(seconds=11))
    assert policy.due(fold, 3, NOW + timedelta(seconds=11))
    for offset in (3, 4, 5):
        fold.apply(record(offset, weights_data(offset, 0)))
    assert policy.due(fold, 1, NOW + timedelta(seconds=11))


def test_record_in_force_outlives_the_logs_retention() -> None:
    """The log keeps a minute; a record is published once and nothing else for ten.

    What is seen: an entry that starts alone after ten minutes, with all others dead, has it. The
    tailers wrote checkpoints long before the log could forget the last one.
    """

    async def async_case() -> None:
        log = FakeLog()
        log.put(service_data(concurrency=5))
        cluster = Cluster(log)
        for number in range(3):
            cluster.add_entry(f"entry-{number}", checkpoints=POLICY)
        for _ in range(600):
            await asyncio.sleep(1)
            horizon = log.clock.now() - POLICY.retention
            kept = [rec.offset for rec in log.records if rec.time >= horizon]
            log.forget(kept[0] if kept else log.next)
        cluster.check_agreement()
        cluster.close()
        assert log.first > 1
        # 10 minutes at one per 15 s is 40; two tailers that cross now and then may add some.
        assert log.next - 2 <= 60
        late = cluster.add_entry("entry-late", checkpoints=POLICY)
        await cluster.async_until_all_have(log.next - 1, 4.0)
        assert late.fold.services()["samplers"].concurrency == 5
        cluster.close()

    run_virtual(async_case())


def test_starter_without_any_checkpoint_knows_nothing() -> None:
    """The log has forgotten the first records and holds no checkpoint; there are no peers.

    What is seen: the entry never claims to be current. A fold of the rest alone would put in
    force what nobody published.
    """

    async def async_case() -> None:
        log = FakeLog()
        log.put(service_data())
        log.put(weights_data(3))
        log.forget(2)
        cluster = Cluster(log)
        sync = cluster.add_entry("entry-0")
        await asyncio.sleep(10)
        assert not sync.current
        assert sync.fold.offset == 0
        cluster.close()

    run_virtual(async_case())


def test_newer_release_takes_up_what_the_older_could_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A record in schema 2 is on the log while a process of the old release writes a checkpoint.

    What is seen: the old release keeps schema 1 in force. A process of the new release that starts
    from that checkpoint has the schema 2 record, as a full fold by the new release has.
    """
    records = [
        record(1, {**service_data(), "schema": 1}),
        record(2, service_data(1, concurrency=7)),
    ]
    with monkeypatch.context() as patched:
        patched.setitem(READERS, Kind.SERVICE, {1: READERS[Kind.SERVICE][1]})
        old = folded(records)
        assert old.services()["samplers"].concurrency != 7
        data = old.snapshot()
    new = ConfigFold.from_snapshot(data).unwrap()
    assert new.services()["samplers"].concurrency == 7
    assert new.get(Kind.SERVICE, "samplers") == folded(records).get(Kind.SERVICE, "samplers")


@pytest.mark.parametrize(
    "damage",
    [
        lambda data: data.update(as_of=-1),
        lambda data: data.update(as_of=True),
        lambda data: data.update(entries=None),
        lambda data: data["entries"].append(data["entries"][0]),
        lambda data: data["entries"][0].update(offset=99),
        lambda data: data["entries"][0].update(spec={"version": "x"}),
        lambda data: data["entries"][0].update(schema=77),
        lambda data: data["entries"].append(3),
        lambda data: data.update(reads=[]),
        lambda data: data.update(unread={}),
        lambda data: data.update(checkpoint=[5, 1, ""]),
    ],
)
def test_nonsense_snapshot_is_refused_whole(damage: Any) -> None:
    """A snapshot with one bad part changes nothing."""
    data = folded([record(1, weights_data(1))]).snapshot()
    damage(data)
    assert ConfigFold.from_snapshot(data).is_err()
