"""The dialling end of a connection between two of our processes: one task for each peer."""

from collections.abc import Callable
from datetime import timedelta
from functools import partial

import zmq

from cranberryline.helpers.clock import Clock

from .const import (
    HEARTBEAT_BUSY,
    HEARTBEAT_IDLE,
    MAX_UNASKED_BODY_BYTES,
    SILENT_AFTER,
    WELCOME_TIMEOUT,
)
from .errors import BadFrame, PeerGone
from .link import Exchange, Lost, UpstreamLink
from .model import (
    Chunk,
    ConfigDelta,
    ConfigRequest,
    Drain,
    DrainAck,
    End,
    Failed,
    Granted,
    Head,
    Heartbeat,
    HeartbeatAck,
    Hello,
    Load,
    Message,
    NotRun,
    Offer,
    PeerAnswer,
    Submit,
    Welcome,
    Withdrawn,
)
from .sockets import DealerSocket

__all__ = ["DialerEvents", "Dialer"]

_ANSWERS = (Head, Chunk, End, NotRun, Failed, Withdrawn, PeerAnswer)
_REDIAL_FIRST = timedelta(milliseconds=100)
_REDIAL_MOST = timedelta(seconds=5)


class DialerEvents:
    """What a dialled connection tells its owner; the default ignores everything."""

    def on_up(self, peer: "Dialer", welcome: Welcome) -> None:
        """Handle a connection that is ready."""

    def on_down(self, peer: "Dialer") -> None:
        """Handle a connection that has ended."""

    def on_drain(self, peer: "Dialer", msg: Drain) -> None:
        """Handle the announcement of a planned stop."""

    def on_load(self, peer: "Dialer", msg: Load) -> None:
        """Handle a load report."""

    def on_config(self, peer: "Dialer", msg: ConfigDelta | ConfigRequest) -> None:
        """Handle configuration records, or a request for them."""

    def on_offset(self, peer: "Dialer", offset: int) -> None:
        """Handle what a peer says of how much configuration it has."""

    def on_bad_frame(self, bad: BadFrame) -> None:
        """Handle a frame that could not be read."""

    def config_offset(self) -> int:
        """Return how much configuration this process has."""
        return 0


