"""Find the upstream that should have a prompt's prefix cached, among any number of upstreams."""

from collections.abc import Callable

from . import rendezvous

__all__ = ["PrefixHomes"]

# Upstreams in one bucket on average, at most. A lookup ranks the members of a bucket, and a bucket of
# fewer would often have none that is eligible.
BUCKET_SIZE = 16
# Buckets that a lookup tries before it gives up affinity.
MAX_BUCKETS = 3


class PrefixHomes:
    """Ranks upstreams for a prefix by rendezvous hashing, within one bucket of all upstreams.

    Ranking all of them costs a hash for each upstream and request. An upstream's bucket depends on
    its id alone, so all processes with the same upstreams find the same homes. The number of
    buckets is a power of two; when it doubles, half of the prefixes get another bucket. A single
    bucket is plain rendezvous hashing.
    """

    def __init__(self) -> None:
        self._hashes: dict[str, int] = {}
        self._buckets: list[set[str]] = [set()]

    def __len__(self) -> int:
        return len(self._hashes)

    def add(self, upstream: str) -> None:
        """Add an upstream if it is not known."""
        if upstream in self._hashes:
            return
        self._hashes[upstream] = rendezvous.hash_text(upstream)
        self._bucket(self._hashes[upstream]).add(upstream)
        if len(self._hashes) > BUCKET_SIZE * len(self._buckets):
            self._rebuild(2 * len(self._buckets))

    def discard(self, upstream: str) -> None:
        """Remove an upstream if it is known."""
        hashed = self._hashes.pop(upstream, None)
        if hashed is None:
            return
        self._bucket(hashed).discard(upstream)
        # Fewer buckets only at a quarter, so that upstreams that come and go cause no rebuilds.
        if len(self._buckets) > 1 and len(self._hashes) < BUCKET_SIZE * len(self._buckets) / 4:
            self._rebuild(len(self._buckets) // 2)

    def find(self, prefix: str, is_eligible: Callable[[str], bool]) -> str | None:
        """Return the eligible upstream that ranks first for a prefix, or None if none is found."""
        for attempt in range(min(MAX_BUCKETS, len(self._buckets))):
            bucket = self._bucket(rendezvous.hash_text(f"{attempt}:{prefix}"))
            home = rendezvous.top(prefix, filter(is_eligible, bucket))
            if home is not None:
                return home
        return None

    def _bucket(self, hashed: int) -> set[str]:
        return self._buckets[hashed & (len(self._buckets) - 1)]

    def _rebuild(self, count: int) -> None:
        self._buckets = [set() for _ in range(count)]
        for upstream, hashed in self._hashes.items():
            self._bucket(hashed).add(upstream)
