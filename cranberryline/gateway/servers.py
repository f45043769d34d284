"""What a gateway serves to operators and the load balancer, and to other gateways."""

from collections.abc import Callable
from typing import Any

from tornado.web import Application

from cranberryline.helpers.metrics import Metrics, MetricsHandler

from .handler import ReadyHandler
from .holds import PATH_HOLDS, HoldsHandler
from .peer_copies import PATH_COPIES, CopyHandler, PeerCopies
from .relay import PATH_RELAY, RelayedLog, RelayHandler
from .tasks import make_application

__all__ = ["Handlers", "make_peer_application", "make_status_application"]

Handlers = list[tuple[str, Any, dict[str, Any]]]


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
