"""The quarantine of a gateway: put together over its store and upstreams, shown to operators, released by them."""

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
# A machine that answers at all does so within a round trip.
_LOOK_TIMEOUT = timedelta(milliseconds=300)


@attrs.frozen
class QuarantineParts:
    """What a gateway's quarantine works with."""

    node: str
    platform: PlatformPort
    store: SharedLog
    directory: Directory
    clock: Clock
    health: StoreHealth
    metrics: Metrics
    live: Callable[[], Collection[str]]


def make_quarantine(parts: QuarantineParts) -> tuple[Quarantine, KeyedTail]:
    """Return a quarantine and the tail of its topic."""

    def in_use(upstream: str) -> bool:
        row = parts.directory.get(upstream)
        return row is not None and not row.draining

    async def async_ended(upstream: str) -> bool:
        row = parts.directory.get(upstream)
        return row is not None and await async_refuses(row.address, _LOOK_TIMEOUT)

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
        async_ended,
        lambda: tail.offset if tail.loaded.is_set() else None,
    )
    tail = KeyedTail(parts.store, topic, parts.clock, parts.health, quarantine.apply_record)
    return quarantine, tail


class HoldsHandler(ProblemHandler):
    """Tell which requests are suspected and held, and release one."""

    def initialize(self, quarantine: Quarantine) -> None:
        """Take the quarantine."""
        self._quarantine = quarantine

    def get(self, request: str | None) -> None:
        """Answer with all, or with one."""
        rows = [
            row
            for row in self._quarantine.suspected_requests()
            if request in (None, row.fingerprint)
        ]
        if request is not None and not rows:
            self._unknown()
            return
        self.finish({"requests": [_row(row) for row in rows]})

    async def delete(self, request: str | None) -> None:
        """Release a request at every gateway; 503 while the store does not have it."""
        released = None if request is None else await self._quarantine.async_release(request)
        if released is None:
            self._unknown()
        elif not released:
            title = "released at this gateway; the others hear of it when the store is back"
            status = HTTPStatus.SERVICE_UNAVAILABLE
            write_problem(self, status, "store_unavailable", title, ran="unknown")
        else:
            self.finish({"released": True})

    def _unknown(self) -> None:
        title = "no upstream is known to have crashed under this request"
        write_problem(self, HTTPStatus.NOT_FOUND, "unknown_request", title)


def _row(row: SuspectedRequest) -> dict[str, object]:
    trial_in = None if row.trial_in is None else in_milliseconds(row.trial_in)
    return {
        "fingerprint": row.fingerprint,
        "held": row.trial_in is not None,
        "host": row.record.host,
        "path": row.record.path,
        "service": row.record.service,
        "request_id": row.record.request_id,
        "told_by": row.record.node,
        "upstreams": row.upstreams,
        "trials": row.trials,
        "trial_in_ms": trial_in,
    }
