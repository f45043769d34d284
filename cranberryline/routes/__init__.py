"""Routes: which requests belong to which service, and under which bounds."""

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
