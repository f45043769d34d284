"""A small client that a trainer embeds."""

from .client import TrainerClient
from .errors import ClientError, ClientReason
from .model import Group, PulledBatch, ReceivedSample, ReceivedSegment
from .position import Position, TakeOutcome

__all__ = [
    "ClientError",
    "ClientReason",
    "Group",
    "Position",
    "PulledBatch",
    "ReceivedSample",
    "ReceivedSegment",
    "TakeOutcome",
    "TrainerClient",
]
