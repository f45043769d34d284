"""What is reported of a run, and the goals."""

import json
from collections.abc import Sequence

import attrs

from cranberryline.decisions import Priority

from .decisions_plan import POLICY, SIMPLE, Case
from .model.metrics import CallRecord, Metrics, percentile
from .model.world import HEAVY_CALLER, run

__all__ = ["Row", "measure", "print_goals", "print_table"]

SETTLE = 30.0
IDLE_GOAL = 0.5
GOODPUT_GOAL = 0.9
FAIRNESS_GOAL = 1.5
ATTEMPTS_GOAL = 1.2
SHORT_TOKENS = 1000
COLUMNS = (
    ("idle", "idle", ".3f"),
    ("stale", "staleness", ".2f"),
    ("max", "staleness_max", ".0f"),
    ("steps", "steps", ".1f"),
    ("good/s", "goodput", ".0f"),
    ("samples/s", "samples", ".0f"),
    ("served", "served", ".3f"),
    ("app p50", "app_p50", ".2f"),
    ("app p99", "app_p99", ".2f"),
    ("bg p99", "bg_p99", ".1f"),
    ("wasted", "wasted", ".0f"),
    ("moved", "moves", ".0f"),
    ("last swap", "last_swap", ".1f"),
    ("att/req", "attempts", ".3f"),
    ("after/before p99", "recovery", ".2f"),
)


def measure(case: Case, seed: int) -> dict[str, float]:
    """Run a case and return its figures."""
    metrics = run(case.deployment, case.load, case.decisions, seed)
    load = case.load
    application = metrics.select(_is_short_application)
    others = [call for call in application if call.caller != HEAVY_CALLER]
    window = load.window
    figures = {
        "idle": metrics.idle_share,
        "staleness": metrics.mean_staleness,
        "staleness_max": float(max(metrics.staleness, default=0)),
        "steps": float(metrics.steps),
        "goodput": metrics.good_tokens() / load.seconds,
        "samples": metrics.sample_tokens / load.seconds,
        "served": _served(application),
        "app_p50": percentile(_answered(application), 0.5),
        "app_p99": percentile(_answered(application), 0.99),
        "bg_p99": percentile(metrics.latencies(Priority.BACKGROUND), 0.99),
        "wasted": float(metrics.tokens_wasted),
        "attempts": len(metrics.attempts) / len(metrics.requests),
        "others_p99": percentile(_answered(others), 0.99),
        "others_served": _served(others),
        "recovery": _recovery(application, metrics, case),
        "window_attempts": _in_window(metrics.attempts, case),
        "window_requests": _in_window(metrics.requests, case),
        "moves": float(sum(metrics.actions.values())),
        "last_swap": max(metrics.swaps, default=0.0),
    }
    if window.end > window.start:
        during = [call for call in others if window.covers(call.arrived)]
        figures["others_p99"] = percentile(_answered(during), 0.99)
    figures |= {f"refused {name}": float(n) for name, n in metrics.refusals().items()}
    return figures


def _is_short_application(call: CallRecord) -> bool:
    return call.priority is Priority.APPLICATION and call.caller.startswith("applications")


def _answered(calls: Sequence[CallRecord]) -> list[float]:
    return [call.latency for call in calls if call.how == "done"]


def _served(calls: Sequence[CallRecord]) -> float:
    return len(_answered(calls)) / len(calls) if calls else 0.0


def _in_window(times: Sequence[float], case: Case) -> float:
    return float(sum(case.load.window.covers(at) for at in times))


def _recovery(application: Sequence[CallRecord], metrics: Metrics, case: Case) -> float:
    """Return p99 from half a minute after the window on, over p99 before it; 0 without either."""
    window = case.load.window
    before = [
        call.latency for call in application if call.how == "done" and call.ended < window.start
    ]
    after = _answered([call for call in application if call.arrived > window.end + SETTLE])
    if not before or not after:
        return 0.0
    return percentile(after, 0.99) / percentile(before, 0.99)


@attrs.frozen
class Row:
    """A case and its figures, averaged over the seeds."""

    case: Case
    figures: dict[str, float]

    @classmethod
    def mean(cls, case: Case, parts: Sequence[dict[str, float]]) -> "Row":
        """Average the figures of several seeds; a refusal that one lacks counts as none."""
        names = {name for part in parts for name in part}
        return cls(case, {n: sum(p.get(n, 0.0) for p in parts) / len(parts) for n in sorted(names)})


