"""Decide how many scoring requests a node may have in flight at a plain HTTP service.

The items of a step end together and ask for their scores at once, at a service that also answers
interactive callers. The service has no priorities, so without a limit a caller's request queues
behind fifty scoring requests.
"""

import math

__all__ = ["MAX_SCORING_FRACTION", "scoring_concurrency_limit"]

# Fraction of a service's concurrency that scoring may use. The rest is ten times what callers use
# at the peak of the known deployments. With half, a node with the items of three trainers took up
# to 5 s to score them, most of the time that a step has.
MAX_SCORING_FRACTION = 0.7


def scoring_concurrency_limit(concurrency: int, own_assignments: int, all_assignments: int) -> int:
    """Return how many scoring requests a node may have in flight at a service, at least 1.

    `concurrency` is the number of requests that the service runs at once. Scoring's share of it is
    split by assignments, each of one trainer's job to one node: a node that runs the items of two
    trainers gets the scoring requests of two.
    """
    if all_assignments <= 0:
        return max(1, math.ceil(concurrency * MAX_SCORING_FRACTION))
    return max(
        1, math.ceil(concurrency * MAX_SCORING_FRACTION * max(own_assignments, 1) / all_assignments)
    )
