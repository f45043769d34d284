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

At the planned size a subset worked out anew costs 0.3 s of processor time, in one piece, and lists
change every half minute. `SubsetChooser` keeps, for each upstream, which entries stand before its
own, and looks again only where one of these has gone or a new one has come.

`DEFAULT_PER_UPSTREAM` of 3 keeps an upstream reachable while two of its entries are replaced at
once. For a few upstreams or entries the subset is everything, since routing needs `MIN_SUBSET`
upstreams to choose from: an entry with fewer takes the next by its own ranking.
"""

from collections.abc import Iterable, Sequence

from . import rendezvous

__all__ = ["DEFAULT_PER_UPSTREAM", "MIN_SUBSET", "SubsetChooser", "subset"]

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
    return SubsetChooser(entry, per_upstream, min_subset).choose(entries, upstreams)


class SubsetChooser:
    """Choose an entry's subset of one service again and again, as the members change."""

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
        # For each upstream the entries that rank before this one: all of them where they are
        # fewer than `per_upstream`, so that this entry takes it, else as many as were found.
        self._before: dict[str, tuple[str, ...]] = {}

    def choose(self, entries: Sequence[str], upstreams: Sequence[str]) -> frozenset[str]:
        """Return the upstreams that the entry dials; equal to what `subset` returns."""
        if len(upstreams) <= self._min_subset:
            return frozenset(upstreams)
        present = frozenset(entries)
        joined = present - self._entries
        self._before = {
            upstream: self._rank_again(upstream, present, joined, entries) for upstream in upstreams
        }
        self._entries = present
        chosen = {name for name, before in self._before.items() if not self._is_full(before)}
        return frozenset(self._filled(chosen, upstreams))

    def _rank_again(
        self,
        upstream: str,
        present: frozenset[str],
        joined: frozenset[str],
        entries: Sequence[str],
    ) -> tuple[str, ...]:
        before = self._before.get(upstream)
        if before is None:
            return self._find_before(upstream, entries)
        if present.issuperset(before):
            if self._is_full(before) or not joined:
                return before
        elif self._is_full(before):
            return self._find_before(upstream, entries)
        left = tuple(name for name in before if name in present)
        return left + self._find_before(upstream, joined)

    def _find_before(self, upstream: str, entries: Iterable[str]) -> tuple[str, ...]:
        own = (rendezvous.score(upstream, self._entry), self._entry)
        found: list[str] = []
        for other in entries:
            if (rendezvous.score(upstream, other), other) <= own:
                continue
            found.append(other)
            if self._is_full(found):
                break
        return tuple(found)

    def _is_full(self, before: Sequence[str]) -> bool:
        return len(before) >= self._per_upstream

    def _filled(self, chosen: set[str], upstreams: Sequence[str]) -> set[str]:
        if len(chosen) >= self._min_subset:
            return chosen
        for upstream in rendezvous.rank(self._entry, upstreams):
            if len(chosen) >= self._min_subset:
                break
            chosen.add(upstream)
        return chosen
