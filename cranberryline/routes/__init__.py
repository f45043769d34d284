"""Routes: which service handles a request, and with which limits."""

from .active import ActiveRoutes
from .confirmation import ConfigConfirmation, confirm_by_tail
from .model import EngineService, Limits, Route, RouteKind, RouteTable, ServiceShare

__all__ = [
    "ActiveRoutes",
    "ConfigConfirmation",
    "EngineService",
    "Limits",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
    "confirm_by_tail",
]
