"""Run the items of open jobs that fall to this node, and record how they ended."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Callable, Collection
from datetime import timedelta

import attrs

from cranberryline.decisions.job_placement import JobPlacement
from cranberryline.entry.dispatch import Dispatcher
from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import PartitionTail
from cranberryline.ports.edge import EdgeFormat
from cranberryline.routes import RouteBook

from .book import JobState
from .groups import group_of
from .item import ItemRun, ItemTools
from .model import ItemResult, JobRecord, ResultRecord
from .partition import partition_of
from .scoring import ScoringPlaces
from .service import JobService
from .versions import UpstreamVersions

__all__ = ["JobRunner", "RunnerParts"]

_LOGGER = get_logger(__name__)

_LOOK_AGAIN = timedelta(milliseconds=250)
# Results that end within one turn of the store's answer go into its next call together.
_BATCH_PAUSE = timedelta(milliseconds=4)
_RECORD_PAUSE = timedelta(milliseconds=250)
_MAX_BATCH = 200
# Another node's silence says something only while this node hears the store.
_CURRENT_WITHIN = timedelta(seconds=2)


@attrs.define
class RunnerParts:
    """What the runner works with."""

    jobs: JobService
    routes: RouteBook
    dispatcher: Dispatcher
    edge: EdgeFormat
    versions: UpstreamVersions
    clock: Clock
    metrics: Metrics
    node: str
    live: Callable[[timedelta], Collection[str]]


@attrs.frozen(eq=False)
class _Running:
    """An item's run and the task that it goes on in."""

    run: ItemRun
    task: asyncio.Task[None]


@attrs.frozen(eq=False)
class _Untold:
    """An item that ended at `ended` (monotonic clock) and whose line in the log is not written yet."""

    run: ItemRun
    ended: timedelta


