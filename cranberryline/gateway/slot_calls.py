"""Exchanges with the keepers of slots at other gateways, over HTTP."""

import asyncio
from collections import OrderedDict
from collections.abc import Awaitable, Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec
from result import Err, Ok, Result
from tornado.web import RequestHandler

from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.problem import ProblemHandler
from cranberryline.ports.errors import PlatformError, PlatformReason, UpstreamCut
from cranberryline.ports.http import HttpOrigin, KeptStreams, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.slots import (
    KeeperError,
    KeeperProblem,
    SlotAnswer,
    SlotExchange,
    SlotTransport,
)
from cranberryline.slots.messages import ANSWERS, EXCHANGES

from .const import PEER_CONNECT_TIMEOUT

__all__ = [
    "PATH_SLOTS",
    "HttpSlotTransport",
    "SlotExchangeHandler",
    "SlotStatusHandler",
]


PATH_SLOTS = "/slots"

# A gateway has few exchanges with one keeper at a time.
_MAX_STREAMS = 4
# A gateway asks the keepers of a few shards, which change with the live gateways.
_MAX_PEERS = 32

_PROBLEMS = {
    PlatformReason.TIMEOUT: KeeperProblem.SILENT,
    PlatformReason.BAD_ANSWER: KeeperProblem.UNREADABLE,
}


class HttpSlotTransport(SlotTransport):
    """Posts exchanges to peers, on connections that are kept for the next ones."""

    def __init__(self) -> None:
        self._streams: OrderedDict[str, KeptStreams] = OrderedDict()

    async def async_exchange(
        self, peer: str, msg: SlotExchange, timeout: timedelta
    ) -> Result[SlotAnswer, KeeperError]:
        """Send an exchange to the gateway whose peer address is HOST:PORT."""
        give_up_at = asyncio.get_running_loop().time() + timeout.total_seconds()
        try:
            origin = HttpOrigin(f"http://{peer}")
        except ValueError as exc:
            return Err(KeeperError(KeeperProblem.UNREACHABLE, str(exc)))
        req = UpstreamRequest("POST", PATH_SLOTS, (), msgspec.msgpack.encode(msg))
        streams = self._streams_to(peer)
        response = await async_exchange(origin, req, timeout, streams, PEER_CONNECT_TIMEOUT)
        if isinstance(response, Err):
            return Err(_keeper_error(response.unwrap_err()))
        body = response.unwrap()
        try:
            data = await body.async_whole()
        except UpstreamCut as exc:
            is_late = asyncio.get_running_loop().time() >= give_up_at
            problem = KeeperProblem.SILENT if is_late else KeeperProblem.UNREACHABLE
            return Err(KeeperError(problem, str(exc)))
        if body.head.status != HTTPStatus.OK:
            return Err(KeeperError(KeeperProblem.REJECTED, f"status {body.head.status}"))
        read = decode_msgpack(data, ANSWERS)
        return read.map_err(lambda detail: KeeperError(KeeperProblem.UNREADABLE, detail))

    def close(self) -> None:
        """Close the connections that are kept."""
        for streams in self._streams.values():
            streams.close()
        self._streams.clear()

    def _streams_to(self, peer: str) -> KeptStreams:
        streams = self._streams.get(peer)
        if streams is None:
            streams = self._streams[peer] = KeptStreams(_MAX_STREAMS)
        self._streams.move_to_end(peer)
        if len(self._streams) > _MAX_PEERS:
            self._streams.popitem(last=False)[1].close()
        return streams


def _keeper_error(error: PlatformError) -> KeeperError:
    return KeeperError(_PROBLEMS.get(error.reason, KeeperProblem.UNREACHABLE), error.detail)


class SlotExchangeHandler(RequestHandler):
    """Answers the exchanges of peers."""

    def initialize(
        self,
        async_answer: Callable[[SlotExchange], Awaitable[SlotAnswer]],
        is_open: Callable[[], bool],
    ) -> None:
        """Set the keeper, and whether it answers; called by tornado for each request."""
        self._async_answer = async_answer
        self._is_open = is_open

    async def post(self) -> None:
        """Respond with the answer, with 400 if the body is no exchange, or 503 while stopping."""
        if not self._is_open():
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        match decode_msgpack(self.request.body, EXCHANGES):
            case Err():
                self.set_status(HTTPStatus.BAD_REQUEST)
                return
            case Ok(msg):
                pass
        answer = await self._async_answer(msg)
        self.set_header("Content-Type", "application/msgpack")
        self.finish(msgspec.msgpack.encode(answer))


class SlotStatusHandler(ProblemHandler):
    """Tells operators what trainers hold and wait for, as far as this gateway is their keeper."""

    def initialize(self, describe: Callable[[], dict[str, object]]) -> None:
        """Set the description; called by tornado for each request."""
        self._describe = describe

    def get(self) -> None:
        """Respond with the description as JSON."""
        self.finish(self._describe())
