"""Spread the samplers' swaps to new weights over time, without a coordinator that could fail.

New weights arrive every few minutes for up to 7,300 samplers, from a rate-limited store. If all
swapped at once, the store would reject most fetches and no sampler would serve its trainers.
"""

from collections.abc import Collection
from datetime import timedelta

import attrs

from . import rendezvous
from .const import ZERO

__all__ = ["SwapSchedule", "SwapSettings", "hashed_swap_delay", "swap_delay"]

_SCORE_BITS = 8 * rendezvous.SCORE_BYTES
# Fetches per second.
DEFAULT_FETCHES_PER_SECOND = 10.0
# Fraction of a service's members that may swap at once. For 7,300 samplers within 6 s, at about a
# second per swap, 7,300 / 5 s = 1,460 swaps start per second, a fifth of the members at once. The
# store, or caches in front of it, must serve 1,460 fetches per second for that; for a slower one
# see `SwapSettings.time_to_swap_all`.
DEFAULT_MAX_SWAPPING_FRACTION = 0.25
DEFAULT_SWAP_TIME = timedelta(seconds=1)


@attrs.frozen
class SwapSettings:
    """Operator settings for swaps.

    `store_rate` is the store's limit in fetches per second, `max_swapping_fraction` the fraction of
    members that may swap at once, and `swap_time` the time of one swap.
    """

    store_rate: float = DEFAULT_FETCHES_PER_SECOND
    max_swapping_fraction: float = DEFAULT_MAX_SWAPPING_FRACTION
    swap_time: timedelta = DEFAULT_SWAP_TIME

    def swaps_per_second(self, members: int) -> float:
        """Return how many swaps start per second.

        This is the store's rate, or less where more than `max_swapping_fraction` would swap at
        once.
        """
        at_once = max(1.0, self.max_swapping_fraction * members)
        return min(self.store_rate, at_once / self.swap_time.total_seconds())

    def time_to_swap_all(self, members: int) -> timedelta:
        """Return the time until the last member has swapped, if no fetch fails."""
        if not members:
            return ZERO
        return timedelta(seconds=(members - 1) / self.swaps_per_second(members)) + self.swap_time


@attrs.frozen
class SwapSchedule:
    """A member's position in the order of swaps, and the delay of its swap."""

    position: int
    delay: timedelta


def swap_delay(
    member: str, members: Collection[str], model: str, version: int, settings: SwapSettings
) -> SwapSchedule:
    """Return when a member swaps to a version, as a delay from when the version takes effect.

    Each side process computes its own position by rendezvous hashing of the version, so the order
    mixes services and data centres and differs between versions. Where two member lists differ by a
    few, positions shift by as many; if that makes fetches exceed the store's rate, the store
    rejects them with Retry-After. Swaps do not interrupt work: an engine that swaps between two
    tokens loses nothing, and the segments of a sample record the version that generated them.
    """
    key = f"{model}@{version}"
    own = (rendezvous.score(key, member), member)
    position = sum((rendezvous.score(key, other), other) > own for other in members)
    return SwapSchedule(
        position, timedelta(seconds=position / settings.swaps_per_second(len(members)))
    )


def hashed_swap_delay(
    member: str, count: int, model: str, version: int, settings: SwapSettings
) -> SwapSchedule:
    """Return when a member swaps to a version, given only the number of members.

    Used for services too large to send every member the list of all. The hash is scaled to a
    position, so positions can collide: at 100 starts per second a second has 100 give or take 10,
    instead of exactly 100 as with `swap_delay`.
    """
    position = rendezvous.score(f"{model}@{version}", member) * count >> _SCORE_BITS
    return SwapSchedule(position, timedelta(seconds=position / settings.swaps_per_second(count)))
