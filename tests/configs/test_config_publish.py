"""Publication: what the operator is told, and what is on the log."""

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
    """Return a publisher with a fold of its own."""
    return ConfigPublisher(log, DirectSource(log), LoopClock())


def publish(log: FakeLog, data: Any, record_id: str = "p1") -> Outcome:
    """Publish one record in virtual time."""
    return run_virtual(publisher(log).async_publish(data, record_id))


def published(log: FakeLog, record_id: str) -> int:
    """Return how often an id stands on the log."""
    return sum(record.id == record_id for record in log.records)


@pytest.fixture
def log() -> FakeLog:
    """Return a log with one record in force, revision 1."""

    async def async_make() -> FakeLog:
        log = FakeLog()
        log.put(weights_data(1))
        return log

    return run_virtual(async_make())


def test_accepted_tells_the_revision(log: FakeLog) -> None:
    """The revision is the offset that the record stands at."""
    revision = publish(log, weights_data(2, 1)).unwrap().revision
    assert (revision.offset, revision.raw) == (2, {"version": 2})


def test_answer_lost_after_the_append_took_effect(log: FakeLog) -> None:
    """The log appends the record and its answer is lost.

    What the operator sees: accepted, with the revision that the record has. The publisher reads
    the log back and finds its id; the record stands there once.
    """
    log.lose_answers = 1
    assert publish(log, weights_data(2, 1)).unwrap().revision.offset == 2
    assert published(log, "p1") == 1


def test_every_answer_lost(log: FakeLog) -> None:
    """All answers to appends are lost; reading still works. It is accepted all the same."""
    log.lose_answers = 99
    assert publish(log, weights_data(2, 1)).unwrap().revision.offset == 2
    assert published(log, "p1") == 1


def test_append_that_arrives_late_takes_effect_once(log: FakeLog) -> None:
    """An append times out, is made again, and the first one arrives after all.

    What the operator sees: accepted. The log holds two copies; the later one amends a revision
    that the earlier replaced, so it changes nothing, on every process.
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


def test_same_publication_again_is_the_same_revision(log: FakeLog) -> None:
    """An operator whose answer was lost publishes the same record under the same id, elsewhere."""
    first = publish(log, weights_data(2, 1)).unwrap()
    again = publish(log, weights_data(2, 1)).unwrap()
    assert again.revision.offset == first.revision.offset
    assert published(log, "p1") == 1


def test_id_of_another_record_is_refused(log: FakeLog) -> None:
    """An id that stands for something else would tell "accepted" of what was never published."""
    publish(log, weights_data(2, 1)).unwrap()
    refused = publish(log, weights_data(3, 2)).unwrap_err()
    assert refused.reason is PublishReason.INVALID
    assert [mistake.key for mistake in refused.mistakes] == ["id"]


def test_conflict_is_told_before_anything_is_appended(log: FakeLog) -> None:
    """The operator learns the current revision and what to do; the log is left alone."""
    log.put(weights_data(2, 1))
    refused = publish(log, weights_data(3, 1)).unwrap_err()
    assert (refused.reason, refused.ran) == (PublishReason.CONFLICT, Ran.NO)
    assert (refused.current_revision, refused.current.raw) == (2, {"version": 2})
    assert "amends" in refused.advice
    assert published(log, "p1") == 0


def test_two_operators_amend_one_record_at_once(log: FakeLog) -> None:
    """Both see revision 1 and publish through two entries in the same instant.

    What they see: one is accepted, the other gets a conflict that names the winner's revision.
    """

    async def async_race() -> list[Outcome]:
        return await asyncio.gather(
            publisher(log).async_publish(weights_data(2, 1), "a"),
            publisher(log).async_publish(weights_data(3, 1), "b"),
        )

    outcomes = run_virtual(async_race())
    won = [outcome.ok_value for outcome in outcomes if isinstance(outcome, Ok)]
    lost = [outcome.err_value for outcome in outcomes if isinstance(outcome, Err)]
    assert (len(won), len(lost)) == (1, 1)
    assert lost[0].reason is PublishReason.CONFLICT
    assert lost[0].current_revision == won[0].revision.offset


def test_log_out_before_anything_was_sent(log: FakeLog) -> None:
    """The operator is told that nothing was published, and when to come back."""
    log.in_outage = True
    refused = publish(log, weights_data(2, 1)).unwrap_err()
    assert (refused.reason, refused.ran) == (PublishReason.LOG_UNAVAILABLE, Ran.NO)
    assert refused.retry_after is not None


def test_append_that_cannot_have_run(log: FakeLog) -> None:
    """No append reached the log, or the log refused each by its rate: told as not run."""
    limited = PlatformError(PlatformReason.RATE_LIMITED, status=429, retry_after_s=2.0)
    log.append_errors = [UNREACHABLE, limited, limited]
    refused = publish(log, weights_data(2, 1)).unwrap_err()
    assert refused.ran is Ran.NO
    assert refused.retry_after == timedelta(seconds=2)


@pytest.mark.parametrize("error", [LOST, OUTAGE])
def test_append_that_may_have_run(log: FakeLog, error: PlatformError) -> None:
    """Each append fails after it may have reached the log, and the record is not there.

    What the operator sees: unknown, since an append can still arrive, with the id to repeat.
    """
    log.append_errors = [error, error, error]
    refused = publish(log, weights_data(2, 1)).unwrap_err()
    assert (refused.reason, refused.ran) == (PublishReason.LOG_UNAVAILABLE, Ran.UNKNOWN)
    assert "same id" in refused.advice


def test_log_fails_between_the_append_and_reading_back(log: FakeLog) -> None:
    """The append's answer names the next offset, and the log is out from then on.

    What the operator sees: accepted. Nothing can stand between the fold and that offset.
    """

    class FailingLog(FakeLog):
        """A log that goes out with its first append."""

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


def test_unknown_schema_is_refused_with_what_to_do(log: FakeLog) -> None:
    """A record of a newer release names the versions known here, and stays off the log."""
    refused = publish(log, {**weights_data(2, 1), "schema": 9}).unwrap_err()
    assert refused.reason is PublishReason.UNKNOWN_SCHEMA
    assert refused.mistakes[0].allowed == "one of 1"
    assert "older record stays in force" in refused.advice
    assert published(log, "p1") == 0


def test_mistakes_of_envelope_and_spec_come_together(log: FakeLog) -> None:
    """One answer lists everything that is wrong."""
    data = {**service_data(amends=-1, concurrency=0, model=3), "name": "a b"}
    refused = publish(log, data, "an id").unwrap_err()
    assert refused.reason is PublishReason.INVALID
    keys = {mistake.key for mistake in refused.mistakes}
    assert keys == {"id", "name", "amends", "spec.concurrency", "spec.model"}


def test_operators_cannot_publish_a_checkpoint(log: FakeLog) -> None:
    """Checkpoints are written by the system alone."""
    refused = publish(log, {**weights_data(2, 1), "kind": "checkpoint"}).unwrap_err()
    assert [mistake.key for mistake in refused.mistakes] == ["kind"]
