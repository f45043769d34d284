"""Port to a platform's manner of speaking: what callers and upstreams write, as typed values."""

import abc
from collections.abc import Mapping
from datetime import timedelta

import attrs
from result import Result

from .model import Item, Job, Scorer
from .service import JobPage

__all__ = [
    "AnswerHead",
    "CallerCall",
    "EdgeFormat",
    "ItemBodyRead",
    "JobEnd",
    "JobRead",
    "PlainCall",
    "Pairs",
]

Pairs = tuple[tuple[str, str], ...]


@attrs.frozen
class JobRead:
    """Read a job's results from a position on."""

    job: str
    after: int
    wait: timedelta


@attrs.frozen
class ItemBodyRead:
    """Read the body of an item that is not listed yet."""

    job: str
    item: str


@attrs.frozen
class JobEnd:
    """End a job."""

    job: str


@attrs.frozen
class PlainCall:
    """A request to be passed on, or a job to be taken, as its route says."""

    request_id: str
    time_left: timedelta | None
    last_event: int | None = None


CallerCall = JobRead | ItemBodyRead | JobEnd | PlainCall


@attrs.frozen
class AnswerHead:
    """What an upstream's answer says besides its body."""

    signature: str
    version: int | None


class EdgeFormat(abc.ABC):
    """Translate between a platform's messages and the product's."""

    version_field: str

    @abc.abstractmethod
    def read_call(
        self, method: str, path: str, query: Mapping[str, str], headers: Mapping[str, str]
    ) -> Result[CallerCall, str]:
        """Tell what a caller asks; the error says what is wrong with it."""

    @abc.abstractmethod
    def credential(self, headers: Mapping[str, str]) -> str:
        """Return what tells callers of one host apart, an empty text where nothing does."""

    @abc.abstractmethod
    def read_job(
        self, request_id: str, host: str, path: str, body: bytes, now: float
    ) -> Result[Job, str]:
        """Read a submitted job; the error says what is wrong with it."""

    @abc.abstractmethod
    def write_page(self, page: JobPage) -> bytes:
        """Return a page of results as a caller reads it."""

    @abc.abstractmethod
    def item_headers(self, job: Job, item: Item, last_event: int | None) -> Pairs:
        """Return the headers with which an item is run, or gone on with after an event."""

    @abc.abstractmethod
    def resume_headers(self, headers: Pairs, last_event: int | None) -> Pairs:
        """Return a caller's headers, asking to go on after an event."""

    @abc.abstractmethod
    def scorer_headers(self, scorer: Scorer) -> Pairs:
        """Return the headers of the request that scores an item's text."""

    @abc.abstractmethod
    def answer_head(self, headers: Pairs) -> AnswerHead:
        """Read the headers of an upstream's answer."""
