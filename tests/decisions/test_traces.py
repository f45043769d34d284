"""Recorded traces of one upstream's queue, replayed and compared with their recorded results."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from cranberryline.decisions import Priority, WorkItem, WorkQueue

TRACES = sorted((Path(__file__).parents[1] / "traces").glob("decisions_*.jsonl"))


@pytest.mark.parametrize("trace", TRACES, ids=lambda path: path.stem)
def test_replayed_trace_gives_recorded_results(trace: Path) -> None:
    """Each line is an operation at a time on a queue with one slot; `gives` is its result."""
    queue = WorkQueue(1)
    lines = [json.loads(line) for line in trace.read_text().splitlines()]
    assert "about" in lines[0]
    for line in lines[1:]:
        assert apply(queue, line, timedelta(seconds=line["at"])) == line.get("gives"), line


def test_traces_are_found() -> None:
    """If the folder of the traces moved, the replay test would pass without any cases."""
    assert len(TRACES) == 3


def apply(queue: WorkQueue, line: dict[str, Any], now: timedelta) -> object:
    """Apply the operation of a line and return the ids of the resulting items."""
    match line["do"]:
        case "push":
            queue.push(read_item(line, now))
            return None
        case "pop":
            return id_of(queue.pop(now))
        case "finish":
            return id_of(queue.finish(line["id"]))
        case "cancel":
            return id_of(queue.cancel(line["id"]))
        case "expire":
            return [item.id for item in queue.expire(now)]
    raise ValueError(line)


def id_of(item: WorkItem | None) -> int | str | None:
    """Return the id of an item, or None without one."""
    return None if item is None else item.id


def read_item(line: dict[str, Any], now: timedelta) -> WorkItem:
    """Return the work item that a line describes."""
    start_by = timedelta(seconds=line["start_by"])
    priority = Priority[line["priority"]]
    return WorkItem(line["id"], line["caller"], priority, line["tokens"], now, start_by)
