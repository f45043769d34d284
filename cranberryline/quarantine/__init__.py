"""Quarantine of requests that crash upstreams, shared by all gateways through the store."""

from .guard import BrokenRun, Held, RequestGuard, fingerprint
from .keeper import HeldRequest, Quarantine
from .records import CrashRecord, TrialRecord

__all__ = [
    "BrokenRun",
    "CrashRecord",
    "Held",
    "HeldRequest",
    "Quarantine",
    "RequestGuard",
    "TrialRecord",
    "fingerprint",
]
