"""The ledger's single rules."""

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
    """Return a completion of one version."""
    return Completion(text, (Segment(version, 2),), "u")


def finish(ledger: StepLedger, sample_id: SampleId, version: int = 5) -> None:
    """Make a sample at once."""
    assert ledger.start(sample_id, "a")
    assert ledger.finish(sample_id, "a", completion(version=version), 0.5) is FinishOutcome.KEPT


@pytest.fixture
def ledger() -> StepLedger:
    """Return the ledger of a step of three samples."""
    return StepLedger(DECLARATION)


def test_first_finish_wins_and_the_hedge_is_called_off(ledger: StepLedger) -> None:
    """A straggler and its hedge both finish; the first counts, whichever it is."""
    assert ledger.start(FIRST, "a")
    assert ledger.start(FIRST, "b")
    assert not ledger.start(FIRST, "c")
    assert ledger.finish(FIRST, "b", completion("of b"), 0.5) is FinishOutcome.KEPT
    assert ledger.take_obsolete() == ("a",)
    assert ledger.finish(FIRST, "a", completion("of a"), 0.5) is FinishOutcome.DUPLICATE
    batch = ledger.pull("", 5, 5, 0, 9).unwrap()
    assert [sample.completion.text for sample in batch.samples] == ["of b"]


def test_hedge_that_fails_leaves_the_other_running(ledger: StepLedger) -> None:
    """Only with its last attempt does an identity become startable again."""
    ledger.start(FIRST, "a")
    ledger.start(FIRST, "b")
    ledger.discard(FIRST, "b", DiscardReason.FAILED)
    assert FIRST not in ledger.startable(9)
    ledger.discard(FIRST, "a", DiscardReason.CUT)
    assert ledger.startable(9)[0] == FIRST
    assert ledger.take_discards() == {DiscardReason.FAILED: 1, DiscardReason.CUT: 1}


def test_unknown_attempt_is_not_kept(ledger: StepLedger) -> None:
    """A result that belongs to no attempt of the identity is no sample of it."""
    ledger.start(FIRST, "a")
    assert ledger.finish(FIRST, "z", completion(), 0.5) is FinishOutcome.UNKNOWN_ATTEMPT
    assert ledger.finish(SECOND, "a", completion(), 0.5) is FinishOutcome.UNKNOWN_ATTEMPT


def test_repeated_pull_gets_the_same_batch(ledger: StepLedger) -> None:
    """The answer to a pull is lost, more samples finish, and the trainer asks again."""
    finish(ledger, FIRST)
    first = ledger.pull("", 5, 5, 0, 9).unwrap()
    finish(ledger, SECOND)
    assert ledger.pull("", 5, 5, 0, 9).unwrap() == first
    rest = ledger.pull(first.next_cursor, 5, 5, 0, 9).unwrap()
    assert [sample.id for sample in rest.samples] == [SECOND]


def test_stale_by_the_trainers_own_version_is_made_again(ledger: StepLedger) -> None:
    """The trainer is ahead of what this entry knows; its word counts at the hand-over."""
    finish(ledger, FIRST, version=5)
    assert ledger.pull("", 7, 5, 1, 9).unwrap().samples == ()
    assert ledger.startable(1) == [FIRST]
    assert ledger.take_discards() == {DiscardReason.STALE: 1}


def test_stale_by_the_version_in_force_is_made_again(ledger: StepLedger) -> None:
    """The trainer has not moved yet, but the version in force has."""
    finish(ledger, FIRST, version=5)
    assert ledger.pull("", 5, 7, 1, 9).unwrap().samples == ()


def test_the_oldest_segment_counts(ledger: StepLedger) -> None:
    """A sample across a swap is as old as its first token."""
    ledger.start(FIRST, "a")
    across = Completion("x", (Segment(4, 1), Segment(6, 99)), "u")
    ledger.finish(FIRST, "a", across, 0.5)
    assert ledger.pull("", 6, 6, 1, 9).unwrap().samples == ()


def test_only_a_cursor_reclaims(ledger: StepLedger) -> None:
    """What was handed over stays until the trainer names a cursor that covers it."""
    finish(ledger, FIRST)
    batch = ledger.pull("", 5, 5, 0, 9).unwrap()
    assert ledger.ready == 1
    ledger.pull(batch.next_cursor, 5, 5, 0, 9)
    assert ledger.ready == 0
    assert FIRST not in ledger.startable(9)


def test_cursor_of_another_owner_is_taken_over(ledger: StepLedger) -> None:
    """An entry that has just started learns from the cursor what not to make."""
    finish(ledger, FIRST)
    cursor = ledger.pull("", 5, 5, 0, 9).unwrap().next_cursor
    other = StepLedger(DECLARATION)
    other.start(FIRST, "b")
    other.pull(cursor, 5, 5, 0, 9)
    assert other.take_obsolete() == ("b",)
    assert FIRST not in other.startable(9)
    assert other.finish(FIRST, "b", completion(), 0.5) is FinishOutcome.DUPLICATE


def test_trainer_set_back_gets_what_it_lost(ledger: StepLedger) -> None:
    """A trainer restored from a checkpoint names an older cursor; the rest is made again."""
    finish(ledger, FIRST)
    cursor = ledger.pull("", 5, 5, 0, 9).unwrap().next_cursor
    ledger.pull(cursor, 5, 5, 0, 9)
    ledger.pull("", 5, 5, 0, 9)
    assert ledger.startable(1) == [FIRST]


def test_done_with_the_last_sample(ledger: StepLedger) -> None:
    """The batch that completes the step says so, and so does a pull after it."""
    for sample_id in DECLARATION.ids():
        finish(ledger, sample_id)
    batch = ledger.pull("", 5, 5, 0, 9).unwrap()
    assert batch.done
    again = ledger.pull(batch.next_cursor, 5, 5, 0, 9).unwrap()
    assert (again.samples, again.done) == ((), True)
    assert ledger.complete


def test_identity_outside_the_step_is_an_error() -> None:
    """A group or index that was not declared has no position."""
    with pytest.raises(ValueError, match="no group"):
        DECLARATION.position(SampleId(1, 0))
    with pytest.raises(ValueError, match="no index"):
        DECLARATION.position(SampleId(0, 3))


def test_fresh_samples_are_not_looked_through_again(
    ledger: StepLedger, monkeypatch: pytest.MonkeyPatch
) -> None:
    """A step of 8,192 with a late trainer looks for stale samples at each one that finishes."""
    first, second = ledger.startable(2)
    finish(ledger, first, version=5)
    finish(ledger, second, version=6)
    monkeypatch.setattr(Completion, "oldest_version", property(_fail))
    assert ledger.drop_stale(newest_version=7, bound=2) == 0


def _fail(_: Completion) -> int:
    raise AssertionError("looked through again")


@given(st.lists(st.tuples(st.integers(1, 9), st.integers(1, 12), st.integers(0, 3)), max_size=24))
def test_exactly_the_stale_ones_are_dropped(steps: list[tuple[int, int, int]]) -> None:
    """Whatever finishes and comes into force in between, none older than the bound is kept."""
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
