"""Rank members for a key by rendezvous (highest random weight) hashing.

All processes compute the same ranking without communicating, and when a member leaves only the keys
that it ranked first for are reassigned.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["hash_text", "rank", "score", "top"]

SCORE_BYTES = 8


def hash_text(text: str) -> int:
    """Return a hash that is the same in all processes, an unsigned integer of `SCORE_BYTES` bytes."""
    return int.from_bytes(blake2b(text.encode(), digest_size=SCORE_BYTES).digest())


def score(key: str, member: str) -> int:
    """Return the hash weight of a member for a key."""
    return hash_text(f"{len(key)}:{key}{member}")


def rank(key: str, members: Iterable[str]) -> list[str]:
    """Return the members in descending order of their weight for the key."""
    return sorted(members, key=lambda member: (score(key, member), member), reverse=True)


def top(key: str, members: Iterable[str]) -> str | None:
    """Return the member with the highest weight for the key, or None if there are no members."""
    return max(members, key=lambda member: (score(key, member), member), default=None)
