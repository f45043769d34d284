"""Print measurements and their fits as JSON lines."""

import json
from collections.abc import Sequence
from typing import Any

from .fit import fit

__all__ = ["print_fits", "print_line"]


def print_line(part: str, **figures: Any) -> None:
    """Print one measurement."""
    print(json.dumps({"bench": "capacity", "part": part, **figures}), flush=True)


def print_fits(
    part: str, rows: Sequence[dict[str, float]], size: str, names: Sequence[str], target: float
) -> None:
    """Print the fit of each named figure over the sizes of the rows."""
    sizes = [row[size] for row in rows]
    for name in names:
        fitted = fit(sizes, [row[name] for row in rows])
        print_line(part, fit=name, over=size, **fitted.as_dict(target))
