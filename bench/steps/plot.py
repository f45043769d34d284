"""Draw the share of groups in time of each policy, with the error of its difference."""

from collections.abc import Sequence
from pathlib import Path

import matplotlib

matplotlib.use("svg")

from matplotlib import pyplot  # noqa: E402

from .model import Row  # noqa: E402

__all__ = ["draw"]

# A fixed salt and no date: the same figures give the same file.
matplotlib.rcParams["svg.hashsalt"] = "cranberryline"
_FIGURE = "in time"


def draw(rows: Sequence[Row], path: Path) -> None:
    """Write one panel a load; bars are differences to the first policy, lines two errors."""
    own = [row for row in rows if row.figure == _FIGURE]
    loads = list(dict.fromkeys(row.load for row in own))
    figure, axes = pyplot.subplots(len(loads), 1, figsize=(7, 1.9 * len(loads)), squeeze=False)
    for load, (axis,) in zip(loads, axes, strict=True):
        shown = [row for row in own if row.load == load][1:]
        names = [row.policy for row in shown]
        axis.barh(
            names,
            [row.difference for row in shown],
            xerr=[2 * row.error for row in shown],
            height=0.6,
        )
        axis.invert_yaxis()
        axis.set_title(f"{load}: share of groups in time, against as before", fontsize=9)
        axis.tick_params(labelsize=7)
    figure.tight_layout()
    path.parent.mkdir(parents=True, exist_ok=True)
    figure.savefig(path, metadata={"Date": None})
    pyplot.close(figure)
