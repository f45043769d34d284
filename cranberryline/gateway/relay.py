"""Relay store calls through another gateway while the store does not answer this one."""

import asyncio
import random
from collections.abc import Awaitable, Callable, Collection
from datetime import timedelta
from typing import TypeVar

import attrs
import msgspec
from result import Err, Ok, Result
from tornado.web import RequestHandler

from cranberryline.helpers.clock import Clock, in_milliseconds
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.errors import UpstreamCut
from cranberryline.ports.http import HttpOrigin, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.ports.store import (
    Appended,
    KeyedRecord,
    KeyedSnapshot,
    LogRead,
    SharedLog,
    StoreError,
    StoreProblem,
    problem_of_call,
)

from .const import PEER_CONNECT_TIMEOUT
from .relay_calls import Redaction, async_execute
from .relay_messages import ANSWERS, CALLS, RelayAnswer, RelayAppend, RelayNewest, RelayRead
from .wrapped_log import WrappedLog

__all__ = ["PATH_RELAY", "RelayHandler", "RelayedLog"]

_LOGGER = get_logger(__name__)
_T = TypeVar("_T")
_Partition = tuple[str, int]

PATH_RELAY = "/relay"

# While the store does not answer this node, it is probed at this interval, with this timeout. A
# reachable store answers in milliseconds. A longer probe of a silent store would still be pending
# when the store is back.
_PROBE_INTERVAL = timedelta(milliseconds=400)
_PROBE_TIMEOUT = timedelta(milliseconds=600)
# A partition that has not been read for this long has no reader on this node.
_UNREAD_THRESHOLD = timedelta(seconds=2)
_MAX_PEERS_ASKED = 2
# Added to the timeout that the peer applies to the store call, for the network in between.
_PEER_MARGIN = timedelta(milliseconds=100)
# A peer that answers a read this much later than the read's wait may be frozen; another one is asked.
_PEER_READ_OVERDUE = timedelta(milliseconds=600)
# Definite answers of the store; a call through a peer would have the same result.
_FINAL_PROBLEMS = (StoreProblem.CONFLICT, StoreProblem.GONE)

_STOPPING_ANSWER = RelayAnswer(StoreProblem.REFUSED.value, "peer is stopping")


