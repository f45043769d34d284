"""A gateway's planned stop: what was taken is finished, the rest goes elsewhere."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

import attrs

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.http_server import GracefulServer
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.shutdown import StopOutcome

from .nodes import NodeRegistry

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
    nodes: NodeRegistry
    end_reads: Callable[[], None]
    items_left: Callable[[], bool]
    on_close: Callable[[], None]


async def async_stop_gateway(parts: StopParts, timeout: timedelta, clock: Clock) -> StopOutcome:
    """Let the balancer notice, close the ports, finish what was taken, and close what is left.

    Return how it ended, some nine tenths of `timeout` after the call at the latest.
    """
    # Before a silent store the sign would take a second of the time that the platform's kill leaves.
    await asyncio.gather(parts.nodes.async_write_heartbeat(), clock.async_sleep(_BALANCER_NOTICE))
    servers = (parts.callers, parts.peers)
    for server in servers:
        server.stop()
    await clock.async_sleep(_ARRIVAL)
    # Not the peers' ones: they use a connection once, so one at rest is about to ask.
    _LOGGER.info("connections_at_rest_closed", count=parts.callers.close_at_rest())
    parts.end_reads()
    await _async_finish(parts, timeout, clock)
    cut, peers_cut = (server.open_requests for server in servers)
    _LOGGER.info(
        "connections_closed",
        open_requests=cut,
        peers_open=peers_cut,
        items_left=parts.items_left(),
    )
    parts.on_close()
    for server in servers:
        await server.close_all_connections()
    return StopOutcome.TIMED_OUT if cut or peers_cut else StopOutcome.GRACEFUL


async def _async_finish(parts: StopParts, timeout: timedelta, clock: Clock) -> None:
    """Wait for the requests that were taken; items are left to other nodes once callers have theirs.

    An item whose result the store does not take would hold the stop until it is forced, and
    with it the answers of callers would be cut. A peer's append is waited for like a caller's request:
    whether one that lost its answer stands can not be told.
    """
    began = clock.monotonic()
    give_up = began + timeout * _FINISH_SHARE
    items_until = began + timeout * _ITEMS_SHARE
    while (now := clock.monotonic()) < give_up:
        taken = parts.callers.open_requests or parts.peers.open_requests
        if not taken and (now > items_until or not parts.items_left()):
            return
        await clock.async_sleep(_POLL)
