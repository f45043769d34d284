"""Know which requests crash upstreams, at every gateway, and hold them."""

import asyncio
from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta

import attrs
import msgspec
from result import Err

from cranberryline.decisions import rendezvous
from cranberryline.decisions.crash_attribution import MAX_TRACKED_REQUESTS, CrashAttribution, Hold
from cranberryline.decisions.recent_answers import RecentAnswers
from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.ports.store import KeyedRecord, SharedLog

from .guard import BrokenRun, Held, RequestGuard
from .records import CrashRecord, TrialRecord, crash_key, read_key, read_record, trial_key
from .writer import RecordWriter

__all__ = ["HeldRequest", "Quarantine"]

_LOGGER = get_logger(__name__)

# How long a repetition waits to learn whether the upstream before has crashed; a machine that answers
# does so within a round trip.
_LOOK_PATIENCE = timedelta(milliseconds=100)
_TRIAL_TIMEOUT = timedelta(milliseconds=500)
_RELEASE_TIMEOUT = timedelta(seconds=2)
_EXPIRE_INTERVAL = timedelta(seconds=30)


@attrs.frozen
class HeldRequest:
    """A suspected request as an operator sees it; a `trial_in` of None says that it is not held."""

    fingerprint: str
    record: CrashRecord
    upstreams: tuple[str, ...]
    trials: int
    trial_in: timedelta | None


