"""Replay of recorded traces of samples: each line's outcome stands beside it as `gives`."""

from pathlib import Path
from typing import Any

import pytest

from cranberryline.client import Position, PulledBatch
from cranberryline.samples import (
    Completion,
    GroupDeclaration,
    SampleId,
    Segment,
    StepDeclaration,
    StepLedger,
)
from tests.replaying import replay

TRACES = sorted((Path(__file__).parent.parent / "traces").glob("samples_*.jsonl"))
DECLARATION = StepDeclaration("t", 1, "s", (GroupDeclaration("p", 3, 8),))
ALL = 99


class Replay:
    """Two owners of a step of three samples, and its trainer at version 5."""

    def __init__(self) -> None:
        self.ledgers = [StepLedger(DECLARATION), StepLedger(DECLARATION)]
        self.position = Position(1, 5)
        self.batches: dict[str, PulledBatch] = {}
        self.saved = ""

    def make(self, line: dict[str, Any]) -> None:
        """Make samples at an owner."""
        ledger = self.ledgers[line["owner"]]
        completion = Completion("x", (Segment(line["version"], 1),), "u")
        for group, index in line["ids"]:
            assert ledger.start(SampleId(group, index), "a")
            ledger.finish(SampleId(group, index), "a", completion, 0.0)

    def pull(self, line: dict[str, Any]) -> list[list[int]]:
        """Pull at an owner; the answer is on its way."""
        version = self.position.version
        ledger = self.ledgers[line["owner"]]
        batch = ledger.pull(
            self.position.cursor, version, line["newest"], line["bound"], ALL
        ).unwrap()
        self.batches[line["as"]] = PulledBatch(
            batch.cursor, batch.next_cursor, version, (), batch.done
        )
        return [[sample.id.group, sample.id.index] for sample in batch.samples]

    def take(self, line: dict[str, Any]) -> str:
        """Bring an answer to the trainer."""
        return self.position.take(self.batches[line["batch"]]).value

    def train(self, line: dict[str, Any]) -> None:
        """Let the trainer take new weights."""
        self.position.version = line["version"]

    def kill(self, line: dict[str, Any]) -> None:
        """Kill an owner."""
        self.ledgers[line["owner"]] = StepLedger(DECLARATION)

    def save(self, line: dict[str, Any]) -> None:
        """Write the trainer's checkpoint."""
        self.saved = self.position.cursor

    def restore(self, line: dict[str, Any]) -> None:
        """Go back to the trainer's checkpoint."""
        self.position.cursor = self.saved

    def startable(self, line: dict[str, Any]) -> list[list[int]]:
        """Tell what an owner would make next."""
        ids = self.ledgers[line["owner"]].startable(ALL)
        return [[sample_id.group, sample_id.index] for sample_id in ids]

    def done(self, line: dict[str, Any]) -> bool:
        """Tell whether the trainer has all."""
        return self.position.done


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_comes_out_as_stated(path: Path) -> None:
    """Replay one trace, line by line."""
    replay(path, Replay())


def test_there_are_traces() -> None:
    """Fail when the traces are not found, which would pass for a replay."""
    assert len(TRACES) >= 5
