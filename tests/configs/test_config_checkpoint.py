"""Tests of checkpoints: a new process gets records in force that the log no longer keeps."""

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
POLICY = CheckpointPolicy(retention=timedelta(seconds=60), check_interval=timedelta(seconds=1))


def record(offset: int, data: Any, time: datetime = NOW) -> LogRecord:
    """Return a log record."""
    return LogRecord(offset, time, f"id-{offset}", data)


def folded(records: list[LogRecord]) -> ConfigFold:
    """Return a fold of records from the first on."""
    fold = ConfigFold()
    for rec in records:
        fold.apply(rec)
    return fold


def test_checkpoint_older_than_a_concurrent_amendment_changes_nothing() -> None:
    """A checkpoint is made at offset 1, and an amendment is appended to the log before it.

    The amendment must stay in force for a full fold and for a process that starts from the
    checkpoint. Appending the records in force again would restore the older value.
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


def test_checkpoint_with_a_gap_to_the_kept_records_is_not_used() -> None:
    """A checkpoint at offset 1 cannot be used once the log has dropped record 2."""
    records = [record(1, weights_data(1))]
    data = checkpoint_record(folded(records), "entry-1")[1]
    records += [record(2, weights_data(2, 1)), record(3, data)]
    assert find_start(records[2:], first=3) is None


def test_checkpoint_with_a_wrong_digest_is_rejected() -> None:
    """A checkpoint whose entries do not match its digest is skipped at start, and rejected."""
    fold = folded([record(1, weights_data(1))])
    data = checkpoint_record(fold, "entry-1")[1]
    data["snapshot"]["entries"][0]["spec"] = {"version": 5}
    assert find_start([record(2, data)], first=2) is None
    refused = fold.apply(record(2, data)).unwrap_err()
    assert refused.reason is RejectReason.MALFORMED


def test_checkpoint_that_differs_from_the_own_fold_is_counted() -> None:
    """A valid checkpoint that differs from the fold of the process is counted, not applied."""
    other = folded([record(1, weights_data(9))])
    fold = folded([record(1, weights_data(1))])
    applied = fold.apply(record(2, checkpoint_record(other, "entry-1")[1])).unwrap()
    assert not applied.digest_matches
    assert fold.digest_mismatches == 1
    assert fold.weights("samplers")[0].version == 1


def test_checkpoint_is_due_by_the_times_of_the_log() -> None:
    """A checkpoint is due after a quarter of the retention, and earlier in two cases.

    They are that many records were appended since the last one, or that the log has dropped records
    after the last one.
    """
    fold = folded([record(1, weights_data(1))])
    policy = CheckpointPolicy(retention=timedelta(seconds=40), max_records=3)
    assert not policy.is_due(ConfigFold(), 1, NOW)
    assert not policy.is_due(fold, 1, NOW + timedelta(seconds=9))
    assert policy.is_due(fold, 1, NOW + timedelta(seconds=10))
    fold.apply(record(2, checkpoint_record(fold, "e")[1], NOW + timedelta(seconds=10)))
    assert not policy.is_due(fold, 1, NOW + timedelta(seconds=11))
    assert policy.is_due(fold, 3, NOW + timedelta(seconds=11))
    for offset in (3, 4, 5):
        fold.apply(record(offset, weights_data(offset, 0)))
    assert policy.is_due(fold, 1, NOW + timedelta(seconds=11))


def test_record_in_force_outlives_the_logs_retention() -> None:
    """The log keeps records for 1 minute, and one record is published in 10 minutes.

    A gateway that starts alone after 10 minutes, when all others have been killed, must have that
    record. Without regular checkpoints the log would have dropped it.
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
        # 10 minutes at one checkpoint per 15 s is 40; a few more if two gateways write at once.
        assert log.next - 2 <= 60
        late = cluster.add_entry("entry-late", checkpoints=POLICY)
        await cluster.async_until_all_have(log.next - 1, 4.0)
        assert late.fold.services()["samplers"].concurrency == 5
        cluster.close()

    run_virtual(async_case())


def test_process_that_cannot_read_the_dropped_records_is_not_current() -> None:
    """The log has dropped the first record and has no checkpoint, and there are no peers.

    The gateway must not report itself as current. A fold of the remaining records alone could
    result in a configuration that nobody published.
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


def test_newer_release_applies_a_record_that_the_older_could_not_read(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The log has a record in schema 2 when a process of the old release makes a checkpoint.

    The old release keeps the schema 1 record in force. A process of the new release that starts
    from that checkpoint must have the schema 2 record in force, as after a full fold.
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
def test_snapshot_with_one_invalid_part_is_rejected(damage: Any) -> None:
    """A snapshot with an invalid part must not be applied, not even in part."""
    data = folded([record(1, weights_data(1))]).snapshot()
    damage(data)
    assert ConfigFold.from_snapshot(data).is_err()
