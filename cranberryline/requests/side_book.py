"""The requests that a side process holds, and what it may truthfully say of each."""

import enum
from collections import OrderedDict
from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from .const import MAX_ENDED_IDS
from .errors import NotRunReason
from .model import CancelOutcome, RequestKey, SubmitOutcome, WithdrawOutcome

__all__ = ["LostConnection", "SideBook"]


class _State(enum.Enum):
    QUEUED = enum.auto()
    RUNNING = enum.auto()
    DONE = enum.auto()
    NOT_RUN = enum.auto()


@attrs.define
class _Entry:
    deadline: timedelta
    idempotent: bool
    state: _State = _State.QUEUED


@attrs.frozen
class LostConnection:
    """What follows from a lost connection: ids dropped as not run, and ids to stop."""

    dropped: tuple[RequestKey, ...]
    cancel: tuple[RequestKey, ...]


@attrs.define
class _Connection:
    live: dict[int, _Entry] = attrs.field(factory=dict)
    ended: OrderedDict[int, _State] = attrs.field(factory=OrderedDict)
    floor: int = -1  # the highest id that was forgotten

    def state(self, request_id: int) -> _State | None:
        """Return where a request is, or None when this connection has not told of it."""
        entry = self.live.get(request_id)
        if entry is not None:
            return entry.state
        return self.ended.get(request_id)

    def end(self, request_id: int, state: _State) -> None:
        """Move a request to the ended ones and forget the oldest beyond the bound."""
        self.live.pop(request_id, None)
        self.ended[request_id] = state
        while len(self.ended) > MAX_ENDED_IDS:
            oldest, _ = self.ended.popitem(last=False)
            self.floor = max(self.floor, oldest)

    def queued(self) -> list[int]:
        """Return the ids that wait, in the order of their arrival."""
        return [rid for rid, entry in self.live.items() if entry.state is _State.QUEUED]


