"""Connections to one upstream that wait for their next request."""

import asyncio
import re
import socket
from datetime import timedelta

import attrs
from tornado.httputil import HTTPHeaders
from tornado.iostream import IOStream

from .const import MAX_KEPT, MAX_KEPT_STREAMS

__all__ = ["KeptStreams"]

# Kept connections that nobody closed may have gone silent; past this a new one is surer.
_DEFAULT_KEPT = timedelta(seconds=4)
# What an upstream announces is when it closes; a request sent just before would be lost. A second is many
# round trips, so long times are used to their last second: engines that serve every second step of a
# trainer rest for eight, and are told to be kept for ten.
_KEPT_SHARE = 0.7
_KEPT_MARGIN = 1.0
_KEPT_SECONDS = re.compile(r"timeout=(\d+)")


@attrs.frozen(eq=False)
class _IdleStream:
    """A connection that waits until a time of the loop's clock, and the request that it carried last."""

    stream: IOStream
    until: float
    request_id: str


class KeptStreams:
    """Connections to one upstream that wait for their next request.

    A connection on which bytes stand unread carries an answer that nobody asked for; given to the
    next request it would be taken for that request's answer, so such a connection is closed.

    One that is not used until its time is over is closed: nobody may ask for it again, and what its
    upstream sends on it would stay unread.

    A request that is sent again does not go out on the connection that it was sent on last: a late
    copy of its first answer there could not be told from the next one.
    """

    def __init__(self, most: int = MAX_KEPT_STREAMS) -> None:
        self._most = most
        self._idle: list[_IdleStream] = []
        self._expiry: asyncio.TimerHandle | None = None

    def take(self, request_id: str = "") -> IOStream | None:
        """Return the connection that was used last and is still sound for a request, or None."""
        now = asyncio.get_running_loop().time()
        for idle in reversed(self._idle.copy()):
            if request_id and idle.request_id == request_id:
                continue
            self._idle.remove(idle)
            if now < idle.until and _is_quiet(idle.stream):
                return idle.stream
            idle.stream.close()
        return None

    def put(self, stream: IOStream, headers: HTTPHeaders, request_id: str = "") -> None:
        """Keep a connection after a whole answer to a request, unless its end was announced."""
        closing = headers.get("Connection", "").lower() == "close"
        if closing or len(self._idle) >= self._most or not _is_quiet(stream):
            stream.close()
            return
        told = _KEPT_SECONDS.search(headers.get("Keep-Alive", ""))
        seconds = _DEFAULT_KEPT.total_seconds()
        if told is not None:
            announced = int(told[1])
            seconds = max(announced * _KEPT_SHARE, announced - _KEPT_MARGIN)
            seconds = min(seconds, MAX_KEPT.total_seconds())
        until = asyncio.get_running_loop().time() + seconds
        self._idle.append(_IdleStream(stream, until, request_id))
        self._schedule_expiry()

    def ready(self) -> bool:
        """Tell whether the next request would go out on a connection that waits."""
        now = asyncio.get_running_loop().time()
        return any(now < idle.until and _is_quiet(idle.stream) for idle in self._idle)

    def count(self) -> int:
        """Return how many connections wait and are still sound."""
        now = asyncio.get_running_loop().time()
        return sum(now < idle.until and _is_quiet(idle.stream) for idle in self._idle)

    def close(self) -> None:
        """Close every connection that waits."""
        for idle in self._idle:
            idle.stream.close()
        self._idle.clear()
        if self._expiry is not None:
            self._expiry.cancel()

    def _schedule_expiry(self) -> None:
        if self._expiry is None and self._idle:
            loop = asyncio.get_running_loop()
            due = min(idle.until for idle in self._idle)
            self._expiry = loop.call_at(due, self._expire)

    def _expire(self) -> None:
        """Close the connections whose time is over."""
        self._expiry = None
        now = asyncio.get_running_loop().time()
        for idle in [idle for idle in self._idle if idle.until <= now]:
            self._idle.remove(idle)
            idle.stream.close()
        self._schedule_expiry()


def _is_quiet(stream: IOStream) -> bool:
    """Tell whether a connection is open and has nothing to read."""
    if stream.closed() or stream._read_buffer_size:  # noqa: SLF001 - no public way to ask
        return False
    try:
        stream.socket.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
    except BlockingIOError:
        return True
    except OSError:
        return False
    return False
