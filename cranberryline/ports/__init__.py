"""Ports to what the platform gives, and their HTTP clients."""

from .clients import HttpEngine, HttpLog, HttpPlainService, HttpScorer, HttpVmList
from .errors import PlatformError, PlatformReason, UpstreamCut

__all__ = [
    "HttpEngine",
    "HttpLog",
    "HttpPlainService",
    "HttpScorer",
    "HttpVmList",
    "PlatformError",
    "PlatformReason",
    "UpstreamCut",
]
