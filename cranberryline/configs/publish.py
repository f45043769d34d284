"""Publication of amendments: append to the log and read the result back from it."""

import abc
import enum
import random
from datetime import timedelta
from typing import Any

import attrs
from result import Err, Ok, Result

from cranberryline.helpers.clock import Clock
from cranberryline.ports.errors import PlatformError, PlatformReason
from cranberryline.ports.model import LogPort, LogRecord

from .const import ATTR_ID, ATTR_KIND, ATTR_SCHEMA, ATTR_SPEC, CONFIG_STREAM
from .envelope import RECORD_ID, Amendment, read_amendment, read_amendment_spec
from .errors import Mistake, Rejected, RejectReason
from .fields import abbreviate_value
from .fold import Applied, ConfigFold
from .model import Kind, Revision
from .schema import known_schemas, read_spec

__all__ = ["Accepted", "ConfigPublisher", "FoldSource", "PublishReason", "PublishRefused", "Ran"]

APPEND_ATTEMPTS = 3
APPEND_BACKOFF = timedelta(milliseconds=150)
REPLICATION_TIMEOUT = timedelta(seconds=1)
RETRY_AFTER = timedelta(seconds=5)
CLIENT_ERRORS = range(400, 500)
REQUEST_TIMEOUT_STATUS = 408

ADVICE_CONFLICT = (
    "check whether the change still applies to the current revision, then publish it again "
    "with amends set to the current revision and a new id"
)
ADVICE_INVALID = "correct the listed mistakes and publish again; nothing was published"
ADVICE_SCHEMA = (
    "use a schema version that this release supports, or update all processes first; "
    "the older record stays in force"
)
ADVICE_NOT_RUN = "nothing was published; publish again later"
ADVICE_UNKNOWN = (
    "the record may have been published; publish the same record again with the same id, which "
    "takes effect at most once"
)


class Ran(enum.StrEnum):
    """Whether a publication that was not accepted may have taken effect."""

    NO = "no"
    UNKNOWN = "unknown"


class PublishReason(enum.StrEnum):
    """Reason why a publication was not accepted."""

    CONFLICT = "config_conflict"
    INVALID = "config_invalid"
    UNKNOWN_SCHEMA = "config_unknown_schema"
    LOG_UNAVAILABLE = "log_unavailable"


@attrs.frozen
class Accepted:
    """A record in force, and the number of peers that have acknowledged it."""

    revision: Revision
    confirmed_by: int = 0


@attrs.frozen
class PublishRefused:
    """A publication that was not accepted, with advice for the operator.

    `current` and `current_revision` describe the revision in force after a conflict.
    """

    reason: PublishReason
    record_id: str
    ran: Ran
    advice: str
    current: Revision | None = None
    current_revision: int = 0
    mistakes: tuple[Mistake, ...] = ()
    retry_after: timedelta | None = None


class FoldSource(abc.ABC):
    """Access to the fold of this process, and methods to update it and its peers."""

    @property
    @abc.abstractmethod
    def fold(self) -> ConfigFold:
        """Return the fold of this process."""

    @abc.abstractmethod
    async def async_catch_up(self) -> Result[int, PlatformError]:
        """Fold all records that the log has now; return the offset."""

    @abc.abstractmethod
    def fold_next(self, record: LogRecord) -> None:
        """Fold a record with a known offset if it is the next one."""

    @abc.abstractmethod
    async def async_replicate(self, offset: int, wait: timedelta) -> int:
        """Push to all peers; return how many acknowledged the offset within `wait`."""


