"""Measures how the processing time of an item is spent, for its log line."""

from datetime import timedelta

__all__ = ["ItemPhases"]

# Limits the length of the log line of an item that was retried at many upstreams during an outage.
MAX_UPSTREAMS = 8


class ItemPhases:
    """The current stage of an item, and the time it spent queued, in prefill and on lost work.

    All times are on the monotonic clock. `slot_wait` is the time spent waiting for a slot of an
    upstream, `prefill` the time until the first event of each request, and `lost` the time of
    requests that did not contribute to the result. The rest of the text's time was spent on events
    that are kept. The values of `stage` are written to the log; "place" means waiting for a slot of
    an upstream.
    """

    def __init__(self, began_at: timedelta) -> None:
        self.slot_wait = timedelta()
        self.prefill = timedelta()
        self.lost = timedelta()
        self.score_wait = timedelta()
        self.resumed = 0
        self.upstreams: list[str] = []
        self.stage = "place"
        self._text_time = timedelta()
        self._stage_began_at = began_at

    def dispatched(self, now: timedelta, upstream: str, events: int) -> None:
        """Record that a request was sent to an upstream; it resumes after `events` events."""
        self.slot_wait += now - self._stage_began_at
        self.resumed += events > 0
        self.upstreams = [*self.upstreams, upstream][-MAX_UPSTREAMS:]
        self.stage, self._stage_began_at = "prefill", now

    def events_received(self, now: timedelta) -> None:
        """Record that events were received."""
        if self.stage == "prefill":
            self.prefill += now - self._stage_began_at
        else:
            self._text_time += now - self._stage_began_at
        self.stage, self._stage_began_at = "text", now

    def events_discarded(self) -> None:
        """Record that all events so far were discarded, and count their time as lost."""
        self.lost += self._text_time
        self._text_time = timedelta()

    def run_ended(self, now: timedelta, complete: bool) -> None:
        """Record the end of a request; if incomplete, the time since its last event is lost."""
        if self.stage == "place":
            self.slot_wait += now - self._stage_began_at
        elif not complete:
            self.lost += now - self._stage_began_at
        self.stage, self._stage_began_at = "place", now

    def scoring_queued(self, now: timedelta) -> None:
        """Record that the scoring request was queued for a slot."""
        self.stage, self._stage_began_at = "scoring_wait", now

    def scoring_sent(self, now: timedelta) -> None:
        """Record that the scoring request got a slot."""
        self.score_wait += now - self._stage_began_at
        self.stage, self._stage_began_at = "scoring", now
