"""The figures of one replay, the same for the real processes and the model."""

from collections import Counter
from collections.abc import Callable, Sequence
from typing import Any

import attrs

from cranberryline.decisions import Priority

from .model.metrics import percentile
from .replay_load import Load

__all__ = ["Outcome", "figures", "seconds_until_normal"]

BIN_SECONDS = 1.0
NORMAL_RATIO = 1.5
NORMAL_SERVED = 0.9


@attrs.frozen
class Outcome:
    """How one call ended; `reason` is empty for a whole answer."""

    caller: str
    priority: Priority
    arrived: float
    latency: float
    reason: str
    tokens: int

    @property
    def ended(self) -> float:
        """Return when it ended."""
        return self.arrived + self.latency


def figures(load: Load, calls: Sequence[Outcome], attempts: int) -> dict[str, Any]:
    """Return what callers got."""
    window = load.window
    length = window.end - window.start
    whole = [call for call in calls if not call.reason]
    during = [call for call in whole if window.covers(call.ended)]
    groups = {
        "before": _group(calls, lambda c: _application(c) and c.arrived < window.start),
        "others": _group(
            calls,
            lambda c: (
                _application(c) and window.covers(c.arrived) and c.caller != load.heavy_caller
            ),
        ),
        "background": _group(
            calls, lambda c: c.priority is Priority.BACKGROUND and window.covers(c.arrived)
        ),
        "after": _group(calls, lambda c: _application(c) and c.arrived >= window.end),
    }
    if load.heavy_caller:
        groups["heavy"] = _group(
            calls, lambda c: c.caller == load.heavy_caller and window.covers(c.arrived)
        )
    return {
        "requests": len(calls),
        "goodput_in_window_tokens_s": round(sum(call.tokens for call in during) / length),
        "goodput_in_window_calls_s": round(len(during) / length, 1),
        "groups": groups,
        "refused": dict(sorted(Counter(call.reason for call in calls if call.reason).items())),
        "refused_after_s": _refused_after(calls),
        "attempts_per_request": round(attempts / len(calls), 3),
        "normal_after_s": seconds_until_normal(load, calls),
    }


def _application(call: Outcome) -> bool:
    return call.priority is Priority.APPLICATION


def _group(calls: Sequence[Outcome], wanted: Callable[[Outcome], bool]) -> dict[str, float]:
    own = [call for call in calls if wanted(call)]
    latencies = [call.latency for call in own if not call.reason]
    return {
        "calls": len(own),
        "served": round(len(latencies) / max(1, len(own)), 3),
        "p50_s": round(percentile(latencies, 0.5), 3),
        "p99_s": round(percentile(latencies, 0.99), 3),
    }


def _refused_after(calls: Sequence[Outcome]) -> dict[str, float]:
    """Return how long refused callers had waited for the refusal."""
    waits = [call.latency for call in calls if call.reason]
    return {"p50": round(percentile(waits, 0.5), 3), "p99": round(percentile(waits, 0.99), 3)}


def seconds_until_normal(load: Load, calls: Sequence[Outcome]) -> float | None:
    """Return from when after the window on every second is normal again; None if never.

    A second is normal when at least nine of ten of its application calls are answered and their
    median latency is at most one and a half times that before the window.
    """
    own = [call for call in calls if _application(call)]
    before = [c.latency for c in own if not c.reason and c.arrived < load.window.start]
    limit = NORMAL_RATIO * percentile(before, 0.5)
    bins = int((load.seconds - load.window.end) / BIN_SECONDS)
    normal_from: int | None = None
    for number in range(bins):
        start = load.window.end + number * BIN_SECONDS
        members = [c for c in own if start <= c.arrived < start + BIN_SECONDS]
        answered = [c.latency for c in members if not c.reason]
        enough = len(answered) >= NORMAL_SERVED * len(members)
        if not enough or percentile(answered, 0.5) > limit:
            normal_from = None
        elif normal_from is None:
            normal_from = number
    return None if normal_from is None else normal_from * BIN_SECONDS
