"""Routes: which requests belong to which service, and under which bounds."""

from .model import EngineService, Limits, Route, RouteKind, RouteTable, ServiceShare
from .book import RouteBook

__all__ = ["EngineService", "Limits", "Route", "RouteBook", "RouteKind", "RouteTable", "ServiceShare"]
