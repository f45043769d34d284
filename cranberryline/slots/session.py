"""The texts of one gateway at one shard of a service, and its exchanges with the keeper."""

import asyncio
from collections import Counter
from collections.abc import Callable, Mapping
from datetime import timedelta

import attrs
from result import Err, Ok, Result

from cranberryline.decisions.slot_model import RunEnd
from cranberryline.helpers.logging import get_logger

from .const import (
    ACQUIRE_TIMEOUT,
    EXCHANGE_GAP,
    FORGET_AFTER,
    KEEPER_PAUSE,
    MAX_OPEN_EXCHANGES,
    MAX_ROWS,
    MAX_WAIT,
    POLL_GAP,
    REPLY_ALLOWANCE,
    ROW_GAP,
)
from .grants import GrantHolder, HeldGrant
from .messages import RejectedText, SlotAnswer, SlotExchange
from .model import EngineSlots, SlotGrant, SlotNeed
from .pacing import ExchangePacing
from .parts import SlotClientParts
from .ports import KeeperError, KeeperProblem
from .route import KeeperRoute, Peer
from .rows import connected_names, first_needs, held_row, rejected_row, waiting_row
from .scope import SessionScope

__all__ = ["SlotSession"]

_LOGGER = get_logger(__name__)

# Events of texts whose engine this gateway chooses by itself.
_UNSHARED_SILENT = "unshared_silent"
_UNSHARED_NO_GRANT = "unshared_no_grant"
_UNSHARED_OFF = "unshared_off"

_REPORTED = (RunEnd.REJECTED, RunEnd.FAILED)
MAX_ERROR = 500


@attrs.frozen(eq=False)
class _Waiter:
    need: SlotNeed
    fut: asyncio.Future[HeldGrant | None]


