"""A caller's request on its way through the entry, and where its answer goes."""

import abc
import enum
import functools
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.quarantine import fingerprint

__all__ = ["AnswerSink", "CallerClass", "CallerRequest", "CollectingSink"]


class CallerClass(enum.IntEnum):
    """Who asks; a lower number is served first under load."""

    APPLICATION = 0
    TRAINER = 1
    BACKGROUND = 2


@attrs.frozen
class CallerRequest:
    """One request as the entry accepted it; `deadline` is on the monotonic clock.

    `tokens` is the expected work on a model engine, 0 for a plain service; `prefix_tokens` is what
    of it an upstream saves that has served the same `prefix_key`; `avoid` names upstreams
    that should not serve it, such as those already making the same sample. `eligible` tells of an
    upstream whether it may serve the request at all, and `max_attempts` how many upstreams may be
    made to run it; None leaves both to the policies. `pace` tells how many of its tokens an upstream makes
    a second, 0 where that is not known; None leaves it to what the dispatcher measures. `request_id` is
    the caller's own name for this attempt of it, for the logs; `credential` is what tells callers of one
    `caller` apart.
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
    eligible: Callable[[str], bool] | None = None
    max_attempts: int | None = None
    pace: Callable[[str], float] | None = None
    request_id: str = ""
    credential: str = ""

    @functools.cached_property
    def fingerprint(self) -> str:
        """Return what repetitions of this request share at every entry."""
        return fingerprint(self.caller, self.credential, self.method, self.path, self.body)


class AnswerSink(abc.ABC):
    """Take an answer as it arrives.

    A sink that `can_restart` forgets an earlier attempt's part of an answer at the next head, so
    that a broken answer may be made again; what has left for a caller cannot be taken back.
    """

    can_restart = False

    def dispatched(self, upstream: str) -> None:
        """Note which upstream an attempt goes to."""
        return

    @abc.abstractmethod
    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Take the status and headers; True when the caller may have seen them already."""

    @abc.abstractmethod
    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Take a part of the body, `last` if known to be so; return when there is room for more."""


class CollectingSink(AnswerSink):
    """Keep the whole answer in memory."""

    can_restart = True

    def __init__(self) -> None:
        self.status = 0
        self.headers: tuple[tuple[str, str], ...] = ()
        self._parts: list[bytes] = []

    @property
    def body(self) -> bytes:
        """Return what has arrived so far."""
        return b"".join(self._parts)

    async def async_head(self, status: int, headers: tuple[tuple[str, str], ...]) -> bool:
        """Take the status and headers, and forget an earlier attempt's part of an answer."""
        self.status, self.headers = status, headers
        self._parts.clear()
        return False

    async def async_chunk(self, data: bytes, last: bool = False) -> None:
        """Keep a part of the body."""
        self._parts.append(data)
