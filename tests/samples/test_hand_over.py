"""Stateful test of exactly-once delivery from two entries to one trainer over a faulty network."""

from collections import Counter

import attrs
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from cranberryline.client import Position, PulledBatch, TakeOutcome
from cranberryline.client.model import ReceivedSample, ReceivedSegment
from cranberryline.samples import (
    Batch,
    Completion,
    DiscardReason,
    GroupDeclaration,
    Sample,
    SampleId,
    Segment,
    StepDeclaration,
    StepLedger,
)

OWNERS = 2
BOUND = 1
DECLARATION = StepDeclaration(
    "t", 1, "s", (GroupDeclaration("p", 3, 8), GroupDeclaration("q", 2, 8))
)
anywhere = st.one_of(st.just(0), st.integers(0, 1_000))
owners = st.integers(0, OWNERS - 1)


@attrs.define(eq=False)
class Attempt:
    """A running attempt; `first` is the weight version at its start."""

    owner: int
    ledger: StepLedger
    sample_id: SampleId
    name: str
    first: int


def text_of(sample_id: SampleId, name: str, segments: tuple[Segment, ...]) -> str:
    """Return a text that contains the identity, the weight versions and the attempt of a sample."""
    versions = ",".join(str(segment.weight_version) for segment in segments)
    return f"{sample_id.group}/{sample_id.index}|{versions}|{name}"


def received(sample: Sample) -> ReceivedSample:
    """Return a sample as decoded by the trainer."""
    segments = tuple(
        ReceivedSegment(s.weight_version, s.tokens) for s in sample.completion.segments
    )
    return ReceivedSample("", sample.id.group, sample.id.index, sample.completion.text, 0, segments)


