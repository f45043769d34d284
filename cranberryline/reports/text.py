"""Reports as text."""

from collections import defaultdict
from collections.abc import Iterator, Sequence
from datetime import datetime, timedelta

from .model import Cause, ItemPath, LogLines, RequestPath, Span, StepPath
from .path import causes_of

__all__ = ["LABELS", "read_text", "request_text", "run_text", "step_text"]

LABELS = {
    Cause.ACCEPT: "accept",
    Cause.NODE: "wait for a node",
    Cause.PLACE: "wait for a place",
    Cause.PREFILL: "prefill",
    Cause.BROKEN: "broken runs",
    Cause.TEXT: "text",
    Cause.SCORING_WAIT: "wait for scoring",
    Cause.SCORING: "scoring",
    Cause.APPEND: "append",
    Cause.READ: "read",
    Cause.UNFINISHED: "items without a line",
    Cause.UPSTREAM: "upstream",
}
_SLOWEST = 10
_COLUMNS = (
    (Cause.NODE, "node"),
    (Cause.PLACE, "place"),
    (Cause.PREFILL, "prefill"),
    (Cause.BROKEN, "broken"),
    (Cause.TEXT, "text"),
    (Cause.SCORING_WAIT, "swait"),
    (Cause.SCORING, "scoring"),
    (Cause.APPEND, "append"),
)


def read_text(log: LogLines) -> str:
    """Return in a line what was read and what was left out."""
    skip = log.skipped
    return (
        f"{log.lines} lines read, {log.other} of no use here; skipped: {skip.not_json} no JSON,"
        f" {skip.bad_fields} with bad fields, {skip.cut_short} cut short"
    )


def step_text(path: StepPath) -> str:
    """Return a step, its causes and its items, the groups in the order in which they ended."""
    return "\n".join([*_head(path), "", *_causes(path.spans, path.took), "", *_items(path)])


def run_text(paths: Sequence[StepPath]) -> str:
    """Return the causes of all steps together, the trainers, and the steps that took longest."""
    total = sum((path.took for path in paths), timedelta())
    spans = [span for path in paths for span in path.spans]
    lines = [f"{len(paths)} steps, {_s(total)} s of critical path", "", *_causes(spans, total), ""]
    by_model: dict[str, list[StepPath]] = defaultdict(list)
    for path in paths:
        by_model[path.step.model].append(path)
    lines.append("trainer              steps  whole  not whole  unknown  median s  longest s")
    for model, own in sorted(by_model.items()):
        times = sorted(path.took for path in own)
        lines.append(
            f"{model or '(not told)':20} {len(own):5}  {_count(own, True):5}  {_count(own, False):9}"
            f"  {_count(own, None):7}  {_s(times[len(times) // 2]):>8}  {_s(times[-1]):>9}"
        )
    lines += ["", "the steps that took longest:"]
    slowest = sorted(paths, key=lambda path: (-path.took, path.step.job))[:_SLOWEST]
    return "\n".join([*lines, *(_row(path) for path in slowest)])


def request_text(path: RequestPath) -> str:
    """Return a request's lines, each with the time since the first."""
    total = sum((span.took for span in path.spans), timedelta())
    lines = [f"request {path.request_id}: {_s(total)} s", *_causes(path.spans, total), ""]
    first = float(path.lines[0]["timestamp"])
    left_out = {"timestamp", "message_type", "request_id", "task_uuid", "task_level", "logger"}
    for line in path.lines:
        shown = {key: value for key, value in line.items() if key not in left_out}
        after = float(line["timestamp"]) - first
        fields = " ".join(f"{key}={value}" for key, value in sorted(shown.items()))
        lines.append(f"{after:+9.3f} s  {line.get('message_type', '?')}  {fields}")
    return "\n".join(lines)


