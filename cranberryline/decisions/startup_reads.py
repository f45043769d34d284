"""Concurrency and timeouts of the reads with which a node loads the store at startup."""

from datetime import timedelta

__all__ = [
    "INITIAL_CONCURRENCY",
    "MAX_CONCURRENCY",
    "PAGE_KB",
    "MIN_READ_TIMEOUT",
    "FAST_READ_LATENCY",
    "SLOW_READ_LATENCY",
    "MIN_SLOT_TIME",
    "StartupReadLimits",
]

INITIAL_CONCURRENCY = 2
MAX_CONCURRENCY = 4
# The size of the largest record.
PAGE_KB = 256
MIN_SLOT_TIME = timedelta(seconds=1)
FAST_READ_LATENCY = timedelta(milliseconds=100)
SLOW_READ_LATENCY = timedelta(milliseconds=400)
MIN_READ_TIMEOUT = timedelta(seconds=3)
_MAX_READ_TIMEOUT = timedelta(seconds=12)


class StartupReadLimits:
    """Adapts concurrency and timeout of startup reads to the latency of the store.

    All nodes may start at the same moment, and each reads every partition of all jobs. The reads
    share the bandwidth of the store, which answers in order of arrival. If more is requested than
    it sends before the readers time out, it sends answers to reads that have been abandoned and
    repeated. No node knows how many others start, so no fixed concurrency suits all fleet sizes.

    As in congestion control, a fast answer increases the concurrency by one and a slow answer
    halves it. A read that takes longer than `slot_time` continues but releases its slot, because
    some partitions may never answer during a partial outage of the store. A timeout doubles
    `slot_time` and the timeout of the next reads, so that loading progresses with any number of
    nodes; fast answers reduce both. `slot_time` is at least twice the last latency.
    """

    def __init__(self) -> None:
        self.max_concurrent = INITIAL_CONCURRENCY
        self.timeout = MIN_READ_TIMEOUT
        self.slot_time = MIN_SLOT_TIME

    def record_answer(self, latency: timedelta) -> None:
        """Record the latency of a read that was answered."""
        if latency < FAST_READ_LATENCY:
            self.max_concurrent = min(self.max_concurrent + 1, MAX_CONCURRENCY)
        elif latency > SLOW_READ_LATENCY:
            self.max_concurrent = max(self.max_concurrent // 2, 1)
        self.slot_time = max(MIN_SLOT_TIME, 2 * latency)
        self.timeout = max(MIN_READ_TIMEOUT, 3 * latency, self.timeout / 2)

    def record_timeout(self) -> None:
        """Record a read that timed out."""
        self.max_concurrent = 1
        self.timeout = min(2 * self.timeout, _MAX_READ_TIMEOUT)
        self.slot_time = min(2 * self.slot_time, _MAX_READ_TIMEOUT / 2)
