"""Publish an amendment: append it, and find out from the log what became of it."""

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
BACKOFF = timedelta(milliseconds=150)
SPREAD_WAIT = timedelta(seconds=1)
RETRY_AFTER = timedelta(seconds=5)
CLIENT_ERRORS = range(400, 500)
REQUEST_TIMEOUT_STATUS = 408

ADVICE_CONFLICT = (
    "look at the current revision, decide whether the change still holds, and publish it again "
    "with amends set to the current revision and a new id"
)
ADVICE_INVALID = "mend the mistakes listed and publish again; nothing was published"
ADVICE_SCHEMA = (
    "write the record in a schema version that is known here, or update every process first; "
    "the older record stays in force"
)
ADVICE_NOT_RUN = "nothing was published; publish again later"
ADVICE_UNKNOWN = (
    "it may be on the log; publish the same record again with the same id, which can take effect "
    "only once"
)


class Ran(enum.StrEnum):
    """Whether a publication took effect."""

    NO = "no"
    UNKNOWN = "unknown"


class PublishReason(enum.StrEnum):
    """Why a publication was not accepted."""

    CONFLICT = "config_conflict"
    INVALID = "config_invalid"
    UNKNOWN_SCHEMA = "config_unknown_schema"
    LOG_UNAVAILABLE = "log_unavailable"


@attrs.frozen
class Accepted:
    """A record in force; `confirmed_by` peers were seen to have it."""

    revision: Revision
    confirmed_by: int = 0


@attrs.frozen
class PublishRefused:
    """A publication that was not accepted, and what the operator can do."""

    reason: PublishReason
    record_id: str
    ran: Ran
    advice: str
    current: Revision | None = None
    current_revision: int = 0
    mistakes: tuple[Mistake, ...] = ()
    retry_after: timedelta | None = None


class FoldSource(abc.ABC):
    """The fold of this process, and ways to bring it and the others up to date."""

    @property
    @abc.abstractmethod
    def fold(self) -> ConfigFold:
        """Return the fold."""

    @abc.abstractmethod
    async def async_catch_up(self) -> Result[int, PlatformError]:
        """Fold all that the log has now; return the offset."""

    @abc.abstractmethod
    def fold_next(self, record: LogRecord) -> None:
        """Fold a record whose offset is known, if it is the next."""

    @abc.abstractmethod
    async def async_spread(self, offset: int, wait: timedelta) -> int:
        """Push to all peers; return how many were seen to have the offset within the wait."""


class ConfigPublisher:
    """Publish operators' amendments from an entry."""

    def __init__(self, log: LogPort, source: FoldSource, clock: Clock) -> None:
        self._log = log
        self._source = source
        self._clock = clock

    async def async_publish(self, data: Any, record_id: str) -> Result[Accepted, PublishRefused]:
        """Publish one record; the id makes a repetition of the same publication harmless."""
        checked = check_amendment(data, record_id)
        if isinstance(checked, Err):
            return checked
        amendment = checked.ok_value
        if isinstance(caught_up := await self._source.async_catch_up(), Err):
            return Err(self._log_refusal(record_id, Ran.NO, caught_up.err_value))
        settled = self._settle(amendment, record_id)
        if settled is None:
            settled = self._check_current(amendment, record_id)
        if settled is None:
            settled = await self._async_append(amendment, record_id)
        if isinstance(settled, Err):
            return settled
        revision = settled.ok_value.revision
        # Told "accepted" now, the operator relies on it. If this process died and the log with it
        # before a peer had the record, it would be in force nowhere until the log came back.
        confirmed = await self._source.async_spread(revision.offset, SPREAD_WAIT)
        return Ok(Accepted(revision, confirmed))

    async def _async_append(
        self, amendment: Amendment, record_id: str
    ) -> Result[Accepted, PublishRefused]:
        """Append until the log shows what became of the record.

        An answer lost after the append took effect looks like a failure: the operator would be told
        "not published" of a record in force. So the log is read back by id. Appending again under
        the same id is safe: the second copy amends a revision that the first has replaced.
        """
        ran = Ran.NO
        error = PlatformError(PlatformReason.UNREACHABLE)
        for attempt in range(APPEND_ATTEMPTS):
            if attempt:
                await self._clock.async_sleep(BACKOFF * 2**attempt * (0.5 + random.random()))
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
            settled = self._settle(amendment, record_id)
            if settled is not None:
                return settled
        return Err(self._log_refusal(record_id, ran, error))

    async def _async_fold_up_to(self, offset: int, amendment: Amendment, record_id: str) -> None:
        caught_up = await self._source.async_catch_up()
        if isinstance(caught_up, Err) or self._source.fold.offset < offset:
            record = LogRecord(offset, self._clock.now(), record_id, amendment.as_dict())
            self._source.fold_next(record)

    def _settle(
        self, amendment: Amendment, record_id: str
    ) -> Result[Accepted, PublishRefused] | None:
        """Return what the fold says of the record, or None when it has not met it."""
        fold = self._source.fold
        revision = fold.accepted_as(record_id, amendment.kind, amendment.name)
        if revision is not None:
            if (revision.raw, revision.schema) == (amendment.raw, amendment.schema):
                return Ok(Accepted(revision))
            mistake = Mistake(ATTR_ID, record_id, "an id that no other record has")
            return Err(_invalid(record_id, [mistake]))
        match fold.verdict_of(record_id):
            case Err(Rejected() as rejected):
                return Err(self._refusal(rejected, amendment, record_id))
            case Ok(Applied(revision=Revision() as other)):
                mistake = Mistake(ATTR_ID, record_id, f"an id other than that of {other.name}")
                return Err(_invalid(record_id, [mistake]))
        return None

    def _check_current(
        self, amendment: Amendment, record_id: str
    ) -> Result[Accepted, PublishRefused] | None:
        current = self._source.fold.current_revision(amendment.kind, amendment.name)
        if amendment.amends == current:
            return None
        rejected = Rejected(RejectReason.CONFLICT, 0, revision=current)
        return Err(self._refusal(rejected, amendment, record_id))

    def _refusal(self, rejected: Rejected, amendment: Amendment, record_id: str) -> PublishRefused:
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

    def _log_refusal(self, record_id: str, ran: Ran, error: PlatformError) -> PublishRefused:
        advice = ADVICE_NOT_RUN if ran is Ran.NO else ADVICE_UNKNOWN
        wait = RETRY_AFTER
        if error.retry_after_s is not None:
            wait = timedelta(seconds=error.retry_after_s)
        return PublishRefused(
            PublishReason.LOG_UNAVAILABLE, record_id, ran, advice, retry_after=wait
        )


def check_amendment(data: Any, record_id: str) -> Result[Amendment, PublishRefused]:
    """Read an operator's record; report all mistakes of envelope and spec together."""
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
    """Return the mistakes of the spec under a faulty envelope, where kind and schema are known."""
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
