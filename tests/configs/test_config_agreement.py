"""Stateful test: all processes agree when messages are lost, duplicated, reordered or expire.

The state machine has a log and several processes. Operators publish concurrently, pending messages
are delivered in any order, dropped or duplicated, and at any moment processes read the log, write
checkpoints or are replaced, and the log drops its oldest records. A reference fold reads every
record once, in order.
"""

from datetime import UTC, datetime
from typing import Any

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule

from cranberryline.configs import ConfigFold, Kind
from cranberryline.configs.checkpoint import checkpoint_record, find_start
from cranberryline.configs.relay import ConfigRelay
from cranberryline.ports.model import LogRecord
from cranberryline.transport.model import ConfigDelta, ConfigRequest, Message

NOW = datetime(2026, 1, 1, tzinfo=UTC)
PROCESSES = 4
RECORDS_KEPT = (2, 8, 2, 8)
FIRST_RECORDS = 4
BAG_SIZE = 30
MIN_INFORMED = 2
NAMES = ("a", "b")
NODES = st.integers(0, PROCESSES - 1)


def weights(name: str, version: int, amends: int, schema: int = 1) -> dict[str, Any]:
    """Return the data of a weights record."""
    spec = {"version": version}
    return {"kind": "weights", "name": name, "schema": schema, "amends": amends, "spec": spec}


