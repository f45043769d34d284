"""HTTP endpoints for operators: publish and list configuration records, and show the status."""

import json
import uuid
from collections.abc import Callable
from typing import Any

import attrs
from result import Err, Ok
from tornado.web import RequestHandler

from cranberryline.configs.const import ATTR_ID
from cranberryline.configs.errors import Mistake
from cranberryline.configs.fold import ConfigFold
from cranberryline.configs.model import Kind
from cranberryline.configs.publish import (
    Accepted,
    ConfigPublisher,
    PublishReason,
    PublishRefused,
    Ran,
)
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import ProblemHandler, write_problem
from cranberryline.helpers.raw_body import read_query
from cranberryline.helpers.tokens import Role, TokenTable

__all__ = ["OperatorContext", "PeerStatus", "operator_routes"]

ARG_KIND = "kind"
MAX_BODY_BYTES = 256 * 1024
REASON_BAD_JSON = "bad_json"
REASON_NOT_READY = "not_ready"
REASON_UNKNOWN_KIND = "unknown_kind"
REASON_UNKNOWN_RECORD = "unknown_record"
HEADER_AUTHORIZATION = "Authorization"

STATUS_BY_REASON = {
    PublishReason.CONFLICT: 409,
    PublishReason.INVALID: 422,
    PublishReason.UNKNOWN_SCHEMA: 422,
    PublishReason.LOG_UNAVAILABLE: 503,
}
TITLE_BY_REASON = {
    PublishReason.CONFLICT: "the record was amended in the meantime",
    PublishReason.INVALID: "the record has mistakes",
    PublishReason.UNKNOWN_SCHEMA: "the record's schema version is not known here",
    PublishReason.LOG_UNAVAILABLE: "the log service did not confirm the record",
}


@attrs.frozen
class PeerStatus:
    """The status of another process, as last seen by this entry."""

    id: str
    role: str
    service: str
    state: str
    connected: bool
    config_offset: int | None
    weight_version: int | None

    def as_dict(self) -> dict[str, Any]:
        """Return the status as JSON data."""
        return attrs.asdict(self)


@attrs.frozen
class OperatorContext:
    """The dependencies of the operators' endpoints.

    `is_config_current` returns whether the configuration has been loaded and is up to date.
    `peers` returns the status of every other process in the VM list. `tokens` is None only in
    tests of this module; the endpoints then require no authentication.
    """

    vm_id: str
    fold: ConfigFold
    publisher: ConfigPublisher
    metrics: Metrics
    is_config_current: Callable[[], bool]
    peers: Callable[[], list[PeerStatus]]
    tokens: TokenTable | None


class _OperatorHandler(ProblemHandler):
    """Base handler that authenticates operators and writes JSON responses."""

    def initialize(self, context: OperatorContext) -> None:
        """Store the dependencies of the endpoints."""
        self._context = context
        self._operator_name = ""

    def prepare(self) -> None:
        """Reject a request without a valid operator token."""
        if self._context.tokens is None:
            return
        checked = self._context.tokens.check(
            self.request.headers.get(HEADER_AUTHORIZATION), Role.OPERATOR
        )
        if isinstance(checked, Err):
            refusal = checked.err_value
            self.refuse(refusal.status, refusal.value, "an operator's token is needed")
            return
        self._operator_name = checked.ok_value

    def refuse(self, status: int, reason: str, title: str, **extra: Any) -> None:
        """Respond with a problem and count it in the metrics."""
        self._context.metrics.refuse(reason)
        write_problem(self, status, reason, title, **extra)

    def read_kind(self, value: str) -> Kind | None:
        """Return the record kind, or respond 404 and return None."""
        kinds = [kind for kind in Kind if kind is not Kind.CHECKPOINT]
        if value in [kind.value for kind in kinds]:
            return Kind(value)
        self.refuse(
            404,
            REASON_UNKNOWN_KIND,
            "there is no such kind of record",
            detail="known kinds: " + ", ".join(kind.value for kind in kinds),
        )
        return None


