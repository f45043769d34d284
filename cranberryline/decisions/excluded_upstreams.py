"""Upstreams to exclude when work is retried after a failure."""

__all__ = ["next_excluded"]


def next_excluded(excluded: frozenset[str], failed: str) -> frozenset[str]:
    """Return the upstreams to exclude after a failure: all that failed in the current round.

    An excluded upstream is used only if no other is left; if it fails again, a new round starts
    with it. So every available upstream is tried before one is tried again.

    Upstreams that answer but return broken results appear healthy, and prefix affinity selects them
    again for the same work. If only the last one were excluded, two of them could alternate without
    end; if all that ever failed were excluded, only the first one by prefix would be tried once all
    have failed.
    """
    return frozenset({failed}) if failed in excluded else excluded | {failed}
