"""Tests of publication: the response to the operator, and the records on the log."""

import asyncio
from datetime import timedelta
from typing import Any

import pytest
from result import Err, Ok, Result

from cranberryline.configs import ConfigFold
from cranberryline.configs.publish import (
    Accepted,
    ConfigPublisher,
    PublishReason,
    PublishRefused,
    Ran,
)
from cranberryline.ports.errors import PlatformError, PlatformReason
from tests.configs.config_fakes import (
    LOST,
    OUTAGE,
    UNREACHABLE,
    DirectSource,
    FakeLog,
    service_data,
    weights_data,
)
from tests.virtual_time import LoopClock, run_virtual

Outcome = Result[Accepted, PublishRefused]


def publisher(log: FakeLog) -> ConfigPublisher:
    """Return a publisher with its own fold."""
    return ConfigPublisher(log, DirectSource(log), LoopClock())


def publish(log: FakeLog, data: Any, record_id: str = "p1") -> Outcome:
    """Publish one record in virtual time."""
    return run_virtual(publisher(log).async_publish(data, record_id))


def published(log: FakeLog, record_id: str) -> int:
    """Return the number of records with an id on the log."""
    return sum(record.id == record_id for record in log.records)


@pytest.fixture
def log() -> FakeLog:
    """Return a log with one record in force, revision 1."""

    async def async_make() -> FakeLog:
        log = FakeLog()
        log.put(weights_data(1))
        return log

    return run_virtual(async_make())


def test_accepted_publication_returns_its_revision(log: FakeLog) -> None:
    """The returned revision is the offset of the record on the log."""
    revision = publish(log, weights_data(2, 1)).unwrap().revision
    assert (revision.offset, revision.raw) == (2, {"version": 2})


def test_record_is_accepted_if_append_response_is_lost(log: FakeLog) -> None:
    """The log appends the record, but its response is lost.

    The publisher reads the log back and finds the record id. The operator must get "accepted" with
    the revision of the record, and the log must contain the record once.
    """
    log.lose_answers = 1
    assert publish(log, weights_data(2, 1)).unwrap().revision.offset == 2
    assert published(log, "p1") == 1


def test_record_is_accepted_if_all_append_responses_are_lost(log: FakeLog) -> None:
    """All responses to appends are lost but reads work; the record must be accepted."""
    log.lose_answers = 99
    assert publish(log, weights_data(2, 1)).unwrap().revision.offset == 2
    assert published(log, "p1") == 1


def test_delayed_duplicate_append_takes_effect_once(log: FakeLog) -> None:
    """An append times out and is retried, and the first append reaches the log later.

    The operator must get "accepted". The log then has two copies; the second amends a revision
    that the first replaced, so it must change nothing on any process.
    """
    log.append_errors = [PlatformError(PlatformReason.TIMEOUT)]
    revision = publish(log, weights_data(2, 1)).unwrap().revision
    log.put(weights_data(2, 1), "p1")

    async def async_read() -> ConfigFold:
        source = DirectSource(log)
        await source.async_catch_up()
        return source.fold

    fold = run_virtual(async_read())
    assert published(log, "p1") == 2
    assert fold.weights("samplers") == (revision.spec, revision.offset)


def test_repeated_publication_is_idempotent(log: FakeLog) -> None:
    """An operator whose response was lost publishes the record again with the same id."""
    first = publish(log, weights_data(2, 1)).unwrap()
    again = publish(log, weights_data(2, 1)).unwrap()
    assert again.revision.offset == first.revision.offset
    assert published(log, "p1") == 1


def test_id_used_by_another_record_is_refused(log: FakeLog) -> None:
    """Without this check, "accepted" could be reported for a record that was never published."""
    publish(log, weights_data(2, 1)).unwrap()
    refused = publish(log, weights_data(3, 2)).unwrap_err()
    assert refused.reason is PublishReason.INVALID
    assert [mistake.key for mistake in refused.mistakes] == ["id"]


def test_conflict_is_reported_without_appending(log: FakeLog) -> None:
    """The operator gets the current revision and advice, and nothing is appended to the log."""
    log.put(weights_data(2, 1))
    refused = publish(log, weights_data(3, 1)).unwrap_err()
    assert (refused.reason, refused.ran) == (PublishReason.CONFLICT, Ran.NO)
    assert (refused.current_revision, refused.current.raw) == (2, {"version": 2})
    assert "amends" in refused.advice
    assert published(log, "p1") == 0


