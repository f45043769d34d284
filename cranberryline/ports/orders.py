"""Port to an engine's orders: what it serves, and how it is told to change that."""

import abc
import enum
from collections.abc import Mapping

import attrs
from result import Result

from .errors import PlatformError

__all__ = ["EngineReport", "OrderOutcome", "OrderPort", "VersionOrder"]


@attrs.frozen
class EngineReport:
    """What an engine says of itself, some hundred milliseconds late."""

    sequence: int
    busy: bool
    running: int
    versions: Mapping[str, int]


@attrs.frozen
class VersionOrder:
    """Serve a model in a version; refused where the engine has taken another order since.

    With `finish_runs` the engine first lets its runs end and turns new ones away until then; without
    it they go on under the new version.
    """

    model: str
    version: int
    holder: str
    token: int
    sequence: int
    finish_runs: bool = False


class OrderOutcome(enum.StrEnum):
    """What became of an order."""

    TAKEN = "taken"
    HOLDS = "holds"
    BUSY = "busy"
    FENCED = "fenced"
    REFUSED = "refused"
    UNKNOWN = "unknown"


class OrderPort(abc.ABC):
    """Orders to engines, by the engine's id."""

    @abc.abstractmethod
    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Ask an engine what it serves."""

    @abc.abstractmethod
    async def async_order(self, upstream: str, order: VersionOrder) -> OrderOutcome:
        """Send an order; UNKNOWN may still be carried out."""
