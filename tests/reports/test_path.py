"""The critical path: what it goes over, and that its shares add up."""

from datetime import timedelta
from typing import Any

from hypothesis import given
from hypothesis import strategies as st

from cranberryline.reports.model import Cause, LogLines, StepPath
from cranberryline.reports.path import causes_of, step_path
from cranberryline.reports.plain import run_plain
from cranberryline.reports.reader import read_stream
from cranberryline.reports.steps import steps_of

from .seeded import START, accepted, as_bytes, item, line, seeded_log

_MS = st.integers(0, 4000)
_TIMES = st.fixed_dictionaries(
    {
        f"{name}_ms": _MS
        for name in (
            "waited",
            "text",
            "place",
            "prefill",
            "broken",
            "score",
            "score_wait",
            "append",
        )
    }
)
_AT = st.floats(-30, 30, allow_nan=False)


def _paths(lines: list[dict[str, Any]]) -> list[StepPath]:
    log = LogLines()
    read_stream(as_bytes(lines), log)
    assert not log.skipped.total
    return [step_path(step) for step in steps_of(log)]


def _path(lines: list[dict[str, Any]]) -> StepPath:
    (path,) = _paths(lines)
    return path


def _ms(path: StepPath) -> dict[Cause, int]:
    return {
        cause: round(took / timedelta(milliseconds=1))
        for cause, took in causes_of(path.spans).items()
    }


def _whole_step() -> list[dict[str, Any]]:
    """Return a step of two groups whose second ends last, by the item that ran twice."""
    times = {
        "waited_ms": 100,
        "place_ms": 200,
        "prefill_ms": 300,
        "broken_ms": 1800,
        "text_ms": 4300,
        "score_wait_ms": 50,
        "score_ms": 150,
        "append_ms": 40,
    }
    return [
        accepted("job", 0),
        item("job", "a", 1, "g0", text_ms=900),
        item("job", "b", 2, "g0", text_ms=900),
        item("job", "c", 3, "g1", text_ms=900),
        item("job", "d", 4.6, "g1", **times),
        line("groups_read", 2.2, request_id="job", groups=["g0"]),
        line("groups_read", 5, request_id="job", groups=["g1"]),
        line("job_ended", 5.1, request_id="job"),
    ]


def test_the_path_goes_over_the_last_item_of_the_last_group() -> None:
    """Each wait of that item is told, and those of the others don't count."""
    path = _path(_whole_step())
    assert path.last is not None and path.last.line.request_id == "d"
    assert path.complete and path.took == timedelta(seconds=5.02)
    assert _ms(path) == {
        Cause.ACCEPT: 20,
        Cause.NODE: 110,
        Cause.PLACE: 200,
        Cause.PREFILL: 300,
        Cause.BROKEN: 1800,
        Cause.TEXT: 2000,
        Cause.SCORING_WAIT: 50,
        Cause.SCORING: 100,
        Cause.APPEND: 40,
        Cause.READ: 400,
    }


def test_only_the_groups_that_the_caller_wants_count() -> None:
    """One group is enough: the step's path ends with the first that is whole, not with the last."""
    lines = _whole_step()
    lines[0]["group_count"] = 1
    lines[-1]["timestamp"] = START + 2.3
    path = _path(lines)
    assert path.last is not None and path.last.line.request_id == "b"
    assert path.spans[-1].end == path.step.reads["g0"]


def test_a_caller_that_has_enough_and_waits_on_wants_a_group_that_it_asks_for_again() -> None:
    """One group would do, but the caller ends the step only 2.9 s later, when it has the other too.

    That other one is what the step waited for.
    """
    lines = _whole_step()
    lines[0]["group_count"] = 1
    path = _path(lines)
    assert path.last is not None and path.last.line.request_id == "d"