class HandOver(RuleBasedStateMachine):
    """One step, two entries that both act as its owner, one trainer.

    Entries lose their state, finish both attempts of a hedged sample and learn of new versions
    late. Responses to pulls are lost, repeated or delayed. The trainer continues meanwhile, and
    returns to its checkpoint. The samples it has accepted are checked after every step.
    """

    def __init__(self) -> None:
        super().__init__()
        self.ledgers = [StepLedger(DECLARATION) for _ in range(OWNERS)]
        self.newest = 5
        self.engine_version = 5
        self.known_newest = [5] * OWNERS
        self.position = Position(1, 5)
        self.taken: list[ReceivedSample] = []
        self.checkpoint: tuple[str, bool, list[ReceivedSample]] = ("", False, [])
        self.attempts: list[Attempt] = []
        self.pulls: list[tuple[str, int]] = []
        self.answers: list[PulledBatch] = []
        self.names = 0

    @rule(owner=owners, count=st.integers(1, 5))
    def start(self, owner: int, count: int) -> None:
        """Start samples that have no running attempt at this entry."""
        ledger = self.ledgers[owner]
        for sample_id in ledger.startable(count):
            self._begin(owner, sample_id)

    @rule(owner=owners)
    def hedge(self, owner: int) -> None:
        """Start a second attempt at a running sample."""
        for sample_id in self.ledgers[owner].hedgeable()[:1]:
            self._begin(owner, sample_id)

    def _begin(self, owner: int, sample_id: SampleId) -> None:
        self.names += 1
        name = f"a{self.names}"
        ledger = self.ledgers[owner]
        if ledger.start(sample_id, name):
            self.attempts.append(Attempt(owner, ledger, sample_id, name, self.engine_version))

    @precondition(lambda self: self.attempts)
    @rule(at=anywhere, count=st.integers(1, 5))
    def finish(self, at: int, count: int) -> None:
        """Finish attempts; a sample started before a swap has two segments."""
        for _ in range(min(count, len(self.attempts))):
            attempt = self.attempts.pop(at % len(self.attempts))
            versions = sorted({attempt.first, self.engine_version})
            segments = tuple(Segment(version, 2) for version in versions)
            text = text_of(attempt.sample_id, attempt.name, segments)
            completion = Completion(text, segments, "u")
            attempt.ledger.finish(attempt.sample_id, attempt.name, completion, 0.0)

    @rule(owner=owners, count=st.integers(1, 3))
    def make(self, owner: int, count: int) -> None:
        """Start samples and finish them at once."""
        before = len(self.attempts)
        self.start(owner, count)
        while len(self.attempts) > before:
            self.finish(-1, 1)

    @rule(owner=owners, limit=st.integers(1, 4))
    def pull_at_once(self, owner: int, limit: int) -> None:
        """Send a pull and compute its response, which is not delivered yet."""
        self.pull(1)
        self.serve(-1, owner, limit)

    @precondition(lambda self: self.attempts)
    @rule(at=anywhere)
    def fail(self, at: int) -> None:
        """Let an attempt fail."""
        attempt = self.attempts.pop(at % len(self.attempts))
        attempt.ledger.discard(attempt.sample_id, attempt.name, DiscardReason.FAILED)

    @rule(send=st.integers(1, 2))
    def pull(self, send: int) -> None:
        """Send a pull, which can reach any entry, at any time, and twice."""
        self.pulls += [(self.position.cursor, self.position.version)] * send

    @precondition(lambda self: self.pulls)
    @rule(at=anywhere, owner=owners, limit=st.integers(1, 4))
    def serve(self, at: int, owner: int, limit: int) -> None:
        """Compute the response to a pull at one of the entries."""
        cursor, version = self.pulls.pop(at % len(self.pulls))
        newest = self.known_newest[owner]
        batch = self.ledgers[owner].pull(cursor, version, newest, BOUND, limit).unwrap()
        self.answers.append(self._as_pulled(batch, version))

    @staticmethod
    def _as_pulled(batch: Batch, version: int) -> PulledBatch:
        samples = tuple(received(sample) for sample in batch.samples)
        return PulledBatch(batch.cursor, batch.next_cursor, version, samples, batch.done)

    @precondition(lambda self: self.answers)
    @rule(at=anywhere, again=st.booleans())
    def receive(self, at: int, again: bool) -> None:
        """Deliver a response to the trainer; the samples it accepts must not be stale."""
        index = at % len(self.answers)
        batch = self.answers[index] if again else self.answers.pop(index)
        if self.position.take(batch) is not TakeOutcome.TAKEN:
            return
        for sample in batch.samples:
            oldest = min(segment.weight_version for segment in sample.segments)
            assert self.position.version - oldest <= BOUND
        self.taken += batch.samples

    @precondition(lambda self: self.answers)
    @rule(at=anywhere)
    def lose_answer(self, at: int) -> None:
        """Lose a response."""
        del self.answers[at % len(self.answers)]

    @rule(owner=owners)
    def kill(self, owner: int) -> None:
        """Kill an entry; its replacement has only the declaration."""
        self.ledgers[owner] = StepLedger(DECLARATION)
        self.attempts = [attempt for attempt in self.attempts if attempt.owner != owner]

    @rule(engine=st.booleans(), trainer=st.booleans(), owner=owners)
    def move_versions(self, engine: bool, trainer: bool, owner: int) -> None:
        """Publish a version; one entry learns of it, engines and trainer may switch to it."""
        self.newest += 1
        self.known_newest[owner] = self.newest
        if engine:
            self.engine_version = self.newest
        if trainer:
            self.position.version = self.newest

    @rule()
    def save(self) -> None:
        """Save a checkpoint with the trainer's cursor and its samples."""
        self.checkpoint = (self.position.cursor, self.position.done, list(self.taken))

    @rule()
    def restore(self) -> None:
        """Restore the checkpoint; the trainer loses the samples accepted after it."""
        self.position.cursor, self.position.done, taken = self.checkpoint
        self.taken = list(taken)

    @invariant()
    def each_at_most_once(self) -> None:
        """Check that the trainer has no sample twice."""
        counts = Counter((sample.group, sample.index) for sample in self.taken)
        assert all(count == 1 for count in counts.values())

    @invariant()
    def each_attributed(self) -> None:
        """Check identity and versions of each sample against its text."""
        for sample in self.taken:
            identity, versions, _ = sample.text.split("|")
            assert identity == f"{sample.group}/{sample.index}"
            told = ",".join(str(segment.weight_version) for segment in sample.segments)
            assert versions == told

    @invariant()
    def done_means_all(self) -> None:
        """Check that a trainer whose step is done has every sample."""
        if self.position.done:
            assert len(self.taken) == DECLARATION.size

    def teardown(self) -> None:
        """Stop injecting faults and check that the trainer receives each missing sample once.

        Each round delivers up to two samples; the step has to finish within four rounds per sample.
        """
        self.engine_version = self.newest
        self.position.version = self.newest
        self.known_newest = [self.newest] * OWNERS
        self.finish_all()
        rounds = 0
        while not self.position.done:
            self.start(0, DECLARATION.size)
            self.finish_all()
            self.pull(1)
            self.answers.clear()
            self.serve(len(self.pulls) - 1, 0, 2)
            self.receive(0, again=False)
            rounds += 1
            assert rounds <= 4 * DECLARATION.size
        self.each_at_most_once()
        self.each_attributed()
        self.done_means_all()

    def finish_all(self) -> None:
        """Finish all running attempts."""
        while self.attempts:
            self.finish(0, 1)


TestHandOver = HandOver.TestCase
TestHandOver.settings = settings(
    settings.get_profile("fixed"), max_examples=500, stateful_step_count=40
)
