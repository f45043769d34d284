"""A caller's request, and the sink to which its response is written."""

import abc
import enum
import functools
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.helpers.memory import BodyBuffer
from cranberryline.quarantine import fingerprint

__all__ = ["CallerClass", "CallerRequest", "CollectingSink", "ResponseSink", "VersionNeed"]


class CallerClass(enum.IntEnum):
    """Kind of caller; under load, a lower number has precedence."""

    APPLICATION = 0
    TRAINER = 1
    BACKGROUND = 2


@attrs.frozen
class VersionNeed:
    """A model, and the oldest version of it that may serve a request."""

    model: str
    min_version: int


@attrs.frozen
class CallerRequest:
    """A request as it was accepted.

    `deadline` is on the monotonic clock, and so is `starts_by`, until when the response has to begin.
    `key` is the idempotency key, empty if there is none.
    `tokens` is the expected work on a model engine, 0 for a plain service.
    `prefix_tokens` is how many of these an upstream saves that has served the same `prefix_key`.
    `avoid` lists upstreams to use only if there is no other, such as those that already generate
    the same sample.
    `is_wanted` returns whether the request may still be sent at all; None means that it always may.
    `eligible` returns whether an upstream may serve the request; None means that any may.
    `version_need` is the model version that an upstream must serve, None for none. It only narrows
    the search; `eligible` decides.
    `max_attempts` limits how many upstreams run it; None means the limit of the retry policy.
    `token_rate` returns how many tokens per second an upstream generates for this request, 0 if it
    is not known; None means the rate measured by the dispatcher.
    `request_id` is the caller's id for this attempt, for the logs.
    `credential` distinguishes callers that share one `caller` name.
    `workspace` is the workspace that the request belongs to, empty if there is none.
    `rank` orders requests of one caller class; requests of a lower rank are started first.
    `upstream` is the only upstream to use, on which a slot was granted; empty leaves the choice to
    routing.
    `exempt_from_hold` says that the request crashes no upstream by itself, so crashes under it are not
    attributed to it and it is never held.
    """

    service: str
    method: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    deadline: timedelta
    caller: str
    caller_class: CallerClass = CallerClass.APPLICATION
    idempotent: bool = True
    key: str = ""
    tokens: int = 0
    prefix_key: str = ""
    prefix_tokens: int = 0
    avoid: frozenset[str] = frozenset()
    is_wanted: Callable[[], bool] | None = None
    eligible: Callable[[str], bool] | None = None
    version_need: VersionNeed | None = None
    max_attempts: int | None = None
    token_rate: Callable[[str], float] | None = None
    request_id: str = ""
    credential: str = attrs.field(default="", repr=False)
    workspace: str = ""
    rank: int = 0
    upstream: str = ""
    exempt_from_hold: bool = False
    starts_by: timedelta = timedelta.max

    @property
    def start_deadline(self) -> timedelta:
        """Return until when the request may wait for the beginning of its response."""
        return min(self.starts_by, self.deadline)

    def may_send_to(self, vm_id: str) -> bool:
        """Return whether the request may be sent to an upstream now."""
        if self.is_wanted is not None and not self.is_wanted():
            return False
        return self.may_use(vm_id)

    def may_use(self, vm_id: str) -> bool:
        """Return whether an upstream may serve the request."""
        if self.upstream and vm_id != self.upstream:
            return False
        return self.eligible is None or self.eligible(vm_id)

    @property
    def conditional(self) -> bool:
        """Return whether it may change which upstreams the request may be sent to."""
        return self.is_wanted is not None or self.eligible is not None

    @property
    def queue_key(self) -> str:
        """Return whose requests share a fair part of a service."""
        return self.workspace or self.caller

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return the hash that identifies repetitions of this request in all processes."""
        return fingerprint(self.caller, self.credential, self.method, self.path, self.body)


class ResponseSink(abc.ABC):
    """Receive a response as it arrives.

    A sink with `can_restart` discards the partial response of an earlier attempt when the next
    response starts, so an incomplete response may be retried. A sink without it forwards data to
    the caller immediately, so a retry would append to what was sent.
    """

    can_restart = False

    def dispatched(self, upstream: str) -> None:
        """Handle the start of an attempt at an upstream."""
        return

    def not_run(self) -> None:
        """Handle that the last attempt certainly did not run."""
        return

    @abc.abstractmethod
    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Receive the status and headers; return whether the caller may have received them."""

    @abc.abstractmethod
    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Receive a part of the body; return once more can be received.

        `last` is set if this is known to be the last part.
        """


class CollectingSink(ResponseSink):
    """Keep the complete response in memory."""

    can_restart = True

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self._body = BodyBuffer()

    @property
    def body(self) -> bytes:
        """Return the body as received so far."""
        return self._body.value()

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Store the status and headers, and discard the partial body of an earlier attempt."""
        self.status, self.headers = status, headers
        self._body.clear()
        return False

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Store a part of the body."""
        self._body.add(data)
