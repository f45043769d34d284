"""State of the requests that a side process received, by connection."""

import enum
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from .const import MAX_ENDED_IDS
from .errors import NotRunReason
from .model import CancelOutcome, RequestKey, SubmitOutcome, WithdrawOutcome

__all__ = ["LostConnection", "RequestRegistry"]


class _State(enum.Enum):
    QUEUED = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()
    NOT_RUN = enum.auto()


@attrs.define
class _TrackedRequest:
    deadline: timedelta
    idempotent: bool
    state: _State = _State.QUEUED


@attrs.frozen
class LostConnection:
    """Effects of a lost connection on its requests.

    `dropped` were queued and will not run; `cancel` are running, idempotent and to be stopped.
    """

    dropped: tuple[RequestKey, ...]
    cancel: tuple[RequestKey, ...]


@attrs.define
class _Connection:
    live: dict[int, _TrackedRequest] = attrs.field(factory=dict)
    ended: OrderedDict[int, _State] = attrs.field(factory=OrderedDict)
    max_evicted_id: int = -1

    def state(self, request_id: int) -> _State | None:
        """Return the state of a request, or None if its id is unknown or was evicted."""
        request = self.live.get(request_id)
        if request is not None:
            return request.state
        return self.ended.get(request_id)

    def end(self, request_id: int, state: _State) -> None:
        """Move a request to the ended ones; evict the oldest beyond `MAX_ENDED_IDS`."""
        self.live.pop(request_id, None)
        self.ended[request_id] = state
        while len(self.ended) > MAX_ENDED_IDS:
            oldest, _ = self.ended.popitem(last=False)
            self.max_evicted_id = max(self.max_evicted_id, oldest)

    def queued(self) -> list[int]:
        """Return the queued ids in the order of their arrival."""
        return [
            request_id
            for request_id, request in self.live.items()
            if request.state is _State.QUEUED
        ]


