"""Routes: which service handles a request, and with which limits."""

from .active import ActiveRoutes
from .model import EngineService, Limits, Route, RouteKind, RouteTable, ServiceShare

__all__ = [
    "ActiveRoutes",
    "EngineService",
    "Limits",
    "Route",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
]
