"""The ledger of one step: which samples are to be made, run, finished, handed over, received."""

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
    """What became of a finished attempt."""

    KEPT = "kept"
    DUPLICATE = "duplicate"  # the identity was finished before, or the trainer has it
    UNKNOWN_ATTEMPT = "unknown_attempt"


class StepLedger:
    """Keep each identity of a step in one state, and compose what a pull gets.

    Nothing here lasts. The cursor that a pull names says what its trainer has, so a ledger made
    anew by another entry goes on from any cursor of the same declaration.
    """

    def __init__(self, declaration: StepDeclaration) -> None:
        self.declaration = declaration
        self._ids = declaration.ids()
        self._received = 0
        self._idle = set(range(declaration.size))
        self._queue = list(range(declaration.size))
        self._attempts: dict[int, set[str]] = {}
        self._finished: dict[int, Sample] = {}
        # No finished sample is older than this; it may be lower than the oldest of them.
        self._oldest_finished: int | None = None
        self._handed: tuple[int, tuple[int, ...]] = (0, ())
        self._obsolete: list[str] = []
        self._discards: Counter[DiscardReason] = Counter()

    @property
    def complete(self) -> bool:
        """Return whether the trainer has all samples, by the last cursor it named."""
        return self._received == (1 << self.declaration.size) - 1

    @property
    def running(self) -> int:
        """Count the identities that have an attempt running."""
        return len(self._attempts)

    @property
    def ready(self) -> int:
        """Count the finished samples that wait to be handed over or received."""
        return len(self._finished)

    def startable(self, limit: int) -> list[SampleId]:
        """Return identities that nobody makes and nobody has, earliest groups first."""
        found: list[int] = []
        while self._queue and len(found) < limit:
            position = heapq.heappop(self._queue)
            if position in self._idle and (not found or found[-1] != position):
                found.append(position)
        for position in found:
            heapq.heappush(self._queue, position)
        return [self._ids[position] for position in found]

    def waiting(self) -> dict[int, int]:
        """Return how many identities of each group nobody makes and nobody has."""
        counts = Counter(self._ids[position].group for position in self._idle)
        return dict(sorted(counts.items()))

    def startable_of(self, group: int, limit: int) -> list[SampleId]:
        """Return identities of a group that nobody makes and nobody has."""
        ids = (SampleId(group, index) for index in range(self.declaration.groups[group].n))
        idle = (one for one in ids if self.declaration.position(one) in self._idle)
        return list(itertools.islice(idle, max(limit, 0)))

    def hedgeable(self) -> list[SampleId]:
        """Return identities that run and may get one more attempt."""
        return [
            self._ids[position]
            for position, attempts in self._attempts.items()
            if len(attempts) < MAX_ATTEMPTS
        ]

    def start(self, sample_id: SampleId, attempt: str) -> bool:
        """Note an attempt, the first or a hedge; False when none is wanted."""
        position = self.declaration.position(sample_id)
        if position in self._idle:
            self._idle.remove(position)
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
        """Keep the first finished attempt of an identity; later ones collapse on it."""
        position = self.declaration.position(sample_id)
        if position in self._finished or self._received >> position & 1:
            return FinishOutcome.DUPLICATE
        if attempt not in self._attempts.get(position, ()):
            return FinishOutcome.UNKNOWN_ATTEMPT
        others = self._attempts.pop(position) - {attempt}
        self._obsolete.extend(sorted(others))
        self._finished[position] = Sample(sample_id, completion, score)
        self._note_version(completion.oldest_version)
        return FinishOutcome.KEPT

    def discard(self, sample_id: SampleId, attempt: str, reason: DiscardReason) -> None:
        """Give up an attempt; with its last one an identity becomes startable again."""
        position = self.declaration.position(sample_id)
        attempts = self._attempts.get(position)
        if attempts is None or attempt not in attempts:
            return
        self._discards[reason] += 1
        attempts.remove(attempt)
        if not attempts:
            del self._attempts[position]
            self._make_idle(position)

    def drop_stale(self, newest_version: int, bound: int) -> int:
        """Drop finished samples older than the bound; their identities are made again."""
        oldest = self._oldest_finished
        # This is asked at each sample that finishes: looking through all that wait for a late
        # trainer each time would take most of the step's processor time.
        if oldest is None or newest_version - oldest <= bound:
            return 0
        self._oldest_finished = None
        stale = []
        for position, sample in self._finished.items():
            version = sample.completion.oldest_version
            if newest_version - version > bound:
                stale.append(position)
            else:
                self._note_version(version)
        for position in stale:
            del self._finished[position]
            self._discards[DiscardReason.STALE] += 1
            self._make_idle(position)
        return len(stale)

    def resume(self, token: str) -> Result[None, CursorError]:
        """Begin at a trainer's cursor, so that nothing it covers is made."""
        return decode_cursor(token, self.declaration).map(self._move_to)

    def pull(
        self, token: str, trainer_version: int, newest_version: int, bound: int, limit: int
    ) -> Result[Batch, CursorError]:
        """Compose what a trainer at this cursor gets, each sample fresh at this moment.

        A sample that was fresh when it finished can be stale when it is pulled, so the check is
        made here, against whichever is newer of the trainer's own version and the one in force.
        """
        decoded = decode_cursor(token, self.declaration)
        if isinstance(decoded, Err):
            return decoded
        cursor = decoded.unwrap()
        self._move_to(cursor)
        self.drop_stale(max(trainer_version, newest_version), bound)
        positions = self._compose(cursor, limit)
        following = cursor.with_received(positions)
        samples = tuple(self._finished[position] for position in positions)
        # The caller's own token comes back, not one made anew: the trainer compares the texts.
        next_token = following.encode() if positions else token
        return Ok(Batch(token, next_token, samples, following.complete))

    def take_obsolete(self) -> tuple[str, ...]:
        """Return, once each, the attempts whose result nobody needs any more."""
        obsolete, self._obsolete = tuple(self._obsolete), []
        return obsolete

    def take_discards(self) -> Counter[DiscardReason]:
        """Return the discards since the last call, by reason."""
        discards, self._discards = self._discards, Counter()
        return discards

    def _compose(self, cursor: Cursor, limit: int) -> list[int]:
        # The answer to a pull can be lost; asked again, it is the same batch, and nothing of it
        # was reclaimed meanwhile, since only a cursor that covers a sample reclaims it.
        handed_at, handed = self._handed
        again = handed if handed_at == cursor.received else ()
        positions = [position for position in again if position in self._finished][:limit]
        if not positions or len(positions) < len(again):
            chosen = set(positions)
            rest = [position for position in self._finished if position not in chosen]
            positions += rest[: max(limit - len(positions), 0)]
        self._handed = (cursor.received, tuple(positions))
        return positions

    def _move_to(self, cursor: Cursor) -> None:
        """Reclaim what the cursor covers, and make again what an older cursor does not."""
        newly = cursor.received & ~self._received
        undone = self._received & ~cursor.received
        self._received = cursor.received
        for position in _bits(newly):
            self._idle.discard(position)
            self._finished.pop(position, None)
            self._obsolete.extend(sorted(self._attempts.pop(position, ())))
        # A trainer that was set back to a checkpoint stands at an older cursor and has lost what
        # came after it; kept as received, those samples would be missing for good.
        for position in _bits(undone):
            self._make_idle(position)

    def _note_version(self, version: int) -> None:
        oldest = self._oldest_finished
        self._oldest_finished = version if oldest is None else min(oldest, version)

    def _make_idle(self, position: int) -> None:
        self._idle.add(position)
        heapq.heappush(self._queue, position)


def _bits(value: int) -> Iterator[int]:
    return (position for position, bit in enumerate(bin(value)[:1:-1]) if bit == "1")
