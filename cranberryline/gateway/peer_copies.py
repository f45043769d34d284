"""Start from the newest records that a peer has, while the store answers nobody."""

import random
from collections.abc import Callable
from datetime import timedelta
from http import HTTPStatus

import msgspec
from result import Err, Ok
from tornado.web import RequestHandler

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.decode import decode_msgpack
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tail import KeyedTail
from cranberryline.ports.errors import UpstreamCut
from cranberryline.ports.http import HttpOrigin, async_exchange
from cranberryline.ports.model import UpstreamRequest
from cranberryline.ports.store import KeyedRecord, KeyedSnapshot

from .const import PEER_CONNECT_TIMEOUT
from .relay_calls import Redaction, unchanged

__all__ = ["PATH_COPIES", "CopyHandler", "PeerCopies"]

_LOGGER = get_logger(__name__)

PATH_COPIES = "/copies"

# A store that answers delivers each topic within a tenth of this.
_FIRST_DELAY = timedelta(seconds=1)
_RETRY_INTERVAL = timedelta(milliseconds=500)
_CALL_TIMEOUT = timedelta(seconds=2)
_MAX_PEERS_ASKED = 3


class CopyCall(msgspec.Struct, array_like=True, frozen=True):
    """Ask a peer for the newest record of each key of a topic, as far as it has read the topic."""

    topic: str


class TopicCopy(msgspec.Struct, array_like=True, frozen=True):
    """Key, value and offset of each newest record before the offset `end`."""

    end: int
    rows: list[tuple[str, bytes, int]]


_CALLS = msgspec.msgpack.Decoder(CopyCall)
_COPIES = msgspec.msgpack.Decoder(TopicCopy)


class PeerCopies:
    """Keeps the newest records of the followed topics for peers, and starts from those of a peer.

    A gateway that starts while the store is out would refuse all callers until its return, although
    its peers serve them by what they know. What it starts from is as old as the outage, and never
    newer than the store: its tails follow on from there.
    """

    def __init__(
        self, peers: Callable[[], list[str]], clock: Clock, redaction: Redaction | None = None
    ) -> None:
        self._peers = peers
        self._clock = clock
        self._redaction = redaction
        self._records: dict[str, dict[str, KeyedRecord]] = {}
        self._tails: dict[str, KeyedTail] = {}
        self._started: set[str] = set()

    @property
    def in_use(self) -> bool:
        """Return whether a topic is known from a peer only, since the store has not answered yet."""
        return any(self._tails[topic].current_at is None for topic in self._started)

    def keep(
        self, topic: str, on_key: Callable[[KeyedRecord], None]
    ) -> Callable[[KeyedRecord], None]:
        """Return a callback that keeps each record of a topic and passes it on."""
        records = self._records[topic] = {}

        def keep_record(record: KeyedRecord) -> None:
            if record.value:
                records[record.key] = record
            else:
                records.pop(record.key, None)
            on_key(record)

        return keep_record

    def follow(self, tail: KeyedTail) -> KeyedTail:
        """Start this tail from a peer's records if the store does not answer; return it."""
        self._tails[tail.topic] = tail
        return tail

    def copy(self, topic: str) -> TopicCopy | None:
        """Return the newest records of a topic without secrets, or None if they are not known."""
        tail = self._tails.get(topic)
        if tail is None or not tail.loaded.is_set():
            return None
        value_of = unchanged if self._redaction is None else self._redaction.for_topic(topic)
        rows = [(row.key, value_of(row), row.offset) for row in self._records[topic].values()]
        return TopicCopy(tail.offset, rows)

    async def async_run(self) -> None:
        """Ask peers for the topics that the store has not delivered, until all are loaded."""
        delay = _FIRST_DELAY
        while True:
            await self._clock.async_sleep(delay)
            missing = [tail for tail in self._tails.values() if not tail.loaded.is_set()]
            if not missing:
                return
            for tail in missing:
                await self._async_start(tail)
            delay = _RETRY_INTERVAL

    async def _async_start(self, tail: KeyedTail) -> None:
        peers = self._peers()
        for peer in random.sample(peers, min(_MAX_PEERS_ASKED, len(peers))):
            found = await self._async_ask(peer, tail.topic)
            if found is None:
                continue
            snapshot = KeyedSnapshot(tuple(KeyedRecord(*row) for row in found.rows), found.end)
            if tail.start_from(snapshot):
                self._started.add(tail.topic)
                _LOGGER.warning("started_from_peer", topic=tail.topic, peer=peer, end=found.end)
            return

    async def _async_ask(self, peer: str, topic: str) -> TopicCopy | None:
        req = UpstreamRequest("POST", PATH_COPIES, (), msgspec.msgpack.encode(CopyCall(topic)))
        origin = HttpOrigin(f"http://{peer}")
        response = await async_exchange(origin, req, _CALL_TIMEOUT, connect=PEER_CONNECT_TIMEOUT)
        if isinstance(response, Err):
            return None
        body = response.unwrap()
        try:
            data = await body.async_whole()
        except UpstreamCut:
            return None
        return decode_msgpack(data, _COPIES).ok() if body.head.status == HTTPStatus.OK else None


class CopyHandler(RequestHandler):
    """Gives peers the newest records of a topic."""

    def initialize(self, copies: PeerCopies) -> None:
        """Set the copies; called by tornado for each request."""
        self._copies = copies

    def post(self) -> None:
        """Respond with the records, with 400 if the body is no call, or 503 if they are not known."""
        match decode_msgpack(self.request.body, _CALLS):
            case Err():
                self.set_status(HTTPStatus.BAD_REQUEST)
                return
            case Ok(call):
                pass
        copy = self._copies.copy(call.topic)
        if copy is None:
            self.set_status(HTTPStatus.SERVICE_UNAVAILABLE)
            return
        self.set_header("Content-Type", "application/msgpack")
        self.finish(msgspec.msgpack.encode(copy))
