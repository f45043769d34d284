"""Decide what stops when nobody asks, and how fast it returns.

Load answered: none at all. A system that beats, polls and reports at full pace day and night pays
for it on every VM, and the idle cost grows with the number of connections.

A connection with work outstanding beats every `BUSY_INTERVAL`, so a silent one is found within
`MISSED_BEATS` of them. Without work the interval doubles with each beat up to `IDLE_INTERVAL`:
a minute is short enough to notice a dead peer before it is likely to be needed, and long enough
that 30 idle connections cost one message in two seconds. The first request resets the interval at
once, and it is itself the probe: if nothing comes back within the busy bound the connection is
closed and the request settled. Nothing has to wake up before work can start.

Load reports follow the same rule: only on a change, and not more often than the interval.
"""

from datetime import timedelta

import attrs

__all__ = ["IdlePolicy"]

BUSY_INTERVAL = timedelta(seconds=1)
IDLE_INTERVAL = timedelta(seconds=60)
MISSED_BEATS = 3
BACKOFF_FACTOR = 2
LONG_POLL = timedelta(seconds=30)
IDLE_LONG_POLL = timedelta(seconds=300)
IDLE_AFTER = timedelta(seconds=30)


@attrs.frozen
class IdlePolicy:
    """Intervals of heartbeats, reports and polls by how idle a connection is."""

    busy_interval: timedelta = BUSY_INTERVAL
    idle_interval: timedelta = IDLE_INTERVAL
    missed_beats: int = MISSED_BEATS

    def heartbeat_interval(self, outstanding: int, last: timedelta | None) -> timedelta:
        """Return the time to the next beat; `last` is the interval before it, None after work."""
        if outstanding or last is None:
            return self.busy_interval
        return min(last * BACKOFF_FACTOR, self.idle_interval)

    @property
    def silence_bound(self) -> timedelta:
        """Return how long after an unanswered beat or request the connection counts as dead."""
        return self.busy_interval * self.missed_beats

    def report_due(self, changed: bool, since_last: timedelta, outstanding: int) -> bool:
        """Return whether a load report should be sent."""
        if not changed:
            return False
        return since_last >= self.busy_interval or not outstanding

    def poll_wait(self, idle_for: timedelta) -> timedelta:
        """Return how long a long poll should be held open."""
        return LONG_POLL if idle_for < IDLE_AFTER else IDLE_LONG_POLL