def test_concurrent_amendments_accept_one_and_refuse_the_other(log: FakeLog) -> None:
    """Two operators amend revision 1 concurrently through two entries.

    One must be accepted, and the other must get a conflict that names the accepted revision.
    """

    async def async_race() -> list[Outcome]:
        return await asyncio.gather(
            publisher(log).async_publish(weights_data(2, 1), "a"),
            publisher(log).async_publish(weights_data(3, 1), "b"),
        )

    outcomes = run_virtual(async_race())
    accepted = [outcome.ok_value for outcome in outcomes if isinstance(outcome, Ok)]
    lost = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]
    assert (len(accepted), len(lost)) == (1, 1)
    assert lost[0].reason is PublishReason.CONFLICT
    assert lost[0].current_revision == accepted[0].revision.offset


def test_log_outage_before_append_is_reported_as_not_run(log: FakeLog) -> None:
    """The operator is told that nothing was published, and when to retry."""
    log.in_outage = True
    refused = publish(log, weights_data(2, 1)).unwrap_err()
    assert (refused.reason, refused.ran) == (PublishReason.LOG_UNAVAILABLE, Ran.NO)
    assert refused.retry_after is not None


def test_append_that_cannot_have_run_is_reported_as_not_run(log: FakeLog) -> None:
    """Appends that did not reach the log or were rate limited are reported as not run."""
    limited = PlatformError(PlatformReason.RATE_LIMITED, status=429, retry_after_s=2.0)
    log.append_errors = [UNREACHABLE, limited, limited]
    refused = publish(log, weights_data(2, 1)).unwrap_err()
    assert refused.ran is Ran.NO
    assert refused.retry_after == timedelta(seconds=2)


@pytest.mark.parametrize("error", [LOST, OUTAGE])
def test_append_that_may_have_run_is_reported_as_unknown(
    log: FakeLog, error: PlatformError
) -> None:
    """Each append fails after it may have reached the log, and the record is not on the log.

    The operator must get "unknown", since an append can still arrive, and the advice to publish
    again with the same id.
    """
    log.append_errors = [error, error, error]
    refused = publish(log, weights_data(2, 1)).unwrap_err()
    assert (refused.reason, refused.ran) == (PublishReason.LOG_UNAVAILABLE, Ran.UNKNOWN)
    assert "same id" in refused.advice


def test_record_is_accepted_if_log_fails_after_append(log: FakeLog) -> None:
    """The response to the append contains the next offset, and the log is unavailable afterwards.

    The operator must get "accepted": no other record can precede the returned offset.
    """

    class FailingLog(FakeLog):
        """A log that becomes unavailable after its first append."""

        async def async_append(
            self, stream: str, records: list[tuple[str, dict[str, Any]]]
        ) -> Result[list[int], PlatformError]:
            answer = await super().async_append(stream, records)
            self.in_outage = True
            return answer

    async def async_case() -> Outcome:
        failing = FailingLog()
        failing.put(weights_data(1))
        return await publisher(failing).async_publish(weights_data(2, 1), "p1")

    assert run_virtual(async_case()).unwrap().revision.offset == 2


def test_unknown_schema_is_refused_with_advice(log: FakeLog) -> None:
    """A record of a newer release is refused with the supported versions, and not appended."""
    refused = publish(log, {**weights_data(2, 1), "schema": 9}).unwrap_err()
    assert refused.reason is PublishReason.UNKNOWN_SCHEMA
    assert refused.mistakes[0].allowed == "one of 1"
    assert "older record stays in force" in refused.advice
    assert published(log, "p1") == 0


def test_mistakes_of_envelope_and_spec_are_reported_together(log: FakeLog) -> None:
    """One response lists all mistakes."""
    data = {**service_data(amends=-1, concurrency=0, model=3), "name": "a b"}
    refused = publish(log, data, "an id").unwrap_err()
    assert refused.reason is PublishReason.INVALID
    keys = {mistake.key for mistake in refused.mistakes}
    assert keys == {"id", "name", "amends", "spec.concurrency", "spec.model"}


def test_operators_cannot_publish_a_checkpoint(log: FakeLog) -> None:
    """Only the service itself writes checkpoints."""
    refused = publish(log, {**weights_data(2, 1), "kind": "checkpoint"}).unwrap_err()
    assert [mistake.key for mistake in refused.mistakes] == ["kind"]
