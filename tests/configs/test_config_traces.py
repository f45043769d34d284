"""Replay recorded traces and compare each step with the expected result, the key `gives`.

The key `do` of a step is the name of a method of the replay class.
"""

import json
from datetime import UTC, datetime, timedelta
from pathlib import Path
from typing import Any

import pytest
from result import Err

from cranberryline.configs import ConfigFold
from cranberryline.configs.checkpoint import checkpoint_record, find_start
from cranberryline.configs.relay import ConfigRelay
from cranberryline.ports.model import LogRecord, VmEntry, VmList, VmRole, VmState
from cranberryline.upstreams import Membership
from cranberryline.weights import SwapOrder, SwapState

FOLDER = Path(__file__).parent.parent / "traces"
NOW = datetime(2026, 1, 1, tzinfo=UTC)


class ConfigReplay:
    """A log, a process that reads all of it, one that only receives deltas, and a new one."""

    def __init__(self) -> None:
        self.log: list[LogRecord] = []
        self.reader = ConfigRelay(ConfigFold())
        self.receiver = ConfigRelay(ConfigFold())
        self.starter = ConfigFold()
        self.checkpoint: dict[str, Any] = {}
        self.first = 1

    def append(self, line: dict[str, Any]) -> str:
        """Append a record, fold it, and return the verdict."""
        record = LogRecord(len(self.log) + 1, NOW, line["id"], line["data"])
        self.log.append(record)
        self.reader.fold_record(record)
        verdict = self.reader.fold.result_at(record.offset)
        assert verdict is not None
        return verdict.err_value.reason.value if isinstance(verdict, Err) else "applied"

    def take_checkpoint(self, line: dict[str, Any]) -> None:
        """Make a checkpoint without appending it."""
        self.checkpoint = checkpoint_record(self.reader.fold, "e")[1]

    def append_checkpoint(self, line: dict[str, Any]) -> str:
        """Append the checkpoint made by `take_checkpoint`."""
        return self.append({"id": "checkpoint", "data": self.checkpoint})

    def forget(self, line: dict[str, Any]) -> None:
        """Let the log drop the records before an offset."""
        self.first = line["first"]

    def start_from_log(self, line: dict[str, Any]) -> bool:
        """Start a process from the records that the log still keeps; return whether it could."""
        kept = self.log[self.first - 1 :]
        start = find_start(kept, self.first)
        if start is None:
            return False
        self.starter = ConfigFold()
        self.starter.install(start)
        for record in kept:
            self.starter.apply(record)
        return True

    def agrees(self, line: dict[str, Any]) -> bool:
        """Return whether the new process has the state of the one that read all records."""
        return self.starter.snapshot() == self.reader.fold.snapshot()

    def weights(self, line: dict[str, Any]) -> list[int] | None:
        """Return the weight version in force and its revision."""
        found = self.reader.fold.weights(line["service"])
        return None if found is None else [found[0].version, found[1]]

    def delta(self, line: dict[str, Any]) -> dict[str, Any]:
        """Send a delta to the process that only receives deltas."""
        outcome = self.receiver.on_delta("e", self.reader.delta_since(line["start"]))
        asks = None if outcome.reply is None else outcome.reply.start
        return {"applied": outcome.applied, "asks": asks, "offset": self.receiver.fold.offset}


class MembershipReplay:
    """A view of the membership; each step returns the upstreams that may get requests."""

    def __init__(self) -> None:
        self.membership = Membership()

    def vms(self, line: dict[str, Any]) -> list[str]:
        """Apply a VM list."""
        rows = tuple(_row(vm_id, state) for vm_id, state in line["vms"].items())
        self.membership.apply_list(VmList(line["version"], rows))
        return self._usable()

    def welcome(self, line: dict[str, Any]) -> list[str]:
        """Apply a Welcome message."""
        self.membership.apply_welcome(line["vm"], line["life"], line["draining"])
        return self._usable()

    def drain(self, line: dict[str, Any]) -> list[str]:
        """Apply a drain notice."""
        self.membership.apply_drain(line["vm"], line["life"])
        return self._usable()

    def _usable(self) -> list[str]:
        return [vm.id for vm in self.membership.upstreams()]


class WeightsReplay:
    """The weight swaps of one engine; each step returns the order that is needed next."""

    def __init__(self) -> None:
        self.state = SwapState(timedelta(seconds=3))
        self.order: SwapOrder | None = None

    def target(self, line: dict[str, Any]) -> list[int] | None:
        """Put a weights record in force."""
        self.state.set_target(line["version"], line["fence"])
        return self._needed()

    def begin(self, line: dict[str, Any]) -> list[int] | None:
        """Send the order that is needed, and return it."""
        self.order = self.state.needed_order()
        assert self.order is not None
        self.state.begin(self.order)
        return [self.order.version, self.order.fence]

    def failed(self, line: dict[str, Any]) -> list[int] | None:
        """Record that the order failed."""
        self.state.on_failed(self._sent(), timedelta(seconds=line["at"]))
        return self._needed()

    def loaded(self, line: dict[str, Any]) -> list[int] | None:
        """Record that the engine loaded a version in response to the order."""
        self.state.on_loaded(self._sent(), line["version"], timedelta(seconds=line["at"]))
        return self._needed()

    def report(self, line: dict[str, Any]) -> list[int] | None:
        """Apply a load report."""
        self.state.on_report(line["version"], line["fence"], timedelta(seconds=line["at"]))
        return self._needed()

    def _sent(self) -> SwapOrder:
        assert self.order is not None
        return self.order

    def _needed(self) -> list[int] | None:
        order = self.state.needed_order()
        return None if order is None else [order.version, order.fence]


def _row(vm_id: str, state: str) -> VmEntry:
    peer, address = "tcp://127.0.0.1:1", "http://127.0.0.1:2"
    return VmEntry(vm_id, VmRole.UPSTREAM, VmState(state), "dc", peer, address, "s")


REPLAYS = {"configs": ConfigReplay, "membership": MembershipReplay, "weights": WeightsReplay}
TRACES = sorted(path for kind in REPLAYS for path in FOLDER.glob(f"{kind}_*.jsonl"))


@pytest.mark.parametrize("path", TRACES, ids=lambda path: path.stem)
def test_trace_gives_the_expected_results(path: Path) -> None:
    """Each step of a trace must return the result recorded with it."""
    replay = REPLAYS[path.stem.partition("_")[0]]()
    about, *lines = map(json.loads, path.read_text().splitlines())
    assert set(about) == {"about"}
    for number, line in enumerate(lines, 2):
        result = getattr(replay, line["do"])(line)
        assert result == line.get("gives"), f"line {number}: {line}"
