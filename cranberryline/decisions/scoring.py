"""Decide how many scoring requests a node may have under way at a plain service.

Load answered: the items of a step end together, and each then asks for its score at the service that
also answers callers who wait. Sent at once they fill every place of the service for a second, and a
caller's request waits behind fifty of them. Priorities do not help: the service knows none, and the
requests of one node do not see those of another.

Scoring takes `SCORING_SHARE` of the service's places, split among the nodes that run jobs at the
moment. Half leaves the callers twice what they use at the peak of the deployments we know, and
scores a step of 104 items within a second and a half, of the seven that it has.
"""

__all__ = ["SCORING_SHARE", "scoring_places"]

SCORING_SHARE = 0.5


def scoring_places(places: int, nodes: int) -> int:
    """Return how many scoring requests one of `nodes` may have at a service with `places`."""
    return max(1, int(places * SCORING_SHARE / max(nodes, 1)))
