"""Quarantine of a gateway: its construction, and the HTTP handler that operators use."""

from collections.abc import Callable, Collection
from datetime import timedelta
from http import HTTPStatus

import attrs

from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import ProblemHandler, write_problem
from cranberryline.helpers.tail import KeyedTail, StoreHealth
from cranberryline.platform.ports import PlatformPort
from cranberryline.ports.probe import async_refuses
from cranberryline.ports.store import SharedLog
from cranberryline.quarantine import Quarantine, SuspectedRequest
from cranberryline.upstreams.directory import Directory

__all__ = ["PATH_HOLDS", "HoldsHandler", "QuarantineParts", "make_quarantine"]

PATH_HOLDS = r"/holds(?:/([0-9a-f]{32}))?"
# A machine that responds at all accepts or refuses a connection within one round trip.
_PROBE_TIMEOUT = timedelta(milliseconds=300)


@attrs.frozen
class QuarantineParts:
    """Dependencies of a gateway's quarantine.

    `node` is the id of this gateway's VM; `live` returns the ids of the live gateways.
    """

    node: str
    platform: PlatformPort
    store: SharedLog
    directory: Directory
    clock: Clock
    health: StoreHealth
    metrics: Metrics
    live: Callable[[], Collection[str]]


def make_quarantine(parts: QuarantineParts) -> tuple[Quarantine, KeyedTail]:
    """Return a quarantine, and the tail that feeds it the records of its topic."""

    def in_use(upstream: str) -> bool:
        registration = parts.directory.get(upstream)
        return registration is not None and not registration.draining

    async def async_refuses_connections(upstream: str) -> bool:
        registration = parts.directory.get(upstream)
        return registration is not None and await async_refuses(
            registration.address, _PROBE_TIMEOUT
        )

    topic = parts.platform.topic_quarantine
    quarantine = Quarantine(
        parts.store,
        topic,
        parts.clock,
        parts.health,
        parts.metrics,
        parts.node,
        parts.live,
        in_use,
        async_refuses_connections,
        lambda: tail.offset if tail.loaded.is_set() else None,
    )
    tail = KeyedTail(
        parts.store, topic, parts.clock, parts.health, quarantine.apply_record, is_urgent=True
    )
    return quarantine, tail


class HoldsHandler(ProblemHandler):
    """List suspected and held requests, and release a request.

    A request is suspected once an upstream has crashed while running it, and held once enough
    upstreams have. Requests are addressed by fingerprint.
    """

    def initialize(self, quarantine: Quarantine) -> None:
        """Set the quarantine; called by tornado for each request."""
        self._quarantine = quarantine

    def get(self, request: str | None) -> None:
        """Respond with all suspected requests, or with one; 404 if that one is unknown."""
        suspected = [
            row
            for row in self._quarantine.suspected_requests()
            if request in (None, row.fingerprint)
        ]
        if request is not None and not suspected:
            self._write_unknown_request()
            return
        self.finish({"requests": [_as_dict(row) for row in suspected]})

    async def delete(self, request: str | None) -> None:
        """Release a request at all gateways.

        Responds 503 if the store did not confirm the release, and 404 if the request is unknown.
        """
        released = None if request is None else await self._quarantine.async_release(request)
        if released is None:
            self._write_unknown_request()
        elif not released:
            title = "released at this gateway; the others hear of it when the store is back"
            status = HTTPStatus.SERVICE_UNAVAILABLE
            write_problem(self, status, "store_unavailable", title, ran="unknown")
        else:
            self.finish({"released": True})

    def _write_unknown_request(self) -> None:
        title = "no upstream is known to have crashed under this request"
        write_problem(self, HTTPStatus.NOT_FOUND, "unknown_request", title)


def _as_dict(suspected: SuspectedRequest) -> dict[str, object]:
    """Return the JSON object of a request; `told_by` is the gateway that reported the crash."""
    trial_in = None if suspected.trial_in is None else in_milliseconds(suspected.trial_in)
    return {
        "fingerprint": suspected.fingerprint,
        "held": suspected.trial_in is not None,
        "host": suspected.record.host,
        "path": suspected.record.path,
        "service": suspected.record.service,
        "request_id": suspected.record.request_id,
        "told_by": suspected.record.node,
        "upstreams": suspected.upstreams,
        "trials": suspected.trials,
        "trial_in_ms": trial_in,
    }
