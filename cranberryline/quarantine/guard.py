"""What a dispatcher asks before it sends a request, and tells of how it ended."""

import abc
from datetime import timedelta
from hashlib import blake2b

import attrs

__all__ = ["BrokenRun", "Held", "RequestGuard", "fingerprint"]

_FINGERPRINT_BYTES = 16


def fingerprint(caller: str, credential: str, method: str, path: str, body: bytes) -> str:
    """Return what repetitions of a request share at all gateways, as hexadecimal digits.

    `path` keeps its query. Lengths keep two requests apart whose fields together read alike.
    """
    digest = blake2b(digest_size=_FINGERPRINT_BYTES)
    for part in (caller, credential, method, path):
        data = part.encode("utf-8", "surrogateescape")
        digest.update(len(data).to_bytes(4))
        digest.update(data)
    digest.update(body)
    return digest.hexdigest()


@attrs.frozen
class BrokenRun:
    """A run whose connection ended before its answer did; `path` is without the query."""

    fingerprint: str
    request_id: str
    host: str
    path: str
    service: str
    upstream: str


@attrs.frozen
class Held:
    """A request is held: how many upstreams crashed under it, and how long until its next trial."""

    crashes: int
    retry_after: timedelta


class RequestGuard(abc.ABC):
    """Keep requests from upstreams that would crash under them."""

    @property
    @abc.abstractmethod
    def suspecting(self) -> bool:
        """Tell whether any request is suspected, so that the next ones need a look."""

    @abc.abstractmethod
    def suspects(self, request: str) -> bool:
        """Tell whether an upstream crashed under a request, held or not."""

    @abc.abstractmethod
    def held(self, request: str) -> Held | None:
        """Return how a request is held, None if it may run."""

    @abc.abstractmethod
    async def async_try(self, request: str) -> bool:
        """Take the trial of a held request that is due; True for one taker of all gateways."""

    @abc.abstractmethod
    async def async_broke(self, run: BrokenRun) -> None:
        """Take a broken run; return once it is known whether its upstream has crashed, or soon after."""

    @abc.abstractmethod
    def answered(self, request: str) -> None:
        """Take that an upstream ran a request to a sound answer."""
