"""Constants that more than one decision shares."""

from datetime import timedelta

from .model import Priority

__all__ = [
    "CLASS_FLOORS",
    "DEFAULT_CALLER_WEIGHT",
    "DEFAULT_LONG_TOKENS",
    "DEFAULT_QUEUE_SECONDS",
    "MAX_RETRY_AFTER",
    "MIN_RETRY_AFTER",
    "ZERO",
]

ZERO = timedelta()

# The share of an upstream that a backlogged class gets whatever the classes above it ask for. A
# fifth keeps a trainer's step moving at a fifth of its pace through a rush of application calls;
# a twentieth is enough for background work to finish some time.
CLASS_FLOORS = {Priority.APPLICATION: 0.0, Priority.TRAINER: 0.2, Priority.BACKGROUND: 0.05}

# How long a request may wait for its start: a person waits seconds, a step minutes.
DEFAULT_QUEUE_SECONDS = {
    Priority.APPLICATION: timedelta(seconds=5),
    Priority.TRAINER: timedelta(seconds=60),
    Priority.BACKGROUND: timedelta(seconds=120),
}

DEFAULT_CALLER_WEIGHT = 1.0
DEFAULT_LONG_TOKENS = 1024

MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=60)
