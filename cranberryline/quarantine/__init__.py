"""Quarantine of requests that crash upstreams, shared by all gateways through the store."""

from .guard import BrokenRun, Held, RequestGuard, fingerprint
from .keeper import Quarantine, SuspectedRequest
from .records import CrashRecord, TrialRecord

__all__ = [
    "BrokenRun",
    "CrashRecord",
    "Held",
    "Quarantine",
    "RequestGuard",
    "SuspectedRequest",
    "TrialRecord",
    "fingerprint",
]
