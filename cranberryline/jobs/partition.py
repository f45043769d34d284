"""Which partition of the store a job's records stand in."""

from functools import lru_cache
from hashlib import blake2b

__all__ = ["partition_of"]

_DIGEST_BYTES = 8


# Asked for each request of each item; the jobs of the last minutes are some hundreds.
@lru_cache(maxsize=1024)
def partition_of(job_id: str, parts: int) -> int:
    """Return the one partition that every node uses for a job."""
    digest = blake2b(job_id.encode(), digest_size=_DIGEST_BYTES).digest()
    return int.from_bytes(digest) % parts
