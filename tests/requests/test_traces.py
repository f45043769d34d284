"""Replay of recorded traces of requests: each line's outcome stands beside it as `gives`."""

from datetime import timedelta
from pathlib import Path
from typing import Any

import pytest
from result import Err

from cranberryline.requests import EntryAttempt, RequestKey, SideBook, WithdrawOutcome
from tests.replaying import replay

TRACES = sorted((Path(__file__).parent.parent / "traces").glob("requests_*.jsonl"))
NOW, LATER = timedelta(), timedelta(seconds=10)


class Replay:
    """One side process, and the attempts of one entry."""

    def __init__(self) -> None:
        self.attempts: dict[str, EntryAttempt] = {}
        self.restart({"life": "one"})
        self.open({"conn": "c"})

    def restart(self, line: dict[str, Any]) -> None:
        """Begin a new life of the side process."""
        self.book = SideBook(line["life"])

    def open(self, line: dict[str, Any]) -> None:
        """Open a connection."""
        self.book.open(line["conn"])

    def submit(self, line: dict[str, Any]) -> str:
        """Bring a Submit to the side process."""
        key = RequestKey(line["conn"], line["id"])
        result = self.book.submit(key, line["life"], LATER, line["idempotent"], NOW)
        return (result.unwrap_err() if isinstance(result, Err) else result.unwrap()).value

    def start(self, line: dict[str, Any]) -> bool:
        """Start a request."""
        return self.book.start(RequestKey(line["conn"], line["id"]), NOW)

    def side_withdraw(self, line: dict[str, Any]) -> str:
        """Bring a Withdraw to the side process."""
        return self.book.withdraw(RequestKey(line["conn"], line["id"])).value

    def send(self, line: dict[str, Any]) -> None:
        """Dispatch an attempt."""
        self.attempts[line["attempt"]] = EntryAttempt(line["idempotent"])

    def head(self, line: dict[str, Any]) -> bool:
        """Bring a Head to the entry."""
        return self.attempts[line["attempt"]].on_head(200)

    def chunk(self, line: dict[str, Any]) -> bool:
        """Bring a Chunk to the entry."""
        return self.attempts[line["attempt"]].on_chunk(line["seq"])

    def end(self, line: dict[str, Any]) -> bool:
        """Bring an End to the entry."""
        return self.attempts[line["attempt"]].on_end(line["chunks"])

    def forward(self, line: dict[str, Any]) -> None:
        """Pass a part of the answer on."""
        self.attempts[line["attempt"]].mark_forwarded()

    def lost(self, line: dict[str, Any]) -> None:
        """End the connection."""
        self.attempts[line["attempt"]].on_connection_lost()

    def entry_withdraw(self, line: dict[str, Any]) -> bool:
        """Let the entry give up."""
        return self.attempts[line["attempt"]].withdraw()

    def withdrawn(self, line: dict[str, Any]) -> bool:
        """Bring the answer to a Withdraw to the entry."""
        return self.attempts[line["attempt"]].on_withdrawn(WithdrawOutcome(line["outcome"]))

    def timeout(self, line: dict[str, Any]) -> None:
        """Let the wait for the answer to a Withdraw end."""
        self.attempts[line["attempt"]].on_withdraw_timeout()

    def outcome(self, line: dict[str, Any]) -> list[str]:
        """Tell what the attempt came to."""
        outcome = self.attempts[line["attempt"]].outcome
        return [type(outcome).__name__, getattr(outcome, "reason", "")]

    def may_send_again(self, line: dict[str, Any]) -> bool:
        """Tell whether the request may be dispatched once more."""
        return self.attempts[line["attempt"]].may_send_again


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_comes_out_as_stated(path: Path) -> None:
    """Replay one trace, line by line."""
    replay(path, Replay())


def test_there_are_traces() -> None:
    """Fail when the traces are not found, which would pass for a replay."""
    assert len(TRACES) >= 6
