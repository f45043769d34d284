"""A gateway's planned stop: what was taken is finished, the rest goes elsewhere."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.http_server import GracefulServer
from cranberryline.helpers.logging import get_logger

from .nodes import NodeBook

__all__ = ["StopParts", "async_stop_gateway"]

_LOGGER = get_logger(__name__)

_BALANCER_NOTICE = timedelta(milliseconds=2300)
# In this time the first request of a connection arrives that was made just before the port closed.
_ARRIVAL = timedelta(milliseconds=50)
# Shares of the time that a stop may take, counted after the balancer's notice.
_FINISH_SHARE = 0.6
_ITEMS_SHARE = 0.3
_POLL = timedelta(milliseconds=50)


@attrs.frozen
class StopParts:
    """What a stop ends: the servers of callers and of peers, and the items that run."""

    callers: GracefulServer
    peers: GracefulServer
    nodes: NodeBook
    reads_for_peers: Callable[[], int]
    items_left: Callable[[], bool]
    on_close: Callable[[], None]

    @property
    def peers_in_doubt(self) -> int:
        """Return how many calls of peers are under way that a close would leave in doubt.

        A peer's append that lost its answer may stand or not, and its caller could be told neither; a peer's
        read waits for records as long as it likes, and is asked again elsewhere.
        """
        return max(0, self.peers.open_requests - self.reads_for_peers())


async def async_stop_gateway(parts: StopParts, timeout: timedelta, clock: Clock) -> None:
    """Let the balancer notice, close the ports, finish what was taken, and close what is left.

    Returns some nine tenths of `timeout` after the call at the latest.
    """
    # Before a silent store the sign would take a second of the time that the platform's kill leaves.
    await asyncio.gather(parts.nodes.async_sign(), clock.async_sleep(_BALANCER_NOTICE))
    servers = (parts.callers, parts.peers)
    for server in servers:
        server.stop()
    await clock.async_sleep(_ARRIVAL)
    at_rest, peers_at_rest = (server.close_at_rest() for server in servers)
    _LOGGER.info("connections_at_rest_closed", count=at_rest, peers=peers_at_rest)
    await _async_finish(parts, timeout, clock)
    _LOGGER.info(
        "connections_closed",
        open_requests=parts.callers.open_requests,
        peers_in_doubt=parts.peers_in_doubt,
        items_left=parts.items_left(),
    )
    parts.on_close()
    for server in servers:
        await server.close_all_connections()


async def _async_finish(parts: StopParts, timeout: timedelta, clock: Clock) -> None:
    """Wait for the requests that were taken; items are left to other nodes once callers have theirs.

    An item whose result the store does not take would hold the stop until it is forced, and
    with it the answers of callers would be cut.
    """
    began = clock.monotonic()
    give_up = began + timeout * _FINISH_SHARE
    items_until = began + timeout * _ITEMS_SHARE
    while (now := clock.monotonic()) < give_up:
        taken = parts.callers.open_requests or parts.peers_in_doubt
        if not taken and (now > items_until or not parts.items_left()):
            return
        await clock.async_sleep(_POLL)
