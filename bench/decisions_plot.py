"""Draw the curves of a measurement."""

from collections import defaultdict
from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from .decisions_plan import POLICY, SIMPLE  # noqa: E402
from .decisions_report import Row  # noqa: E402

__all__ = ["draw"]

# A fixed salt and no date: the same figures give the same file.
matplotlib.rcParams["svg.hashsalt"] = "cranberryline"
CURVE = "freshness "


def draw(rows: Sequence[Row], folder: Path) -> list[Path]:
    """Draw idle time against staleness for each load that has the curve; return the files."""
    folder.mkdir(parents=True, exist_ok=True)
    by_plot: dict[tuple[str, str], list[Row]] = defaultdict(list)
    for row in rows:
        by_plot[row.case.load.name, row.case.deployment.name].append(row)
    return [
        _draw_one(load, deployment, own, folder)
        for (load, deployment), own in by_plot.items()
        if any(row.case.name.startswith(CURVE) for row in own)
    ]


def _draw_one(load: str, deployment: str, rows: Sequence[Row], folder: Path) -> Path:
    figure, axes = pyplot.subplots(figsize=(6, 4))
    curve = sorted(
        (row.figures["staleness"], row.figures["idle"], _freshness(row))
        for row in rows
        if row.case.name == POLICY or row.case.name.startswith(CURVE)
    )
    axes.plot([x for x, _, _ in curve], [y for _, y, _ in curve], marker="o", label=POLICY)
    for x, y, freshness in curve:
        axes.annotate(f"{freshness:g}", (x, y), textcoords="offset points", xytext=(5, 5))
    for row in rows:
        if row.case.name in SIMPLE:
            axes.scatter(row.figures["staleness"], row.figures["idle"], marker="x")
            axes.annotate(row.case.name, (row.figures["staleness"], row.figures["idle"]))
    axes.set_xlabel("mean staleness at receipt, versions")
    axes.set_ylabel("trainer idle share")
    axes.set_ylim(bottom=0)
    axes.set_title(f"{load}, {deployment} (numbers: freshness)")
    axes.legend()
    path = folder / f"{load.replace(' ', '-')}-{deployment}.svg"
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
    return path


def _freshness(row: Row) -> float:
    if row.case.name == POLICY:
        return row.case.deployment.freshness
    return float(row.case.name.removeprefix(CURVE))
