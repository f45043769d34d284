"""Attribution of crashes to requests at all gateways, and quarantine of the requests."""

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
from .records import CrashRecord, TrialRecord, crash_key, decode_record, parse_key, trial_key
from .writer import RecordWriter

__all__ = ["Quarantine", "SuspectedRequest"]

_LOGGER = get_logger(__name__)

# Limits the delay of a retry while the previous upstream is probed; a reachable machine accepts or
# refuses a connection within one round trip.
_MAX_PROBE_WAIT = timedelta(milliseconds=100)
_TRIAL_TIMEOUT = timedelta(milliseconds=500)
_RELEASE_TIMEOUT = timedelta(seconds=2)
_EXPIRE_INTERVAL = timedelta(seconds=30)


@attrs.frozen
class SuspectedRequest:
    """A suspected request as shown to operators; `trial_in` is None if the request is not held."""

    fingerprint: str
    record: CrashRecord
    upstreams: tuple[str, ...]
    trials: int
    trial_in: timedelta | None


class Quarantine(RequestGuard):
    """Attributes crashes to the requests that ran there and shares them through the store.

    `live_nodes` returns the ids of the live gateways. `async_refuses_connections` checks whether an
    upstream refuses connections, that is, whether its process has ended. `in_use` returns whether
    an upstream is registered and not draining: one that is shut down as planned also breaks off its
    runs, which must not count as a crash. `tail_offset` returns the offset up to which this node
    has read the topic, or None before its first read is complete.
    """

    def __init__(
        self,
        log: SharedLog,
        topic: str,
        clock: Clock,
        health: StoreHealth,
        metrics: Metrics,
        node: str,
        live_nodes: Callable[[], Collection[str]],
        in_use: Callable[[str], bool],
        async_refuses_connections: Callable[[str], Awaitable[bool]],
        tail_offset: Callable[[], int | None],
    ) -> None:
        self._log = log
        self._topic = topic
        self._clock = clock
        self._health = health
        self._metrics = metrics
        self._node = node
        self._live_nodes = live_nodes
        self._in_use = in_use
        self._async_refuses_connections = async_refuses_connections
        self._tail_offset = tail_offset
        self._attribution = CrashAttribution()
        self._recent_answers = RecentAnswers()
        self._latest_crashes: dict[str, CrashRecord] = {}
        self._hold_logged: set[str] = set()
        # The initial read returns records by key, so a trial may be read before the crashes that it
        # belongs to.
        self._trial_counts: dict[str, int] = {}
        self._probes: dict[str, asyncio.Task[bool]] = {}
        self._attribution_tasks: set[asyncio.Task[None]] = set()
        self._writer = RecordWriter(log, topic, clock, metrics)
        metrics.held.set_function(lambda: len(self._attribution.held_requests()))

    @property
    def has_suspects(self) -> bool:
        """Return whether any request is suspected."""
        return len(self._attribution) > 0

    def is_suspected(self, request: str) -> bool:
        """Return whether an upstream crashed under a request."""
        return request in self._attribution

    def held(self, request: str) -> Held | None:
        """Return the state of a held request with the time until its next trial, else None."""
        hold = self._attribution.hold(request)
        if hold is None:
            return None
        return Held(len(hold.upstreams), max(hold.trial_at - self._clock.monotonic(), timedelta()))

    async def async_claim_trial(self, request: str) -> bool:
        """Claim a due trial by a conditional append, which succeeds at one gateway only.

        The record is written before the run, so that the trial counts even if the gateway ends in
        between. The tail of this gateway may read the record before the append returns.
        """
        hold, end = self._attribution.hold(request), self._tail_offset()
        if hold is None or end is None or self._clock.monotonic() < hold.trial_at:
            return False
        number = hold.trials + 1
        record = self._pack_trial(
            trial_key(request), TrialRecord(self._node, self._unix_time(), number)
        )
        appended = await self._log.async_append(self._topic, 0, [record], _TRIAL_TIMEOUT, at=end)
        if appended.is_err():
            return False
        self._attribution.record_trial(request, number, self._clock.monotonic())
        self._log_change("trial", request, hold.upstreams, number=number)
        return True

    async def async_report_broken_run(self, run: BrokenRun) -> None:
        """Probe the upstream of a broken run, and record a crash if it has ended.

        Returns after `_MAX_PROBE_WAIT` at the latest; the probe goes on in the background.
        """
        if not self._in_use(run.upstream):
            return
        task = asyncio.ensure_future(self._async_attribute(run))
        self._attribution_tasks.add(task)
        task.add_done_callback(self._attribution_tasks.discard)
        await asyncio.wait((task,), timeout=_MAX_PROBE_WAIT.total_seconds())

    def record_answer(self, request: str) -> None:
        """Clear a request, since one that crashes its upstreams never gets a response."""
        self._recent_answers.record(request, self._clock.monotonic())
        if request in self._attribution:
            self._clear(request, "answered")

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a record read from the store, including those that this node wrote."""
        parsed = parse_key(record.key)
        if parsed is None:
            self._health.unsound("quarantine_key_unreadable", key=record.key)
            return
        request, upstream = parsed
        if not record.value:
            self._remove_record(request, upstream)
            return
        result = decode_record(upstream, record.value)
        if isinstance(result, Err):
            self._health.unsound(
                "quarantine_unreadable", key=record.key, detail=result.unwrap_err()
            )
            return
        decoded = result.unwrap()
        if isinstance(decoded, TrialRecord):
            if request in self._attribution or len(self._trial_counts) < MAX_TRACKED_REQUESTS:
                self._trial_counts[request] = decoded.number
            self._attribution.record_trial(request, decoded.number, self._clock.monotonic())
            return
        self._add_crash(request, upstream, decoded)

    def suspected_requests(self) -> list[SuspectedRequest]:
        """Return every suspected request, held or not."""
        return [self._describe(request, record) for request, record in self._latest_crashes.items()]

    async def async_release(self, request: str) -> bool | None:
        """Clear a request for an operator.

        Returns None if the request is not suspected, and False if the store does not have the
        change after `_RELEASE_TIMEOUT`; the write is then retried in the background.
        """
        if request not in self._attribution:
            return None
        self._clear(request, "released")
        return await self._writer.async_wait_flushed(_RELEASE_TIMEOUT)

    async def async_run(self) -> None:
        """Remove expired crashes periodically, until cancelled.

        The live gateway with the highest rendezvous score for a request deletes its store records.
        """
        while True:
            await self._clock.async_sleep(_EXPIRE_INTERVAL)
            for request, upstream in self._attribution.expire(self._clock.monotonic()):
                self._discard_if_cleared(request)
                if rendezvous.top(request, self._live_nodes()) == self._node:
                    self._writer.delete(crash_key(request, upstream), trial_key(request))

    async def async_close(self) -> None:
        """Cancel the background tasks."""
        tasks = [*self._attribution_tasks, *self._probes.values()]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await self._writer.async_close()

    async def _async_attribute(self, run: BrokenRun) -> None:
        """Record a crash under a request if its upstream refuses connections.

        Broken runs of the same upstream share one probe. A request that was answered recently
        is not the cause.
        """
        probe = self._probes.get(run.upstream)
        if probe is None:
            probe = self._probes[run.upstream] = asyncio.ensure_future(
                self._async_probe(run.upstream)
            )
            probe.add_done_callback(lambda _, key=run.upstream: self._probes.pop(key, None))
        if not await probe or self._recent_answers.contains(
            run.fingerprint, self._clock.monotonic()
        ):
            return
        self._metrics.crash("blamed")  # counts a crash that is attributed to a request
        record = CrashRecord(
            self._node, self._unix_time(), run.request_id, run.host, run.path, run.service
        )
        if not self._add_crash(run.fingerprint, run.upstream, record):
            return
        _LOGGER.warning(
            "upstream_crashed_under",
            request_id=run.request_id,
            upstream=run.upstream,
            fingerprint=run.fingerprint,
            path=run.path,
            crashes=len(self._attribution.crashed_upstreams(run.fingerprint)),
        )
        key = crash_key(run.fingerprint, run.upstream)
        self._writer.put(key, msgspec.msgpack.encode(record))

    async def _async_probe(self, upstream: str) -> bool:
        crashed = await self._async_refuses_connections(upstream)
        self._metrics.crash("crashed" if crashed else "listens")
        return crashed

    def _add_crash(self, request: str, upstream: str, record: CrashRecord) -> bool:
        """Count a crash; return False if it is known already.

        A request that was answered recently is cleared at once.
        """
        now = self._clock.monotonic()
        age = max(timedelta(seconds=self._unix_time() - record.at), timedelta())
        if not self._attribution.record_crash(request, upstream, now, age):
            return False
        self._latest_crashes[request] = record
        if len(self._latest_crashes) > len(self._attribution) or len(self._trial_counts) > len(
            self._attribution
        ):
            self._discard_evicted()
        self._attribution.record_trial(request, self._trial_counts.get(request, 0), now)
        if self._recent_answers.contains(request, now):
            self._clear(request, "answered_before")
            return True
        hold = self._attribution.hold(request)
        if hold is not None and request not in self._hold_logged:
            self._hold_logged.add(request)
            self._log_change("held", request, hold.upstreams, trial_in_ms=self._trial_in_ms(hold))
        return True

    def _clear(self, request: str, change: str) -> None:
        """Remove all crashes of a request here and in the store."""
        upstreams = self._attribution.clear(request)
        self._writer.delete(*(crash_key(request, upstream) for upstream in upstreams))
        self._writer.delete(trial_key(request))
        self._log_change(change, request, upstreams)
        self._discard_if_cleared(request)

    def _remove_record(self, request: str, upstream: str) -> None:
        """Apply the deletion of a record from the store."""
        if not upstream:
            self._trial_counts.pop(request, None)
        self._attribution.remove_crash(request, upstream)
        self._discard_if_cleared(request)

    def _discard_if_cleared(self, request: str) -> None:
        """Discard the details of a request that is no longer suspected."""
        if request not in self._attribution:
            self._latest_crashes.pop(request, None)
            self._hold_logged.discard(request)
            self._trial_counts.pop(request, None)

    def _discard_evicted(self) -> None:
        """Discard the details of requests that the attribution evicted to limit its size."""
        self._latest_crashes = {
            key: crash for key, crash in self._latest_crashes.items() if key in self._attribution
        }
        self._hold_logged &= self._latest_crashes.keys()
        self._trial_counts = {
            key: count for key, count in self._trial_counts.items() if key in self._attribution
        }

    def _log_change(
        self, change: str, request: str, upstreams: tuple[str, ...], **fields: int
    ) -> None:
        """Count and log a change of a request's state.

        `change` is the metric label and part of the event name: `held`, `trial` (claimed here),
        `answered`, `answered_before` (a crash was attributed to a recently answered request) or
        `released` (by an operator).
        """
        record = self._latest_crashes.get(request)
        self._metrics.hold(change)
        _LOGGER.warning(
            f"request_{change}",
            request_id="" if record is None else record.request_id,
            fingerprint=request,
            host="" if record is None else record.host,
            path="" if record is None else record.path,
            upstreams=upstreams,
            **fields,
        )

    def _describe(self, request: str, record: CrashRecord) -> SuspectedRequest:
        hold, upstreams = (
            self._attribution.hold(request),
            self._attribution.crashed_upstreams(request),
        )
        if hold is None:
            return SuspectedRequest(request, record, upstreams, 0, None)
        trial_in = max(hold.trial_at - self._clock.monotonic(), timedelta())
        return SuspectedRequest(request, record, upstreams, hold.trials, trial_in)

    def _trial_in_ms(self, hold: Hold) -> int:
        return in_milliseconds(hold.trial_at - self._clock.monotonic())

    def _pack_trial(self, key: str, record: TrialRecord) -> bytes:
        return self._log.pack_keyed(key, msgspec.msgpack.encode(record))

    def _unix_time(self) -> float:
        return self._clock.now().timestamp()
