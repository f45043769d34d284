"""Decide which node runs the items of a batch job's group, and when another steps in.

Load answered: a step's items arrive at once at one node, while nodes die, freeze or lose the store
at any moment. Run by the node that took them, a step waits for one processor and dies with it. A
lock on each group costs a round trip for each and lapses while its holder is paused.

Rendezvous hashing ranks the live nodes for each group, so every node knows without asking who is
first. The first starts at once. The node of rank r starts as well once nothing of the group has
ended for r times `TAKEOVER`: a group whose first node froze behind a live heartbeat is run again
without anyone having noticed the freeze. Running an item twice is harmless, since its first
result stands; it only costs the upstreams work.

A job's groups go to a team of nodes, the first for the job's trainer by the same hashing, one node
for each `ITEMS_A_NODE` items and two at least. Spread over all nodes, each would see too little of
its upstreams to know that they are full; drawn anew for each job, each would find its connections
expired and need new ones (2,236 for 5,616 requests, where each is paid for). Two nodes
leave half a step untouched when one of them dies.

A node that died, froze or lost the store stops giving signs of life, and the ranks of the others
close up behind it within `TAKEOVER` already; the delay is for what gives signs and does not work. It
lies above the time of an item with a long text (1 in 20 takes over 3 s): at 2.5 s a third of all
items ran twice (62 of 40 in a step), and took the places of the others.
"""

from collections.abc import Collection
from datetime import timedelta

from . import rendezvous
from .const import ZERO

__all__ = ["ITEMS_A_NODE", "TAKEOVER", "JobPlacement"]

TAKEOVER = timedelta(milliseconds=4500)
ITEMS_A_NODE = 48
_MIN_TEAM = 2
_MAX_RANK = 3


class JobPlacement:
    """Where the groups of one trainer's job run while the same nodes live."""

    def __init__(self, trainer: str, items: int, node: str, live: Collection[str]) -> None:
        self._node = node
        ranked = rendezvous.rank(trainer, {*live, node})
        team = max(_MIN_TEAM, -(-items // ITEMS_A_NODE))
        self._team, self._others = ranked[:team], ranked[team:]

    @property
    def team_size(self) -> int:
        """Return how many nodes share the job's groups."""
        return len(self._team)

    @property
    def in_team(self) -> bool:
        """Tell whether the node is one of those that share the job's groups."""
        return self._node in self._team

    def start_delay(self, group: str) -> timedelta | None:
        """Return after how long without a result the node starts a group, None if it never does."""
        if self._node in self._team:
            rank = rendezvous.rank(group, self._team).index(self._node)
        else:
            rank = len(self._team) + self._others.index(self._node)
        if rank > _MAX_RANK:
            return None
        return rank * TAKEOVER if rank else ZERO
