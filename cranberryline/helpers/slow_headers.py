"""End connections whose sender takes too long for the headers of a request.

Tornado has one time for both: from the last answer to the whole headers of the next request. It has to be
as long as a connection may rest, so a sender who trickles headers could hold connections for as long.
"""

from collections.abc import Callable, Iterable
from datetime import timedelta
from http import HTTPStatus

from tornado.http1connection import HTTP1ServerConnection

from .input_limits import REASON_SLOW_HEADERS, InputLimits
from .metrics import Metrics
from .periodic_check import CHECK_INTERVAL, PeriodicCheck
from .problem import CONTENT_TYPE_PROBLEM, problem_body

__all__ = ["SlowHeaders"]


class SlowHeaders(PeriodicCheck):
    """Checks the connections of a server, as long as it has any.

    `waiting` yields the connections on which no whole headers of a request have been read since its last
    answer. A connection ends up to two check intervals after its time is over.
    """

    def __init__(
        self,
        limits: InputLimits,
        metrics: Metrics,
        waiting: Callable[[], Iterable[HTTP1ServerConnection]],
    ) -> None:
        super().__init__()
        self._limits = limits
        self._metrics = metrics
        self._waiting = waiting
        self._waited: dict[HTTP1ServerConnection, timedelta] = {}

    def stop(self) -> None:
        """Check the connections no more."""
        super().stop()
        self._waited.clear()

    def check(self) -> None:
        """Refuse the senders whose time is over."""
        self._waited = {
            conn: self._waited.get(conn, timedelta()) + CHECK_INTERVAL
            for conn in self._waiting()
            if _has_bytes(conn)
        }
        for conn, waited in self._waited.items():
            if waited > self._limits.header_timeout:
                self._refuse(conn)

    def _refuse(self, conn: HTTP1ServerConnection) -> None:
        """Answer with 408 and close; nothing of the request was passed on."""
        self._metrics.refuse(REASON_SLOW_HEADERS)
        status = HTTPStatus.REQUEST_TIMEOUT
        body = problem_body(status, REASON_SLOW_HEADERS, status.phrase)
        head = (
            f"HTTP/1.1 {status.value} {status.phrase}\r\nConnection: close\r\n"
            f"Content-Type: {CONTENT_TYPE_PROBLEM}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        conn.stream.write(head.encode() + body)
        conn.stream.close()


def _has_bytes(conn: HTTP1ServerConnection) -> bool:
    """Tell whether a part of the headers has come."""
    return bool(conn.stream._read_buffer_size)  # noqa: SLF001 - no public way to ask
