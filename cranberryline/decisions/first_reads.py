"""Concurrency and timeouts of the reads with which a node loads the store at startup."""

from datetime import timedelta

__all__ = ["AT_ONCE", "MOST_AT_ONCE", "PAGE_KB", "PATIENCE", "QUICK", "SLOW", "TURN", "ReadPace"]

AT_ONCE = 2
MOST_AT_ONCE = 4
# The size of the largest record.
PAGE_KB = 256
TURN = timedelta(seconds=1)
QUICK = timedelta(milliseconds=100)
SLOW = timedelta(milliseconds=400)
PATIENCE = timedelta(seconds=3)
_MAX_READ_TIMEOUT = timedelta(seconds=12)


class ReadPace:
    """Adapts concurrency and timeout of startup reads to the latency of the store.

    All nodes may start at the same moment, and each reads every partition of all jobs. The reads
    share the bandwidth of the store, which answers in order of arrival. If more is requested than
    it sends before the readers time out, it sends answers to reads that have been abandoned and
    repeated. No node knows how many others start, so no fixed concurrency suits all fleet sizes.

    As in congestion control, a fast answer increases the concurrency by one and a slow answer
    halves it. A read that takes longer than `turn` continues but releases its slot, because some
    partitions may never answer during a partial outage of the store. A timeout doubles `turn` and
    the timeout of the next reads (`patience`), so that loading progresses with any number of nodes;
    fast answers reduce both. `turn` is at least twice the last latency.
    """

    def __init__(self) -> None:
        self.at_once = AT_ONCE
        self.patience = PATIENCE
        self.turn = TURN

    def answered(self, took: timedelta) -> None:
        """Record an answer and its latency."""
        if took < QUICK:
            self.at_once = min(self.at_once + 1, MOST_AT_ONCE)
        elif took > SLOW:
            self.at_once = max(self.at_once // 2, 1)
        self.turn = max(TURN, 2 * took)
        self.patience = max(PATIENCE, 3 * took, self.patience / 2)

    def unanswered(self) -> None:
        """Record a read that timed out."""
        self.at_once = 1
        self.patience = min(2 * self.patience, _MAX_READ_TIMEOUT)
        self.turn = min(2 * self.turn, _MAX_READ_TIMEOUT / 2)
