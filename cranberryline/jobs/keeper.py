"""Keep the texts that run here in the store, piece by piece."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from datetime import timedelta

from cranberryline.helpers.clock import Clock

from .item import ItemRun
from .model import JobRecord, TextPiece
from .partition import partition_of
from .service import JobService

__all__ = ["TextKeeper"]

# What a killed node costs of a text, at most, besides the time to run again; a second of a text is some
# 26 events and 4.5 KB packed, so a node with twenty long texts brings the store one call a partition and second.
KEEP_EVERY = timedelta(seconds=1)
# Up to this many nodes read every piece as it comes, in the topic of the jobs: each is a sign that its group goes on.
# The bytes grow with the texts times the nodes, so in larger fleets only a run that goes on reads them.
MOST_READERS = 16
# Pieces in one call: of at most `MAX_PIECE_BYTES` each, so that a call takes them.
_MAX_BATCH = 16


class TextKeeper:
    """Append what running texts have made since the last time.

    A text of several seconds that was lost with its node began again from nothing: whatever a step had under
    way when all nodes were killed was late, and so was the step after it. Kept each second, it goes on where it
    was. Short texts end before the first piece, and cost nothing.
    """

    def __init__(
        self,
        jobs: JobService,
        clock: Clock,
        running: Callable[[], Iterable[ItemRun]],
        nodes: Callable[[], int],
    ) -> None:
        self._jobs = jobs
        self._clock = clock
        self._running = running
        self._nodes = nodes
        self._wake = asyncio.Event()
        self._writers: dict[int, asyncio.Task[None]] = {}

    def wake(self) -> None:
        """Look at running texts again: one has begun."""
        self._wake.set()

    async def async_run(self) -> None:
        """Keep texts until cancelled; without a running text nothing is looked at."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._clock.async_sleep(KEEP_EVERY)
            runs = list(self._running())
            if runs:
                self._wake.set()
            self._keep(runs)

    async def async_close(self) -> None:
        """End every append."""
        writers = list(self._writers.values())
        for task in writers:
            task.cancel()
        await asyncio.gather(*writers, return_exceptions=True)

    def _keep(self, runs: Iterable[ItemRun]) -> None:
        by_part: defaultdict[int, list[tuple[ItemRun, TextPiece]]] = defaultdict(list)
        for run in runs:
            part = partition_of(run.state.head.id, len(self._jobs.tails))
            # A writer that waits for an outage's end has the pieces of its partition already.
            piece = run.next_piece() if part not in self._writers else None
            if piece is not None:
                by_part[part].append((run, piece))
        for part, pieces in by_part.items():
            task = asyncio.ensure_future(self._async_write(pieces))
            self._writers[part] = task
            task.add_done_callback(lambda _, part=part: self._writers.pop(part, None))

    async def _async_write(self, pieces: list[tuple[ItemRun, TextPiece]]) -> None:
        """Append pieces; one whose append got no answer stays as it is and is appended again.

        Cut anew it would be longer under the same number, and if the first append stands after all, what follows
        would follow nothing. What an outage held up goes at once when it is over.
        """
        while pieces:
            batch, pieces = pieces[:_MAX_BATCH], pieces[_MAX_BATCH:]
            if not await self._async_append([piece for _, piece in batch]):
                return
            for run, piece in batch:
                run.confirm_piece(piece)
                behind = run.next_piece()
                if behind is not None:
                    pieces.append((run, behind))

    async def _async_append(self, pieces: list[TextPiece]) -> bool:
        if self._nodes() > MOST_READERS:
            return await self._jobs.texts.async_keep(pieces)
        records: list[JobRecord] = [*pieces]
        return await self._jobs.async_record(pieces[0].job, records)