class RequestRegistry:
    """Track the requests of each connection and decide which of them may run.

    A request that was reported as not run never runs later, because the caller may have sent it
    elsewhere. All times are readings of the same monotonic clock.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._connections: dict[str, _Connection] = {}
        self._lost: dict[str, _Connection] = {}
        self._draining = False

    @property
    def draining(self) -> bool:
        """Return whether new requests are refused."""
        return self._draining

    @property
    def running(self) -> int:
        """Return the number of running requests, including those of lost connections."""
        return self._count(_State.RUNNING)

    @property
    def queued(self) -> int:
        """Return the number of queued requests."""
        return self._count(_State.QUEUED)

    def open(self, connection: str) -> None:
        """Register a connection; names must not be reused for a later connection."""
        if connection not in self._lost:
            self._connections.setdefault(connection, _Connection())

    def submit(
        self,
        key: RequestKey,
        incarnation: str,
        deadline: timedelta,
        idempotent: bool,
        now: timedelta,
    ) -> Result[SubmitOutcome, NotRunReason]:
        """Queue a request, or refuse it with a reason that guarantees that it never runs.

        `deadline` is a reading of the monotonic clock. Only requests made for this `incarnation`
        of the side process are accepted.
        """
        conn = self._connections.get(key.connection)
        if conn is None:
            return Ok(SubmitOutcome.IGNORED)
        state = conn.state(key.id)
        # This Submit arrived after its Withdraw was answered `not_run`. The caller may have sent
        # the request elsewhere, so running it now could run it twice. A Submit whose ended id was
        # evicted is not run either, and no later connection can carry the same key.
        if state is _State.NOT_RUN:
            return Err(NotRunReason.WITHDRAWN)
        if state is not None:
            return Ok(SubmitOutcome.IGNORED)
        if key.id <= conn.max_evicted_id:
            return Ok(SubmitOutcome.FORGOTTEN)
        reason = self._refusal(incarnation, deadline, now)
        if reason is not None:
            conn.end(key.id, _State.NOT_RUN)
            return Err(reason)
        conn.live[key.id] = _TrackedRequest(deadline, idempotent)
        return Ok(SubmitOutcome.QUEUED)

    def start(self, key: RequestKey, now: timedelta) -> bool:
        """Mark a request as running; False means that it must not be sent to the upstream.

        A request whose deadline has passed stays queued until `expire` reports it as not run.
        """
        request = self._find_live(key)
        if request is None or request.state is not _State.QUEUED or request.deadline <= now:
            return False
        request.state = _State.RUNNING
        return True

    def finish(self, key: RequestKey) -> None:
        """Mark a request as done after its run ended."""
        conn = self._connections.get(key.connection) or self._lost.get(key.connection)
        if conn is None or key.id not in conn.live:
            return
        conn.end(key.id, _State.DONE)
        if key.connection in self._lost and not conn.live:
            del self._lost[key.connection]

    def refuse(self, key: RequestKey) -> bool:
        """Drop a queued request on behalf of the runner.

        Return True if it was queued, which guarantees that it never runs.
        """
        return self._drop(key)

    def withdraw(self, key: RequestKey) -> WithdrawOutcome:
        """Withdraw a request and return its state; after `not_run` it can never start.

        An id that is unknown and was not evicted is also ended as not run, in case its Submit
        arrives later.
        """
        conn = self._connections.get(key.connection)
        if conn is None:
            return WithdrawOutcome.STARTED
        state = conn.state(key.id)
        if state is _State.RUNNING:
            return WithdrawOutcome.STARTED
        if state is _State.DONE or (state is None and key.id <= conn.max_evicted_id):
            return WithdrawOutcome.DONE
        conn.end(key.id, _State.NOT_RUN)
        return WithdrawOutcome.NOT_RUN

    def cancel(self, key: RequestKey) -> CancelOutcome:
        """Cancel a request whose caller no longer waits for the answer."""
        request = self._find_live(key)
        if request is None:
            return CancelOutcome.NOTHING
        if self._drop(key):
            return CancelOutcome.DROPPED
        # Stopping a non-idempotent request would leave the upstream in a state that no caller can
        # query. Running to completion allows its outcome to be recorded.
        return CancelOutcome.STOP if request.idempotent else CancelOutcome.NOTHING

    def expire(self, now: timedelta) -> tuple[RequestKey, ...]:
        """Drop the queued requests whose deadline has passed; return their keys."""
        return self._drop_queued(lambda request: request.deadline <= now)

    def remove_connection(self, connection: str) -> LostConnection:
        """Remove a connection, drop its queued requests and return which runs to stop.

        Runs that are not idempotent continue and are tracked until they finish.
        """
        conn = self._connections.get(connection)
        if conn is None:
            return LostConnection((), ())
        dropped = [RequestKey(connection, request_id) for request_id in conn.queued()]
        for key in dropped:
            self._drop(key)
        del self._connections[connection]
        if conn.live:
            self._lost[connection] = conn
        cancel = [
            RequestKey(connection, request_id)
            for request_id, request in conn.live.items()
            if request.idempotent
        ]
        return LostConnection(tuple(dropped), tuple(cancel))

    def drain(self) -> tuple[RequestKey, ...]:
        """Refuse new requests from now on and drop all queued ones; return their keys."""
        self._draining = True
        return self._drop_queued(lambda _: True)

    def _refusal(
        self, incarnation: str, deadline: timedelta, now: timedelta
    ) -> NotRunReason | None:
        # A Submit made for an earlier incarnation of this process: the entry has already reported
        # it to its caller as `unknown`, so the result of a run here would be lost.
        if incarnation != self._incarnation:
            return NotRunReason.WRONG_INCARNATION
        if self._draining:
            return NotRunReason.DRAINING
        if deadline <= now:
            return NotRunReason.DEADLINE
        return None

    def _find_live(self, key: RequestKey) -> _TrackedRequest | None:
        conn = self._connections.get(key.connection)
        return conn.live.get(key.id) if conn else None

    def _drop(self, key: RequestKey) -> bool:
        conn = self._connections.get(key.connection)
        if conn is None or conn.state(key.id) is not _State.QUEUED:
            return False
        conn.end(key.id, _State.NOT_RUN)
        return True

    def _drop_queued(self, match: Callable[[_TrackedRequest], bool]) -> tuple[RequestKey, ...]:
        dropped = [
            RequestKey(connection, request_id)
            for connection, conn in self._connections.items()
            for request_id in conn.queued()
            if match(conn.live[request_id])
        ]
        for key in dropped:
            self._drop(key)
        return tuple(dropped)

    def _count(self, state: _State) -> int:
        conns = [*self._connections.values(), *self._lost.values()]
        return sum(request.state is state for conn in conns for request in conn.live.values())