class SideBook:
    """Bind each request to its connection and decide what may run and what was not run.

    Times are readings of one monotonic clock.
    """

    def __init__(self, incarnation: str) -> None:
        self._incarnation = incarnation
        self._connections: dict[str, _Connection] = {}
        self._lost: dict[str, _Connection] = {}
        self._draining = False

    @property
    def draining(self) -> bool:
        """Return whether new work is refused."""
        return self._draining

    @property
    def running(self) -> int:
        """Count the requests that run, those of lost connections included."""
        return self._count(_State.RUNNING)

    @property
    def queued(self) -> int:
        """Count the requests that wait."""
        return self._count(_State.QUEUED)

    def open(self, connection: str) -> None:
        """Take in a connection; its name is never used again for another one."""
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
        """Queue a request, or refuse it with a reason that vouches for its not having run."""
        conn = self._connections.get(key.connection)
        if conn is None:
            return Ok(SubmitOutcome.IGNORED)
        state = conn.state(key.id)
        # A Submit that arrives after its Withdraw was answered `not_run`: the caller was told so
        # already and may have sent the work elsewhere, so running it now would run it twice. The
        # tombstone lives as long as the connection, and no later connection can carry this id.
        if state is _State.NOT_RUN:
            return Err(NotRunReason.WITHDRAWN)
        if state is not None:
            return Ok(SubmitOutcome.IGNORED)
        if key.id <= conn.floor:
            return Ok(SubmitOutcome.FORGOTTEN)
        reason = self._refusal(incarnation, deadline, now)
        if reason is not None:
            conn.end(key.id, _State.NOT_RUN)
            return Err(reason)
        conn.live[key.id] = _Entry(deadline, idempotent)
        return Ok(SubmitOutcome.QUEUED)

    def start(self, key: RequestKey, now: timedelta) -> bool:
        """Mark a request as running; False means that it must not be sent to the upstream.

        One whose deadline passed stays queued for `expire`, which tells it as not run.
        """
        entry = self._live_entry(key)
        if entry is None or entry.state is not _State.QUEUED or entry.deadline <= now:
            return False
        entry.state = _State.RUNNING
        return True

    def finish(self, key: RequestKey) -> None:
        """End a request that ran."""
        conn = self._connections.get(key.connection) or self._lost.get(key.connection)
        if conn is None or key.id not in conn.live:
            return
        conn.end(key.id, _State.DONE)
        if key.connection in self._lost and not conn.live:
            del self._lost[key.connection]

    def refuse(self, key: RequestKey) -> bool:
        """Give up a queued request for a reason of the runner; True when it is vouched for."""
        return self._drop(key)

    def withdraw(self, key: RequestKey) -> WithdrawOutcome:
        """Say what became of a request, and see to it that `not_run` stays true."""
        conn = self._connections.get(key.connection)
        if conn is None:
            return WithdrawOutcome.STARTED
        state = conn.state(key.id)
        if state is _State.RUNNING:
            return WithdrawOutcome.STARTED
        if state is _State.DONE or (state is None and key.id <= conn.floor):
            return WithdrawOutcome.DONE
        conn.end(key.id, _State.NOT_RUN)
        return WithdrawOutcome.NOT_RUN

    def cancel(self, key: RequestKey) -> CancelOutcome:
        """Decide what to do with a request whose answer nobody awaits any more."""
        entry = self._live_entry(key)
        if entry is None:
            return CancelOutcome.NOTHING
        if self._drop(key):
            return CancelOutcome.DROPPED
        # A non-idempotent call that is stopped half way leaves its upstream in a state that no
        # caller can ask about; run to its end it can at least be recorded.
        return CancelOutcome.STOP if entry.idempotent else CancelOutcome.NOTHING

    def expire(self, now: timedelta) -> tuple[RequestKey, ...]:
        """Give up the queued requests whose deadline has passed; each was not run."""
        return self._drop_queued(lambda entry: entry.deadline <= now)

    def lose(self, connection: str) -> LostConnection:
        """Drop the queued requests of a connection that ended, and name the runs to stop."""
        conn = self._connections.get(connection)
        if conn is None:
            return LostConnection((), ())
        dropped = [RequestKey(connection, rid) for rid in conn.queued()]
        for key in dropped:
            self._drop(key)
        del self._connections[connection]
        if conn.live:
            self._lost[connection] = conn
        cancel = [RequestKey(connection, rid) for rid, e in conn.live.items() if e.idempotent]
        return LostConnection(tuple(dropped), tuple(cancel))

    def drain(self) -> tuple[RequestKey, ...]:
        """Refuse new work from now on and give up what is queued; each was not run."""
        self._draining = True
        return self._drop_queued(lambda _: True)

    def _refusal(
        self, incarnation: str, deadline: timedelta, now: timedelta
    ) -> NotRunReason | None:
        # A Submit meant for the process before this one: its sender counts it as lost with that
        # process and tells its caller `unknown`, so nobody would own a run of it here.
        if incarnation != self._incarnation:
            return NotRunReason.WRONG_INCARNATION
        if self._draining:
            return NotRunReason.DRAINING
        if deadline <= now:
            return NotRunReason.DEADLINE
        return None

    def _live_entry(self, key: RequestKey) -> _Entry | None:
        conn = self._connections.get(key.connection)
        return conn.live.get(key.id) if conn else None

    def _drop(self, key: RequestKey) -> bool:
        conn = self._connections.get(key.connection)
        if conn is None or conn.state(key.id) is not _State.QUEUED:
            return False
        conn.end(key.id, _State.NOT_RUN)
        return True

    def _drop_queued(self, match: Callable[[_Entry], bool]) -> tuple[RequestKey, ...]:
        dropped = [
            RequestKey(name, rid)
            for name, conn in self._connections.items()
            for rid in conn.queued()
            if match(conn.live[rid])
        ]
        for key in dropped:
            self._drop(key)
        return tuple(dropped)

    def _count(self, state: _State) -> int:
        conns = [*self._connections.values(), *self._lost.values()]
        return sum(entry.state is state for conn in conns for entry in conn.live.values())
