"""Choose the bounded subset of upstreams that an entry connects to.

Connections from every entry to every upstream would be too many: 770 entries and 7,300 samplers
make 5.6 million, each with its own heartbeats and memory.
"""

from collections.abc import Iterable, Sequence

from . import rendezvous

__all__ = ["DEFAULT_PER_UPSTREAM", "MIN_SUBSET", "SubsetChooser", "subset"]

# Entries connected to each upstream. 3 keep an upstream reachable while two of its entries are
# replaced at once.
DEFAULT_PER_UPSTREAM = 3
# Fewest upstreams that an entry connects to, if there are as many: routing needs a choice.
MIN_SUBSET = 16


def subset(
    entry: str,
    entries: Sequence[str],
    upstreams: Sequence[str],
    per_upstream: int = DEFAULT_PER_UPSTREAM,
    min_subset: int = MIN_SUBSET,
) -> frozenset[str]:
    """Return the upstreams that the entry connects to.

    Each upstream is assigned to the `per_upstream` entries that rank first for it by rendezvous
    hashing, so every upstream has as many entries, while the subset sizes vary around `per_upstream
    * upstreams / entries`. A random subset of 20 would give some upstreams several times the
    entries of others. An entry with fewer than `min_subset` adds the next upstreams of its own
    ranking, so with few upstreams or entries the subset is all of them.

    Every process computes the same subsets from the member lists alone. When an entry leaves, only
    its upstreams are assigned to one more entry each, and when an upstream joins or leaves no other
    upstream is reassigned: a subset drawn anew at each change would close connections in use.
    """
    return SubsetChooser(entry, per_upstream, min_subset).choose(entries, upstreams)


class SubsetChooser:
    """Updates an entry's subset of one service's upstreams as members join and leave.

    At 770 entries and 7,300 upstreams computing a subset from scratch takes 0.3 s of CPU time
    without a pause, and the lists change every half minute. The chooser therefore remembers which
    entries rank above its own for each upstream, and ranks again only where one of them left or an
    entry joined.
    """

    def __init__(
        self,
        entry: str,
        per_upstream: int = DEFAULT_PER_UPSTREAM,
        min_subset: int = MIN_SUBSET,
    ) -> None:
        self._entry = entry
        self._per_upstream = per_upstream
        self._min_subset = min_subset
        self._entries: frozenset[str] = frozenset()
        # For each upstream, entries that rank above this one. If there are fewer than
        # `per_upstream` these are all of them, and the upstream is in this entry's subset;
        # otherwise they are the first `per_upstream` found.
        self._higher_ranked: dict[str, tuple[str, ...]] = {}

    def choose(self, entries: Sequence[str], upstreams: Sequence[str]) -> frozenset[str]:
        """Return the upstreams that the entry connects to; equals what `subset` returns."""
        if len(upstreams) <= self._min_subset:
            return frozenset(upstreams)
        present = frozenset(entries)
        joined = present - self._entries
        self._higher_ranked = {
            upstream: self._update_higher_ranked(upstream, present, joined, entries)
            for upstream in upstreams
        }
        self._entries = present
        chosen = {
            name
            for name, higher_ranked in self._higher_ranked.items()
            if not self._is_full(higher_ranked)
        }
        return frozenset(self._fill_to_minimum(chosen, upstreams))

    def _update_higher_ranked(
        self,
        upstream: str,
        present: frozenset[str],
        joined: frozenset[str],
        entries: Sequence[str],
    ) -> tuple[str, ...]:
        previous = self._higher_ranked.get(upstream)
        if previous is None:
            return self._find_higher_ranked(upstream, entries)
        if present.issuperset(previous):
            if self._is_full(previous) or not joined:
                return previous
        elif self._is_full(previous):
            return self._find_higher_ranked(upstream, entries)
        remaining = tuple(name for name in previous if name in present)
        return remaining + self._find_higher_ranked(upstream, joined)

    def _find_higher_ranked(self, upstream: str, entries: Iterable[str]) -> tuple[str, ...]:
        own = (rendezvous.score(upstream, self._entry), self._entry)
        found: list[str] = []
        for other in entries:
            if (rendezvous.score(upstream, other), other) <= own:
                continue
            found.append(other)
            if self._is_full(found):
                break
        return tuple(found)

    def _is_full(self, higher_ranked: Sequence[str]) -> bool:
        return len(higher_ranked) >= self._per_upstream

    def _fill_to_minimum(self, chosen: set[str], upstreams: Sequence[str]) -> set[str]:
        if len(chosen) >= self._min_subset:
            return chosen
        for upstream in rendezvous.rank(self._entry, upstreams):
            if len(chosen) >= self._min_subset:
                break
            chosen.add(upstream)
        return chosen
