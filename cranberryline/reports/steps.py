"""Put steps together from lines, whatever the order of lines and files."""

from collections import Counter, defaultdict
from datetime import UTC, datetime, timedelta

import msgspec

from cranberryline.jobs.errors import JobProblem

from .model import ItemLine, JobAccepted, LogLines, Refused, Step

__all__ = ["moment", "steps_of"]

# Refusals of a submission; readers of the job are refused under its id too.
_NOT_ACCEPTED = frozenset({JobProblem.NOT_STORED.value, JobProblem.MAY_BE_STORED.value})


def moment(timestamp: float) -> datetime:
    """Return Unix seconds as a moment in UTC."""
    return datetime.fromtimestamp(timestamp, UTC)


def steps_of(log: LogLines) -> list[Step]:
    """Return every job that the lines tell of, in the order in which they were asked for."""
    accepted: dict[str, list[JobAccepted]] = defaultdict(list)
    items: dict[str, list[ItemLine]] = defaultdict(list)
    refused: dict[str, list[Refused]] = defaultdict(list)
    for job in log.accepted:
        accepted[job.request_id].append(job)
    for item in log.items:
        items[item.job].append(item)
    for line in log.refused:
        if line.reason in _NOT_ACCEPTED:
            refused[line.request_id].append(line)
    reads = _reads(log)
    ended: dict[str, datetime] = {}
    for end in log.ended:
        at = moment(end.timestamp)
        ended[end.request_id] = min(at, ended.get(end.request_id, at))
    cancelled: dict[str, Counter[str]] = defaultdict(Counter)
    for gone in log.cancelled:
        cancelled[gone.request_id].update(gone.stages or {"unknown": gone.items})
    versions = _named(log)
    steps = []
    for job_id in sorted(accepted.keys() | items.keys()):
        first = min(accepted[job_id], key=_order, default=None)
        model = first.model if first else ""
        own = _once_each(items[job_id])
        asked, kept = _start(first, refused[job_id], own)
        known = [(version, at) for version, at in versions.get(model, ()) if at <= asked]
        step = Step(
            job=job_id,
            model=model,
            number=first.step if first else None,
            asked=asked,
            accepted_at=kept,
            named=max(known, default=None),
            item_count=first.items if first else None,
            group_count=first.group_count if first else None,
            refusals=len(refused[job_id]),
            items=own,
            repeated=len(items[job_id]) - len(own),
            reads=reads.get(job_id, {}),
            ended_at=ended.get(job_id),
            cancelled=dict(sorted(cancelled[job_id].items())),
        )
        steps.append(step)
    return sorted(steps, key=lambda step: (step.asked, step.job))


def _order(line: JobAccepted | ItemLine) -> tuple[float, bytes]:
    """Return an order of lines that doesn't depend on where they stand."""
    return line.timestamp, msgspec.json.encode(line)


def _start(
    first: JobAccepted | None, refused: list[Refused], items: tuple[ItemLine, ...]
) -> tuple[datetime, datetime]:
    """Return when a job was asked for first and when it was kept; by its items if nothing else tells."""
    if first is None:
        spans = ((item, item.waited_ms + item.text_ms + item.score_ms) for item in items)
        seen = min(
            moment(item.timestamp) - timedelta(milliseconds=ms + item.append_ms)
            for item, ms in spans
        )
        return seen, seen
    kept = moment(first.timestamp)
    calls = [*refused, first]
    asked = min(moment(call.timestamp) - timedelta(milliseconds=call.ms) for call in calls)
    return min(asked, kept), kept


def _once_each(items: list[ItemLine]) -> tuple[ItemLine, ...]:
    """Return each item's first listed line, by id: what two nodes ran is listed once."""
    best: dict[str, ItemLine] = {}
    for item in sorted(items, key=lambda item: (not item.listed, *_order(item))):
        best.setdefault(item.request_id, item)
    return tuple(best[item_id] for item_id in sorted(best))


def _reads(log: LogLines) -> dict[str, dict[str, datetime]]:
    """Return when each group of each job was first read whole."""
    reads: dict[str, dict[str, datetime]] = defaultdict(dict)
    for line in log.reads:
        at, groups = moment(line.timestamp), reads[line.request_id]
        for group in line.groups:
            groups[group] = min(at, groups.get(group, at))
    return reads


def _named(log: LogLines) -> dict[str, list[tuple[int, datetime]]]:
    """Return when each version of each model was first heard of."""
    first: dict[tuple[str, int], datetime] = {}
    for line in log.versions:
        at, key = moment(line.timestamp), (line.model, line.version)
        first[key] = min(at, first.get(key, at))
    named: dict[str, list[tuple[int, datetime]]] = defaultdict(list)
    for (model, version), at in sorted(first.items()):
        named[model].append((version, at))
    return named