class RelayedLog(WrappedLog):
    """Calls the store directly, and through a peer while direct calls fail.

    A store that rejects this VM, or that this VM cannot reach, may still serve other VMs. Without
    relaying, the node could not accept jobs, list results or renew leases during that time. Trims
    are not relayed, since the next one deletes what this one did not.

    Only reads of `urgent` topics are made again through another peer when one is late. Peers pace
    the others, so that each of them would be made twice exactly when there are too many.
    """

    def __init__(
        self,
        direct: SharedLog,
        peers: Callable[[], list[str]],
        clock: Clock,
        metrics: Metrics,
        redaction: Redaction | None = None,
        urgent: Collection[str] = (),
    ) -> None:
        super().__init__(direct)
        self._urgent = urgent
        self._redaction = redaction
        self._peers = peers
        self._clock = clock
        self._metrics = metrics
        self._next_probe_at: dict[_Partition, timedelta] = {}
        self._last_read_at: dict[_Partition, timedelta] = {}
        self._known_ends: dict[_Partition, int] = {}
        self._preferred_peer = ""
        self._last_answer_at: timedelta | None = None
        self._peer_reads: set[asyncio.Task[RelayAnswer]] = set()
        self._reads_rejected = False

    def direct_unavailable(self, topic: str, part: int) -> bool:
        """Return whether direct calls about a partition currently fail.

        This is tracked by partition: if only some are unavailable, calls about the others must not
        be relayed to peers, which are in the same situation.
        """
        return (topic, part) in self._next_probe_at

    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append; relayed to a peer only if a direct append certainly did not take effect."""
        began = self._clock.monotonic()
        await self._async_probe_unread((topic, part), timeout)
        timeout -= self._clock.monotonic() - began
        call = RelayAppend(topic, part, records, in_milliseconds(timeout), at)
        appended = await self._async_call(
            lambda left, _probing: self.direct.async_append(topic, part, records, left, at),
            call,
            lambda answer: Appended(answer.first, answer.second),
            timeout,
            repeatable=False,
        )
        if isinstance(appended, Ok):
            self._known_ends[topic, part] = appended.unwrap().end
        return appended

    async def _async_probe_unread(self, partition: _Partition, timeout: timedelta) -> None:
        """Probe a partition that is only appended to; others are probed by their own reads."""
        now = self._clock.monotonic()
        probe_at, read_at = self._next_probe_at.get(partition), self._last_read_at.get(partition)
        if probe_at is None or now < probe_at:
            return
        if read_at is not None and now - read_at < _UNREAD_THRESHOLD:
            return
        self._next_probe_at[partition] = now + _PROBE_INTERVAL
        end, call_timeout = self._known_ends.get(partition, 0), min(_PROBE_TIMEOUT, timeout)
        probed = await self.direct.async_read(*partition, end, timedelta(), call_timeout)
        if isinstance(probed, Ok) or probed.unwrap_err().problem in _FINAL_PROBLEMS:
            self._record_direct_call(partition, True, "")

    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read records; relayed to a peer if the direct read fails."""
        self._last_read_at[topic, part] = self._clock.monotonic()
        call = RelayRead(topic, part, start, in_milliseconds(wait), in_milliseconds(timeout))
        return await self._async_call(
            lambda left, probing: self._async_read(topic, part, start, wait, left, probing),
            call,
            lambda answer: LogRead(answer.first, answer.second, tuple(answer.records)),
            timeout,
            repeatable=True,
        )

    async def _async_read(
        self,
        topic: str,
        part: int,
        start: int,
        wait: timedelta,
        timeout: timedelta,
        probing: bool,
    ) -> Result[LogRead, StoreError]:
        """Read directly; a probe does not wait for records, so it detects the store at once."""
        if not probing:
            return await self.direct.async_read(topic, part, start, wait, timeout)
        read = await self.direct.async_read(topic, part, start, timedelta(), timeout)
        return read.map(lambda found: attrs.evolve(found, at_once=True))

    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Read the newest record of each key; relayed to a peer if the direct read fails."""
        return await self._async_call(
            lambda left, _probing: self.direct.async_newest(topic, left),
            RelayNewest(topic, in_milliseconds(timeout)),
            lambda answer: KeyedSnapshot(
                tuple(KeyedRecord(*row) for row in answer.keys), answer.second
            ),
            timeout,
            repeatable=True,
        )

    async def async_serve(self, call: RelayAppend | RelayRead | RelayNewest) -> RelayAnswer:
        """Make a peer's call to the store directly, without relaying it or retrying it.

        If it fails, the answer has the time for which the store has not answered this node.
        """
        if isinstance(call, RelayAppend):
            return await self._async_answer(call)
        if self._reads_rejected:
            return _STOPPING_ANSWER
        task = asyncio.ensure_future(self._async_answer(call))
        self._peer_reads.add(task)
        try:
            return await task
        except asyncio.CancelledError:
            if not self._reads_rejected:
                raise
            return _STOPPING_ANSWER
        finally:
            self._peer_reads.discard(task)

    def cancel_peer_reads(self) -> None:
        """Reject the reads of peers from now on, including pending ones; peers read elsewhere.

        Their reads may wait for records for any time, which would delay a shutdown up to its
        timeout. Their appends are not cancelled.
        """
        self._reads_rejected = True
        for task in self._peer_reads:
            task.cancel()

    async def _async_answer(self, call: RelayAppend | RelayRead | RelayNewest) -> RelayAnswer:
        answer = RelayAnswer(StoreProblem.REFUSED.value, "peer has no store either")
        if not self.direct_unavailable(*_partition_of(call)):
            answer = await async_execute(self.direct, call, self._redaction)
        if not answer.problem or StoreProblem(answer.problem) in _FINAL_PROBLEMS:
            self._last_answer_at = self._clock.elapsed()
            return answer
        if self._last_answer_at is None:
            return answer
        silent_for = in_milliseconds(self._clock.elapsed() - self._last_answer_at)
        return msgspec.structs.replace(answer, silent_ms=silent_for)

    async def _async_call(
        self,
        direct: Callable[[timedelta, bool], Awaitable[Result[_T, StoreError]]],
        call: "RelayAppend | RelayRead | RelayNewest",
        make_result: Callable[[RelayAnswer], _T],
        timeout: timedelta,
        repeatable: bool,
    ) -> Result[_T, StoreError]:
        error = StoreError(StoreProblem.REFUSED, "store was not called")
        now = self._clock.monotonic()
        partition = _partition_of(call)
        next_probe_at = self._next_probe_at.get(partition)
        # Only reads probe: each partition is read all the time, or by `_async_probe_unread`. An append
        # to a silent store would have an unknown outcome; through a peer or rejected it is certain.
        if next_probe_at is None or (repeatable and now >= next_probe_at):
            if next_probe_at is not None:
                self._next_probe_at[partition] = now + _PROBE_INTERVAL
            call_timeout = timeout if next_probe_at is None else min(timeout, _PROBE_TIMEOUT)
            outcome = await direct(call_timeout, next_probe_at is not None)
            if isinstance(outcome, Ok) or outcome.unwrap_err().problem in _FINAL_PROBLEMS:
                self._last_answer_at = self._clock.elapsed()
                self._record_direct_call(partition, True, "")
                return outcome
            error = outcome.unwrap_err()
            self._record_direct_call(partition, False, error.detail)
            if error.problem is StoreProblem.UNKNOWN and not repeatable:
                return outcome
        return await self._async_relay(call, make_result, timeout, repeatable, error)

    async def _async_relay(
        self,
        call: "RelayAppend | RelayRead | RelayNewest",
        make_result: Callable[[RelayAnswer], _T],
        timeout: timedelta,
        repeatable: bool,
        error: StoreError,
    ) -> Result[_T, StoreError]:
        give_up_at = self._clock.monotonic() + timeout
        peers = self._peers()
        peer_answered_at: timedelta | None = None
        random.shuffle(peers)
        if self._preferred_peer in peers:
            peers.remove(self._preferred_peer)
            peers.insert(0, self._preferred_peer)
        asked = peers[:_MAX_PEERS_ASKED]
        for peer in asked:
            remaining = give_up_at - self._clock.monotonic()
            if remaining <= timedelta():
                break
            if isinstance(call, RelayRead) and call.topic in self._urgent and peer != asked[-1]:
                wait = timedelta(milliseconds=call.wait_ms)
                remaining = min(remaining, wait + _PEER_READ_OVERDUE)
            relayed_call = await self._async_call_peer(peer, call, remaining)
            if isinstance(relayed_call, Err):
                error = relayed_call.unwrap_err()
                if error.problem is StoreProblem.UNKNOWN and not repeatable:
                    return Err(error)
                continue
            answer = relayed_call.unwrap()
            if not answer.problem:
                self._preferred_peer = peer
                self._metrics.relayed.labels("answered").inc()
                return Ok(make_result(answer))
            error = StoreError(_reported_problem(answer), answer.detail, answer.first)
            if error.problem in _FINAL_PROBLEMS:
                self._preferred_peer = peer
                return Err(error)
            if answer.silent_ms >= 0:
                silent_for = timedelta(milliseconds=answer.silent_ms)
                answered_at = self._clock.elapsed() - silent_for
                peer_answered_at = max(peer_answered_at or answered_at, answered_at)
            if error.problem is StoreProblem.UNKNOWN and not repeatable:
                return Err(error)
        self._preferred_peer = ""
        self._metrics.relayed.labels("failed").inc()
        return Err(attrs.evolve(error, out_since=self._out_since(peer_answered_at)))

    def _out_since(self, peer_answered_at: timedelta | None) -> timedelta | None:
        """Return since when the store answered neither this node nor a peer, or None if unknown.

        Each node appends a heartbeat every second. So a store that only rejects reads, or is slow
        to answer them, still answers other calls, and may have accepted records that nobody read.
        """
        if peer_answered_at is None or self._last_answer_at is None:
            return None
        return max(peer_answered_at, self._last_answer_at)

    async def _async_call_peer(
        self, peer: str, call: "RelayAppend | RelayRead | RelayNewest", timeout: timedelta
    ) -> Result[RelayAnswer, StoreError]:
        req = UpstreamRequest("POST", PATH_RELAY, (), msgspec.msgpack.encode(call))
        response = await async_exchange(
            HttpOrigin(f"http://{peer}"), req, timeout + _PEER_MARGIN, connect=PEER_CONNECT_TIMEOUT
        )
        if isinstance(response, Err):
            failure = response.unwrap_err()
            return Err(StoreError(problem_of_call(failure), f"peer {peer}: {failure.detail}"))
        try:
            data = await response.unwrap().async_whole()
        except UpstreamCut as exc:
            return Err(StoreError(StoreProblem.UNKNOWN, f"peer {peer}: {exc}"))
        read = decode_msgpack(data, ANSWERS)
        return read.map_err(lambda exc: StoreError(StoreProblem.UNKNOWN, f"peer {peer}: {exc}"))

    def _record_direct_call(self, partition: _Partition, works: bool, detail: str) -> None:
        if works and partition in self._next_probe_at:
            del self._next_probe_at[partition]
            if not self._next_probe_at:
                _LOGGER.info("store_direct_regained")
        elif not works and partition not in self._next_probe_at:
            if not self._next_probe_at:
                _LOGGER.warning("store_direct_lost", detail=detail)
            self._next_probe_at[partition] = self._clock.monotonic() + _PROBE_INTERVAL


def _reported_problem(answer: RelayAnswer) -> StoreProblem:
    """Return the problem that a peer reported; UNKNOWN if this version does not know its value."""
    known = answer.problem in StoreProblem.__members__.values()
    return StoreProblem(answer.problem) if known else StoreProblem.UNKNOWN


def _partition_of(call: "RelayAppend | RelayRead | RelayNewest") -> _Partition:
    """Return the partition that a call is about; a keyed topic has only partition 0."""
    return (call.topic, 0 if isinstance(call, RelayNewest) else call.part)


class RelayHandler(RequestHandler):
    """Serves the store calls of peers."""

    def initialize(self, log: RelayedLog) -> None:
        """Set the store to call; called by tornado for each request."""
        self._store = log

    async def post(self) -> None:
        """Make the call and respond with its result, or with 400 if the body is not a call."""
        match decode_msgpack(self.request.body, CALLS):
            case Err():
                self.set_status(400)
                return
            case Ok(call):
                pass
        answer = await self._store.async_serve(call)
        self.set_header("Content-Type", "application/msgpack")
        self.finish(msgspec.msgpack.encode(answer))
