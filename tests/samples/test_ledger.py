"""Tests of the step ledger."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.samples import (
    Completion,
    DiscardReason,
    FinishOutcome,
    GroupDeclaration,
    SampleId,
    Segment,
    StepDeclaration,
    StepLedger,
)

FIRST, SECOND = SampleId(0, 0), SampleId(0, 1)
DECLARATION = StepDeclaration("t", 1, "s", (GroupDeclaration("p", 3, 8),))


def completion(text: str = "x", version: int = 5) -> Completion:
    """Return a completion with one weight version."""
    return Completion(text, (Segment(version, 2),), "u")


def finish(ledger: StepLedger, sample_id: SampleId, version: int = 5) -> None:
    """Start a sample and finish it."""
    assert ledger.start(sample_id, "a")
    assert ledger.finish(sample_id, "a", completion(version=version), 0.5) is FinishOutcome.KEPT


@pytest.fixture
def ledger() -> StepLedger:
    """Return the ledger of a step with three samples."""
    return StepLedger(DECLARATION)


def test_first_finished_attempt_counts_and_the_other_is_obsolete(ledger: StepLedger) -> None:
    """If a straggler and its hedge both finish, only the first result is stored."""
    assert ledger.start(FIRST, "a")
    assert ledger.start(FIRST, "b")
    assert not ledger.start(FIRST, "c")
    assert ledger.finish(FIRST, "b", completion("of b"), 0.5) is FinishOutcome.KEPT
    assert ledger.take_obsolete() == ("a",)
    assert ledger.finish(FIRST, "a", completion("of a"), 0.5) is FinishOutcome.DUPLICATE
    batch = ledger.pull("", 5, 5, 0, 9).unwrap()
    assert [sample.completion.text for sample in batch.samples] == ["of b"]


def test_failed_hedge_leaves_the_other_attempt_running(ledger: StepLedger) -> None:
    """A sample becomes startable again only when its last attempt has failed."""
    ledger.start(FIRST, "a")
    ledger.start(FIRST, "b")
    ledger.discard(FIRST, "b", DiscardReason.FAILED)
    assert FIRST not in ledger.startable(9)
    ledger.discard(FIRST, "a", DiscardReason.TRUNCATED)
    assert ledger.startable(9)[0] == FIRST
    assert ledger.take_discards() == {DiscardReason.FAILED: 1, DiscardReason.TRUNCATED: 1}


def test_result_of_unknown_attempt_is_not_stored(ledger: StepLedger) -> None:
    """A result is rejected if the sample has no running attempt of that name."""
    ledger.start(FIRST, "a")
    assert ledger.finish(FIRST, "z", completion(), 0.5) is FinishOutcome.UNKNOWN_ATTEMPT
    assert ledger.finish(SECOND, "a", completion(), 0.5) is FinishOutcome.UNKNOWN_ATTEMPT


def test_repeated_pull_gets_the_same_batch(ledger: StepLedger) -> None:
    """The response to a pull is lost, more samples finish, and the trainer repeats the pull."""
    finish(ledger, FIRST)
    first = ledger.pull("", 5, 5, 0, 9).unwrap()
    finish(ledger, SECOND)
    assert ledger.pull("", 5, 5, 0, 9).unwrap() == first
    rest = ledger.pull(first.next_cursor, 5, 5, 0, 9).unwrap()
    assert [sample.id for sample in rest.samples] == [SECOND]


def test_sample_stale_by_the_trainers_version_is_generated_again(ledger: StepLedger) -> None:
    """The trainer has a newer version than this entry knows, which counts for staleness."""
    finish(ledger, FIRST, version=5)
    assert ledger.pull("", 7, 5, 1, 9).unwrap().samples == ()
    assert ledger.startable(1) == [FIRST]
    assert ledger.take_discards() == {DiscardReason.STALE: 1}


def test_sample_stale_by_the_configured_version_is_not_delivered(ledger: StepLedger) -> None:
    """The configured version is newer than that of the trainer, and counts for staleness."""
    finish(ledger, FIRST, version=5)
    assert ledger.pull("", 5, 7, 1, 9).unwrap().samples == ()


def test_staleness_depends_on_the_oldest_segment(ledger: StepLedger) -> None:
    """A sample generated during a swap is as old as its first token."""
    ledger.start(FIRST, "a")
    across = Completion("x", (Segment(4, 1), Segment(6, 99)), "u")
    ledger.finish(FIRST, "a", across, 0.5)
    assert ledger.pull("", 6, 6, 1, 9).unwrap().samples == ()


def test_sample_is_removed_only_when_a_cursor_covers_it(ledger: StepLedger) -> None:
    """A delivered sample is kept until the trainer pulls with a cursor that covers it."""
    finish(ledger, FIRST)
    batch = ledger.pull("", 5, 5, 0, 9).unwrap()
    assert ledger.ready == 1
    ledger.pull(batch.next_cursor, 5, 5, 0, 9)
    assert ledger.ready == 0
    assert FIRST not in ledger.startable(9)


def test_cursor_from_another_entry_is_applied(ledger: StepLedger) -> None:
    """A new ledger does not generate samples that the cursor covers, and cancels their attempts."""
    finish(ledger, FIRST)
    cursor = ledger.pull("", 5, 5, 0, 9).unwrap().next_cursor
    other = StepLedger(DECLARATION)
    other.start(FIRST, "b")
    other.pull(cursor, 5, 5, 0, 9)
    assert other.take_obsolete() == ("b",)
    assert FIRST not in other.startable(9)
    assert other.finish(FIRST, "b", completion(), 0.5) is FinishOutcome.DUPLICATE


def test_restored_trainer_gets_lost_samples_again(ledger: StepLedger) -> None:
    """A trainer restored from a checkpoint has an older cursor; the rest is generated again."""
    finish(ledger, FIRST)
    cursor = ledger.pull("", 5, 5, 0, 9).unwrap().next_cursor
    ledger.pull(cursor, 5, 5, 0, 9)
    ledger.pull("", 5, 5, 0, 9)
    assert ledger.startable(1) == [FIRST]


def test_batch_with_the_last_sample_is_done(ledger: StepLedger) -> None:
    """The batch that completes the step has `done` set, and so has that of a further pull."""
    for sample_id in DECLARATION.ids():
        finish(ledger, sample_id)
    batch = ledger.pull("", 5, 5, 0, 9).unwrap()
    assert batch.done
    again = ledger.pull(batch.next_cursor, 5, 5, 0, 9).unwrap()
    assert (again.samples, again.done) == ((), True)
    assert ledger.complete


def test_identity_outside_the_step_is_an_error() -> None:
    """The position of an undeclared group or index raises ValueError."""
    with pytest.raises(ValueError, match="has no group"):
        DECLARATION.position(SampleId(1, 0))
    with pytest.raises(ValueError, match="has no index"):
        DECLARATION.position(SampleId(0, 3))


def test_fresh_samples_are_not_checked_again(
    ledger: StepLedger, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Each end of a sample checks for stale ones, too slow if it visits all 8,192 of a step."""
    first, second = ledger.startable(2)
    finish(ledger, first, version=5)
    finish(ledger, second, version=6)
    monkeypatch.setattr(Completion, "oldest_version", property(_fail))
    assert ledger.drop_stale(newest_version=7, bound=2) == 0


def _fail(_: Completion) -> int:
    raise AssertionError("a fresh sample was checked again")


@given(st.lists(st.tuples(st.integers(1, 9), st.integers(1, 12), st.integers(0, 3)), max_size=24))
def test_exactly_the_stale_ones_are_dropped(steps: list[tuple[int, int, int]]) -> None:
    """With any versions and bounds, exactly the samples older than the bound are dropped."""
    declaration = StepDeclaration("t", 1, "s", (GroupDeclaration("p", 24, 8),))
    ledger, kept = StepLedger(declaration), []
    for version, newest, bound in steps:
        [sample_id] = ledger.startable(1)
        finish(ledger, sample_id, version)
        kept.append(version)
        fresh = [version for version in kept if newest - version <= bound]
        assert ledger.drop_stale(newest, bound) == len(kept) - len(fresh)
        kept = fresh
        assert ledger.ready == len(kept)
