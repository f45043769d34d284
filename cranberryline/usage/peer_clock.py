"""The time of day on which most nodes agree, independent of steps of this VM's clock."""

import math
from collections import deque
from datetime import timedelta
from statistics import median

import attrs

from cranberryline.helpers.clock import Clock

__all__ = ["PeerClock"]

# Heartbeats of a peer that are compared; the one that arrived with the least delay counts.
_SAMPLES = 8
# A peer without a heartbeat for this long has no say.
_SAMPLE_TTL = timedelta(seconds=5)


@attrs.define
class _Peer:
    offsets: deque[float] = attrs.field(factory=lambda: deque(maxlen=_SAMPLES))
    heard_at: timedelta = timedelta()


class PeerClock:
    """Estimate the time of day from the clocks of all nodes.

    Each clock is compared with this VM's uptime clock, which has no steps and counts suspensions.
    The time of day is the uptime plus the median of the differences, so it stays right while fewer
    than half of the nodes have a wrong clock. A heartbeat arrives late by an unknown time, so the
    largest of a peer's last differences is the most accurate one.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._peers: dict[str, _Peer] = {}

    def record(self, node: str, written: float) -> None:
        """Record the time of day, in Unix seconds, that a peer's heartbeat carries.

        A heartbeat without a time, or with one that is no number, has no say.
        """
        if not 0 < written < math.inf:
            return
        now = self._clock.elapsed()
        peer = self._peers.setdefault(node, _Peer())
        peer.offsets.append(written - now.total_seconds())
        peer.heard_at = now

    def unix_seconds(self) -> float:
        """Return the time of day, in Unix seconds."""
        return self._clock.elapsed().total_seconds() + self.offset()

    def offset(self) -> float:
        """Return the time of day less the uptime, in seconds; it takes a look at every peer."""
        now = self._clock.elapsed()
        offsets = [self._clock.now().timestamp() - now.total_seconds()]
        offsets += [
            max(peer.offsets) for peer in self._peers.values() if now - peer.heard_at < _SAMPLE_TTL
        ]
        return median(offsets)
