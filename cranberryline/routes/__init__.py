"""Routes: which service handles a request, and with which limits."""

from .book import RouteBook
from .model import EngineService, Limits, Route, RouteKind, RouteTable, ServiceShare

__all__ = [
    "EngineService",
    "Limits",
    "Route",
    "RouteBook",
    "RouteKind",
    "RouteTable",
    "ServiceShare",
]
