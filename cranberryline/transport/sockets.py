"""ZeroMQ sockets on the event loop, with bounded queues and no silent drops.

The sockets are driven by their file descriptor instead of `zmq.asyncio`, which costs a future and a
poll for each message. Messages sent within one turn of the loop leave as one batch.
"""

import asyncio
from collections import deque
from collections.abc import Callable

import zmq

from .codec import decode, encode
from .const import HIGH_WATER_MARK, MAX_FRAME_BYTES, MAX_QUEUED_BATCHES
from .errors import BadFrame, PeerGone, PortTaken
from .model import Message

__all__ = ["DealerSocket", "RouterSocket"]

_READS_PER_TURN = 100

# As plain numbers: combining the library's flags anew for each frame costs more than the send.
_POLLIN = int(zmq.POLLIN)
_NOBLOCK = int(zmq.NOBLOCK)
_NOBLOCK_MORE = int(zmq.NOBLOCK | zmq.SNDMORE)

OnBadFrame = Callable[[BadFrame], None]


class _LoopSocket:
    """Drive one ZeroMQ socket by its file descriptor."""

    def __init__(self, ctx: zmq.Context, kind: int) -> None:
        self._loop = asyncio.get_running_loop()
        self._sock = ctx.socket(kind)
        self._sock.setsockopt(zmq.LINGER, 0)
        self._sock.setsockopt(zmq.SNDHWM, HIGH_WATER_MARK)
        self._sock.setsockopt(zmq.RCVHWM, HIGH_WATER_MARK)
        self._sock.setsockopt(zmq.MAXMSGSIZE, MAX_FRAME_BYTES)
        self._fd = self._sock.getsockopt(zmq.FD)
        self._scheduled = False
        self._closed = False

    def _start(self) -> None:
        self._loop.add_reader(self._fd, self._turn)
        self._schedule()

    def _schedule(self) -> None:
        # The descriptor is edge-triggered: an event that is pending while we send would otherwise
        # stay unseen until the next one, so each send is followed by a turn of our own.
        if not self._scheduled and not self._closed:
            self._scheduled = True
            self._loop.call_soon(self._turn)

    def _turn(self) -> None:
        self._scheduled = False
        if self._closed:
            return
        self._flush()
        for _ in range(_READS_PER_TURN):
            # Asked before, since each turn would otherwise end with an exception to build.
            if not self._sock.get(zmq.EVENTS) & _POLLIN:
                return
            try:
                frames = self._sock.recv_multipart(_NOBLOCK)
            except zmq.Again:
                return
            self._received(frames)
            if self._closed:
                return
        self._schedule()

    def _send_frames(self, frames: list[bytes]) -> None:
        """Send one multipart message; only its first frame can be refused."""
        for frame in frames[:-1]:
            self._sock.send(frame, _NOBLOCK_MORE)
        self._sock.send(frames[-1], _NOBLOCK)

    def _flush(self) -> None:
        raise NotImplementedError

    def _received(self, frames: list[bytes]) -> None:
        raise NotImplementedError

    def close(self) -> None:
        """Close at once; what has not left is dropped."""
        if self._closed:
            return
        self._closed = True
        self._loop.remove_reader(self._fd)
        self._sock.close()


