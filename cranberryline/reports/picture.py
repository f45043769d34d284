"""Reports as pictures, with matplotlib: an extra that nothing else of the program imports."""

from collections.abc import Sequence
from datetime import datetime
from typing import Any

from result import Err, Ok, Result

from .errors import ReportError, ReportProblem
from .model import Cause, ItemPath, Span, StepPath
from .path import causes_of
from .text import LABELS

__all__ = ["draw_run", "draw_step"]

_COLOURS = {
    Cause.ACCEPT: "#7f7f7f",
    Cause.NODE: "#d62728",
    Cause.PLACE: "#ff7f0e",
    Cause.PREFILL: "#bcbd22",
    Cause.BROKEN: "#e377c2",
    Cause.TEXT: "#1f77b4",
    Cause.SCORING_WAIT: "#9467bd",
    Cause.SCORING: "#17becf",
    Cause.APPEND: "#8c564b",
    Cause.READ: "#2ca02c",
    Cause.UNFINISHED: "#000000",
    Cause.UPSTREAM: "#1f77b4",
}
_WIDTH = 12.0
_ROW_HEIGHT = 0.14
_MAX_HEIGHT = 60.0
_DPI = 110


def draw_step(path: StepPath, file: str) -> Result[None, ReportError]:
    """Draw a waterfall of a step's items, each group's together, the last needed item at the top."""
    ends: dict[str, datetime] = {}
    for item in path.items:
        group, at = item.line.group, item.listed_at
        ends[group] = max(at, ends.get(group, at))
    rows = sorted(
        path.items, key=lambda item: (ends[item.line.group], item.line.group, item.listed_at)
    )
    height = min(2.0 + _ROW_HEIGHT * len(rows), _MAX_HEIGHT)
    made = _figure(height)
    if isinstance(made, Err):
        return made
    figure, axes = made.unwrap()
    for row, item in enumerate(rows):
        _bar(axes, path, item.spans, row)
    _bar(axes, path, path.spans, len(rows))
    names = [f"{item.line.group} {item.line.request_id}" for item in rows]
    axes.set_yticks(range(len(rows) + 1), [*names, "critical path"], fontsize=6)
    marks = [("accepted", path.step.accepted_at), ("ended", path.step.ended_at)]
    for name, at in marks:
        if at is not None:
            axes.axvline((at - path.start).total_seconds(), linestyle=":", label=name)
    axes.set_xlabel("seconds since the step was asked for")
    axes.set_title(f"{path.step.model} step {path.step.number}, job {path.step.job}")
    return _save(figure, [*rows, path], file)


def draw_run(paths: Sequence[StepPath], file: str) -> Result[None, ReportError]:
    """Draw each step's causes as a bar where it was asked for, over the time of the run."""
    made = _figure(6.0)
    if isinstance(made, Err):
        return made
    figure, axes = made.unwrap()
    start = min(path.start for path in paths)
    places = [(path.start - start).total_seconds() for path in paths]
    width = max((max(places) or 1.0) / max(4 * len(paths), 1), 0.05)
    floor = [0.0] * len(paths)
    for cause in Cause:
        sizes = [causes_of(path.spans).get(cause) for path in paths]
        seconds = [size.total_seconds() if size else 0.0 for size in sizes]
        if any(seconds):
            colour, label = _COLOURS[cause], LABELS[cause]
            axes.bar(places, seconds, width, bottom=floor, color=colour, label=label, alpha=0.85)
            floor = [low + size for low, size in zip(floor, seconds, strict=True)]
    axes.set_xlabel(f"seconds since {start:%Y-%m-%d %H:%M:%S}Z")
    axes.set_ylabel("seconds of critical path")
    return _save(figure, paths, file)


def _figure(height: float) -> Result[tuple[Any, Any], ReportError]:
    """Return a figure of its own: no window system and no state of the library's is needed."""
    try:
        from matplotlib.figure import Figure  # noqa: PLC0415 - an extra; daemons never need it
    except ImportError:
        message = "--picture needs matplotlib, which is not installed: pip install matplotlib"
        return Err(ReportError(ReportProblem.NO_LIBRARY, message))
    figure = Figure(figsize=(_WIDTH, height), layout="constrained")
    return Ok((figure, figure.subplots()))


def _bar(axes: Any, path: StepPath, spans: Sequence[Span], row: int) -> None:
    shown = [span for span in spans if span.took]
    places = [
        ((span.start - path.start).total_seconds(), span.took.total_seconds()) for span in shown
    ]
    colours = [_COLOURS[span.cause] for span in shown]
    axes.broken_barh(places, (row - 0.4, 0.8), facecolors=colours)


def _save(
    figure: Any, shown: Sequence[ItemPath | StepPath], file: str
) -> Result[None, ReportError]:
    """Write the figure with a legend of the causes that it shows."""
    from matplotlib.patches import Patch  # noqa: PLC0415 - an extra; daemons never need it

    causes = {cause for path in shown for cause in causes_of(path.spans)}
    handles = [
        Patch(color=_COLOURS[cause], label=LABELS[cause]) for cause in Cause if cause in causes
    ]
    figure.legend(handles=handles, fontsize=8, loc="outside upper center", ncols=len(handles) or 1)
    try:
        figure.savefig(file, dpi=_DPI)
    except (OSError, ValueError) as exc:
        message = f"{file}: the picture cannot be written: {exc}"
        return Err(ReportError(ReportProblem.BAD_FILE, message))
    return Ok(None)
