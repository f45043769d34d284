"""Replay of recorded request traces; the field `gives` of a line is its expected result."""

from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from result import Err

from cranberryline.requests import EntryAttempt, RequestKey, RequestRegistry, WithdrawOutcome
from tests.replaying import replay

TRACES = sorted((Path(__file__).parent.parent / "traces").glob("requests_*.jsonl"))
NOW, LATER = timedelta(), timedelta(seconds=10)


class Replay:
    """A side process and the attempts of an entry; the field `do` of a line names a method."""

    def __init__(self) -> None:
        self.attempts: dict[str, EntryAttempt] = {}
        self.restart({"life": "one"})
        self.open({"conn": "c"})

    def restart(self, line: dict[str, Any]) -> None:
        """Restart the side process as a new incarnation, named `life` in the traces."""
        self.registry = RequestRegistry(line["life"])

    def open(self, line: dict[str, Any]) -> None:
        """Open a connection."""
        self.registry.open(line["conn"])

    def submit(self, line: dict[str, Any]) -> str:
        """Deliver a Submit to the side process."""
        key = RequestKey(line["conn"], line["id"])
        result = self.registry.submit(key, line["life"], LATER, line["idempotent"], NOW)
        return (result.unwrap_err() if isinstance(result, Err) else result.unwrap()).value

    def start(self, line: dict[str, Any]) -> bool:
        """Start a request."""
        return self.registry.start(RequestKey(line["conn"], line["id"]), NOW)

    def side_withdraw(self, line: dict[str, Any]) -> str:
        """Deliver a Withdraw to the side process."""
        return self.registry.withdraw(RequestKey(line["conn"], line["id"])).value

    def send(self, line: dict[str, Any]) -> None:
        """Dispatch an attempt."""
        self.attempts[line["attempt"]] = EntryAttempt(line["idempotent"])

    def head(self, line: dict[str, Any]) -> bool:
        """Deliver a Head to the entry."""
        return self.attempts[line["attempt"]].on_head(200)

    def chunk(self, line: dict[str, Any]) -> bool:
        """Deliver a Chunk to the entry."""
        return self.attempts[line["attempt"]].on_chunk(line["seq"])

    def end(self, line: dict[str, Any]) -> bool:
        """Deliver an End to the entry."""
        return self.attempts[line["attempt"]].on_end(line["chunks"])

    def forward(self, line: dict[str, Any]) -> None:
        """Forward part of the answer to the caller."""
        self.attempts[line["attempt"]].mark_forwarded()

    def lost(self, line: dict[str, Any]) -> None:
        """Report the loss of the connection to the entry."""
        self.attempts[line["attempt"]].on_connection_lost()

    def entry_withdraw(self, line: dict[str, Any]) -> bool:
        """Let the entry withdraw the request."""
        return self.attempts[line["attempt"]].withdraw()

    def withdrawn(self, line: dict[str, Any]) -> bool:
        """Deliver the answer to a Withdraw to the entry."""
        return self.attempts[line["attempt"]].on_withdrawn(WithdrawOutcome(line["outcome"]))

    def timeout(self, line: dict[str, Any]) -> None:
        """Let the wait for the answer to a Withdraw time out."""
        self.attempts[line["attempt"]].on_withdraw_timeout()

    def outcome(self, line: dict[str, Any]) -> list[str]:
        """Return the class name and the reason of the attempt's outcome."""
        outcome = self.attempts[line["attempt"]].outcome
        return [type(outcome).__name__, getattr(outcome, "reason", "")]

    def may_send_again(self, line: dict[str, Any]) -> bool:
        """Return whether the request may be dispatched again."""
        return self.attempts[line["attempt"]].may_send_again


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_gives_the_expected_results(path: Path) -> None:
    """Replay a trace and compare the result of each line."""
    replay(path, Replay())


def test_trace_files_are_found() -> None:
    """Without trace files the replay test would have no cases and report no failure."""
    assert len(TRACES) >= 6