class DealerSocket(_LoopSocket):
    """The dialling end: one connection to one peer, never dialled again by the library.

    The library's own reconnect would hide a restart of the peer: messages for the old life would
    reach the new one. It is off, and a lost connection ends the socket.
    """

    def __init__(
        self,
        ctx: zmq.Context,
        address: str,
        on_bad_frame: OnBadFrame,
        on_message: Callable[[Message], bool] = lambda _: False,
    ) -> None:
        """Dial; `on_message` may take a message at once, others wait to be received."""
        super().__init__(ctx, zmq.DEALER)
        self._sock.setsockopt(zmq.RECONNECT_IVL, -1)
        self._on_bad_frame = on_bad_frame
        self._on_message = on_message
        self._outbox: list[Message] = []
        self._inbox: deque[Message] = deque()
        self._waiter: asyncio.Future[None] | None = None
        self._lost = False
        self._monitor = self._sock.get_monitor_socket(
            zmq.EVENT_DISCONNECTED | zmq.EVENT_CLOSED | zmq.EVENT_CONNECT_RETRIED
        )
        self._monitor_fd = self._monitor.getsockopt(zmq.FD)
        self._loop.add_reader(self._monitor_fd, self._monitor_turn)
        self._sock.connect(address)
        self._start()
        self._loop.call_soon(self._monitor_turn)

    @property
    def lost(self) -> bool:
        """Tell whether the connection has ended."""
        return self._lost

    def send(self, msg: Message) -> None:
        """Queue a message; raise PeerGone when the connection has ended or its queue is full."""
        if self._lost or self._closed:
            raise PeerGone("connection lost")
        if len(self._outbox) >= MAX_QUEUED_BATCHES:
            raise PeerGone("send queue full")
        self._outbox.append(msg)
        self._schedule()

    async def async_receive(self, timeout_s: float) -> Message | None:
        """Return the next message, or None after the timeout; raise PeerGone once it has ended."""
        if not self._inbox and not self._lost:
            self._waiter = self._loop.create_future()
            timer = self._loop.call_later(timeout_s, self._wake)
            try:
                await self._waiter
            finally:
                timer.cancel()
                self._waiter = None
        if self._inbox:
            return self._inbox.popleft()
        if self._lost or self._closed:
            raise PeerGone("connection lost")
        return None

    def interrupt(self) -> None:
        """Let a pending receive return at once."""
        self._wake()

    def close(self) -> None:
        """Close at once; what has not left is dropped."""
        if self._closed:
            return
        self._loop.remove_reader(self._monitor_fd)
        self._sock.disable_monitor()
        self._monitor.close(linger=0)
        super().close()
        self._lost = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    def _flush(self) -> None:
        if not self._outbox:
            return
        batch, self._outbox = self._outbox, []
        try:
            self._send_frames(encode(batch))
        except zmq.Again:
            self._outbox = batch + self._outbox
            self._loop.call_later(0.01, self._schedule)

    def _received(self, frames: list[bytes]) -> None:
        for decoded in decode(frames):
            if decoded.is_err():
                self._on_bad_frame(decoded.unwrap_err())
                continue
            msg = decoded.unwrap()
            if not self._on_message(msg):
                self._inbox.append(msg)
        if self._inbox:
            self._wake()

    def _monitor_turn(self) -> None:
        if self._closed:
            return
        try:
            self._monitor.recv_multipart(zmq.NOBLOCK)
        except zmq.Again:
            return
        self._turn()
        self._lost = True
        self._wake()


class RouterSocket(_LoopSocket):
    """The listening end: many connections, each under an identity of its own."""

    def __init__(
        self,
        ctx: zmq.Context,
        address: str,
        on_message: Callable[[bytes, Message], None],
        on_bad_frame: OnBadFrame,
        on_gone: Callable[[bytes], None],
    ) -> None:
        super().__init__(ctx, zmq.ROUTER)
        # Without it the library drops messages to a peer that has gone, without a word.
        self._sock.setsockopt(zmq.ROUTER_MANDATORY, 1)
        self._on_message = on_message
        self._on_bad_frame = on_bad_frame
        self._on_gone = on_gone
        self._outboxes: dict[bytes, list[Message]] = {}
        try:
            self._sock.bind(address)
        except zmq.ZMQError as exc:
            self._sock.close()
            raise PortTaken(exc.errno, f"cannot listen at {address}: {exc.strerror}") from exc
        self._start()

    def send(self, peer: bytes, msg: Message) -> None:
        """Queue a message for a connection; `on_gone` is called if it has ended."""
        self._outboxes.setdefault(peer, []).append(msg)
        self._schedule()

    def _flush(self) -> None:
        if not self._outboxes:
            return
        outboxes, self._outboxes = self._outboxes, {}
        for peer, batch in outboxes.items():
            try:
                self._send_frames([peer, *encode(batch)])
            except zmq.Again:
                self._hold(peer, batch)
            except zmq.ZMQError:
                self._on_gone(peer)

    def _hold(self, peer: bytes, batch: list[Message]) -> None:
        held = batch + self._outboxes.get(peer, [])
        if len(held) > MAX_QUEUED_BATCHES:
            self._on_gone(peer)
            return
        self._outboxes[peer] = held
        self._loop.call_later(0.01, self._schedule)

    def _received(self, frames: list[bytes]) -> None:
        peer, *rest = frames
        for decoded in decode(rest):
            if decoded.is_err():
                self._on_bad_frame(decoded.unwrap_err())
                continue
            self._on_message(peer, decoded.unwrap())