def _head(path: StepPath) -> Iterator[str]:
    step = path.step
    number = "" if step.number is None else f", step {step.number}"
    yield f"job {step.job}, trainer {step.model or '(not told)'}{number}: {_s(path.took)} s"
    if step.named is not None:
        yield f"  {_clock(step.named[1])}  version {step.named[0]} named, the newest by then"
    refused = f" ({step.refusals} submissions refused first)" if step.refusals else ""
    yield f"  {_clock(step.asked)}  asked{refused}"
    yield f"  {_clock(step.accepted_at)}  accepted and kept"
    if path.items:
        began = min(span.end for item in path.items for span in item.spans[:1])
        yield f"  {_clock(began)}  first item begun"
    if path.last is not None:
        line = path.last.line
        yield (
            f"  {_clock(path.last.listed_at)}  last needed item listed: {line.request_id} of group"
            f" {line.group or '(not told)'} at {line.vm_id or '(not told)'}"
        )
        if line.group in step.reads:
            yield f"  {_clock(step.reads[line.group])}  its group read"
    if step.ended_at is not None:
        yield f"  {_clock(step.ended_at)}  ended by its caller"
    items = "?" if step.item_count is None else step.item_count
    wanted = "?" if path.groups_wanted is None else path.groups_wanted
    whole = {True: "whole", False: "NOT whole", None: "not known whether whole"}[path.complete]
    yield f"  groups listed {path.groups_listed}, wanted {wanted} ({whole})"
    yield f"  items listed {len(path.items)} of {items}, run twice {step.repeated}"
    if step.cancelled:
        stages = ", ".join(f"{count} at {stage}" for stage, count in step.cancelled.items())
        yield f"  still running when it was ended: {stages}"


def _causes(spans: Sequence[Span], total: timedelta) -> Iterator[str]:
    for cause, took in causes_of(spans).items():
        yield f"  {LABELS[cause]:24} {_s(took):>9} s  {took / total:6.1%}"


def _items(path: StepPath) -> Iterator[str]:
    names = " ".join(f"{name:>8}" for _, name in _COLUMNS)
    yield f"group            item             listed s {names}  runs  upstreams"
    groups: dict[str, list[ItemPath]] = defaultdict(list)
    for item in path.items:
        groups[item.line.group].append(item)
    ended = {name: max(item.listed_at for item in own) for name, own in groups.items()}
    for name in sorted(groups, key=lambda name: (ended[name], name)):
        for item in sorted(groups[name], key=lambda item: (item.listed_at, item.line.request_id)):
            mark = "*" if item is path.last else " "
            yield mark + _item(item, path)


def _item(item: ItemPath, path: StepPath) -> str:
    line, took = item.line, causes_of(item.spans)
    spent = " ".join(f"{_s(took.get(cause, timedelta())):>8}" for cause, _ in _COLUMNS)
    resumed = f"+{line.resumed}r" if line.resumed else ""
    return (
        f"{line.group or '-':15} {line.request_id:16} {_s(item.listed_at - path.start):>8} {spent}"
        f"  {line.runs}{resumed:4} {','.join(line.upstreams)}"
        f"{'' if line.outcome == 'completed' else ' ' + line.outcome}"
    )


def _row(path: StepPath) -> str:
    step, causes = path.step, causes_of(path.spans)
    first = sorted(causes, key=lambda cause: -causes[cause])[:2]
    told = ", ".join(f"{LABELS[cause]} {_s(causes[cause])}" for cause in first)
    number = "" if step.number is None else step.number
    return f"  {_clock(step.asked)} {step.job} {step.model} {number}: {_s(path.took)} s ({told})"


def _count(paths: Sequence[StepPath], complete: bool | None) -> int:
    return sum(path.complete is complete for path in paths)


def _clock(at: datetime) -> str:
    return f"{at:%Y-%m-%d %H:%M:%S}.{at.microsecond // 1000:03}Z"


def _s(took: timedelta) -> str:
    return f"{took.total_seconds():.3f}"
