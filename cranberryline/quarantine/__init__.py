"""Quarantine: requests that crash upstreams are held at every gateway until an answer clears them."""

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
