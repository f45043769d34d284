"""Reports as plain data, for JSON: times in ISO 8601, spans in milliseconds."""

from collections.abc import Sequence
from datetime import datetime, timedelta
from typing import Any

import attrs

from cranberryline.helpers.clock import in_milliseconds

from .model import Cause, ItemPath, LogLines, RequestPath, Span, StepPath
from .path import causes_of

__all__ = ["read_plain", "request_plain", "run_plain", "step_plain"]


def read_plain(log: LogLines) -> dict[str, Any]:
    """Return what was read and what was left out."""
    return {"lines": log.lines, "other": log.other, "skipped": attrs.asdict(log.skipped)}


def step_plain(path: StepPath) -> dict[str, Any]:
    """Return a step with its items."""
    rows = sorted(path.items, key=lambda item: (item.line.group, item.line.request_id))
    return _step_head(path) | {"items": [_item(item, path) for item in rows]}


def run_plain(paths: Sequence[StepPath]) -> dict[str, Any]:
    """Return steps without their items, and their causes together."""
    spans = [span for path in paths for span in path.spans]
    total = sum((path.took for path in paths), timedelta())
    return {"causes": _causes(spans, total), "steps": [_step_head(path) for path in paths]}


def request_plain(path: RequestPath) -> dict[str, Any]:
    """Return a request's lines and what its time went on."""
    total = sum((span.took for span in path.spans), timedelta())
    causes = _causes(path.spans, total)
    return {"request": path.request_id, "causes": causes, "lines": list(path.lines)}


def _step_head(path: StepPath) -> dict[str, Any]:
    step, last = path.step, path.last
    return {
        "job": step.job,
        "model": step.model,
        "step": step.number,
        "version": step.named and step.named[0],
        "named_at": _iso(step.named and step.named[1]),
        "asked_at": _iso(step.asked),
        "accepted_at": _iso(step.accepted_at),
        "first_began_at": _iso(min(map(_began, path.items), default=None)),
        "ended_at": _iso(step.ended_at),
        "refusals": step.refusals,
        "items": step.item_count,
        "items_listed": len(path.items),
        "items_repeated": step.repeated,
        "cancelled": step.cancelled,
        "groups_listed": path.groups_listed,
        "groups_wanted": path.groups_wanted,
        "complete": path.complete,
        "last_group": last and last.line.group,
        "last_item": last and last.line.request_id,
        "ms": in_milliseconds(path.took),
        "causes": _causes(path.spans, path.took),
    }


def _item(item: ItemPath, path: StepPath) -> dict[str, Any]:
    line = item.line
    return {
        "item": line.request_id,
        "group": line.group,
        "node": line.vm_id,
        "outcome": line.outcome,
        "job_seen_at": _iso(_began(item) - timedelta(milliseconds=line.waited_ms)),
        "began_at": _iso(_began(item)),
        "listed_at": _iso(item.listed_at),
        "read_at": _iso(path.step.reads.get(line.group)),
        "events": line.events,
        "runs": line.runs,
        "resumed": line.resumed,
        "upstreams": list(line.upstreams),
        "ms": {cause.value: in_milliseconds(took) for cause, took in causes_of(item.spans).items()},
    }


def _began(item: ItemPath) -> datetime:
    return next(span.end for span in item.spans if span.cause is Cause.NODE)


def _causes(spans: Sequence[Span], total: timedelta) -> dict[str, dict[str, float]]:
    return {
        cause.value: {"ms": in_milliseconds(took), "share": round(took / total, 4)}
        for cause, took in causes_of(spans).items()
    }


def _iso(at: datetime | None) -> str | None:
    return None if at is None else at.isoformat(timespec="milliseconds")
