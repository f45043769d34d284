"""Slots of engines that the texts of several gateways share."""

from .messages import SlotAnswer, SlotExchange
from .model import EngineSlots, NoSlotSharing, SlotGrant, SlotNeed, SlotSource
from .ports import KeeperError, KeeperProblem, SlotTransport

__all__ = [
    "EngineSlots",
    "KeeperError",
    "KeeperProblem",
    "NoSlotSharing",
    "SlotAnswer",
    "SlotExchange",
    "SlotGrant",
    "SlotNeed",
    "SlotSource",
    "SlotTransport",
]
