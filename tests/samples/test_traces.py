"""Replay of recorded traces of samples; `gives` in each line is the expected result."""

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
ALL = 99  # more than the samples of the step


class Replay:
    """Two owners of a step with three samples, and its trainer at version 5.

    The methods are named after the commands in the traces.
    """

    def __init__(self) -> None:
        self.ledgers = [StepLedger(DECLARATION), StepLedger(DECLARATION)]
        self.position = Position(1, 5)
        self.batches: dict[str, PulledBatch] = {}
        self.saved = ""

    def make(self, line: dict[str, Any]) -> None:
        """Start and finish samples at an owner."""
        ledger = self.ledgers[line["owner"]]
        completion = Completion("x", (Segment(line["version"], 1),), "u")
        for group, index in line["ids"]:
            assert ledger.start(SampleId(group, index), "a")
            ledger.finish(SampleId(group, index), "a", completion, 0.0)

    def pull(self, line: dict[str, Any]) -> list[list[int]]:
        """Pull from an owner and keep the response for a later `take`."""
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
        """Deliver a kept response to the trainer."""
        return self.position.take(self.batches[line["batch"]]).value

    def train(self, line: dict[str, Any]) -> None:
        """Set the weight version of the trainer."""
        self.position.version = line["version"]

    def kill(self, line: dict[str, Any]) -> None:
        """Replace the ledger of an owner by a new one."""
        self.ledgers[line["owner"]] = StepLedger(DECLARATION)

    def save(self, line: dict[str, Any]) -> None:
        """Save the trainer's checkpoint."""
        self.saved = self.position.cursor

    def restore(self, line: dict[str, Any]) -> None:
        """Restore the trainer's checkpoint."""
        self.position.cursor = self.saved

    def startable(self, line: dict[str, Any]) -> list[list[int]]:
        """Return the samples that an owner would start next."""
        ids = self.ledgers[line["owner"]].startable(ALL)
        return [[sample_id.group, sample_id.index] for sample_id in ids]

    def done(self, line: dict[str, Any]) -> bool:
        """Return whether the trainer has received all samples."""
        return self.position.done


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_gives_the_expected_results(path: Path) -> None:
    """Replay one trace and compare the result of each line."""
    replay(path, Replay())


def test_traces_are_found() -> None:
    """Without trace files, the replay test would have no cases and pass."""
    assert len(TRACES) >= 5
