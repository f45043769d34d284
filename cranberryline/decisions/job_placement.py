"""Decide which node runs the items of a batch job's group, and when another steps in.

Load answered: a step's items arrive at once at one node, while nodes die, freeze or lose the store
at any moment. Run by the node that took them, a step waits for one processor and dies with it. A
lock on each group costs a round trip for each and lapses while its holder is paused.

Rendezvous hashing ranks the live nodes for each group, so every node knows without asking who is
first. The first starts at once. The node of rank r starts as well once nothing of the group has
ended for r times `TAKEOVER`: a group whose first node froze behind a live heartbeat is run again
without anyone having noticed the freeze. Running an item twice is harmless, since its first
result stands; it only costs the upstreams work.

`TAKEOVER` is some five times an item's usual time with its score (0.2 to 0.6 s), so a group that
merely waits for a place is seldom doubled, and two nodes lost one after the other still leave a
step of 7.5 s time for a third.
"""

from collections.abc import Collection
from datetime import timedelta

from . import rendezvous
from .const import ZERO

__all__ = ["TAKEOVER", "start_delay"]

TAKEOVER = timedelta(milliseconds=2500)
_MAX_RANK = 3


def start_delay(job: str, group: str, node: str, live: Collection[str]) -> timedelta | None:
    """Return after how long without a result a node starts a group, None if it never does."""
    ranked = rendezvous.rank(f"{job}/{group}", {*live, node})
    rank = ranked.index(node)
    if rank > _MAX_RANK:
        return None
    return rank * TAKEOVER if rank else ZERO