class RecordsHandler(_OperatorHandler):
    """Publishes a record and lists the current ones."""

    async def post(self) -> None:
        """Publish one record, authored by the authenticated operator."""
        data = self._read_body()
        if data is None:
            return
        record_id = data.pop(ATTR_ID, None)
        if record_id is None:
            record_id = uuid.uuid4().hex
        if self._operator_name:
            data["author"] = self._operator_name
        match await self._context.publisher.async_publish(data, record_id):
            case Ok(accepted):
                self.finish(_accepted_data(accepted))
            case Err(refused):
                self._refuse_publication(refused)

    def get(self) -> None:
        """List the current records, optionally of one kind only."""
        if not self._context.is_config_current():
            self.refuse(503, REASON_NOT_READY, "the configuration is not known yet")
            return
        wanted = read_query(self.request.query).get(ARG_KIND, "")
        kind = self.read_kind(wanted) if wanted else None
        if wanted and kind is None:
            return
        fold = self._context.fold
        rows = [revision.as_dict() for revision in fold.records(kind)]
        self.finish({"config_offset": fold.offset, "records": rows})

    def _read_body(self) -> dict[str, Any] | None:
        if len(self.request.body) > MAX_BODY_BYTES:
            self.refuse(413, "body_too_large", f"a record has at most {MAX_BODY_BYTES} bytes")
            return None
        try:
            data = json.loads(self.request.body)
        except (ValueError, RecursionError):
            self.refuse(400, REASON_BAD_JSON, "the body is not JSON")
            return None
        if not isinstance(data, dict):
            self.refuse(400, REASON_BAD_JSON, "the body is not a JSON object")
            return None
        return data

    def _refuse_publication(self, refused: PublishRefused) -> None:
        current = None if refused.current is None else refused.current.as_dict()
        self.refuse(
            STATUS_BY_REASON[refused.reason],
            refused.reason.value,
            TITLE_BY_REASON[refused.reason],
            ran=refused.ran.value,
            retry_after=refused.retry_after,
            detail=_refusal_detail(refused),
            record_id=refused.record_id,
            current=current,
            current_revision=refused.current_revision,
            mistakes=[mistake.as_dict() for mistake in refused.mistakes],
        )


class HistoryHandler(_OperatorHandler):
    """Shows the accepted revisions of one record."""

    def get(self, kind: str, name: str) -> None:
        """List the revisions that this entry has read, oldest first."""
        record_kind = self.read_kind(kind)
        if record_kind is None:
            return
        fold = self._context.fold
        rows = [revision.as_dict() for revision in fold.history(record_kind, name)]
        if not rows:
            self.refuse(404, REASON_UNKNOWN_RECORD, f"no record {kind}/{name} was seen here")
            return
        self.finish({"current_revision": fold.current_revision(record_kind, name), "records": rows})


class StatusHandler(_OperatorHandler):
    """Shows the configuration and weight versions of each process, as seen by this entry."""

    def get(self) -> None:
        """Return the status of this entry and of all its peers."""
        fold = self._context.fold
        unsupported = [
            {"kind": u.amendment.kind.value, "name": u.amendment.name, "offset": u.offset}
            for u in fold.unread()
        ]
        self.finish(
            {
                "vm_id": self._context.vm_id,
                "current": self._context.is_config_current(),
                "config_offset": fold.offset,
                "checkpoint_as_of": fold.checkpoint.as_of,
                "weights": _weights_data(fold),
                "peers": [peer.as_dict() for peer in self._context.peers()],
                "refused_records": {r.value: n for r, n in fold.rejections.items()},
                "waiting_for_newer_release": unsupported,
            }
        )


def operator_routes(context: OperatorContext) -> list[tuple[str, type[RequestHandler], dict]]:
    """Return the routes of the operators' endpoints."""
    args = {"context": context}
    return [
        (r"/config/records", RecordsHandler, args),
        (r"/config/records/([^/]+)/([^/]+)/history", HistoryHandler, args),
        (r"/status", StatusHandler, args),
    ]


def _accepted_data(accepted: Accepted) -> dict[str, Any]:
    return {**accepted.revision.as_dict(), "ran": "yes", "confirmed_by": accepted.confirmed_by}


def _weights_data(fold: ConfigFold) -> dict[str, dict[str, int]]:
    versions = {}
    for revision in fold.records(Kind.WEIGHTS):
        found = fold.weights(revision.name)
        if found is not None:
            versions[revision.name] = {"version": found[0].version, "revision": found[1]}
    return versions


def _refusal_detail(refused: PublishRefused) -> str:
    """Return the errors and the advice as one human-readable text."""
    parts = [_mistake_text(mistake) for mistake in refused.mistakes]
    if refused.reason is PublishReason.CONFLICT:
        parts.append(f"the current revision is {refused.current_revision}")
    if refused.ran is Ran.UNKNOWN:
        parts.append(f"the record's id is {refused.record_id}")
    return "; ".join([*parts, refused.advice])


def _mistake_text(mistake: Mistake) -> str:
    return f"{mistake.key} is {mistake.value!r}, allowed: {mistake.allowed}"
