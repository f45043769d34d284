"""Tests of the configuration fold: records in force, and rejected records."""

from datetime import UTC, datetime
from typing import Any

import pytest

from cranberryline.configs import ConfigFold, Kind, RejectReason, ServiceType
from cranberryline.ports.model import LogRecord

NOW = datetime(2026, 1, 1, tzinfo=UTC)


def record(offset: int, data: dict[str, Any], record_id: str = "") -> LogRecord:
    """Return a log record."""
    return LogRecord(offset, NOW, record_id or f"id-{offset}", data)


def weights(version: Any, amends: int = 0, schema: int = 1, name: str = "s") -> dict[str, Any]:
    """Return the data of a weights record."""
    spec = {"version": version}
    return {"kind": "weights", "name": name, "schema": schema, "amends": amends, "spec": spec}


def service(schema: int, spec: dict[str, Any], amends: int = 0) -> dict[str, Any]:
    """Return the data of a service record."""
    return {"kind": "service", "name": "s", "schema": schema, "amends": amends, "spec": spec}


@pytest.fixture
def fold() -> ConfigFold:
    """Return an empty fold."""
    return ConfigFold()


def test_revision_of_record_is_its_offset(fold: ConfigFold) -> None:
    """The revision number of a record is the offset that the log assigned to it."""
    assert fold.apply(record(1, weights(4))).is_ok()
    found = fold.weights("s")
    assert found is not None
    assert (found[0].version, found[1]) == (4, 1)


def test_conflicting_amendment_is_rejected_with_current_revision(fold: ConfigFold) -> None:
    """Two records amend the same revision: the first on the log is accepted.

    The second is rejected with the revision in force.
    """
    fold.apply(record(1, weights(1)))
    assert fold.apply(record(2, weights(2, amends=1))).is_ok()
    rejected = fold.apply(record(3, weights(3, amends=1))).unwrap_err()
    assert (rejected.reason, rejected.revision) == (RejectReason.CONFLICT, 2)
    assert fold.weights("s")[0].version == 2


def test_old_schema_is_upgraded_on_reading(fold: ConfigFold) -> None:
    """Schema 1 has `queue_seconds` and schema 2 nests it; both yield the same spec."""
    fold.apply(record(1, service(1, {"type": "plain", "queue_seconds": 7})))
    old = fold.services()["s"]
    fold.apply(record(2, service(2, {"type": "plain", "queue": {"seconds": 7}}, amends=1)))
    assert fold.services()["s"] == old
    assert (old.queue_seconds, old.type) == (7, ServiceType.PLAIN)


def test_unknown_schema_leaves_older_revision_in_force(fold: ConfigFold) -> None:
    """A record of a newer release is rejected, and the supported versions are listed."""
    fold.apply(record(1, weights(1)))
    rejected = fold.apply(record(2, weights(2, amends=1, schema=9))).unwrap_err()
    assert rejected.reason is RejectReason.UNKNOWN_SCHEMA
    assert "known: 1" in rejected.detail
    assert fold.weights("s")[0].version == 1


def test_all_mistakes_are_reported_together(fold: ConfigFold) -> None:
    """Each mistake names the key, the value and the allowed values."""
    spec = {"type": "engin", "concurrency": 0, "queue": {"second": 1}, "leave_seconds": True}
    rejected = fold.apply(record(1, service(2, spec))).unwrap_err()
    assert {m.key for m in rejected.mistakes} == {
        "spec.type",
        "spec.concurrency",
        "spec.queue.second",
        "spec.leave_seconds",
    }
    assert all(m.allowed for m in rejected.mistakes)


def test_records_out_of_order_change_nothing(fold: ConfigFold) -> None:
    """A record after a gap and a record that was already folded are rejected."""
    fold.apply(record(1, weights(1)))
    assert fold.apply(record(3, weights(2, 1))).unwrap_err().reason is RejectReason.GAP
    assert fold.apply(record(1, weights(2, 1))).unwrap_err().reason is RejectReason.STALE
    assert fold.offset == 1


def test_deleted_record_keeps_its_revision(fold: ConfigFold) -> None:
    """A record that is created again must amend the deletion.

    Otherwise a delayed amendment could restore the deleted record.
    """
    fold.apply(record(1, weights(1)))
    fold.apply(record(2, {**weights(1, amends=1), "spec": None}))
    assert fold.weights("s") is None
    assert fold.current_revision(Kind.WEIGHTS, "s") == 2
    assert fold.apply(record(3, weights(5))).is_err()
    assert fold.apply(record(4, weights(5, amends=2))).is_ok()


@pytest.mark.parametrize(
    "data",
    [
        {},
        {"kind": 3},
        {"kind": "weights"},
        {"kind": "unheard"},
        {"kind": "checkpoint"},
        {"kind": "checkpoint", "schema": 1, "snapshot": []},
        {**weights(1), "name": "../x"},
        {**weights(1), "amends": -1},
        {**weights(1), "spec": []},
        {**weights(1), "schema": "1"},
        weights(float("nan")),
        weights(0),
        weights(True),
    ],
)
def test_invalid_record_only_advances_offset(fold: ConfigFold, data: dict[str, Any]) -> None:
    """Invalid records on the stream are rejected, counted and skipped."""
    rejected = fold.apply(record(1, data)).unwrap_err()
    assert rejected.folded
    assert fold.rejections[rejected.reason] == 1
    assert (fold.offset, fold.records()) == (1, [])


def test_lookup_of_service_or_trainer_does_not_list_all_records(
    fold: ConfigFold, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each sample looks up its trainer several times, so a lookup must not list all records."""
    for offset, (kind, name, spec) in enumerate(
        [
            ("service", "s", {"type": "engine", "model": "m"}),
            ("trainer", "t", {"service": "s"}),
            ("caller", "c", {}),
        ],
        fold.offset + 1,
    ):
        data = {"kind": kind, "name": name, "schema": 1, "amends": 0, "spec": spec}
        fold.apply(LogRecord(offset, datetime.now(UTC), f"id-{offset}", data)).unwrap()
    wanted = (fold.services()["s"], fold.trainers()["t"])
    monkeypatch.setattr(ConfigFold, "records", None)
    assert (fold.service("s"), fold.trainer("t")) == wanted
    assert (fold.service("t"), fold.trainer("nobody")) == (None, None)