class SlotSession(GrantHolder):
    """Keeps what this gateway's texts hold and wait for, and tells the keeper while there is any.

    `retire` is called once the service is divided otherwise, to hand the texts over.
    """

    def __init__(
        self,
        parts: SlotClientParts,
        route: KeeperRoute,
        scope: SessionScope,
        retire: Callable[[], None],
    ) -> None:
        self._parts = parts
        self._route = route
        self._scope = scope
        self._retire = retire
        self._pacing = ExchangePacing(parts.clock, self._send)
        self._waiting: dict[int, _Waiter] = {}
        self._held: dict[int, HeldGrant] = {}
        self._rejected: dict[RejectedText, None] = {}
        self._told_rates: dict[str, float] = {}
        self._told: Peer | None = None
        self._open: set[asyncio.Task[None]] = set()
        self._newest = -1
        self._moves: Mapping[int, str] = {}
        self._moves_end = timedelta()
        self._capped: frozenset[int] = frozenset()
        self._refusal = _UNSHARED_OFF
        self._keeper = ""
        self._failures = 0
        self._is_behind = False
        self._paused_until = timedelta()
        self._closed = False

    @property
    def is_open_for_needs(self) -> bool:
        """Return whether a keeper may be asked for slots now."""
        return not self._closed and not self._is_paused and bool(self._scope.engines())

    @property
    def why_closed(self) -> str:
        """Return the event to count for a text that is not asked for."""
        return _UNSHARED_SILENT if self._is_paused else _UNSHARED_OFF

    @property
    def _is_paused(self) -> bool:
        return self._parts.clock.monotonic() < self._paused_until

    async def async_wait(self, ticket: int, need: SlotNeed) -> SlotGrant | None:
        """Wait for the grant of a ticket; None if the keeper is silent or has no slot in time."""
        fut: asyncio.Future[HeldGrant | None] = asyncio.get_running_loop().create_future()
        self._waiting[ticket] = _Waiter(need, fut)
        self._request()
        try:
            return await self._async_grant(ticket, fut)
        except asyncio.CancelledError:
            self._give_back(fut)
            raise
        finally:
            self.forget(ticket)

    async def _async_grant(
        self, ticket: int, fut: asyncio.Future[HeldGrant | None]
    ) -> SlotGrant | None:
        """Return the grant, or None after `ACQUIRE_TIMEOUT`; a capped text waits on."""
        while True:
            done, _ = await asyncio.wait((fut,), timeout=ACQUIRE_TIMEOUT.total_seconds())
            if done and fut.result() is None:
                self._parts.count(self._refusal)
            if done:
                return fut.result()
            if ticket not in self._capped:
                self._parts.count(_UNSHARED_NO_GRANT)
                return None

    def forget(self, ticket: int) -> None:
        """Do not wait for a ticket any more."""
        if self._waiting.pop(ticket, None) is not None:
            self._request()

    def hold(self, grant: HeldGrant) -> None:
        """Tell the keeper of a slot that a text uses."""
        grant.holder = self
        self._held[grant.ticket] = grant
        self._request()

    def move_target(self, ticket: int) -> str:
        """Return where the keeper reserves a slot for a text, empty once it may be forgotten."""
        if self._parts.clock.elapsed() >= self._moves_end:
            return ""
        return self._moves.get(ticket, "")

    def drop(self, grant: HeldGrant, end: RunEnd) -> None:
        """Handle that a slot is not used any more."""
        self._held.pop(grant.ticket, None)
        if end in _REPORTED and len(self._rejected) < MAX_ROWS:
            self._rejected[rejected_row(grant.upstream, grant.need, end)] = None
        self._request()

    def replace(self, grant: HeldGrant) -> None:
        """Handle that a text uses another slot under the same ticket."""
        self._held[grant.ticket] = grant
        self._parts.count("moved")
        self._request()

    def take_held(self) -> list[HeldGrant]:
        """Return the slots that are used, which another session takes over."""
        held = list(self._held.values())
        self._held.clear()
        return held

    def close(self) -> list[asyncio.Task[None]]:
        """Stop at once, let the texts that wait choose by themselves; return what is cancelled."""
        self._closed = True
        self._pacing.cancel()
        self._refuse_waiting(_UNSHARED_OFF)
        for task in self._open:
            task.cancel()
        return list(self._open)

    def _request(self) -> None:
        if not self._closed:
            self._pacing.request(self._gap)

    @property
    def _gap(self) -> timedelta:
        """Return the least time between exchanges, more than a keeper needs for one."""
        rows = min(len(self._waiting), MAX_ROWS) + min(len(self._held), MAX_ROWS)
        return max(EXCHANGE_GAP, rows * ROW_GAP)

    def _send(self) -> None:
        """Send an exchange; if that raises, texts choose by themselves as without a keeper."""
        try:
            self._send_if_due()
        except Exception as exc:
            self._log_fault(exc)
            self._give_up()

    def _send_if_due(self) -> None:
        """Send an exchange, unless the keepers are left alone or enough are under way."""
        if not self._scope.is_current():
            self._retire()
            return
        if self._is_paused:
            self._pacing.delay(self._paused_until)
            return
        if len(self._open) >= MAX_OPEN_EXCHANGES:
            self._is_behind = True
            return
        peer = self._route.find(self._scope.name)
        if peer is None:
            self._give_up()
            return
        self._log_keeper(peer)
        self._pacing.record_sent(refresh=self._has_texts)
        task = asyncio.create_task(self._async_exchange(peer, self._exchange(peer)))
        self._open.add(task)
        task.add_done_callback(self._ended)

    def _log_keeper(self, peer: Peer) -> None:
        """Log another keeper than the one that was asked last, this gateway itself included."""
        if peer.node == self._keeper:
            return
        previous, self._keeper = self._keeper, peer.node
        _LOGGER.info(
            "slot_keeper_changed",
            service=self._scope.service,
            shard=self._scope.shard,
            keeper=peer.node,
            previous=previous,
            keeps=peer.node == self._parts.node,
            kept=previous == self._parts.node,
        )

    def _ended(self, task: asyncio.Task[None]) -> None:
        """Keep one exchange open while texts wait, so that a grant comes without delay."""
        self._open.discard(task)
        if self._closed:
            return
        if self._is_behind:
            self._is_behind = False
            self._request()
        if self._waiting and not self._open:
            self._pacing.request(max(POLL_GAP, self._gap))

    async def _async_exchange(self, peer: Peer, msg: SlotExchange) -> None:
        sent = self._parts.clock.elapsed()
        timeout = timedelta(milliseconds=msg.wait_ms) + REPLY_ALLOWANCE
        reply = await self._async_ask(peer, msg, timeout)
        took = self._parts.clock.elapsed() - sent
        if isinstance(reply, Ok) and took < FORGET_AFTER:
            self._take_answer(msg, reply.ok_value, sent)
        elif took < timeout + REPLY_ALLOWANCE:
            # A gateway that rejects this shard may well keep the slots of others.
            is_rejected = (
                isinstance(reply, Err) and reply.err_value.problem == KeeperProblem.REJECTED
            )
            self._handle_silence(peer, self._scope.name if is_rejected else "")
        elif self._has_texts:
            # This VM was paused, not the keeper; an answer from before does not stand any more.
            self._request()

    async def _async_ask(
        self, peer: Peer, msg: SlotExchange, timeout: timedelta
    ) -> Result[SlotAnswer, KeeperError]:
        """Return the answer of a keeper, this gateway itself included."""
        try:
            if peer.node == self._parts.node:
                reply: Result[SlotAnswer, KeeperError] = Ok(
                    await self._parts.keeper.async_exchange(msg)
                )
            else:
                reply = await self._parts.transport.async_exchange(peer.address, msg, timeout)
        except Exception as exc:
            self._log_fault(exc)
            return Err(KeeperError(KeeperProblem.REJECTED, repr(exc)[:MAX_ERROR]))
        if isinstance(reply, Ok) and reply.ok_value.problem:
            return Err(KeeperError(KeeperProblem.REJECTED, reply.ok_value.problem))
        return reply

    def _log_fault(self, exc: Exception) -> None:
        _LOGGER.error(
            "slot_exchange_failed", service=self._scope.service, error=repr(exc)[:MAX_ERROR]
        )

    @property
    def _has_texts(self) -> bool:
        return bool(self._waiting or self._held)

    def _exchange(self, peer: Peer) -> SlotExchange:
        """Return all that the keeper is told; reports are told once."""
        now = self._parts.clock.monotonic()
        engines = self._scope.engines()
        needs = first_needs((ticket, waiter.need) for ticket, waiter in self._waiting.items())
        waiting = [waiting_row(each, need, now) for each, need in needs]
        held = [
            held_row(ticket, grant.upstream, grant.need, now)
            for ticket, grant in self._held.items()
        ]
        rejected = tuple(self._rejected)
        self._rejected.clear()
        return SlotExchange(
            node=self._parts.node,
            start=self._parts.start,
            number=self._scope.take_number(),
            service=self._scope.service,
            shard=self._scope.shard,
            shards=self._scope.shards,
            wait_ms=int(MAX_WAIT / timedelta(milliseconds=1)) if waiting else 0,
            waiting=tuple(waiting),
            held=tuple(held[:MAX_ROWS]),
            rejected=rejected,
            rates=self._new_rates(peer, engines),
            connected=self._connected(engines),
        )

    def _connected(self, engines: Mapping[str, EngineSlots]) -> tuple[str, ...]:
        """Return the engines of idle connections, without those that granted texts will take."""
        if not self._waiting:
            return ()
        idle = Counter(self._parts.connected(self._scope.service))
        idle.subtract(grant.upstream for grant in self._held.values() if not grant.is_sent)
        return connected_names({name: idle[name] for name in engines if idle[name] > 0})

    def _new_rates(
        self, peer: Peer, engines: Mapping[str, EngineSlots]
    ) -> tuple[tuple[str, float], ...]:
        """Return the rates of the shard's engines that this keeper has not been told."""
        if peer != self._told:
            self._told = peer
            self._told_rates = {}
        rates = self._parts.rates()
        new = {
            name: rates[name]
            for name in engines.keys() & rates.keys()
            if rates[name] != self._told_rates.get(name)
        }
        self._told_rates |= new
        return tuple(new.items())

    def _take_answer(self, msg: SlotExchange, answer: SlotAnswer, sent: timedelta) -> None:
        self._failures = 0
        for row in answer.grants:
            waiter = self._waiting.pop(row.ticket, None)
            if waiter is not None:
                self._take_grant(waiter, row.ticket, row.upstream)
        if msg.number > self._newest:
            self._newest = msg.number
            self._moves = {row.ticket: row.upstream for row in answer.moves}
            self._moves_end = sent + FORGET_AFTER
            self._capped = frozenset(answer.capped)

    def _take_grant(self, waiter: _Waiter, ticket: int, upstream: str) -> None:
        """Let a text use its slot; one that was cancelled in this turn gives it back itself."""
        grant = HeldGrant(self, ticket, waiter.need, upstream)
        self.hold(grant)
        if waiter.fut.done():
            grant.release(RunEnd.UNUSED)
            return
        self._parts.count("granted")
        waiter.fut.set_result(grant)

    def _handle_silence(self, peer: Peer, shard: str) -> None:
        """Ask the next gateway at once; after two were silent, leave all alone for a while."""
        if self._route.pass_over(peer, shard):
            self._failures += 1
        if not self._has_texts:
            self._failures = 0
        elif self._failures > 1:
            self._give_up()
        else:
            self._request()

    def _give_up(self) -> None:
        """Let the texts that wait choose by themselves, and new ones for a while."""
        self._failures = 0
        self._paused_until = self._parts.clock.monotonic() + KEEPER_PAUSE
        self._parts.count("keeper_silent")
        self._moves = {}
        self._refuse_waiting(_UNSHARED_SILENT)
        self._pacing.cancel()
        if self._held:
            self._pacing.delay(self._paused_until)

    def _refuse_waiting(self, event: str) -> None:
        self._refusal = event
        for waiter in self._waiting.values():
            if not waiter.fut.done():
                waiter.fut.set_result(None)
        self._waiting.clear()

    def _give_back(self, fut: asyncio.Future[HeldGrant | None]) -> None:
        """Release a slot that was granted in the turn in which its text stopped waiting."""
        if fut.done() and not fut.cancelled():
            grant = fut.result()
            if grant is not None:
                grant.release(RunEnd.UNUSED)