class JobRunner:
    """Start what falls to this node, once; append results until they stand."""

    def __init__(self, parts: RunnerParts) -> None:
        self._parts = parts
        self._jobs = parts.jobs
        self._clock = parts.clock
        self._wake = asyncio.Event()
        self._running: dict[tuple[str, int], _Running] = {}
        # What ended here and may not be listed yet. Looked for in the book alone it would be due again
        # until its record comes back from the store: one item in eight ran twice, and was scored twice.
        self._ended: defaultdict[str, set[int]] = defaultdict(set)
        self._finished: dict[int, list[ResultRecord]] = {}
        self._untold: dict[tuple[str, int], _Untold] = {}
        self._writers: dict[int, asyncio.Task[None]] = {}
        self._rng = random.Random()
        self.stopping = False
        self._tools = ItemTools(
            parts.routes,
            parts.dispatcher,
            parts.edge,
            parts.versions,
            parts.clock,
            parts.metrics,
            self._rng,
            ScoringPlaces(parts.dispatcher.places),
            parts.jobs.book.completed,
            parts.jobs.knowledge,
        )
        self._jobs.book.listen(self._on_change)

    @property
    def busy(self) -> bool:
        """Tell whether items run or results have still to be recorded."""
        return bool(self._running) or any(self._finished.values())

    def wake(self) -> None:
        """Look again soon: nodes or routes have changed."""
        self._wake.set()

    async def async_run(self) -> None:
        """Start what is due until cancelled."""
        while True:
            if not self.stopping and self._parts.routes.table is not None:
                self._start_due()
            self._wake.clear()
            try:
                async with asyncio.timeout(_LOOK_AGAIN.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def async_close(self) -> None:
        """End every run."""
        tasks = [*(item.task for item in self._running.values()), *self._writers.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)

    def _on_change(self, state: JobState) -> None:
        if state.ended:
            self._cancel_job(state)
        self._wake.set()

    def _cancel_job(self, state: JobState) -> None:
        keys = ((state.job.id, index) for index in range(len(state.job.items)))
        items = [self._running[key] for key in keys if key in self._running]
        for item in items:
            item.task.cancel()
        if items:
            ages = [item.run.known_age for item in items if item.run.known_age is not None]
            oldest = in_milliseconds(max(ages, default=timedelta()))
            _LOGGER.info(
                "job_items_cancelled",
                request_id=state.job.id,
                items=len(items),
                oldest_known_ms=oldest,
                stages=dict(Counter(item.run.phases.stage for item in items)),
            )

    def _start_due(self) -> None:
        now = self._clock.monotonic()
        unfinished = [state for state in self._jobs.book.jobs.values() if state.open]
        for job_id in self._ended.keys() - {state.job.id for state in unfinished}:
            del self._ended[job_id]
        # A node that starts reads the jobs of the last minutes page by page, and a job before its end: run
        # then, its items reach upstreams long after its caller was told that it is over.
        states = [state for state in unfinished if self._tail(state.job.id).at_end]
        parts: dict[str, JobPlacement] = {}
        for state in sorted(states, key=lambda state: state.seen_at):
            live = self._parts.live(state.seen_at)
            placement = JobPlacement(
                trainer_of(state), len(state.job.items), self._parts.node, live
            )
            parts[trainer_of(state)] = placement
            self._start_job(state, placement, now)
        self._tools.scoring.own_parts = sum(placement.in_team for placement in parts.values())
        self._tools.scoring.all_parts = sum(placement.team_size for placement in parts.values())

    def _start_job(self, state: JobState, placement: JobPlacement, now: timedelta) -> None:
        delays: dict[str, timedelta | None] = {}
        current = self._is_current(state.job.id, now)
        ended = self._ended.get(state.job.id, ())
        for index, item in enumerate(state.job.items):
            key = (state.job.id, index)
            if index in state.done or index in ended or key in self._running:
                continue
            group = item.group or item.id
            if group not in delays:
                delays[group] = placement.start_delay(group)
            delay = delays[group]
            if delay is None or (delay and not current):
                continue
            since = max(state.seen_at, state.moved_at.get(item.group, state.seen_at))
            if now - since >= delay:
                self._start_item(state, index)

    def _tail(self, job_id: str) -> PartitionTail:
        return self._jobs.tails[partition_of(job_id, len(self._jobs.tails))]

    def _is_current(self, job_id: str, now: timedelta) -> bool:
        tail = self._tail(job_id)
        return tail.current_at is not None and now - tail.current_at < _CURRENT_WITHIN

    def _start_item(self, state: JobState, index: int) -> None:
        key = (state.job.id, index)
        run = ItemRun(self._tools, state, index)
        task = asyncio.ensure_future(self._async_item(run))
        self._running[key] = _Running(run, task)
        task.add_done_callback(lambda _: self._running.pop(key, None))

    async def _async_item(self, run: ItemRun) -> None:
        result = await run.async_run()
        if result is not None:
            self._untold[run.state.job.id, run.index] = _Untold(run, self._clock.monotonic())
            self._finish(run.state, run.index, result)

    def _tell(self, record: ResultRecord, listed: bool) -> None:
        """Log where an item's time went, once its result stands or nobody wants it any more."""
        untold = self._untold.pop((record.job, record.index), None)
        if untold is None:
            return
        run, ended, result = untold.run, untold.ended, record.result
        phases, job = run.phases, run.state.job
        _LOGGER.info(
            "item_ended",
            request_id=run.item.id,
            job=job.id,
            group=group_of(run.item),
            group_size=run.state.groups.sizes[group_of(run.item)],
            outcome=result.state,
            listed=listed,
            versions=result.versions,
            events=len(run.text.events),
            runs=run.runs,
            known_ms=None if run.known_age is None else in_milliseconds(run.known_age),
            waited_ms=in_milliseconds(run.began - run.state.seen_at),
            text_ms=in_milliseconds(run.text_at - run.began),
            place_ms=in_milliseconds(phases.place),
            prefill_ms=in_milliseconds(phases.prefill),
            broken_ms=in_milliseconds(phases.broken),
            resumed=phases.resumed,
            upstreams=phases.upstreams,
            score_ms=in_milliseconds(ended - run.text_at),
            score_wait_ms=in_milliseconds(phases.score_wait),
            append_ms=in_milliseconds(self._clock.monotonic() - ended),
        )

    def _finish(self, state: JobState, index: int, result: ItemResult) -> None:
        self._ended[state.job.id].add(index)
        part = partition_of(state.job.id, len(self._jobs.tails))
        self._finished.setdefault(part, []).append(ResultRecord(state.job.id, index, result))
        if part not in self._writers:
            self._writers[part] = asyncio.ensure_future(self._async_write(part))

    async def _async_write(self, part: int) -> None:
        """Append what has ended until all of it stands, and count as at work no moment longer.

        A callback of the task comes a turn of the loop after its last look. A result that ended in that
        turn was left to a writer that was over, and its step waited until another node ran the item
        anew (2 of 42 runs of the test of an item that is gone on with elsewhere). Between the last look
        here and the end of `finally` nothing else runs.
        """
        try:
            await self._async_write_all(part)
        finally:
            del self._writers[part]

    async def _async_write_all(self, part: int) -> None:
        """Append until nothing waits.

        A result whose append got no answer is appended again: the first one stands, so a second one
        changes nothing, while one that was dropped would keep its step waiting.
        """
        await self._clock.async_sleep(_BATCH_PAUSE)
        while waiting := self._still_wanted(part):
            batch: list[JobRecord] = list(waiting[:_MAX_BATCH])
            if await self._jobs.async_record(batch[0].job, batch):
                written = {id(record) for record in batch}
                self._finished[part] = [
                    record for record in self._finished[part] if id(record) not in written
                ]
                for record in waiting[:_MAX_BATCH]:
                    self._tell(record, listed=True)
                continue
            await self._clock.async_sleep(_RECORD_PAUSE * (0.5 + self._rng.random()))

    def _still_wanted(self, part: int) -> list[ResultRecord]:
        """Drop what stands already or belongs to a job that has ended."""
        jobs = self._jobs.book.jobs
        wanted = [
            record
            for record in self._finished.get(part, [])
            if (state := jobs.get(record.job)) is not None
            and not state.ended
            and record.index not in state.done
        ]
        for record in self._finished.get(part, []):
            state = jobs.get(record.job)
            if state is None or state.ended or record.index in state.done:
                self._tell(record, listed=state is not None and record.index in state.done)
        self._finished[part] = wanted
        return wanted


def trainer_of(state: JobState) -> str:
    """Return what tells a job's trainer from others: the model that it trains."""
    return state.job.model or state.job.host
