"""How many events of the texts that are wanted together are left."""

from datetime import timedelta

from cranberryline.decisions.lengths import TextLengthEstimator
from cranberryline.jobs.book import JobState
from cranberryline.jobs.events import ItemText
from cranberryline.jobs.model import Item, Job
from cranberryline.jobs.running_texts import RunningTexts


def test_step_waits_for_the_longest_text_of_all_its_groups() -> None:
    """A trainer that needs all groups gains nothing by a group that is complete early."""
    lengths = TextLengthEstimator()
    lengths.record_completed(100, 10)
    items = tuple(
        Item(f"i{n}", "/p/x", (), b"", group=f"g{n}", told_tokens=tokens)
        for n, tokens in enumerate((400, 900, 2000))
    )
    now, later = timedelta(seconds=1), timedelta(seconds=2)
    for group_count, left in ((None, 200), (3, 200), (2, 40)):
        job = Job("j1", "h.example", "/p/1", items, 0.0, group_count=group_count)
        state, texts = JobState.from_job(job, timedelta()), RunningTexts(lengths)
        assert texts.step_events_left(state, 0, now) == left
        state.done.add(2)
        assert texts.step_events_left(state, 0, later) == min(left, 90)


def test_longest_text_of_a_large_job_is_found_by_few_estimates() -> None:
    """An estimate of each text of a job of thousands would take a tenth of a core."""

    class CountingLengths(TextLengthEstimator):
        calls = 0

        def events_left(self, expected_tokens: int, events: int) -> float:
            self.calls += 1
            return super().events_left(expected_tokens, events)

    lengths = CountingLengths()
    lengths.record_completed(100, 10)
    items = tuple(Item(f"i{n}", "/p/x", (), b"", told_tokens=10 * n) for n in range(1, 5001))
    state = JobState.from_job(Job("j1", "h.example", "/p/1", items, 0.0), timedelta())
    texts = RunningTexts(lengths)
    texts.start(state, 4999, ItemText())
    assert texts.step_events_left(state, 4999, timedelta(seconds=1)) == 5000
    state.done.add(4999)
    assert texts.step_events_left(state, 0, timedelta(seconds=2)) == 4999
    state.done.update(range(1, 5000))
    assert texts.step_events_left(state, 0, timedelta(seconds=3)) == 4
    assert lengths.calls < 12
    texts.discard(state, 4999)
    assert not texts._by_estimate


def test_texts_past_their_estimate_count_as_long() -> None:
    """A long text with a short estimate would stay on a slow engine as if it ended soon."""
    lengths = TextLengthEstimator()
    lengths.record_completed(100, 10)
    items = tuple(Item(f"i{n}", "/p/x", (), b"", told_tokens=200) for n in range(9))
    state = JobState.from_job(Job("j1", "h.example", "/p/1", items, 0.0), timedelta())
    texts = RunningTexts(lengths)
    for index in range(8):
        text = ItemText()
        text.events.extend(["x"] * 100)
        texts.start(state, index, text)
        texts.complete(state, index)
    running = ItemText()
    texts.start(state, 8, running)
    assert texts.events_left(state, 8) == 20
    running.events.extend(["x"] * 19)
    assert texts.events_left(state, 8) < 10
    running.events.append("x")
    assert texts.events_left(state, 8) == 80
