"""Bounds of the connections between our own processes."""

from datetime import timedelta

__all__ = [
    "HEARTBEAT_BUSY",
    "HEARTBEAT_IDLE",
    "HIGH_WATER_MARK",
    "MAX_FRAME_BYTES",
    "MAX_QUEUED_BATCHES",
    "MAX_UNASKED_BODY_BYTES",
    "SILENT_AFTER",
    "WELCOME_TIMEOUT",
]

# A connection with work outstanding is probed every second and given up after three: long enough
# for a loaded event loop, short enough that a caller with a 10 s deadline can still go elsewhere.
HEARTBEAT_BUSY = timedelta(seconds=1)
SILENT_AFTER = timedelta(seconds=3)
# An idle connection is probed rarely: nothing is lost on it while nothing is outstanding, and
# configuration reaches a side process over its other entries.
HEARTBEAT_IDLE = timedelta(seconds=5)
WELCOME_TIMEOUT = timedelta(seconds=2)

HIGH_WATER_MARK = 10_000
MAX_QUEUED_BATCHES = 10_000
MAX_FRAME_BYTES = 32 * 1024 * 1024
# Longer bodies are offered first: what has arrived is in the receiver's memory, wanted or not.
MAX_UNASKED_BODY_BYTES = 256 * 1024
