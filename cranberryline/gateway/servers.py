"""What a gateway serves to operators and the load balancer, and to other gateways."""

from collections.abc import Callable
from typing import Any

from tornado.web import Application

from cranberryline.helpers.http_server import (
    ClientLimits,
    GracefulServer,
    InputLimits,
    open_http_server,
)
from cranberryline.helpers.memory import ConnectionShare, connection_limit, open_account
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.routes import Limits
from cranberryline.settings import GatewaySettings

from .handler import GatewayContext, ReadyHandler
from .holds import PATH_HOLDS, HoldsHandler
from .ingress import IngressHandler
from .peer_copies import PATH_COPIES, CopyHandler, PeerCopies
from .relay import PATH_RELAY, RelayedLog, RelayHandler
from .screen import CallerScreen
from .tasks import make_application

__all__ = ["Handlers", "ServerOpener", "make_peer_application", "make_status_application"]

Handlers = list[tuple[str, Any, dict[str, Any]]]

_MAX_ADMIN_BODY_BYTES = 1024 * 1024
# An append of a peer has at most one call of the store; lists of texts are shorter.
_MAX_PEER_BODY_BYTES = 4 * 1024 * 1024


class ServerOpener:
    """Opens the servers of a gateway, all of which share one account of memory."""

    def __init__(self, cfg: GatewaySettings, metrics: Metrics) -> None:
        self._cfg = cfg
        self.memory = open_account(cfg.memory_mb, metrics)
        self._metrics = metrics
        self._callers_limits = self._limits(cfg.max_body_bytes)
        self._all_limits = [self._callers_limits]

    def open_callers(self, context: GatewayContext) -> GracefulServer:
        """Open the server for callers."""
        app = make_application([(r".*", IngressHandler, {"context": context})])
        clients = self._clients(ConnectionShare.CALLERS)
        clients.screen = CallerScreen(context)
        return open_http_server(app, self._cfg.listen, self._callers_limits, self._metrics, clients)

    def open_admin(self, app: Application) -> GracefulServer:
        """Open the server for operators and the load balancer."""
        return self._open_own(
            app, self._cfg.ready_listen, _MAX_ADMIN_BODY_BYTES, ConnectionShare.ADMIN
        )

    def open_peers(self, app: Application) -> GracefulServer:
        """Open the server for other gateways."""
        return self._open_own(app, self._cfg.peer, _MAX_PEER_BODY_BYTES, ConnectionShare.PEERS)

    def apply_limits(self, limits: Limits) -> None:
        """Apply the operator's limits from the next request on."""
        self._callers_limits.max_body_bytes = limits.body_bytes
        for each in self._all_limits:
            each.max_header_bytes = limits.header_bytes
            each.slow_headers = limits.header_timeout

    def _open_own(
        self, app: Application, address: str, max_body_bytes: int, share: ConnectionShare
    ) -> GracefulServer:
        limits = self._limits(max_body_bytes)
        self._all_limits.append(limits)
        return open_http_server(app, address, limits, self._metrics, self._clients(share))

    def _limits(self, max_body_bytes: int) -> InputLimits:
        cfg = self._cfg
        return InputLimits(max_body_bytes, cfg.max_header_bytes, cfg.slow_sender_timeout)

    def _clients(self, share: ConnectionShare) -> ClientLimits:
        most = connection_limit(self._cfg.max_descriptors, share)
        return ClientLimits(self.memory, None, self._cfg.stall_timeout, most)


def make_status_application(
    metrics: Metrics, quarantine: Any, ready: Callable[[], bool], further: Handlers
) -> Application:
    """Return the application with the metrics, the state for operators and the ready check."""
    return make_application(
        [
            (r"/metrics", MetricsHandler, {"metrics": metrics}),
            (PATH_HOLDS, HoldsHandler, {"quarantine": quarantine}),
            *further,
            (r".*", ReadyHandler, {"ready": ready}),
        ]
    )


def make_peer_application(store: RelayedLog, copies: PeerCopies, further: Handlers) -> Application:
    """Return the application that answers other gateways."""
    return make_application(
        [
            (PATH_RELAY, RelayHandler, {"log": store}),
            (PATH_COPIES, CopyHandler, {"copies": copies}),
            *further,
        ]
    )
