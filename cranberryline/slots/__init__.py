"""Slots of engines that the texts of several gateways share."""

from .client import SlotClient, SlotClientParts
from .keeper import SlotKeeper
from .messages import SlotAnswer, SlotExchange
from .model import EngineSlots, NoSlotSharing, SlotGrant, SlotNeed, SlotSource
from .ports import KeeperError, KeeperProblem, SlotTransport

__all__ = [
    "EngineSlots",
    "KeeperError",
    "KeeperProblem",
    "NoSlotSharing",
    "SlotAnswer",
    "SlotClient",
    "SlotClientParts",
    "SlotExchange",
    "SlotGrant",
    "SlotKeeper",
    "SlotNeed",
    "SlotSource",
    "SlotTransport",
]
