"""Choose the bounded subset of upstreams that an entry dials.

Load answered: size. 770 entries before 7,300 samplers are 5.6 million connections, and each costs
heartbeats and memory whether used or not. A random subset of 20 leaves some upstreams with
several times the entries of others, and a subset that is drawn anew at each change of the members
closes connections that carry work.

Each upstream is taken by the `per_upstream` entries that rank first for it by rendezvous hash, so
every upstream has the same number of entries; an entry's own count varies around
`per_upstream * upstreams / entries`. When an entry leaves, only the upstreams that it had choose
one more; when an upstream comes or goes nothing else moves. Every process computes the same
subsets from the member lists alone.

`DEFAULT_PER_UPSTREAM` of 3 keeps an upstream reachable while two of its entries are replaced at
once. For a few upstreams or entries the subset is everything, since routing needs `MIN_SUBSET`
upstreams to choose from: an entry with fewer takes the next by its own ranking.
"""

from collections.abc import Sequence

from . import rendezvous

__all__ = ["DEFAULT_PER_UPSTREAM", "MIN_SUBSET", "subset"]

DEFAULT_PER_UPSTREAM = 3
MIN_SUBSET = 16


def subset(
    entry: str,
    entries: Sequence[str],
    upstreams: Sequence[str],
    per_upstream: int = DEFAULT_PER_UPSTREAM,
    min_subset: int = MIN_SUBSET,
) -> frozenset[str]:
    """Return the upstreams that the entry dials."""
    if len(upstreams) <= min_subset:
        return frozenset(upstreams)
    chosen = {upstream for upstream in upstreams if _takes(entry, entries, upstream, per_upstream)}
    if len(chosen) < min_subset:
        for upstream in rendezvous.rank(entry, upstreams):
            if len(chosen) >= min_subset:
                break
            chosen.add(upstream)
    return frozenset(chosen)


def _takes(entry: str, entries: Sequence[str], upstream: str, per_upstream: int) -> bool:
    own = (rendezvous.score(upstream, entry), entry)
    before = 0
    for other in entries:
        if (rendezvous.score(upstream, other), other) <= own:
            continue
        before += 1
        if before >= per_upstream:
            return False
    return True
