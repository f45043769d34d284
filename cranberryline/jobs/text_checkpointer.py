"""Periodic checkpoints of running texts in the store."""

import asyncio
from collections import defaultdict
from collections.abc import Callable, Iterable
from datetime import timedelta

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.partition import partition_of

from .item import ItemRun
from .model import JobRecord, TextPiece
from .service import JobService

__all__ = ["TextCheckpointer"]

# Limits how much of a text is lost with its node. A second of a text is about 26 events and 4.5 KB
# compressed, so a node with 20 long texts makes one call per partition and second.
CHECKPOINT_INTERVAL = timedelta(seconds=1)
# Up to this number of nodes, pieces go to the topic of the jobs, where every node reads them and
# sees that the group makes progress. The read volume grows with texts times nodes, so in larger
# fleets only a run that resumes a text reads its pieces.
MAX_PIECE_READERS = 16
# Pieces in one call; each has at most `MAX_PIECE_BYTES`, so that the store accepts the call.
_MAX_BATCH_PIECES = 16


class TextCheckpointer:
    """Append what running texts have generated since the last checkpoint.

    Without checkpoints, a text that was lost with its node starts from the beginning: after a kill
    of all nodes, the step in progress and the next one are late. With them a text resumes where it
    was. Short texts end before the first piece and cause no calls.
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
        self._running_items = running
        self._node_count = nodes
        self._wake = asyncio.Event()
        self._append_tasks: dict[int, asyncio.Task[None]] = {}

    def wake(self) -> None:
        """Resume checkpoints because a text has started."""
        self._wake.set()

    async def async_run(self) -> None:
        """Write checkpoints until cancelled; sleep while no text is running."""
        while True:
            await self._wake.wait()
            self._wake.clear()
            await self._clock.async_sleep(CHECKPOINT_INTERVAL)
            runs = list(self._running_items())
            if runs:
                self._wake.set()
            self._start_appends(runs)

    async def async_close(self) -> None:
        """Cancel all appends."""
        tasks = list(self._append_tasks.values())
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _start_appends(self, runs: Iterable[ItemRun]) -> None:
        by_partition: defaultdict[int, list[tuple[ItemRun, TextPiece]]] = defaultdict(list)
        for run in runs:
            partition = partition_of(run.state.head.id, len(self._jobs.tails))
            # An append that is waiting out an outage already has the pieces of its partition.
            piece = run.next_piece() if partition not in self._append_tasks else None
            if piece is not None:
                by_partition[partition].append((run, piece))
        for partition, pieces in by_partition.items():
            task = asyncio.ensure_future(self._async_write(pieces))
            self._append_tasks[partition] = task
            task.add_done_callback(
                lambda _, partition=partition: self._append_tasks.pop(partition, None)
            )

    async def _async_write(self, pieces: list[tuple[ItemRun, TextPiece]]) -> None:
        """Append pieces; a piece whose append was not acknowledged is retried unchanged.

        A new piece with the same number would contain more events; if the first append took effect
        after all, later pieces would not follow it. Events generated during an outage are appended
        as soon as it is over.
        """
        while pieces:
            batch, pieces = pieces[:_MAX_BATCH_PIECES], pieces[_MAX_BATCH_PIECES:]
            if not await self._async_append([piece for _, piece in batch]):
                return
            for run, piece in batch:
                run.confirm_piece(piece)
                next_piece = run.next_piece()
                if next_piece is not None:
                    pieces.append((run, next_piece))

    async def _async_append(self, pieces: list[TextPiece]) -> bool:
        if self._node_count() > MAX_PIECE_READERS:
            return await self._jobs.texts.async_append(pieces)
        records: list[JobRecord] = [*pieces]
        return await self._jobs.async_record(pieces[0].job, records)
