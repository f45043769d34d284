"""Execution: hold an upstream's requests, run them, and say truthfully what became of each."""

from .claims import ClaimService, Granted
from .errors import FailReason, RunnerReason
from .execution import Execution
from .model import Held, Reply
from .runner import Runner
from .stream import AnswerStream

__all__ = [
    "AnswerStream",
    "ClaimService",
    "Execution",
    "FailReason",
    "Granted",
    "Held",
    "Reply",
    "Runner",
    "RunnerReason",
]
