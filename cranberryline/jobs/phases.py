"""What an item's time went on, for its line in the log."""

from datetime import timedelta

__all__ = ["ItemPhases"]

# A line in the log stays short also for an item that an outage sent round all upstreams.
MAX_UPSTREAMS = 8


class ItemPhases:
    """Where an item is, and how long it waited for places, for first events and in vain.

    All moments are on the monotonic clock. What of the text's time is in none of `place`, `prefill` and
    `broken` went into events that are kept.
    """

    def __init__(self, began: timedelta) -> None:
        self.place = timedelta()
        self.prefill = timedelta()
        self.broken = timedelta()
        self.score_wait = timedelta()
        self.resumed = 0
        self.upstreams: list[str] = []
        self.stage = "place"
        self._text = timedelta()
        self._mark = began

    def dispatched(self, now: timedelta, upstream: str, events: int) -> None:
        """Note that a run has its upstream; it goes on behind `events` events."""
        self.place += now - self._mark
        self.resumed += events > 0
        self.upstreams = [*self.upstreams, upstream][-MAX_UPSTREAMS:]
        self.stage, self._mark = "prefill", now

    def heard(self, now: timedelta) -> None:
        """Note that a run brought events."""
        if self.stage == "prefill":
            self.prefill += now - self._mark
        else:
            self._text += now - self._mark
        self.stage, self._mark = "text", now

    def thrown_away(self) -> None:
        """Note that all events so far are of no use any more: the time that they took is lost too."""
        self.broken += self._text
        self._text = timedelta()

    def run_ended(self, now: timedelta, whole: bool) -> None:
        """Note the end of a run; one that broke lost what came after its last event."""
        if self.stage == "place":
            self.place += now - self._mark
        elif not whole:
            self.broken += now - self._mark
        self.stage, self._mark = "place", now

    def scoring_asked(self, now: timedelta) -> None:
        """Note that the scoring request wants a place."""
        self.stage, self._mark = "scoring_wait", now

    def scoring_sent(self, now: timedelta) -> None:
        """Note that the scoring request has its place."""
        self.score_wait += now - self._mark
        self.stage, self._mark = "scoring", now