class Agreement(RuleBasedStateMachine):
    """Processes that relay the records of a log over a network without delivery guarantees."""

    @initialize()
    def start(self) -> None:
        """Start the processes and a log with a few records; `MIN_INFORMED` processes read them."""
        self.log: list[LogRecord] = []
        self.first = 1
        self.model: dict[str, tuple[int, int | None]] = {"a": (FIRST_RECORDS, FIRST_RECORDS)}
        self.reference = ConfigFold()
        self.snapshots = {0: ConfigFold().snapshot()}
        self.relays = [self.new_relay(node) for node in range(PROCESSES)]
        self.highest = [0] * PROCESSES
        self.bag: list[tuple[int, int, Message]] = []
        for version in range(FIRST_RECORDS):
            self.append(weights("a", version + 1, version))
        for node in range(MIN_INFORMED):
            self.read_log(node, FIRST_RECORDS - node)

    def new_relay(self, node: int) -> ConfigRelay:
        """Return a process with an empty fold that keeps few records for its peers."""
        return ConfigRelay(ConfigFold(), RECORDS_KEPT[node])

    def append(self, data: Any) -> None:
        """Append a record to the log and fold it into the reference."""
        record = LogRecord(len(self.log) + 1, NOW, f"id-{len(self.log) + 1}", data)
        self.log.append(record)
        self.reference.apply(record)
        self.snapshots[record.offset] = self.reference.snapshot()

    @rule(
        name=st.sampled_from(NAMES),
        version=st.integers(0, 5),
        seen_by=NODES,
        schema=st.sampled_from([1, 1, 1, 9]),
        delete=st.booleans(),
    )
    def publish(self, name: str, version: int, seen_by: int, schema: int, delete: bool) -> None:
        """Amend the revision in force on one process, which may be outdated."""
        amends = self.relays[seen_by].fold.current_revision(Kind.WEIGHTS, name)
        data = weights(name, version, amends, schema)
        self.append({**data, "spec": None} if delete else data)
        in_force = amends == self.model.get(name, (0, 0))[0] and schema == 1
        if in_force and (delete or version > 0):
            self.model[name] = (len(self.log), None if delete else version)

    @rule(data=st.sampled_from([{}, {"kind": "checkpoint"}, {"kind": 7}, [], "x"]))
    def append_nonsense(self, data: Any) -> None:
        """Append a record that is not a valid configuration record."""
        self.append(data)

    @rule(node=NODES)
    def write_checkpoint(self, node: int) -> None:
        """Append a checkpoint of a fold that may not have read the whole log."""
        if self.relays[node].fold.offset:
            self.append(checkpoint_record(self.relays[node].fold, str(node))[1])

    @rule(node=NODES, count=st.integers(1, 6))
    def read_log(self, node: int, count: int) -> None:
        """Read the next records of the log, or start from a checkpoint if the log dropped some."""
        relay = self.relays[node]
        kept = self.log[self.first - 1 :]
        if self.first > relay.fold.offset + 1:
            start = find_start(kept, self.first)
            if start is not None:
                relay.install(start)
        if self.first <= relay.fold.offset + 1:
            for record in [r for r in kept if r.offset > relay.fold.offset][:count]:
                relay.fold_record(record)

    @rule(by=st.integers(1, 5), far=st.integers(0, 9))
    def forget(self, by: int, far: int) -> None:
        """Let the log drop its oldest records, in rare cases beyond the last checkpoint.

        After that, new processes depend on the state of the other processes. If it happened often,
        no process would have any state left to compare.
        """
        limit = len(self.log) + 1 if far == 0 else self.reference.checkpoint.as_of + 1
        self.first = max(self.first, min(self.first + by, limit))

    @rule(source=NODES, dest=NODES, start=st.integers(1, 8), lose=st.booleans())
    def push(self, source: int, dest: int, start: int, lose: bool) -> None:
        """Send a delta from any offset, as in a push or a late response to an old request."""
        self.send(source, dest, self.relays[source].delta_since(start))
        self.send(dest, source, ConfigRequest(self.relays[dest].fold.offset + 1))
        if lose:
            self.bag.pop(0)

    @rule(indices=st.lists(st.integers(0, 1000), min_size=3, max_size=8), keep=st.booleans())
    def deliver(self, indices: list[int], keep: bool) -> None:
        """Deliver pending messages in any order; with `keep` they may be delivered again."""
        for index in indices:
            if not self.bag:
                return
            at = index % len(self.bag)
            source, dest, message = self.bag[at]
            if not keep:
                del self.bag[at]
            self.receive(source, dest, message)

    @rule(node=NODES)
    def replace(self, node: int) -> None:
        """Replace a process by an empty one, unless no other process has any state."""
        if sum(relay.fold.offset > 0 for relay in self.relays) < MIN_INFORMED:
            return
        self.relays[node] = self.new_relay(node)
        self.highest[node] = 0

    @rule(node=NODES)
    def settle(self, node: int) -> None:
        """Let one process request deltas without loss; it must reach the highest offset."""
        for other in range(PROCESSES):
            for _ in range(len(self.log) + 2):
                if self.relays[node].fold.offset >= self.relays[other].fold.offset:
                    break
                request = ConfigRequest(self.relays[node].fold.offset + 1)
                answer = self.relays[other].on_request(str(node), request)
                assert isinstance(answer, ConfigDelta)
                self.relays[node].on_delta(str(other), answer)
        highest = max(relay.fold.offset for relay in self.relays)
        assert self.relays[node].fold.offset == highest

    def send(self, source: int, dest: int, message: Message) -> None:
        """Add a message to the pending ones; the oldest is lost if there are too many."""
        self.bag.append((source, dest, message))
        del self.bag[:-BAG_SIZE]

    def receive(self, source: int, dest: int, message: Message) -> None:
        """Let a process handle a message, and send its response."""
        relay = self.relays[dest]
        if isinstance(message, ConfigRequest):
            answer = relay.on_request(str(source), message)
            if answer is not None:
                self.send(dest, source, answer)
        elif isinstance(message, ConfigDelta):
            taken = relay.on_delta(str(source), message)
            assert not taken.refused
            if taken.reply is not None:
                self.send(dest, source, taken.reply)

    @invariant()
    def all_hold_what_the_reference_held(self) -> None:
        """Each process has exactly the state of a full fold at its offset."""
        for relay in getattr(self, "relays", []):
            assert relay.fold.snapshot() == self.snapshots[relay.fold.offset]
            assert relay.fold.digest_mismatches == 0

    @invariant()
    def first_amendment_wins(self) -> None:
        """Of several records that amend the same revision, only the first valid one applies."""
        for name, (revision, version) in getattr(self, "model", {}).items():
            assert self.reference.current_revision(Kind.WEIGHTS, name) == revision
            found = self.reference.weights(name)
            assert (None if found is None else found[0].version) == version

    @invariant()
    def none_goes_back(self) -> None:
        """No offset decreases while its process runs."""
        for node, relay in enumerate(getattr(self, "relays", [])):
            assert relay.fold.offset >= self.highest[node]
            self.highest[node] = relay.fold.offset


TestAgreement = Agreement.TestCase
TestAgreement.settings = settings(max_examples=200, stateful_step_count=50)