def test_a_step_that_was_not_whole_says_what_its_missing_items_were_at() -> None:
    """The caller gives the step up: an item still has no line.

    The time behind the last item that ended is not blamed on it; where the missing one was is told by
    the line of the cancelled items.
    """
    lines = [fields for fields in _whole_step() if fields.get("request_id") != "d"]
    lines = [fields for fields in lines if fields.get("groups") != ["g1"]]
    lines.append(line("job_items_cancelled", 5.1, request_id="job", items=1, stages={"text": 1}))
    path = _path(lines)
    assert path.complete is False and path.step.cancelled == {"text": 1}
    assert path.last is not None and path.last.line.request_id == "c"
    assert _ms(path)[Cause.UNFINISHED] == 2100


def test_a_step_asked_twice_counts_from_the_first_time() -> None:
    """A submission was refused after 900 ms, and the job accepted at another gateway later."""
    lines = _whole_step()
    refused = {"request_id": "job", "reason": "job_not_kept", "ms": 900}
    path = _path([*lines, line("request_refused", -1, "front-2", **refused)])
    assert path.step.refusals == 1 and _ms(path)[Cause.ACCEPT] == 1900


def test_an_item_that_two_nodes_ran_counts_once_by_its_first_listing() -> None:
    """The second result changes nothing at the callers', nor does one that was never listed."""
    lines = _whole_step()
    late = [item("job", "d", 9, "g1"), item("job", "d", 1, "g1", listed=False)]
    assert _ms(_path([*lines, *late])) == _ms(_path(lines))
    assert _path([*lines, *late]).step.repeated == 2


def test_without_the_line_of_its_acceptance_a_step_counts_from_its_first_item() -> None:
    """The gateway that took it was killed with its log; whether it was whole is not known."""
    path = _path(_whole_step()[1:])
    assert path.complete is None and path.step.model == ""
    assert path.last is not None and path.last.line.request_id == "d"
    assert sum(_ms(path).values()) == round(path.took / timedelta(milliseconds=1))


@given(
    st.lists(st.tuples(_AT, st.integers(0, 3), st.booleans(), _TIMES), max_size=8),
    st.none() | _AT,
    st.lists(st.tuples(_AT, st.integers(0, 3)), max_size=4),
    st.integers(0, 4),
    st.booleans(),
)
def test_the_shares_add_up_to_the_steps_time(
    items: list[tuple[float, int, bool, dict[str, int]]],
    ended: float | None,
    reads: list[tuple[float, int]],
    group_count: int,
    told: bool,
) -> None:
    """Clocks of gateways disagree, parts exceed their whole, lines lack: no gap, nothing negative."""
    lines = [accepted("job", 0, group_count=group_count)] if told or not items else []
    for number, (at, group, listed, times) in enumerate(items):
        lines.append(item("job", f"i{number}", at, f"g{group}", listed=listed, **times))
    lines += [line("groups_read", at, request_id="job", groups=[f"g{n}"]) for at, n in reads]
    if ended is not None:
        lines.append(line("job_ended", ended, request_id="job"))
    path = _path(lines)
    assert sum(causes_of(path.spans).values(), timedelta()) == path.took >= timedelta()
    for chain in [path.spans, *(found.spans for found in path.items)]:
        assert all(span.took >= timedelta() for span in chain)
        assert all(one.end == two.start for one, two in zip(chain, chain[1:], strict=False))


@given(st.randoms(use_true_random=False), st.integers(0, 20), st.integers(1, 5))
def test_the_order_of_lines_and_files_does_not_matter(rng: Any, seed: int, files: int) -> None:
    """The lines are dealt over files and shuffled, and one file is given twice: the same report.

    But for the count of repeated lines, which tells just that.
    """
    lines = seeded_log(seed)
    shuffled = lines[::]
    rng.shuffle(shuffled)
    log = LogLines()
    for number in range(files):
        read_stream(as_bytes(shuffled[number::files]), log)
    told = run_plain([step_path(step) for step in steps_of(log)])
    assert told == run_plain(_paths(lines))


def test_each_trainers_steps_know_their_version() -> None:
    """The newest version that was named by the time of asking, and when."""
    paths = _paths(seeded_log(3))
    assert [path.step.model for path in paths] == ["m0", "m1"] * 3
    assert [path.step.named and path.step.named[0] for path in paths] == [1, 1, 2, 2, 3, 3]
    assert all(path.complete for path in paths)
