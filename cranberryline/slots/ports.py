"""Ports of slot sharing: how a gateway reaches the keeper at another one."""

import abc
import enum
from datetime import timedelta

import attrs
from result import Result

from .messages import SlotAnswer, SlotExchange

__all__ = ["KeeperError", "KeeperProblem", "SlotTransport"]


class KeeperProblem(enum.StrEnum):
    """Why an exchange with a keeper has no answer."""

    SILENT = "silent"
    UNREACHABLE = "unreachable"
    UNREADABLE = "unreadable"
    REJECTED = "rejected"


@attrs.frozen
class KeeperError:
    """An exchange without a usable answer."""

    problem: KeeperProblem
    detail: str = ""


class SlotTransport(abc.ABC):
    """Carries exchanges to other gateways; never raises."""

    @abc.abstractmethod
    async def async_exchange(
        self, peer: str, msg: SlotExchange, timeout: timedelta
    ) -> Result[SlotAnswer, KeeperError]:
        """Send an exchange to the gateway whose peer address is HOST:PORT."""
