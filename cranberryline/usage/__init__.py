"""Reports of use: how many requests of each workspace began to run in each window of time."""

from .counter import UsageCounter, UsageWriter
from .ledger import ReportBook, UsageLedger
from .model import CountRecord, ReportRecord, UsageWindows
from .peer_clock import PeerClock
from .ports import ReportOutcome, UsagePort
from .reporter import UsageReporter

__all__ = [
    "CountRecord",
    "PeerClock",
    "ReportBook",
    "ReportOutcome",
    "ReportRecord",
    "UsageCounter",
    "UsageLedger",
    "UsagePort",
    "UsageReporter",
    "UsageWindows",
    "UsageWriter",
]
