"""Decide how many scoring requests a node may have under way at a plain service.

Load answered: the items of a step end together, and each then asks for its score at the service that
also answers callers who wait. Sent at once they fill every place of the service for a second, and a
caller's request waits behind fifty of them. Priorities do not help: the service knows none, and the
requests of one node do not see those of another.

Scoring takes `SCORING_SHARE` of the service's places, split by the parts that nodes have in the jobs of
the moment: who runs the items of two trainers scores for two. What is left is ten times what
callers use at the peak of the deployments we know. With half, a node with three trainers'
items scored them in up to 5 s, most of the time that a step has.
"""

import math

__all__ = ["SCORING_SHARE", "scoring_places"]

SCORING_SHARE = 0.7


def scoring_places(places: int, own_parts: int, all_parts: int) -> int:
    """Return how many scoring requests a node may have at a service with `places`.

    A part is one trainer's job at one node of its team.
    """
    if all_parts <= 0:
        return max(1, math.ceil(places * SCORING_SHARE))
    return max(1, math.ceil(places * SCORING_SHARE * max(own_parts, 1) / all_parts))
