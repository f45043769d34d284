"""Assignment of keys to partitions of the store."""

from functools import lru_cache
from hashlib import blake2b

__all__ = ["partition_of"]

_DIGEST_BYTES = 8


# Called for each request of each item; the jobs of the last minutes number a few hundred.
@lru_cache(maxsize=1024)
def partition_of(key: str, partition_count: int) -> int:
    """Return the partition that holds the records of a job or node, the same on every node."""
    digest = blake2b(key.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) % partition_count
