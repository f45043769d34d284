"""Port to the message format of a platform: messages of callers and upstreams as typed values."""

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
    "HeaderPairs",
    "ItemBodyRead",
    "JobEnd",
    "JobRead",
    "PlainCall",
]

HeaderPairs = tuple[tuple[str, str], ...]


@attrs.frozen
class JobRead:
    """A call to read the results of a job from the position `after` on, waiting up to `wait`."""

    job: str
    after: int
    wait: timedelta


@attrs.frozen
class ItemBodyRead:
    """A call to read the body of an item that has no result yet."""

    job: str
    item: str


@attrs.frozen
class JobEnd:
    """A call to end a job."""

    job: str


@attrs.frozen
class PlainCall:
    """A request to forward or a job to accept, depending on its route.

    `last_event` is the id of the event after which the response should resume.
    """

    request_id: str
    time_left: timedelta | None
    last_event: int | None = None


CallerCall = JobRead | ItemBodyRead | JobEnd | PlainCall


@attrs.frozen
class AnswerHead:
    """The relevant headers of an upstream's response."""

    signature: str
    version: int | None


class EdgeFormat(abc.ABC):
    """Translates between the messages of a platform and those of this project."""

    version_field: str

    @abc.abstractmethod
    def read_call(
        self, method: str, path: str, query: Mapping[str, str], headers: Mapping[str, str]
    ) -> Result[CallerCall, str]:
        """Parse the call of a caller; the error describes what is invalid."""

    @abc.abstractmethod
    def credential(self, headers: Mapping[str, str]) -> str:
        """Return the caller's key, or an empty string."""

    @abc.abstractmethod
    def caller_headers(self, headers: HeaderPairs, workspace: str) -> HeaderPairs:
        """Return a caller's headers for the upstream: without the key, with the workspace.

        `workspace` is empty if the request belongs to none.
        """

    @abc.abstractmethod
    def read_job(
        self, request_id: str, host: str, path: str, body: bytes, now: float, workspace: str = ""
    ) -> Result[Job, str]:
        """Parse a submitted job; the error describes what is invalid."""

    @abc.abstractmethod
    def write_page(self, page: JobPage) -> bytes:
        """Encode a page of results for a caller."""

    @abc.abstractmethod
    def item_headers(self, job: Job, item: Item, last_event: int | None) -> HeaderPairs:
        """Return the headers of the request that generates an item's text.

        If `last_event` is set, the text is resumed after that event.
        """

    @abc.abstractmethod
    def resume_headers(self, headers: HeaderPairs, last_event: int | None) -> HeaderPairs:
        """Return a caller's headers with a request to resume after an event."""

    @abc.abstractmethod
    def scorer_headers(self, scorer: Scorer) -> HeaderPairs:
        """Return the headers of the request that scores an item's text."""

    @abc.abstractmethod
    def answer_head(self, headers: HeaderPairs) -> AnswerHead:
        """Parse the headers of an upstream's response."""
