"""State of the samples of one step: startable, running, finished or received."""

import enum
import heapq
import itertools
from collections import Counter
from collections.abc import Iterator

from result import Err, Ok, Result

from .const import MAX_ATTEMPTS
from .cursor import Cursor, decode_cursor
from .errors import CursorError, DiscardReason
from .model import Batch, Completion, Sample, SampleId, StepDeclaration

__all__ = ["FinishOutcome", "StepLedger"]


class FinishOutcome(enum.StrEnum):
    """Result of reporting a finished attempt to the ledger."""

    KEPT = "kept"
    DUPLICATE = "duplicate"  # another attempt finished first, or the trainer has the sample
    UNKNOWN_ATTEMPT = "unknown_attempt"


class StepLedger:
    """Tracks the state of each sample of a step and selects the samples that a pull returns.

    The state is in memory only. The cursor of each pull says what the trainer has received, so a
    new ledger at another entry can continue from any cursor of the same declaration.
    """

    def __init__(self, declaration: StepDeclaration) -> None:
        self.declaration = declaration
        self._ids = declaration.ids()
        self._received = 0
        self._startable = set(range(declaration.size))
        self._startable_heap = list(range(declaration.size))
        self._attempts: dict[int, set[str]] = {}
        self._finished: dict[int, Sample] = {}
        # Lower bound of the weight versions of all finished samples.
        self._oldest_finished: int | None = None
        self._last_batch: tuple[int, tuple[int, ...]] = (0, ())
        self._obsolete: list[str] = []
        self._discards: Counter[DiscardReason] = Counter()

    @property
    def complete(self) -> bool:
        """Return whether the trainer has received all samples, according to its last cursor."""
        return self._received == (1 << self.declaration.size) - 1

    @property
    def running(self) -> int:
        """Return the number of samples with a running attempt."""
        return len(self._attempts)

    @property
    def ready(self) -> int:
        """Return the number of finished samples that the trainer has not confirmed."""
        return len(self._finished)

    def startable(self, limit: int) -> list[SampleId]:
        """Return samples that are neither running, finished nor received, earliest groups first."""
        found: list[int] = []
        while self._startable_heap and len(found) < limit:
            position = heapq.heappop(self._startable_heap)
            if position in self._startable and (not found or found[-1] != position):
                found.append(position)
        for position in found:
            heapq.heappush(self._startable_heap, position)
        return [self._ids[position] for position in found]

    def startable_counts(self) -> dict[int, int]:
        """Return the number of startable samples per group."""
        counts = Counter(self._ids[position].group for position in self._startable)
        return dict(sorted(counts.items()))

    def startable_in_group(self, group: int, limit: int) -> list[SampleId]:
        """Return up to `limit` startable samples of a group."""
        ids = (SampleId(group, index) for index in range(self.declaration.groups[group].n))
        startable = (id_ for id_ in ids if self.declaration.position(id_) in self._startable)
        return list(itertools.islice(startable, max(limit, 0)))

    def hedgeable(self) -> list[SampleId]:
        """Return running samples that have fewer than `MAX_ATTEMPTS` attempts."""
        return [
            self._ids[position]
            for position, attempts in self._attempts.items()
            if len(attempts) < MAX_ATTEMPTS
        ]

    def start(self, sample_id: SampleId, attempt: str) -> bool:
        """Record a first attempt or a hedge; return False if no further attempt is needed."""
        position = self.declaration.position(sample_id)
        if position in self._startable:
            self._startable.remove(position)
            self._attempts[position] = {attempt}
            return True
        attempts = self._attempts.get(position)
        if attempts is None or attempt in attempts or len(attempts) >= MAX_ATTEMPTS:
            return False
        attempts.add(attempt)
        return True

    def finish(
        self, sample_id: SampleId, attempt: str, completion: Completion, score: float
    ) -> FinishOutcome:
        """Store the result of the first attempt that finishes; later ones are duplicates.

        The other running attempts of the sample become obsolete.
        """
        position = self.declaration.position(sample_id)
        if position in self._finished or self._received >> position & 1:
            return FinishOutcome.DUPLICATE
        if attempt not in self._attempts.get(position, ()):
            return FinishOutcome.UNKNOWN_ATTEMPT
        others = self._attempts.pop(position) - {attempt}
        self._obsolete.extend(sorted(others))
        self._finished[position] = Sample(sample_id, completion, score)
        self._update_oldest(completion.oldest_version)
        return FinishOutcome.KEPT

    def discard(self, sample_id: SampleId, attempt: str, reason: DiscardReason) -> None:
        """Remove a failed attempt; a sample without running attempts becomes startable again."""
        position = self.declaration.position(sample_id)
        attempts = self._attempts.get(position)
        if attempts is None or attempt not in attempts:
            return
        self._discards[reason] += 1
        attempts.remove(attempt)
        if not attempts:
            del self._attempts[position]
            self._make_startable(position)

    def drop_stale(self, newest_version: int, bound: int) -> int:
        """Drop finished samples older than `bound` versions and make them startable again.

        Returns the number of dropped samples.
        """
        oldest = self._oldest_finished
        # This runs whenever a sample finishes. If the trainer is late, checking every finished
        # sample each time would take most of the step's CPU time.
        if oldest is None or newest_version - oldest <= bound:
            return 0
        self._oldest_finished = None
        stale = []
        for position, sample in self._finished.items():
            version = sample.completion.oldest_version
            if newest_version - version > bound:
                stale.append(position)
            else:
                self._update_oldest(version)
        for position in stale:
            del self._finished[position]
            self._discards[DiscardReason.STALE] += 1
            self._make_startable(position)
        return len(stale)

    def resume(self, token: str) -> Result[None, CursorError]:
        """Apply the cursor of a trainer, so that samples it covers are not generated."""
        return decode_cursor(token, self.declaration).map(self._apply_cursor)

    def pull(
        self, token: str, trainer_version: int, newest_version: int, bound: int, limit: int
    ) -> Result[Batch, CursorError]:
        """Return up to `limit` samples that the cursor doesn't cover and that are not stale.

        A sample can become stale between its end and the pull, so staleness is checked again here,
        against the newer of the trainer's version and the version in the configuration.
        """
        decoded = decode_cursor(token, self.declaration)
        if isinstance(decoded, Err):
            return decoded
        cursor = decoded.unwrap()
        self._apply_cursor(cursor)
        self.drop_stale(max(trainer_version, newest_version), bound)
        positions = self._select_positions(cursor, limit)
        next_cursor = cursor.with_received(positions)
        samples = tuple(self._finished[position] for position in positions)
        # An unchanged cursor is returned as the same token, since the trainer compares tokens as
        # strings.
        next_token = next_cursor.encode() if positions else token
        return Ok(Batch(token, next_token, samples, next_cursor.complete))

    def take_obsolete(self) -> tuple[str, ...]:
        """Return the attempts whose results are no longer needed, each one only once."""
        obsolete, self._obsolete = tuple(self._obsolete), []
        return obsolete

    def take_discards(self) -> Counter[DiscardReason]:
        """Return the number of discarded results per reason since the last call."""
        discards, self._discards = self._discards, Counter()
        return discards

    def _select_positions(self, cursor: Cursor, limit: int) -> list[int]:
        # The response to a pull can be lost. A repeated pull returns the same batch; its samples
        # still exist, since a sample is removed only when a cursor covers it.
        last_received, last_positions = self._last_batch
        repeated = last_positions if last_received == cursor.received else ()
        positions = [position for position in repeated if position in self._finished][:limit]
        if not positions or len(positions) < len(repeated):
            chosen = set(positions)
            rest = [position for position in self._finished if position not in chosen]
            positions += rest[: max(limit - len(positions), 0)]
        self._last_batch = (cursor.received, tuple(positions))
        return positions

    def _apply_cursor(self, cursor: Cursor) -> None:
        """Remove samples the cursor covers; restart those it covered before but no longer does."""
        newly = cursor.received & ~self._received
        revoked = self._received & ~cursor.received
        self._received = cursor.received
        for position in _set_bits(newly):
            self._startable.discard(position)
            self._finished.pop(position, None)
            self._obsolete.extend(sorted(self._attempts.pop(position, ())))
        # A trainer restored from a checkpoint has an older cursor and has lost the samples received
        # after it. They have to be generated again.
        for position in _set_bits(revoked):
            self._make_startable(position)

    def _update_oldest(self, version: int) -> None:
        oldest = self._oldest_finished
        self._oldest_finished = version if oldest is None else min(oldest, version)

    def _make_startable(self, position: int) -> None:
        self._startable.add(position)
        heapq.heappush(self._startable_heap, position)


def _set_bits(value: int) -> Iterator[int]:
    """Return the positions of the bits that are 1, lowest first."""
    return (position for position, bit in enumerate(bin(value)[:1:-1]) if bit == "1")
