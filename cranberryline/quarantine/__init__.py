"""Quarantine: requests that crash upstreams are held at every gateway until an answer clears them."""

from .guard import BrokenRun, Held, NoGuard, RequestGuard, fingerprint
from .keeper import HeldRequest, Quarantine
from .records import CrashRecord, TrialRecord

__all__ = [
    "BrokenRun",
    "CrashRecord",
    "Held",
    "HeldRequest",
    "NoGuard",
    "Quarantine",
    "RequestGuard",
    "TrialRecord",
    "fingerprint",
]
