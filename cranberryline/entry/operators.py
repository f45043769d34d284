"""The operators' endpoints: publish records, look at them, see what is in force where."""

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
from cranberryline.helpers.tokens import Role, TokenTable

__all__ = ["OperatorContext", "PeerStatus", "operator_routes"]

ARG_KIND = "kind"
MAX_BODY_BYTES = 256 * 1024
REASON_BAD_JSON = "bad_json"
REASON_NOT_READY = "not_ready"
REASON_UNKNOWN_KIND = "unknown_kind"
REASON_UNKNOWN_RECORD = "unknown_record"
HEADER_AUTHORIZATION = "Authorization"

STATUS_OF = {
    PublishReason.CONFLICT: 409,
    PublishReason.INVALID: 422,
    PublishReason.UNKNOWN_SCHEMA: 422,
    PublishReason.LOG_UNAVAILABLE: 503,
}
TITLE_OF = {
    PublishReason.CONFLICT: "the record was amended in the meantime",
    PublishReason.INVALID: "the record has mistakes",
    PublishReason.UNKNOWN_SCHEMA: "the record's schema version is not known here",
    PublishReason.LOG_UNAVAILABLE: "the log service did not confirm the record",
}


@attrs.frozen
class PeerStatus:
    """What this entry knows of another process."""

    id: str
    role: str
    service: str
    state: str
    connected: bool
    config_offset: int | None
    weight_version: int | None

    def as_dict(self) -> dict[str, Any]:
        """Return the row as JSON data."""
        return attrs.asdict(self)


@attrs.frozen
class OperatorContext:
    """What the operators' endpoints need.

    `peers` tells of the processes that this entry knows. `tokens` None leaves the endpoints open,
    for tests of this module only.
    """

    vm_id: str
    fold: ConfigFold
    publisher: ConfigPublisher
    metrics: Metrics
    current: Callable[[], bool]
    peers: Callable[[], list[PeerStatus]]
    tokens: TokenTable | None


class _OperatorHandler(ProblemHandler):
    """Check the token, and write answers and refusals as JSON."""

    def initialize(self, context: OperatorContext) -> None:
        """Take what the endpoints need."""
        self._context = context
        self._who = ""

    def prepare(self) -> None:
        """Refuse whoever has no operator's token."""
        if self._context.tokens is None:
            return
        checked = self._context.tokens.check(
            self.request.headers.get(HEADER_AUTHORIZATION), Role.OPERATOR
        )
        if isinstance(checked, Err):
            refusal = checked.err_value
            self.refuse(refusal.status, refusal.value, "an operator's token is needed")
            return
        self._who = checked.ok_value

    def refuse(self, status: int, reason: str, title: str, **more: Any) -> None:
        """Refuse with a problem, counted."""
        self._context.metrics.refuse(reason)
        write_problem(self, status, reason, title, **more)

    def read_kind(self, value: str) -> Kind | None:
        """Return a record kind, or refuse."""
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
    """Publish a record, and list those in force."""

    async def post(self) -> None:
        """Publish one record."""
        data = self._read_body()
        if data is None:
            return
        record_id = data.pop(ATTR_ID, None)
        if record_id is None:
            record_id = uuid.uuid4().hex
        if self._who:
            data["author"] = self._who
        match await self._context.publisher.async_publish(data, record_id):
            case Ok(accepted):
                self.finish(_accepted_data(accepted))
            case Err(refused):
                self._refuse_publication(refused)

    def get(self) -> None:
        """List the records in force, of one kind or all."""
        if not self._context.current():
            self.refuse(503, REASON_NOT_READY, "the configuration is not known yet")
            return
        wanted = self.get_query_argument(ARG_KIND, "")
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
            STATUS_OF[refused.reason],
            refused.reason.value,
            TITLE_OF[refused.reason],
            ran=refused.ran.value,
            retry_after=refused.retry_after,
            detail=_detail(refused),
            record_id=refused.record_id,
            current=current,
            current_revision=refused.current_revision,
            mistakes=[mistake.as_dict() for mistake in refused.mistakes],
        )


class HistoryHandler(_OperatorHandler):
    """Show the accepted revisions of one record."""

    def get(self, kind: str, name: str) -> None:
        """List what this entry has seen, oldest first."""
        known = self.read_kind(kind)
        if known is None:
            return
        fold = self._context.fold
        rows = [revision.as_dict() for revision in fold.history(known, name)]
        if not rows:
            self.refuse(404, REASON_UNKNOWN_RECORD, f"no record {kind}/{name} was seen here")
            return
        self.finish({"current_revision": fold.current_revision(known, name), "records": rows})


class StatusHandler(_OperatorHandler):
    """Show what is in force where, as this entry knows it."""

    def get(self) -> None:
        """List this entry and every process it knows."""
        fold = self._context.fold
        unread = [
            {"kind": u.amendment.kind.value, "name": u.amendment.name, "offset": u.offset}
            for u in fold.unread()
        ]
        self.finish(
            {
                "vm_id": self._context.vm_id,
                "current": self._context.current(),
                "config_offset": fold.offset,
                "checkpoint_as_of": fold.checkpoint.as_of,
                "weights": _weights_data(fold),
                "peers": [peer.as_dict() for peer in self._context.peers()],
                "refused_records": {r.value: n for r, n in fold.rejections.items()},
                "waiting_for_newer_release": unread,
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
    shown = {}
    for revision in fold.records(Kind.WEIGHTS):
        found = fold.weights(revision.name)
        if found is not None:
            shown[revision.name] = {"version": found[0].version, "revision": found[1]}
    return shown


def _detail(refused: PublishRefused) -> str:
    """Return what was wrong and what to do, in one text for people."""
    parts = [_sentence(mistake) for mistake in refused.mistakes]
    if refused.reason is PublishReason.CONFLICT:
        parts.append(f"the current revision is {refused.current_revision}")
    if refused.ran is Ran.UNKNOWN:
        parts.append(f"the record's id is {refused.record_id}")
    return "; ".join([*parts, refused.advice])


def _sentence(mistake: Mistake) -> str:
    return f"{mistake.key} is {mistake.value!r}, allowed: {mistake.allowed}"
