"""Planned shutdown of a gateway: finish accepted requests and leave other work to other nodes."""

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

# How long the load balancer may still send requests after the ready check has begun to fail.
_BALANCER_NOTICE = timedelta(milliseconds=2300)
# How long the first request of a connection that was opened just before the port closed may take
# to arrive.
_ARRIVAL_GRACE = timedelta(milliseconds=50)
# Shares of the stop timeout, counted from the end of the load balancer's notice period.
_FINISH_SHARE = 0.6
_ITEMS_SHARE = 0.3
_POLL_INTERVAL = timedelta(milliseconds=50)


@attrs.frozen
class StopParts:
    """Parts of a gateway that take part in its shutdown.

    `callers` and `peers` are the HTTP servers for callers and for other gateways. `cancel_peer_reads` ends
    the store reads that peers wait for. `items_left` returns whether job items are still running.
    `on_close` is called just before the remaining connections are closed.
    """

    callers: GracefulServer
    peers: GracefulServer
    nodes: NodeRegistry
    cancel_peer_reads: Callable[[], None]
    items_left: Callable[[], bool]
    on_close: Callable[[], None]


async def async_stop_gateway(parts: StopParts, timeout: timedelta, clock: Clock) -> StopOutcome:
    """Wait for the load balancer, close the ports, finish accepted requests and close the rest.

    Returns the outcome after about 90% of `timeout` at the latest.
    """
    # The heartbeat that announces the shutdown is written while waiting. If the store does not
    # answer, it takes a second, which would be lost from the time until the platform kills the
    # process.
    await asyncio.gather(parts.nodes.async_write_heartbeat(), clock.async_sleep(_BALANCER_NOTICE))
    servers = (parts.callers, parts.peers)
    for server in servers:
        server.stop()
    await clock.async_sleep(_ARRIVAL_GRACE)
    # Idle connections of peers stay open. Peers use a connection for one request only, so an idle
    # one is about to receive it.
    _LOGGER.info("connections_at_rest_closed", count=parts.callers.close_at_rest())
    parts.cancel_peer_reads()
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
    """Wait for accepted requests, and for running job items during the first part of that time.

    Items that still run once all requests are answered are left to other nodes after
    `_ITEMS_SHARE`: an item whose result the store does not accept would otherwise delay the
    shutdown until the process is killed, which would also cut off callers' responses. A peer's
    append is waited for like a caller's request, since the peer cannot tell whether an append
    without an answer took effect.
    """
    began = clock.monotonic()
    give_up_at = began + timeout * _FINISH_SHARE
    items_until = began + timeout * _ITEMS_SHARE
    while (now := clock.monotonic()) < give_up_at:
        open_requests = parts.callers.open_requests or parts.peers.open_requests
        if not open_requests and (now > items_until or not parts.items_left()):
            return
        await clock.async_sleep(_POLL_INTERVAL)
