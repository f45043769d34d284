"""Measure real processes among hosted peers of growing number."""

import contextlib
import time

from .report import print_fits, print_line
from .running import running_entry, running_list, running_mesh, running_side
from .target import ENTRIES, PER_UPSTREAM, SAMPLERS, SIDES_PER_ENTRY

__all__ = ["measure_entry", "measure_list", "measure_mesh", "measure_side"]

_SETTLE_S = 6.0
_MEASURE_S = 20.0
_QUICK_S = 2.0
_FIGURES = ("cpu_percent", "bytes_per_s", "resident_mib")
_SIDES = (7, 28, 56, 112)
_ENTRIES = (3, 12, 48, 96)
_MESH = (10, 24, 48, 96)
_LIST = (500, 2000, 8000)
_QUICK = (2, 4, 8)
# Routing is random in part: with four requests for each connection nearly all carry one.
_REQUESTS_PER_SIDE = 4


def measure_entry(quick: bool) -> None:
    """Measure an entry by its side processes: idle, and with a request on each connection."""
    seconds = _QUICK_S if quick else _MEASURE_S
    idle, busy = [], []
    for sides in _QUICK if quick else _SIDES:
        with contextlib.ExitStack() as stack:
            node = stack.enter_context(running_entry(sides))
            time.sleep(_QUICK_S if quick else _SETTLE_S)
            idle.append({"sides": sides, **node.measure(seconds)})
            node.hold_requests(stack, _REQUESTS_PER_SIDE * sides)
            time.sleep(_QUICK_S)
            busy.append({"sides": sides, **node.measure(seconds)})
        print_line("entry idle", **idle[-1])
        print_line("entry, a request on each connection", **busy[-1])
    print_fits("entry idle", idle, "sides", _FIGURES, SIDES_PER_ENTRY)
    print_fits("entry, a request on each connection", busy, "sides", _FIGURES, SIDES_PER_ENTRY)


def measure_side(quick: bool) -> None:
    """Measure a side process by the entries that dial it."""
    rows = []
    for entries in _QUICK if quick else _ENTRIES:
        with running_side(entries) as node:
            time.sleep(_QUICK_S if quick else _SETTLE_S)
            rows.append({"entries": entries, **node.measure(_QUICK_S if quick else _MEASURE_S)})
        print_line("side idle", **rows[-1])
    print_fits("side idle", rows, "entries", _FIGURES, PER_UPSTREAM)


def measure_mesh(quick: bool) -> None:
    """Measure an entry that tails the log by the entries that it relays to."""
    rows = []
    for entries in _QUICK if quick else _MESH:
        with running_mesh(entries) as node:
            time.sleep(_QUICK_S if quick else _SETTLE_S)
            rows.append({"entries": entries, **node.measure(_QUICK_S if quick else _MEASURE_S)})
        print_line("tailer idle", **rows[-1])
    print_fits("tailer idle", rows, "entries", _FIGURES, ENTRIES)


def measure_list(quick: bool) -> None:
    """Measure an idle entry by the rows of the VM list."""
    rows = []
    for size in _QUICK if quick else _LIST:
        with running_list(size) as node:
            time.sleep(_QUICK_S if quick else _SETTLE_S)
            rows.append({"rows": size, **node.measure(_QUICK_S if quick else _MEASURE_S)})
        print_line("list idle", **rows[-1])
    print_fits("list idle", rows, "rows", _FIGURES, ENTRIES + SAMPLERS)
