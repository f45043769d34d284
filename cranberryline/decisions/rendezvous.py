"""Rank members for a key by rendezvous hashing.

Load answered: members that come and go. Every process ranks the members of a key alike without
talking to the others, and when a member leaves only the keys that stood on it move.
"""

from collections.abc import Iterable
from hashlib import blake2b

__all__ = ["rank", "score", "top"]

SCORE_BYTES = 8


def score(key: str, member: str) -> int:
    """Return the weight of a member for a key."""
    digest = blake2b(f"{len(key)}:{key}{member}".encode(), digest_size=SCORE_BYTES)
    return int.from_bytes(digest.digest())


def rank(key: str, ids: Iterable[str]) -> list[str]:
    """Return all members, the first choice for the key first."""
    return sorted(ids, key=lambda member: (score(key, member), member), reverse=True)


def top(key: str, ids: Iterable[str]) -> str | None:
    """Return the first choice for the key, or None without members."""
    return max(ids, key=lambda member: (score(key, member), member), default=None)
