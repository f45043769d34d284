"""The critical path of a step: which group and item ended it, and what these waited for. Pure."""

from collections import defaultdict
from collections.abc import Iterable
from datetime import datetime, timedelta

from .model import Cause, ItemLine, ItemPath, Span, Step, StepPath
from .steps import moment

__all__ = ["causes_of", "item_path", "step_path"]

# Callers read about twice a second, and end a step when they have read enough.
_READ_CYCLE = timedelta(seconds=1)


def step_path(step: Step) -> StepPath:
    """Return what a step's time went on, along the one chain of waits that made it as long as it was.

    The chain leads from the first asking over the item that ended last in the last group that the
    caller needed, to the reading of that group. Where the caller ended the step without having enough,
    what follows the last item of which the lines tell counts as unfinished.
    """
    items = tuple(item_path(line, step.accepted_at) for line in step.items if line.listed)
    groups = _groups(items)
    whole = {name: own for name, own in groups.items() if _is_whole(own, step)}
    wanted = _wanted(step)
    complete = None if wanted is None else len(whole) >= wanted
    last: ItemPath | None = None
    if pool := whole if complete else groups:
        name = _last_group(step, pool, wanted if complete else None)
        last = max(pool[name], key=lambda item: (item.listed_at, item.line.request_id))
    spans = [Span(Cause.ACCEPT, step.asked, step.accepted_at), *(last.spans if last else ())]
    spans.append(_ending(step, last, complete, spans[-1].end))
    return StepPath(step, items, last, len(whole), wanted, complete, _chain(spans, step.asked))


def item_path(line: ItemLine, accepted_at: datetime) -> ItemPath:
    """Return an item's spans from its job's acceptance to its listing.

    Only the line's end is told by a clock that others share; the spans before it are reckoned back. The
    item's node may be off by its clock or have kept its line's parts rounded: a span that would begin
    before the one before it ends is cut.
    """
    listed = moment(line.timestamp)
    ended = listed - _ms(line.append_ms)
    text_at = ended - _ms(line.score_ms)
    began = text_at - _ms(line.text_ms)
    placed = began + _ms(line.place_ms)
    heard = placed + _ms(line.prefill_ms)
    marks = [
        (Cause.NODE, began),
        (Cause.PLACE, placed),
        (Cause.PREFILL, heard),
        (Cause.BROKEN, heard + _ms(line.broken_ms)),
        (Cause.TEXT, text_at),
        (Cause.SCORING_WAIT, text_at + _ms(line.score_wait_ms)),
        (Cause.SCORING, ended),
        (Cause.APPEND, listed),
    ]
    start = min(accepted_at, listed)
    spans = [Span(cause, start, end) for cause, end in marks]
    return ItemPath(line, _chain(spans, start, listed))


def causes_of(spans: Iterable[Span]) -> dict[Cause, timedelta]:
    """Return how long each cause took, without those that took no time, in the order of a step."""
    sums = dict.fromkeys(Cause, timedelta())
    for span in spans:
        sums[span.cause] += span.took
    return {cause: took for cause, took in sums.items() if took}


def _chain(
    spans: Iterable[Span], start: datetime, limit: datetime | None = None
) -> tuple[Span, ...]:
    """Let each span begin where the one before it ends, none with less than no time."""
    chained: list[Span] = []
    for span in spans:
        end = max(start, span.end if limit is None else min(span.end, limit))
        chained.append(Span(span.cause, start, end))
        start = end
    return tuple(chained)


def _groups(items: tuple[ItemPath, ...]) -> dict[str, list[ItemPath]]:
    """Return the items of each group; those of lines without a group are taken as one."""
    groups: dict[str, list[ItemPath]] = defaultdict(list)
    for item in items:
        groups[item.line.group].append(item)
    return groups


def _is_whole(items: list[ItemPath], step: Step) -> bool:
    """Tell whether all items of a group are listed."""
    size = items[0].line.group_size or step.item_count
    return size is not None and len(items) >= size


def _wanted(step: Step) -> int | None:
    """Return how many groups the caller waits for, None if the lines don't tell."""
    if any(not line.group for line in step.items):
        return None
    return step.group_count


def _last_group(step: Step, groups: dict[str, list[ItemPath]], wanted: int | None) -> str:
    """Return the group that ended the step: the last one of those that the caller wanted.

    A caller also waits for groups that it asks for again, whatever else is whole, and no line names
    these. One that went on waiting with enough groups in its hands did so for the last that it read.
    """
    done = {name: _done_at(step, name, own) for name, own in groups.items()}
    order = sorted(done, key=lambda name: (done[name], _listed_at(groups[name]), name))
    if not wanted:
        return order[-1]
    enough = order[wanted - 1]
    if step.ended_at is None or step.ended_at - done[enough] <= _READ_CYCLE:
        return enough
    return [name for name in order if done[name] <= step.ended_at][-1]


def _listed_at(items: list[ItemPath]) -> datetime:
    return max(item.listed_at for item in items)


def _done_at(step: Step, name: str, items: list[ItemPath]) -> datetime:
    """Return when a group was read whole, or listed if nobody is known to have read it."""
    listed = _listed_at(items)
    return max(listed, step.reads.get(name, listed))


def _ending(step: Step, last: ItemPath | None, complete: bool | None, end: datetime) -> Span:
    """Return the span between the last listing and the end of the step."""
    if last is not None and complete is not False:
        read = step.reads.get(last.line.group)
        return Span(Cause.READ, end, read or step.ended_at or end)
    return Span(Cause.UNFINISHED, end, step.ended_at or end)


def _ms(count: int) -> timedelta:
    return timedelta(milliseconds=count)
