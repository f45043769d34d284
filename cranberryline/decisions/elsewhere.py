"""Choose where not to send work again that an upstream spoiled.

Load answered: upstreams that answer and spoil what they are given, so that their health looks good
and prefix affinity brings the same work back to them. Avoiding the last one alone, two of them pass
the work to and fro for ever; avoiding all that ever failed, the first of them by prefix is asked
for good once every one has failed.
"""

__all__ = ["avoid_next"]


def avoid_next(avoided: frozenset[str], failed: str) -> frozenset[str]:
    """Return what to avoid after a failure: all that failed in this round.

    An upstream that failed although it was to be avoided was asked because there was no other, so a
    new round begins with it. Every upstream that is free is asked before one is asked again.
    """
    return frozenset({failed}) if failed in avoided else avoided | {failed}
