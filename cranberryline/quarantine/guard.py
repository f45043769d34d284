"""Interface through which a dispatcher checks requests and reports how their runs ended."""

import abc
from datetime import timedelta
from hashlib import blake2b

import attrs

__all__ = ["BrokenRun", "Held", "RequestGuard", "fingerprint"]

_FINGERPRINT_BYTES = 16


def fingerprint(caller: str, credential: str, method: str, path: str, body: bytes) -> str:
    """Return a hexadecimal digest that is equal for repetitions of a request at any gateway.

    `path` includes the query string. Each field is prefixed with its length, so that requests whose
    concatenated fields are equal still get different digests.
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
    """A run whose upstream connection ended before the response was complete.

    `path` is without the query string.
    """

    fingerprint: str
    request_id: str
    host: str
    path: str
    service: str
    upstream: str


@attrs.frozen
class Held:
    """State of a held request: upstreams that crashed under it, and time until its next trial."""

    crashes: int
    retry_after: timedelta


class RequestGuard(abc.ABC):
    """Protects upstreams from requests that would crash them.

    A request is suspected once an upstream has crashed while running it, and held once enough
    upstreams have. A held request does not run, except for single trials. Requests are identified
    by their fingerprints.
    """

    @property
    @abc.abstractmethod
    def has_suspects(self) -> bool:
        """Return whether any request is suspected; if not, single requests need no check."""

    @abc.abstractmethod
    def is_suspected(self, request: str) -> bool:
        """Return whether an upstream crashed under a request, held or not."""

    @abc.abstractmethod
    def held(self, request: str) -> Held | None:
        """Return the state of a held request, or None if it may run."""

    @abc.abstractmethod
    async def async_claim_trial(self, request: str) -> bool:
        """Claim the due trial of a held request; return True at one gateway at most."""

    @abc.abstractmethod
    async def async_report_broken_run(self, run: BrokenRun) -> None:
        """Report a broken run; return once its upstream was probed, or after a timeout."""

    @abc.abstractmethod
    def record_answer(self, request: str) -> None:
        """Record that an upstream ran a request to a valid response."""
