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
    """What a start of an engine says of itself, some hundred milliseconds late."""

    sequence: int
    busy: bool
    running: int
    versions: Mapping[str, int]


@attrs.frozen
class VersionOrder:
    """Serve a model in a version; refused where the engine has taken another order since.

    It is meant for the start of the engine that reported `sequence`: the next one counts anew, so the same
    number says nothing there.

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
    """Orders to engines, by the key of the engine's start; never given to another start."""

    @abc.abstractmethod
    async def async_report(self, upstream: str) -> Result[EngineReport, PlatformError]:
        """Ask an engine what it serves; START_OVER where the start is over, or another one answers."""

    @abc.abstractmethod
    async def async_order(self, upstream: str, order: VersionOrder) -> OrderOutcome:
        """Send an order; UNKNOWN may still be carried out, REFUSED never."""
