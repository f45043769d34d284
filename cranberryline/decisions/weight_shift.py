"""Pace the samplers' swaps to new weights.

Load answered: new weights every few minutes on up to 7,300 samplers from a rate-limited store. All
at once the store refuses most fetches and the rest wait on retries; and while every sampler swaps
at the same time nothing is sampled, so trainers starve. A coordinator that hands out turns would
be one more thing that fails.

Each side process works out its own turn from what it knows anyway: the version, the members and
the settings. Members are ordered by rendezvous hash of the version, which mixes services and data
centres and changes with every version, and member i starts at i / pace. The pace is the store's
rate, or less where more than `max_swapping` of the members would be swapping at once.

`DEFAULT_MAX_SWAPPING` is a quarter: swaps take about a second, and with 7,300 samplers within 6 s
it is 7,300 / 5 s = 1,460 starts a second, a fifth of the members at once. That pace needs a store
(or caches before it) of 1,460 fetches a second; `time_to_all` says what a slower one gives.

A service too large to list its members to each of them takes turns by hash alone: a member's
place is its hash's share of the count. Places then meet by chance, so that at a pace of 100 a
second a second has 100 starts give or take 10, where ranks give exactly 100.

Work in flight stays: an engine that swaps between two tokens loses nothing, and the segments of a
sample say which version made what. A member list that differs by a few between two side processes
shifts turns by as many places; the store's own refusal with Retry-After is what remains then.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

from . import rendezvous
from .const import ZERO

__all__ = ["ShiftPlan", "ShiftSettings", "hashed_swap_delay", "swap_delay"]

_SCORE_BITS = 8 * rendezvous.SCORE_BYTES
DEFAULT_STORE_RATE = 10.0
DEFAULT_MAX_SWAPPING = 0.25
DEFAULT_SWAP_TIME = timedelta(seconds=1)


@attrs.frozen
class ShiftSettings:
    """What an operator sets: the store's fetches a second, and the share that may swap at once."""

    store_rate: float = DEFAULT_STORE_RATE
    max_swapping: float = DEFAULT_MAX_SWAPPING
    swap_time: timedelta = DEFAULT_SWAP_TIME

    def pace(self, members: int) -> float:
        """Return how many swaps start in a second."""
        at_once = max(1.0, self.max_swapping * members)
        return min(self.store_rate, at_once / self.swap_time.total_seconds())

    def time_to_all(self, members: int) -> timedelta:
        """Return when the last member has swapped, if no fetch fails."""
        if not members:
            return ZERO
        return timedelta(seconds=(members - 1) / self.pace(members)) + self.swap_time


@attrs.frozen
class ShiftPlan:
    """One member's turn."""

    place: int
    delay: timedelta


def swap_delay(
    member: str, members: Collection[str], model: str, version: int, settings: ShiftSettings
) -> ShiftPlan:
    """Return the member's turn for a version, counted from when the version came into force."""
    key = f"{model}@{version}"
    own = (rendezvous.score(key, member), member)
    place = sum((rendezvous.score(key, other), other) > own for other in members)
    return ShiftPlan(place, timedelta(seconds=place / settings.pace(len(members))))


def hashed_swap_delay(
    member: str, count: int, model: str, version: int, settings: ShiftSettings
) -> ShiftPlan:
    """Return the member's turn where only the count of the members is known."""
    place = rendezvous.score(f"{model}@{version}", member) * count >> _SCORE_BITS
    return ShiftPlan(place, timedelta(seconds=place / settings.pace(count)))
