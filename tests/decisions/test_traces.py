"""Recorded traces of one upstream's queue, replayed against their stated outcomes."""

import json
from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest

from cranberryline.decisions import Priority, WorkItem, WorkQueue

TRACES = sorted((Path(__file__).parents[1] / "traces").glob("decisions_*.jsonl"))


@pytest.mark.parametrize("trace", TRACES, ids=lambda path: path.stem)
def test_a_trace_gives_what_it_states(trace: Path) -> None:
    """Each line is an act at a time on a queue of one slot; its outcome stands as `gives`."""
    queue = WorkQueue(1)
    lines = [json.loads(line) for line in trace.read_text().splitlines()]
    assert "about" in lines[0]
    for line in lines[1:]:
        assert act(queue, line, timedelta(seconds=line["at"])) == line.get("gives"), line


def test_there_are_traces() -> None:
    """A misplaced folder would make the replay pass with nothing in it."""
    assert len(TRACES) == 3


def act(queue: WorkQueue, line: dict[str, Any], now: timedelta) -> object:
    """Do what a line says and return what came of it, as ids."""
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
    """Return an item's id."""
    return None if item is None else item.id


def read_item(line: dict[str, Any], now: timedelta) -> WorkItem:
    """Build the item that a line describes."""
    start_by = timedelta(seconds=line["start_by"])
    priority = Priority[line["priority"]]
    return WorkItem(line["id"], line["caller"], priority, line["tokens"], now, start_by)
