"""Constants that several decisions share."""

from datetime import timedelta

from .model import Priority

__all__ = [
    "CLASS_MIN_SHARES",
    "DEFAULT_CALLER_WEIGHT",
    "DEFAULT_LONG_TOKENS",
    "DEFAULT_QUEUE_SECONDS",
    "MAX_RETRY_AFTER",
    "MIN_RETRY_AFTER",
    "ZERO",
]

ZERO = timedelta()

# Share of an upstream's capacity that a class with queued work gets even if more urgent classes
# could use all of it. With a fifth, a training step continues at a fifth of its speed during a peak
# of application calls; a twentieth lets background work finish eventually.
CLASS_MIN_SHARES = {Priority.APPLICATION: 0.0, Priority.TRAINER: 0.2, Priority.BACKGROUND: 0.05}

# Longest wait in the queue: a person waits for seconds, a training step for minutes.
DEFAULT_QUEUE_SECONDS = {
    Priority.APPLICATION: timedelta(seconds=5),
    Priority.TRAINER: timedelta(seconds=60),
    Priority.BACKGROUND: timedelta(seconds=120),
}

DEFAULT_CALLER_WEIGHT = 1.0
# Requests with more tokens than this count as long.
DEFAULT_LONG_TOKENS = 1024

MIN_RETRY_AFTER = timedelta(milliseconds=100)
MAX_RETRY_AFTER = timedelta(seconds=60)