def print_table(rows: Sequence[Row]) -> None:
    """Print a table for each load and deployment, in Markdown."""
    heading = ""
    for row in rows:
        title = f"{row.case.load.name}, {row.case.deployment.name}"
        if title != heading:
            heading = title
            columns = ["decisions", *(name for name, _, _ in COLUMNS), "refused"]
            print(f"\n### {title}\n\n| {' | '.join(columns)} |\n|{'---|' * len(columns)}")
        cells = [format(row.figures[key], spec) for _, key, spec in COLUMNS]
        print(f"| {_label(row)} | {' | '.join(cells)} | {_refusals(row)} |")


def print_json(rows: Sequence[Row]) -> None:
    """Print one JSON object a line for each row."""
    for row in rows:
        case = row.case
        named = {
            "bench": "decisions",
            "load": case.load.name,
            "deployment": case.deployment.name,
            "decisions": _label(row),
        }
        print(json.dumps(named | row.figures))


def _label(row: Row) -> str:
    if row.case.name == POLICY and row.case.load.trainers:
        return f"{POLICY} (freshness {row.case.deployment.freshness})"
    return row.case.name


def _refusals(row: Row) -> str:
    reasons = {k.removeprefix("refused "): v for k, v in row.figures.items() if "refused " in k}
    return ", ".join(f"{name} {count:.0f}" for name, count in sorted(reasons.items()))


def print_goals(rows: Sequence[Row]) -> None:
    """Print whether each goal is reached."""
    print(
        "\n### Goals\n\n| goal | deployment | load | figure | bound | reached |\n"
        "|---|---|---|---|---|---|"
    )
    found = {(r.case.deployment.name, r.case.load.name, r.case.name): r.figures for r in rows}
    for deployment in dict.fromkeys(row.case.deployment for row in rows):
        for load in ("slow upstream", "stragglers"):
            _print_idle_goals(found, deployment.name, deployment.freshness, load)
        _print_call_goals(found, deployment.name)


def _print_idle_goals(found: dict, deployment: str, freshness: float, load: str) -> None:
    if (deployment, load, POLICY) not in found:
        return
    simple = {name: found[deployment, load, name] for name in SIMPLE}
    for name in dict.fromkeys([POLICY, "freshness 0.0", "freshness 0.5"]):
        own = found.get((deployment, load, name))
        if own is None:
            continue
        rivals = {k: v for k, v in simple.items() if v["staleness"] >= own["staleness"] - 0.005}
        best = min(rivals, key=lambda k: rivals[k]["idle"]) if rivals else None
        label = f"freshness {freshness}" if name == POLICY else name
        if best is None:
            print(f"| idle share, {label} | {deployment} | {load} | {own['idle']:.3f} | - | no |")
            continue
        ratio = own["idle"] / rivals[best]["idle"] if rivals[best]["idle"] else float("inf")
        detail = f"{own['idle']:.3f} / {rivals[best]['idle']:.3f} ({best}) = {ratio:.2f}"
        stale = f"staleness {own['staleness']:.2f} <= {rivals[best]['staleness']:.2f}"
        _print_goal(
            f"idle share, {label}; {stale}", deployment, load, detail, ratio <= IDLE_GOAL, IDLE_GOAL
        )


def _print_call_goals(found: dict, deployment: str) -> None:
    def figure(load: str, key: str) -> float | None:
        figures = found.get((deployment, load, POLICY))
        return None if figures is None else figures[key]

    one, two = figure("saturation", "goodput"), figure("twice saturation", "goodput")
    if one and two:
        ratio = two / one
        detail = f"{two:.0f} / {one:.0f} = {ratio:.2f}"
        _print_goal(
            "goodput", deployment, "twice saturation", detail, ratio >= GOODPUT_GOAL, GOODPUT_GOAL
        )
    even, heavy = figure("even callers", "others_p99"), figure("heavy caller", "others_p99")
    if even and heavy:
        ratio = heavy / even
        served = figure("heavy caller", "others_served")
        detail = f"{heavy:.2f} s / {even:.2f} s = {ratio:.2f}, {served:.3f} served"
        _print_goal(
            "p99 of the others",
            deployment,
            "heavy caller",
            detail,
            ratio <= FAIRNESS_GOAL,
            FAIRNESS_GOAL,
        )
    attempts, requests = figure("outage", "window_attempts"), figure("outage", "window_requests")
    if attempts is not None and requests:
        ratio = attempts / requests
        detail = f"{attempts:.0f} / {requests:.0f} = {ratio:.2f}"
        _print_goal(
            "attempts a request",
            deployment,
            "outage",
            detail,
            ratio <= ATTEMPTS_GOAL,
            ATTEMPTS_GOAL,
        )


def _print_goal(
    goal: str, deployment: str, load: str, detail: str, reached: bool, bound: float
) -> None:
    print(f"| {goal} | {deployment} | {load} | {detail} | {bound} | {'yes' if reached else 'no'} |")