class Dialer(UpstreamLink):
    """One peer as this process knows it, and the task that keeps the connection."""

    def __init__(
        self,
        ctx: zmq.Context,
        clock: Clock,
        vm_id: str,
        address: str,
        hello: Callable[[], Hello],
        events: DialerEvents,
        next_id: Callable[[], int],
    ) -> None:
        self.vm_id = vm_id
        self.address = address
        self.welcome: Welcome | None = None
        self.load: Load | None = None
        self.load_at = timedelta()
        self.outstanding_at_load = 0
        self.draining = False
        self.down_since = clock.monotonic()
        self.peer_config_offset = 0
        self._ctx = ctx
        self._clock = clock
        self._hello = hello
        self._events = events
        self._next_id = next_id
        self._sock: DealerSocket | None = None
        self._exchanges: dict[int, Exchange] = {}
        # Makes the requests whose bodies were offered and not granted yet.
        self._offered: dict[int, Callable[[], Message]] = {}
        self._tokens = 0
        self._heartbeat_seq = 0
        self._heard_at = timedelta()
        self._probed_at = timedelta()

    @property
    def usable(self) -> bool:
        """Tell whether new work may be sent here."""
        return self.welcome is not None and not self.draining

    @property
    def outstanding(self) -> int:
        """Count the requests whose answer has not ended."""
        return len(self._exchanges)

    @property
    def outstanding_tokens(self) -> int:
        """Count the expected tokens of the requests whose answer has not ended."""
        return self._tokens

    def open(
        self,
        make: Callable[[int, str], Message],
        tokens: int,
        may_go: Callable[[], bool] | None = None,
    ) -> Exchange | None:
        """Send a request; None when nothing was sent: there is no connection, or its peer drains.

        The peer ends once the drain is acknowledged. A request whose turn was given before and that leaves after
        it would be told as possibly run, though nobody reads it.
        """
        if self.welcome is None or self._sock is None or self.draining:
            return None
        exchange = Exchange(self, self._next_id(), tokens)
        msg = make(exchange.id, self.welcome.incarnation)
        is_long = isinstance(msg, Submit) and len(msg.body) > MAX_UNASKED_BODY_BYTES
        try:
            self._sock.send(Offer(exchange.id, len(msg.body)) if is_long else msg)
        except PeerGone:
            return None
        if is_long:
            self._offered[exchange.id] = partial(make, exchange.id, self.welcome.incarnation)
        if not self._exchanges:
            # The idle interval may be far from over: probe from now on at the busy pace.
            self._heard_at = self._clock.monotonic()
            self._sock.interrupt()
        self._exchanges[exchange.id] = exchange
        self._tokens += tokens
        self._changed()
        return exchange

    def send(self, msg: Message) -> bool:
        """Send a message if there is a connection, and tell whether there was."""
        if self._sock is None:
            return False
        try:
            self._sock.send(msg)
        except PeerGone:
            return False
        return True

    def forget(self, request_id: int) -> None:
        """Drop the record of a request that is over for the entry."""
        self._offered.pop(request_id, None)
        exchange = self._exchanges.pop(request_id, None)
        if exchange is not None:
            self._tokens -= exchange.tokens
            self._changed()

    async def async_run(self) -> None:
        """Keep a connection until cancelled, dialling anew with a growing pause."""
        pause = _REDIAL_FIRST
        while True:
            sock = DealerSocket(
                self._ctx, self.address, self._events.on_bad_frame, self._take_answer
            )
            self._sock = sock
            try:
                if await self._async_greet(sock):
                    pause = _REDIAL_FIRST
                    await self._async_receive_all(sock)
            except PeerGone:
                pass
            finally:
                self._sock = None
                sock.close()
                self._settle_lost()
            await self._clock.async_sleep(pause)
            pause = min(pause * 2, _REDIAL_MOST)

    async def _async_greet(self, sock: DealerSocket) -> bool:
        sock.send(self._hello())
        welcome = await sock.async_receive(WELCOME_TIMEOUT.total_seconds())
        if not isinstance(welcome, Welcome):
            return False
        self.welcome = welcome
        self.draining = welcome.draining
        self.peer_config_offset = welcome.config_offset
        self._heard_at = self._probed_at = self._clock.monotonic()
        self._changed()
        self._events.on_up(self, welcome)
        return True

    async def _async_receive_all(self, sock: DealerSocket) -> None:
        while True:
            interval = HEARTBEAT_BUSY if self._exchanges else HEARTBEAT_IDLE
            due = self._probed_at + interval - self._clock.monotonic()
            msg = await sock.async_receive(max(due.total_seconds(), 0.0))
            now = self._clock.monotonic()
            if msg is not None:
                self._heard_at = now
                self._handle(msg)
            # A connection that is open and carries nothing looks idle: something between the ends
            # has lost it, or the peer is frozen. TCP sees neither, so silence is a lost connection.
            if self._exchanges and now - self._heard_at > SILENT_AFTER:
                return
            if now - self._heard_at > HEARTBEAT_IDLE * 2:
                return
            if now - self._probed_at >= (HEARTBEAT_BUSY if self._exchanges else HEARTBEAT_IDLE):
                self._probed_at = now
                self._heartbeat_seq += 1
                sock.send(Heartbeat(self._heartbeat_seq, self._events.config_offset()))

    def _take_answer(self, msg: Message) -> bool:
        """Hand an answer's message to its request without a detour over the peer's task."""
        if self.welcome is None or not isinstance(msg, (*_ANSWERS, Granted)):
            return False
        self._heard_at = self._clock.monotonic()
        if isinstance(msg, Granted):
            make = self._offered.pop(msg.id, None)
            if make is not None:
                self.send(make())
            return True
        exchange = self._exchanges.get(msg.id)
        if exchange is not None:
            exchange.push(msg)
        return True

    def _handle(self, msg: Message) -> None:
        if isinstance(msg, Load):
            self.load, self.load_at = msg, self._clock.monotonic()
            self.outstanding_at_load = len(self._exchanges)
            self._changed()
            self._note_offset(msg.config_offset)
            self._events.on_load(self, msg)
        elif isinstance(msg, Drain):
            self.draining = True
            self._changed()
            self.send(DrainAck(msg.incarnation))
            self._events.on_drain(self, msg)
        elif isinstance(msg, HeartbeatAck):
            self._note_offset(msg.config_offset)
        elif isinstance(msg, ConfigDelta | ConfigRequest):
            self._events.on_config(self, msg)

    def _note_offset(self, offset: int) -> None:
        self.peer_config_offset = offset
        self._events.on_offset(self, offset)

    def _settle_lost(self) -> None:
        was_up = self.welcome is not None
        if was_up:
            self.down_since = self._clock.monotonic()
        self.welcome = None
        self.load = None
        self._changed()
        exchanges, self._exchanges, self._tokens = self._exchanges, {}, 0
        self._offered.clear()
        for exchange in exchanges.values():
            exchange.push(Lost())
        if was_up:
            self._events.on_down(self)