class ConfigPublisher:
    """Publishes amendments of operators from an entry."""

    def __init__(self, log: LogPort, source: FoldSource, clock: Clock) -> None:
        self._log = log
        self._source = source
        self._clock = clock

    async def async_publish(self, data: Any, record_id: str) -> Result[Accepted, PublishRefused]:
        """Publish one record; idempotent for the same record and id."""
        checked = check_amendment(data, record_id)
        if isinstance(checked, Err):
            return checked
        amendment = checked.ok_value
        if isinstance(caught_up := await self._source.async_catch_up(), Err):
            return Err(self._log_unavailable(record_id, Ran.NO, caught_up.err_value))
        outcome = self._find_outcome(amendment, record_id)
        if outcome is None:
            outcome = self._check_current(amendment, record_id)
        if outcome is None:
            outcome = await self._async_append(amendment, record_id)
        if isinstance(outcome, Err):
            return outcome
        revision = outcome.ok_value.revision
        # Replicate before reporting "accepted". If this process and the log both failed before a
        # peer had the record, it would be in force nowhere until the log recovered.
        confirmed = await self._source.async_replicate(revision.offset, REPLICATION_TIMEOUT)
        return Ok(Accepted(revision, confirmed))

    async def _async_append(
        self, amendment: Amendment, record_id: str
    ) -> Result[Accepted, PublishRefused]:
        """Append the record and retry until its result is known from the log.

        A response lost after a successful append looks like a failure, and the operator would be
        told that a record in force was not published. So the log is read back by record id.
        Retrying with the same id is safe: the second copy amends a revision that the first copy
        has already replaced, and is rejected.
        """
        ran = Ran.NO
        error = PlatformError(PlatformReason.UNREACHABLE)
        for attempt in range(APPEND_ATTEMPTS):
            if attempt:
                await self._clock.async_sleep(APPEND_BACKOFF * 2**attempt * (0.5 + random.random()))
            answer = await self._log.async_append(CONFIG_STREAM, [(record_id, amendment.as_dict())])
            match answer:
                case Ok([int() as offset]):
                    ran = Ran.UNKNOWN
                    await self._async_fold_up_to(offset, amendment, record_id)
                case Ok(_):
                    ran = Ran.UNKNOWN
                    await self._source.async_catch_up()
                case Err(error):
                    if _may_have_run(error):
                        ran = Ran.UNKNOWN
                    await self._source.async_catch_up()
            outcome = self._find_outcome(amendment, record_id)
            if outcome is not None:
                return outcome
        return Err(self._log_unavailable(record_id, ran, error))

    async def _async_fold_up_to(self, offset: int, amendment: Amendment, record_id: str) -> None:
        caught_up = await self._source.async_catch_up()
        if isinstance(caught_up, Err) or self._source.fold.offset < offset:
            record = LogRecord(offset, self._clock.now(), record_id, amendment.as_dict())
            self._source.fold_next(record)

    def _find_outcome(
        self, amendment: Amendment, record_id: str
    ) -> Result[Accepted, PublishRefused] | None:
        """Return the result that the fold has for the record, or None if it has not folded it."""
        fold = self._source.fold
        revision = fold.accepted_revision(record_id, amendment.kind, amendment.name)
        if revision is not None:
            if (revision.raw, revision.schema) == (amendment.raw, amendment.schema):
                return Ok(Accepted(revision))
            mistake = Mistake(ATTR_ID, record_id, "an id that no other record uses")
            return Err(_invalid(record_id, [mistake]))
        match fold.result_by_id(record_id):
            case Err(Rejected() as rejected):
                return Err(self._rejected_by_fold(rejected, amendment, record_id))
            case Ok(Applied(revision=Revision() as other)):
                mistake = Mistake(
                    ATTR_ID, record_id, f"an id that differs from the id of {other.name}"
                )
                return Err(_invalid(record_id, [mistake]))
        return None

    def _check_current(
        self, amendment: Amendment, record_id: str
    ) -> Result[Accepted, PublishRefused] | None:
        current = self._source.fold.current_revision(amendment.kind, amendment.name)
        if amendment.amends == current:
            return None
        rejected = Rejected(RejectReason.CONFLICT, 0, revision=current)
        return Err(self._rejected_by_fold(rejected, amendment, record_id))

    def _rejected_by_fold(
        self, rejected: Rejected, amendment: Amendment, record_id: str
    ) -> PublishRefused:
        if rejected.reason is not RejectReason.CONFLICT:
            return _invalid(record_id, list(rejected.mistakes))
        fold = self._source.fold
        return PublishRefused(
            PublishReason.CONFLICT,
            record_id,
            Ran.NO,
            ADVICE_CONFLICT,
            fold.get(amendment.kind, amendment.name),
            fold.current_revision(amendment.kind, amendment.name),
        )

    def _log_unavailable(self, record_id: str, ran: Ran, error: PlatformError) -> PublishRefused:
        advice = ADVICE_NOT_RUN if ran is Ran.NO else ADVICE_UNKNOWN
        wait = RETRY_AFTER
        if error.retry_after_s is not None:
            wait = timedelta(seconds=error.retry_after_s)
        return PublishRefused(
            PublishReason.LOG_UNAVAILABLE, record_id, ran, advice, retry_after=wait
        )


def check_amendment(data: Any, record_id: str) -> Result[Amendment, PublishRefused]:
    """Validate a record of an operator; report all mistakes of envelope and spec together."""
    mistakes: list[Mistake] = []
    if not RECORD_ID.test(record_id):
        mistakes.append(Mistake(ATTR_ID, abbreviate_value(record_id), RECORD_ID.allowed))
    match read_amendment(data):
        case Err(error):
            mistakes += [*error.mistakes, *_spec_mistakes(data)]
            return Err(_invalid(record_id, mistakes))
        case Ok(amendment):
            checked = read_amendment_spec(amendment)
    if isinstance(checked, Err):
        error = checked.err_value
        mistakes += error.mistakes
        if error.reason is RejectReason.UNKNOWN_SCHEMA:
            return Err(
                PublishRefused(
                    PublishReason.UNKNOWN_SCHEMA,
                    record_id,
                    Ran.NO,
                    ADVICE_SCHEMA,
                    mistakes=tuple(mistakes),
                )
            )
    return Err(_invalid(record_id, mistakes)) if mistakes else Ok(amendment)


def _spec_mistakes(data: Any) -> list[Mistake]:
    """Return the mistakes of the spec in an invalid envelope if kind and schema are known."""
    if not isinstance(data, dict) or not isinstance(data.get(ATTR_SPEC), dict):
        return []
    kind, schema = data.get(ATTR_KIND), data.get(ATTR_SCHEMA)
    if kind not in list(Kind) or schema not in known_schemas(Kind(kind)):
        return []
    match read_spec(Kind(kind), schema, data[ATTR_SPEC]):
        case Err(mistakes):
            return [attrs.evolve(m, key=f"{ATTR_SPEC}.{m.key}") for m in mistakes]
        case Ok(_):
            return []


def _invalid(record_id: str, mistakes: list[Mistake]) -> PublishRefused:
    return PublishRefused(
        PublishReason.INVALID,
        abbreviate_value(record_id),
        Ran.NO,
        ADVICE_INVALID,
        mistakes=tuple(mistakes),
    )


def _may_have_run(error: PlatformError) -> bool:
    if not error.may_have_run or error.reason is PlatformReason.RATE_LIMITED:
        return False
    return error.status not in CLIENT_ERRORS or error.status == REQUEST_TIMEOUT_STATUS
