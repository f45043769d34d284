"""Cooldown of upstreams that refused a request, during which they get no requests of that kind.

Routing selects an upstream in cooldown only if no other one is left.
"""

from datetime import timedelta

__all__ = ["REPLACED_COOLDOWN", "REFUSED_COOLDOWN", "UNREACHABLE_COOLDOWN", "UpstreamCooldowns"]

# A quarter of the time that an engine takes to load weights: a node then tries a loading engine
# four times instead of once per item, and an engine that was full for a moment is used again before
# a run of ordinary length ends.
REFUSED_COOLDOWN = timedelta(milliseconds=250)
# An upstream with no listener, or whose address now belongs to another process, refuses all
# requests at once, so that its connections always appear free. It cannot succeed until its registry
# entry changes, so its cooldown is longer.
UNREACHABLE_COOLDOWN = timedelta(seconds=1)
REPLACED_COOLDOWN = timedelta(seconds=3)


class UpstreamCooldowns:
    """Upstreams in cooldown after a refusal.

    An engine that loads weights refuses requests at once, so it appears to be the least loaded
    upstream and attracts the next item. The items of a training step arrive when engines change
    their weights: without a cooldown 163 of 767 of them were refused, some three times, each with a
    round trip and a delay while another engine had free slots.
    """

    def __init__(self) -> None:
        self._until: dict[str, timedelta] = {}

    def start(self, upstream: str, now: timedelta) -> None:
        """Start the cooldown of an upstream, and remove the cooldowns that have ended."""
        self._until = {name: until for name, until in self._until.items() if until > now}
        self._until[upstream] = now + REFUSED_COOLDOWN

    def is_active(self, upstream: str, now: timedelta) -> bool:
        """Return whether an upstream is in cooldown."""
        return now < self._until.get(upstream, now)