class Quarantine(RequestGuard):
    """Blame crashes on what ran there, tell the other gateways through the store, and hear of theirs.

    `refuses` tells of an upstream in use whether nothing listens there any more, `in_use` whether it is
    registered and does not drain: one that is taken away ends as planned, under whatever still runs there.
    `end` is where the topic's tail stands, None before it was read for the first time.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        clock: Clock,
        health: StoreHealth,
        metrics: Metrics,
        node: str,
        live: Callable[[], Collection[str]],
        in_use: Callable[[str], bool],
        refuses: Callable[[str], Awaitable[bool]],
        end: Callable[[], int | None],
    ) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._health = health
        self._metrics = metrics
        self._node = node
        self._live = live
        self._in_use = in_use
        self._refuses = refuses
        self._end = end
        self._blame = CrashAttribution()
        self._recent = RecentAnswers()
        self._records: dict[str, CrashRecord] = {}
        self._told: set[str] = set()
        # A start reads records by key, so that a trial may come before the crashes that it belongs to.
        self._trials: dict[str, int] = {}
        self._looks: dict[str, asyncio.Task[bool]] = {}
        self._blaming: set[asyncio.Task[None]] = set()
        self._writer = RecordWriter(log, topic, clock, metrics)
        metrics.held.set_function(lambda: len(self._blame.held_requests()))

    @property
    def suspecting(self) -> bool:
        """Tell whether any request is suspected."""
        return len(self._blame) > 0

    def suspects(self, request: str) -> bool:
        """Tell whether an upstream crashed under a request."""
        return request in self._blame

    def held(self, request: str) -> Held | None:
        """Return how a request is held, with the time until its next trial."""
        hold = self._blame.hold(request)
        if hold is None:
            return None
        return Held(len(hold.upstreams), max(hold.trial_at - self._clock.monotonic(), timedelta()))

    async def async_try(self, request: str) -> bool:
        """Take a trial that is due by an append that only one gateway can make.

        Its record stands before the run, so that a gateway that ends in between leaves a trial that counts. This
        gateway may read it before the append is answered.
        """
        hold, end = self._blame.hold(request), self._end()
        if hold is None or end is None or self._clock.monotonic() < hold.trial_at:
            return False
        number = hold.trials + 1
        record = self._pack(trial_key(request), TrialRecord(self._node, self._now(), number))
        taken = await self._log.async_append(self._topic, 0, [record], _TRIAL_TIMEOUT, at=end)
        if taken.is_err():
            return False
        self._blame.record_trial(request, number, self._clock.monotonic())
        self._note("trial", request, hold.upstreams, number=number)
        return True

    async def async_broke(self, run: BrokenRun) -> None:
        """Look whether the upstream of a broken run still listens, and blame the request if not."""
        if not self._in_use(run.upstream):
            return
        task = asyncio.ensure_future(self._async_blame(run))
        self._blaming.add(task)
        task.add_done_callback(self._blaming.discard)
        await asyncio.wait((task,), timeout=_LOOK_PATIENCE.total_seconds())

    def answered(self, request: str) -> None:
        """Clear a request: what crashes its upstreams is never answered."""
        self._recent.record(request, self._clock.monotonic())
        if request in self._blame:
            self._clear(request, "answered")

    def take(self, record: KeyedRecord) -> None:
        """Take a record of the store, this node's own among them."""
        named = read_key(record.key)
        if named is None:
            self._health.unsound("quarantine_key_unreadable", key=record.key)
            return
        request, upstream = named
        if not record.value:
            self._drop(request, upstream)
            return
        read = read_record(upstream, record.value)
        if isinstance(read, Err):
            self._health.unsound("quarantine_unreadable", key=record.key, detail=read.unwrap_err())
            return
        told = read.unwrap()
        if isinstance(told, TrialRecord):
            if request in self._blame or len(self._trials) < MAX_TRACKED_REQUESTS:
                self._trials[request] = told.number
            self._blame.record_trial(request, told.number, self._clock.monotonic())
            return
        self._add(request, upstream, told)

    def suspected(self) -> list[HeldRequest]:
        """Return every suspected request, those that are held among them."""
        return [self._seen(request, record) for request, record in self._records.items()]

    async def async_release(self, request: str) -> bool | None:
        """Clear a request for an operator; None if it is not known, False if the store has it not yet."""
        if request not in self._blame:
            return None
        self._clear(request, "released")
        return await self._writer.async_flushed(_RELEASE_TIMEOUT)

    async def async_run(self) -> None:
        """Forget what is too old, until cancelled."""
        while True:
            await self._clock.async_sleep(_EXPIRE_INTERVAL)
            for request, upstream in self._blame.expire(self._clock.monotonic()):
                self._forget_cleared(request)
                if rendezvous.top(request, self._live()) == self._node:
                    self._writer.drop(crash_key(request, upstream), trial_key(request))

    async def async_close(self) -> None:
        """End what runs in the background."""
        tasks = [*self._blaming, *self._looks.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._writer.async_close()

    async def _async_blame(self, run: BrokenRun) -> None:
        look = self._looks.get(run.upstream)
        if look is None:
            look = self._looks[run.upstream] = asyncio.ensure_future(self._async_look(run.upstream))
            look.add_done_callback(lambda _, key=run.upstream: self._looks.pop(key, None))
        if not await look or self._recent.contains(run.fingerprint, self._clock.monotonic()):
            return
        self._metrics.crash("blamed")
        record = CrashRecord(
            self._node, self._now(), run.request_id, run.host, run.path, run.service
        )
        if not self._add(run.fingerprint, run.upstream, record):
            return
        _LOGGER.warning(
            "upstream_crashed_under",
            request_id=run.request_id,
            upstream=run.upstream,
            fingerprint=run.fingerprint,
            path=run.path,
            crashes=len(self._blame.crashed_upstreams(run.fingerprint)),
        )
        key = crash_key(run.fingerprint, run.upstream)
        self._writer.put(key, msgspec.msgpack.encode(record))

    async def _async_look(self, upstream: str) -> bool:
        crashed = await self._refuses(upstream)
        self._metrics.crash("crashed" if crashed else "listens")
        return crashed

    def _add(self, request: str, upstream: str, record: CrashRecord) -> bool:
        """Count a crash unless it is known already or the request is cleared; return whether it is new."""
        now = self._clock.monotonic()
        age = max(timedelta(seconds=self._now() - record.at), timedelta())
        if not self._blame.record_crash(request, upstream, now, age):
            return False
        self._records[request] = record
        if len(self._records) > len(self._blame) or len(self._trials) > len(self._blame):
            self._forget_evicted()
        self._blame.record_trial(request, self._trials.get(request, 0), now)
        if self._recent.contains(request, now):
            self._clear(request, "answered_before")
            return True
        hold = self._blame.hold(request)
        if hold is not None and request not in self._told:
            self._told.add(request)
            self._note("held", request, hold.upstreams, trial_in_ms=self._trial_in(hold))
        return True

    def _clear(self, request: str, why: str) -> None:
        upstreams = self._blame.clear(request)
        self._writer.drop(*(crash_key(request, upstream) for upstream in upstreams))
        self._writer.drop(trial_key(request))
        self._note(why, request, upstreams)
        self._forget_cleared(request)

    def _drop(self, request: str, upstream: str) -> None:
        """Take that a record is gone from the store."""
        if not upstream:
            self._trials.pop(request, None)
        self._blame.remove_crash(request, upstream)
        self._forget_cleared(request)

    def _forget_cleared(self, request: str) -> None:
        """Forget what is told of a request that is suspected no more."""
        if request not in self._blame:
            self._records.pop(request, None)
            self._told.discard(request)
            self._trials.pop(request, None)

    def _forget_evicted(self) -> None:
        self._records = {key: kept for key, kept in self._records.items() if key in self._blame}
        self._told &= self._records.keys()
        self._trials = {key: kept for key, kept in self._trials.items() if key in self._blame}

    def _note(self, change: str, request: str, upstreams: tuple[str, ...], **more: int) -> None:
        record = self._records.get(request)
        self._metrics.hold(change)
        _LOGGER.warning(
            f"request_{change}",
            request_id="" if record is None else record.request_id,
            fingerprint=request,
            host="" if record is None else record.host,
            path="" if record is None else record.path,
            upstreams=upstreams,
            **more,
        )

    def _seen(self, request: str, record: CrashRecord) -> HeldRequest:
        hold, upstreams = self._blame.hold(request), self._blame.crashed_upstreams(request)
        if hold is None:
            return HeldRequest(request, record, upstreams, 0, None)
        trial_in = max(hold.trial_at - self._clock.monotonic(), timedelta())
        return HeldRequest(request, record, upstreams, hold.trials, trial_in)

    def _trial_in(self, hold: Hold) -> int:
        return in_milliseconds(hold.trial_at - self._clock.monotonic())

    def _pack(self, key: str, record: TrialRecord) -> bytes:
        return self._log.pack_keyed(key, msgspec.msgpack.encode(record))

    def _now(self) -> float:
        return self._clock.now().timestamp()
