"""Runs the items of open jobs that are assigned to this node and records their results."""

import asyncio
import random
from collections import Counter, defaultdict
from collections.abc import Awaitable, Callable, Collection, Iterable
from datetime import timedelta
from itertools import islice

import attrs

from cranberryline.decisions.lengths import TextLengthEstimator
from cranberryline.decisions.moving import EngineRates
from cranberryline.dispatch.dispatch import Dispatcher
from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.partition import partition_of
from cranberryline.helpers.tail import PartitionTail
from cranberryline.routes import ActiveRoutes
from cranberryline.slots import NoSlotSharing, SlotSource
from cranberryline.upstreams.versions import UpstreamVersions

from .const import MAX_RUNNING_ITEMS
from .groups import group_of
from .item import ItemRun
from .item_context import ItemContext, async_confirm_always, async_have_all_routes
from .model import ItemResult, ResultRecord
from .plan import JobPlan
from .ports import EdgeFormat
from .result_writer import ResultWriter
from .scoring import ScoringSlots
from .service import JobService
from .state import JobState
from .text_checkpointer import TextCheckpointer
from .text_memory import TextMemory

__all__ = ["JobRunner", "RunnerDependencies"]

_LOGGER = get_logger(__name__)

_FULL_SCAN_INTERVAL = timedelta(milliseconds=250)
_REFILL_SHARE = 0.75
# A missing result indicates a failed node only while this node's view of the log is at most this
# old.
_MAX_LOG_AGE = timedelta(seconds=2)


@attrs.define
class RunnerDependencies:
    """Dependencies of `JobRunner`."""

    jobs: JobService
    routes: ActiveRoutes
    dispatcher: Dispatcher
    edge: EdgeFormat
    versions: UpstreamVersions
    clock: Clock
    metrics: Metrics
    node: str
    # Returns the nodes that are alive, given the monotonic time at which a job was first seen.
    live_nodes: Callable[[timedelta], Collection[str]]
    # Returns whether work may be sent by the active routes.
    async_confirm_routes: Callable[[], Awaitable[bool]] = async_confirm_always
    # Returns whether the active routes have every change before a monotonic time.
    async_have_routes_since: Callable[[timedelta], Awaitable[bool]] = async_have_all_routes
    paces: EngineRates = attrs.field(factory=EngineRates)
    slots: SlotSource = attrs.field(factory=NoSlotSharing)
    # Returns whether this node starts items of a job that it first saw at a monotonic time.
    may_start: Callable[[timedelta], bool] = lambda _since: True
    lengths: TextLengthEstimator = attrs.field(factory=TextLengthEstimator)
    memory: TextMemory = attrs.field(factory=TextMemory)


@attrs.frozen(eq=False)
class _RunningItem:
    """The run of an item and the task that executes it."""

    run: ItemRun
    task: asyncio.Task[None]


@attrs.frozen(eq=False)
class _UnloggedItem:
    """An item that ended at `ended` (monotonic clock) and is not in the application log yet."""

    run: ItemRun
    ended: timedelta
    events: int


