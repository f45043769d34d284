"""Decide which nodes run the items of a batch job's group, and when another node takes over.

Every node computes the same placement from the list of live nodes, without locks or messages.
"""

from collections.abc import Collection
from datetime import timedelta

from . import rendezvous
from .const import ZERO

__all__ = ["ITEMS_PER_NODE", "TAKEOVER_DELAY", "JobPlacement"]

# Time without a result after which the next node also starts a group. A node that died, froze or
# lost the store stops sending heartbeats and drops out of the ranking sooner; this delay covers a
# node that sends heartbeats and does no work. It is longer than an item with a long text takes
# (1 in 20 takes over 3 s): at 2.5 s a third of all items ran twice (62 runs for the 40 items of a
# step) and used the slots of other items.
TAKEOVER_DELAY = timedelta(milliseconds=4500)
# Items of a job per assigned node. With all nodes assigned, each would see too little of its
# upstreams to know that they are full.
ITEMS_PER_NODE = 48
# With two nodes, half a step is still unaffected when one of them dies.
_MIN_ASSIGNED_NODES = 2
# Nodes ranked lower than this for a group never start it.
_MAX_STARTING_RANK = 3


class JobPlacement:
    """The delays after which the live nodes start the groups of one trainer's job.

    A job is assigned to the nodes that rank first for its trainer by rendezvous hashing. The
    ranking does not depend on the job, so a trainer's next job reuses the connections of the
    previous one: with nodes drawn anew for each job, connections expire between jobs (2,236 new
    ones for 5,616 requests, and each new connection is charged). The assigned nodes are then ranked
    for each group. The first starts it at once; the node of rank r starts it after r times
    `TAKEOVER_DELAY` without a result, so a group whose first node froze is run again even if
    nothing detected that. Running an item twice only costs upstream time, since its first result is
    kept.

    Run by the node that accepted the job alone, a step would be limited to one CPU and be lost with
    that node. A lock for each group would cost a round trip each, and would expire while its holder
    is paused.
    """

    def __init__(self, trainer: str, items: int, node: str, live: Collection[str]) -> None:
        self._node = node
        ranked = rendezvous.rank(trainer, {*live, node})
        count = max(_MIN_ASSIGNED_NODES, -(-items // ITEMS_PER_NODE))
        self._assigned, self._others = ranked[:count], ranked[count:]

    @property
    def assigned_node_count(self) -> int:
        """Return the number of nodes that the job is assigned to."""
        return len(self._assigned)

    @property
    def is_assigned(self) -> bool:
        """Return whether the job is assigned to this node."""
        return self._node in self._assigned

    def start_delay(self, group: str) -> timedelta | None:
        """Return the time without a result after which this node starts a group.

        Return None if this node never starts it.
        """
        if self._node in self._assigned:
            rank = rendezvous.rank(group, self._assigned).index(self._node)
        else:
            rank = len(self._assigned) + self._others.index(self._node)
        if rank > _MAX_STARTING_RANK:
            return None
        return rank * TAKEOVER_DELAY if rank else ZERO
