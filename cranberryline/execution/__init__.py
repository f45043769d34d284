"""Run the requests of one upstream and report the outcome of each to its sender."""

from .claims import ClaimGrant, ClaimService
from .errors import FailReason, RunnerReason
from .execution import Execution
from .model import Held, Reply
from .runner import Runner
from .stream import ResponseStream

__all__ = [
    "ClaimGrant",
    "ClaimService",
    "Execution",
    "FailReason",
    "Held",
    "Reply",
    "ResponseStream",
    "Runner",
    "RunnerReason",
]