class JobRunner:
    """Starts each item that is assigned to this node once and appends its result to the log.

    An append is repeated until the result is known to be in the log.
    """

    def __init__(self, dependencies: RunnerDependencies) -> None:
        self._dependencies = dependencies
        self._jobs = dependencies.jobs
        self._clock = dependencies.clock
        self._wake = asyncio.Event()
        self._running: dict[tuple[str, int], _RunningItem] = {}
        # Indexes of items that ended on this node, per job. The job book lists a result only after
        # its record has been read back from the store. Without this set an item would be due again
        # until then: one item in eight ran twice and was scored twice.
        self._ended_items: defaultdict[str, set[int]] = defaultdict(set)
        self._plans: dict[str, JobPlan] = {}
        # Jobs to check at the next wake-up. All other jobs are checked only by the periodic full
        # scan, since their items become due only with time or with a change of the live nodes.
        self._changed_jobs: set[str] = set()
        # Jobs with items that are due and were not started, as too many items are running.
        self._held_back: set[str] = set()
        self._next_full_scan = timedelta()
        self._unlogged: dict[tuple[str, int], _UnloggedItem] = {}
        self._rng = random.Random()
        self._writer = ResultWriter(
            dependencies.jobs,
            dependencies.clock,
            self._rng,
            dependencies.memory,
            self._log_ended_item,
        )
        self.stopping = False
        self._context = ItemContext(
            dependencies.routes,
            dependencies.dispatcher,
            dependencies.edge,
            dependencies.versions,
            dependencies.clock,
            dependencies.metrics,
            self._rng,
            ScoringSlots(dependencies.dispatcher.total_slots),
            dependencies.jobs.book.completed,
            dependencies.jobs.freshness,
            dependencies.jobs.book.find_partial_text,
            dependencies.jobs.texts.async_read,
            dependencies.async_confirm_routes,
            dependencies.async_have_routes_since,
            lengths=dependencies.lengths,
            paces=dependencies.paces,
            slots=dependencies.slots,
            memory=dependencies.memory,
        )
        self._keeper = TextCheckpointer(
            dependencies.jobs,
            dependencies.clock,
            lambda: (item.run for item in self._running.values()),
            lambda: len(dependencies.live_nodes(dependencies.clock.monotonic())),
        )
        self._jobs.book.listen(self._on_change)
        self._jobs.listen_batches(self._on_batch)

    @property
    def busy(self) -> bool:
        """Return whether items are running or results are waiting to be recorded."""
        return bool(self._running) or self._writer.busy

    def wake(self) -> None:
        """Schedule a full scan now, since the live nodes or the routes have changed."""
        self._next_full_scan = timedelta()
        self._wake.set()

    async def async_run(self) -> None:
        """Start due items and store the partial texts of running items until cancelled."""
        keeper_task = asyncio.ensure_future(self._keeper.async_run())
        try:
            await self._async_scan_jobs()
        finally:
            keeper_task.cancel()

    async def _async_scan_jobs(self) -> None:
        while True:
            delay = _FULL_SCAN_INTERVAL
            if not self.stopping and self._dependencies.routes.table is not None:
                self._scan()
                delay = max(self._next_full_scan - self._clock.monotonic(), timedelta())
            self._wake.clear()
            try:
                async with asyncio.timeout(delay.total_seconds()):
                    await self._wake.wait()
            except TimeoutError:
                pass

    async def async_close(self) -> None:
        """Cancel all running items and pending appends."""
        tasks = [item.task for item in self._running.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._writer.async_close()
        await self._keeper.async_close()

    def _on_change(self, state: JobState) -> None:
        if state.ended:
            self._cancel_items(state)
        if state.open and state.head.id in self._plans and not self._changed_jobs:
            # A result makes no item due; it only delays a takeover by other nodes. A large site has
            # some 80 results per second, and a scan for each took a fifth of the event loop's time.
            return
        self._changed_jobs.add(state.head.id)
        self._wake.set()

    def _on_batch(self) -> None:
        """Check jobs again that could not start before the rest of their page was applied."""
        if self._changed_jobs:
            self._wake.set()

    def _cancel_items(self, state: JobState) -> None:
        job_id = state.head.id
        keys = ((job_id, index) for index in range(len(state.head.items))) if self._running else ()
        items = [self._running[key] for key in keys if key in self._running]
        for item in items:
            item.task.cancel()
        if items:
            needs = [item.run.need for item in items]
            ages = [need.job_data_age for need in needs if need.job_data_age is not None]
            oldest = in_milliseconds(max(ages, default=timedelta()))
            _LOGGER.info(
                "job_items_cancelled",
                request_id=job_id,
                items=len(items),
                oldest_known_ms=oldest,
                stages=dict(Counter(item.run.phases.stage for item in items)),
            )

    def _scan(self) -> None:
        """Check the changed jobs, and all open jobs once every `_FULL_SCAN_INTERVAL`.

        A change of one job does not make items of another job due. Checking all open jobs on each
        change costs a node ten milliseconds of CPU time per second.
        """
        if self._clock.monotonic() >= self._next_full_scan:
            self._scan_all()
            return
        jobs = self._jobs.book.jobs
        states = [jobs[job_id] for job_id in self._changed_jobs if job_id in jobs]
        self._scan_states(sorted(states, key=lambda state: state.seen_at))

    def _scan_all(self) -> None:
        """Check every open job, and drop the data of jobs that are no longer open."""
        self._next_full_scan = self._clock.monotonic() + _FULL_SCAN_INTERVAL
        open_states = [state for state in self._jobs.book.jobs.values() if state.open]
        open_ids = {state.head.id for state in open_states}
        for job_id in self._ended_items.keys() - open_ids:
            del self._ended_items[job_id]
        for job_id in self._plans.keys() - open_ids:
            del self._plans[job_id]
        self._scan_states(open_states)

    def _scan_states(self, states: Iterable[JobState]) -> None:
        now = self._clock.monotonic()
        self._changed_jobs.clear()
        self._dependencies.memory.set_running(
            sum(item.run.text.held_bytes for item in self._running.values())
        )
        for state in states:
            plan = self._get_plan(state)
            if plan is not None:
                self._start_due_items(state, plan, now)
        plans = sorted(self._plans.values(), key=lambda plan: plan.seen_at)
        placements = {plan.trainer: plan.placement for plan in plans if plan.tail.at_end}
        self._context.scoring_slots.own_shares = sum(
            placement.is_assigned for placement in placements.values()
        )
        self._context.scoring_slots.total_shares = sum(
            placement.assigned_node_count for placement in placements.values()
        )

    def _get_plan(self, state: JobState) -> JobPlan | None:
        """Return the groups of a job that this node may start, or None if none may start now."""
        job_id = state.head.id
        if not state.open or not self._dependencies.may_start(state.seen_at):
            self._plans.pop(job_id, None)
            return None
        tail = self._tail(job_id)
        # A starting node reads the partition page by page, so it reads a job before the record that
        # ends it. Items started in between would reach upstreams after the caller was told that the
        # job ended.
        if not tail.at_end:
            self._changed_jobs.add(job_id)
            return None
        live_nodes = self._dependencies.live_nodes(state.seen_at)
        plan = self._plans.get(job_id)
        if plan is None or plan.live_nodes != live_nodes:
            plan = self._plans[job_id] = JobPlan(state, tail, self._dependencies.node, live_nodes)
        return plan

    def _start_due_items(self, state: JobState, plan: JobPlan, now: timedelta) -> None:
        job_id = state.head.id
        ended = self._ended_items.get(job_id, ())
        startable = (
            index
            for index in plan.due(now, self._is_up_to_date(plan.tail, now))
            if index not in ended and (job_id, index) not in self._running
        )
        # One more than may start tells whether any is left.
        room = max(MAX_RUNNING_ITEMS - len(self._running), 0)
        due = list(islice(startable, room + 1))
        if len(due) > room:
            self._held_back.add(job_id)
            due.pop()
        if not due or not state.readable:
            return
        for index in sorted(due, key=lambda index: -state.job.items[index].told_tokens):
            self._start_item(state, index)

    def _tail(self, job_id: str) -> PartitionTail:
        return self._jobs.tails[partition_of(job_id, len(self._jobs.tails))]

    @staticmethod
    def _is_up_to_date(tail: PartitionTail, now: timedelta) -> bool:
        return tail.current_at is not None and now - tail.current_at < _MAX_LOG_AGE

    def _start_item(self, state: JobState, index: int) -> None:
        key = (state.head.id, index)
        run = ItemRun(self._context, state, index)
        task = asyncio.ensure_future(self._async_run_item(run))
        self._running[key] = _RunningItem(run, task)
        self._keeper.wake()
        task.add_done_callback(lambda _: self._on_item_ended(key))

    def _on_item_ended(self, key: tuple[str, int]) -> None:
        """Forget an ended item, and start those that were held back once a part of the room is free."""
        self._running.pop(key, None)
        if self._held_back and len(self._running) <= MAX_RUNNING_ITEMS * _REFILL_SHARE:
            self._changed_jobs |= self._held_back
            self._held_back.clear()
            self._wake.set()

    async def _async_run_item(self, run: ItemRun) -> None:
        result = await run.async_run()
        if result is not None:
            self._unlogged[run.state.head.id, run.index] = _UnloggedItem(
                run, self._clock.monotonic(), len(run.text.events)
            )
            # The result has a copy of it.
            run.text.clear()
            self._queue_result(run.state, run.index, result)

    def _log_ended_item(self, record: ResultRecord, listed: bool) -> None:
        """Log the timings of an item once its result is recorded or no longer needed."""
        unlogged = self._unlogged.pop((record.job, record.index), None)
        if unlogged is None:
            return
        run, ended, result = unlogged.run, unlogged.ended, record.result
        phases, job, known = run.phases, run.state.head, run.need.job_data_age
        _LOGGER.info(
            "item_ended",
            request_id=run.item.id,
            job=job.id,
            group=group_of(run.item),
            group_size=run.state.groups.sizes[group_of(run.item)],
            outcome=result.state,
            listed=listed,
            versions=result.versions,
            events=unlogged.events,
            runs=run.runs,
            taken_up=run.resumed_events,
            known_ms=None if known is None else in_milliseconds(known),
            waited_ms=in_milliseconds(run.began_at - run.state.seen_at),
            text_ms=in_milliseconds(run.text_ended_at - run.began_at),
            place_ms=in_milliseconds(phases.slot_wait),
            prefill_ms=in_milliseconds(phases.prefill),
            broken_ms=in_milliseconds(phases.lost),
            cuts=run.cuts,
            resumed=phases.resumed,
            upstreams=phases.upstreams,
            score_ms=in_milliseconds(ended - run.text_ended_at),
            score_wait_ms=in_milliseconds(phases.score_wait),
            append_ms=in_milliseconds(self._clock.monotonic() - ended),
        )

    def _queue_result(self, state: JobState, index: int, result: ItemResult) -> None:
        self._ended_items[state.head.id].add(index)
        self._writer.add(ResultRecord(state.head.id, index, result))
