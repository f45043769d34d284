"""Intervals of heartbeats, load reports and long polls on busy and idle connections."""

from datetime import timedelta

import attrs

__all__ = ["IdlePolicy"]

BUSY_INTERVAL = timedelta(seconds=1)
# Short enough to detect a dead peer before it is likely to be needed, and long enough that 30 idle
# connections cost one message in two seconds.
IDLE_INTERVAL = timedelta(seconds=60)
MISSED_HEARTBEATS = 3
BACKOFF_FACTOR = 2
LONG_POLL = timedelta(seconds=30)
IDLE_LONG_POLL = timedelta(seconds=300)
IDLE_AFTER = timedelta(seconds=30)


@attrs.frozen
class IdlePolicy:
    """Reduces background traffic on idle connections without delaying the first request.

    Heartbeats, polls and reports at the full rate would load every VM at all times, in proportion
    to the number of connections. The first request on an idle connection restores the busy interval
    and serves as a probe: if nothing arrives within `silence_timeout`, the connection is closed,
    which ends its outstanding requests.
    """

    busy_interval: timedelta = BUSY_INTERVAL
    idle_interval: timedelta = IDLE_INTERVAL
    missed_heartbeats: int = MISSED_HEARTBEATS

    def heartbeat_interval(self, outstanding: int, last: timedelta | None) -> timedelta:
        """Return the time until the next heartbeat.

        `last` is the previous interval, None directly after a request. Without outstanding requests
        the interval doubles up to `idle_interval`.
        """
        if outstanding or last is None:
            return self.busy_interval
        return min(last * BACKOFF_FACTOR, self.idle_interval)

    @property
    def silence_timeout(self) -> timedelta:
        """Return the time without any answer after which a connection counts as lost."""
        return self.busy_interval * self.missed_heartbeats

    def report_due(self, changed: bool, since_last: timedelta, outstanding: int) -> bool:
        """Return whether to send a load report: only after a change, at most one per interval."""
        if not changed:
            return False
        return since_last >= self.busy_interval or not outstanding

    def poll_wait(self, idle_for: timedelta) -> timedelta:
        """Return the timeout of a long poll for a connection that has been idle for this time."""
        return LONG_POLL if idle_for < IDLE_AFTER else IDLE_LONG_POLL
