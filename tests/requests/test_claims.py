"""The fold of claims: which claim of a key wins, decided the same by everyone."""

from datetime import UTC, datetime, timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.ports.model import LogPage, LogRecord
from cranberryline.requests import ClaimFold, ClaimOutcome, ClaimState, fingerprint, scoped_key
from cranberryline.requests.claims import (
    abandon_record,
    claim_record,
    outcome_from_record,
    outcome_record,
)
from cranberryline.requests.const import MAX_RECORDED_BODY

START = datetime(2026, 1, 1, tzinfo=UTC)
BUDGET = timedelta(seconds=10)


class Stream:
    """A stream that records are appended to, one a second."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []

    def add(self, data: dict[str, Any], after: timedelta = timedelta(seconds=1)) -> int:
        """Append a record and return its offset."""
        time = (self.records[-1].time if self.records else START) + after
        offset = len(self.records) + 1
        self.records.append(LogRecord(offset, time, f"r{offset}", data))
        return offset

    def page(self, first: int = 1) -> LogPage:
        """Return all that is kept."""
        kept = tuple(record for record in self.records if record.offset >= first)
        return LogPage(first, len(self.records) + 1, kept)


def claim(key: str, claim_id: str, side: str = "s1", print_: str = "f") -> dict[str, Any]:
    """Return a claim."""
    return claim_record(key, claim_id, side, print_, BUDGET)


@pytest.fixture
def stream() -> Stream:
    """Return an empty stream."""
    return Stream()


@pytest.fixture
def fold() -> ClaimFold:
    """Return a fold that remembers for an hour."""
    return ClaimFold(window=timedelta(hours=1))


def test_first_claim_wins_and_the_loser_never_stands(stream: Stream, fold: ClaimFold) -> None:
    """Two sides claim one key, then the winner abandons.

    The loser has told its caller that it lost and will not run; standing up in the winner's
    place it would block the key, with nobody to run it.
    """
    stream.add(claim("k", "a", "s1"))
    stream.add(claim("k", "b", "s2"))
    fold.apply_page(stream.page())
    assert fold.wins("k", "a")
    assert not fold.wins("k", "b")
    stream.add(abandon_record("k", "a", "s1"))
    fold.apply_page(stream.page())
    assert fold.standing("k") is None
    stream.add(claim("k", "c", "s2"))
    fold.apply_page(stream.page())
    assert fold.wins("k", "c")


def test_only_the_owner_abandons(stream: Stream, fold: ClaimFold) -> None:
    """An abandon with another life's name, or of another claim, changes nothing."""
    stream.add(claim("k", "a", "s1"))
    stream.add(abandon_record("k", "a", "s2"))
    stream.add(abandon_record("k", "b", "s1"))
    stream.add(outcome_record("k", "a", "s2", ClaimOutcome(200)))
    fold.apply_page(stream.page())
    assert fold.wins("k", "a")
    assert fold.standing("k").state is ClaimState.CLAIMED


def test_settled_claim_is_not_abandoned(stream: Stream, fold: ClaimFold) -> None:
    """What has run is not made free again."""
    stream.add(claim("k", "a"))
    settled = stream.add(outcome_record("k", "a", "s1", ClaimOutcome(200)))
    stream.add(abandon_record("k", "a", "s1"))
    fold.apply_page(stream.page())
    assert fold.standing("k").state is ClaimState.SETTLED
    assert fold.standing("k").outcome_offset == settled


@pytest.mark.parametrize("abandon_first", [True, False])
def test_claim_that_arrives_again_does_not_stand(
    stream: Stream, fold: ClaimFold, abandon_first: bool
) -> None:
    """An append whose answer was lost arrives late, or twice, around its own abandon."""
    if not abandon_first:
        stream.add(claim("k", "a"))
    stream.add(abandon_record("k", "a", "s1"))
    stream.add(claim("k", "a"))
    fold.apply_page(stream.page())
    assert fold.standing("k") is None


def test_claims_end_with_the_window(stream: Stream, fold: ClaimFold) -> None:
    """Time is the log's own, read from the records, so everyone forgets at the same offset."""
    stream.add(claim("k", "a"))
    stream.add(claim("other", "b"), after=timedelta(minutes=59))
    fold.apply_page(stream.page())
    assert fold.wins("k", "a")
    stream.add(claim("k", "c"), after=timedelta(minutes=2))
    fold.apply_page(stream.page())
    assert fold.wins("k", "c")


def test_long_runner_forgets_what_a_starter_cannot_know(stream: Stream) -> None:
    """The log forgets a claim that one process remembers and another never saw.

    The starter lets a later claim win. The one that ran all along must come to the same, or after
    an abandon of the forgotten claim it would let a third one run beside the second.
    """
    stream.add(claim("k", "a", "s1"))
    old = ClaimFold()
    old.apply_page(stream.page())
    stream.add(claim("k", "b", "s2"))
    stream.add(abandon_record("k", "a", "s1"))
    stream.add(claim("k", "c", "s1"))
    starter = ClaimFold()
    starter.apply_page(stream.page(first=2))
    old.apply_page(stream.page(first=2))
    assert starter.wins("k", "b")
    assert old.standing("k") == starter.standing("k")


@pytest.mark.parametrize(
    "data",
    [
        {},
        {"kind": "claim", "key": "k", "claim_id": "a", "side_incarnation": "s"},
        {**claim("k", "a"), "key": 7},
        {**claim("k", "a"), "key": "x" * 1000},
        {**claim("k", "a"), "budget_ms": -1},
        {**claim("k", "a"), "budget_ms": "soon"},
        {**claim("k", "a"), "kind": "other"},
    ],
)
def test_records_of_others_are_counted_and_change_nothing(
    stream: Stream, fold: ClaimFold, data: dict[str, Any]
) -> None:
    """A record that is not ours is passed over."""
    stream.add(data)
    fold.apply_page(stream.page())
    assert fold.faults == 1
    assert fold.standing("k") is None
    assert fold.next == 2


records = st.one_of(
    st.builds(
        claim, st.sampled_from("kl"), st.sampled_from("abcdef"), st.sampled_from(["s1", "s2"])
    ),
    st.builds(
        abandon_record,
        st.sampled_from("kl"),
        st.sampled_from("abcdef"),
        st.sampled_from(["s1", "s2"]),
    ),
    st.builds(
        lambda key, claim_id, side: outcome_record(key, claim_id, side, ClaimOutcome(200)),
        st.sampled_from("kl"),
        st.sampled_from("abcdef"),
        st.sampled_from(["s1", "s2"]),
    ),
)


@given(st.lists(records, max_size=30), st.lists(st.integers(1, 30), max_size=4))
def test_paging_and_repetition_change_nothing(datas: list[dict[str, Any]], cuts: list[int]) -> None:
    """However the stream is read, page by page or twice, the fold comes out the same."""
    stream = Stream()
    whole, parts = ClaimFold(), ClaimFold()
    for count, data in enumerate(datas, 1):
        stream.add(data)
        if count in cuts:
            parts.apply_page(stream.page())
            parts.apply_page(stream.page())
    whole.apply_page(stream.page())
    parts.apply_page(stream.page())
    assert whole == parts


@given(st.lists(records, max_size=30))
def test_a_key_changes_hands_only_through_its_owner(datas: list[dict[str, Any]]) -> None:
    """While a claim stands, nothing but its owner's abandon makes room for another."""
    stream, fold = Stream(), ClaimFold()
    for data in datas:
        before = {key: fold.standing(key) for key in "kl"}
        stream.add(data)
        fold.apply_page(stream.page())
        for key, claim_before in before.items():
            after = fold.standing(key)
            if claim_before is None or (after and after.claim_id == claim_before.claim_id):
                continue
            assert data["kind"] == "abandon"
            assert data["side_incarnation"] == claim_before.side_incarnation
            assert after is None


def test_outcome_round_trip_and_large_bodies() -> None:
    """A body up to the limit comes back; of a larger one there is the digest only."""
    small = ClaimOutcome(201, (("A", "b"),), b"x" * MAX_RECORDED_BODY, "d")
    large = ClaimOutcome(201, (), b"x" * (MAX_RECORDED_BODY + 1), "d")
    assert outcome_from_record(outcome_record("k", "a", "s", small)).unwrap() == small
    assert outcome_from_record(outcome_record("k", "a", "s", large)).unwrap().body is None
    assert outcome_from_record({"status": "x"}).is_err()


def test_keys_of_two_callers_differ() -> None:
    """No choice of names makes two callers' keys one."""
    assert scoped_key("a", "b:c") != scoped_key("a:b", "c")
    assert scoped_key("a", "1") != scoped_key("b", "1")


def test_fingerprint_tells_requests_apart() -> None:
    """Parts can't flow into each other."""
    prints = {
        fingerprint("POST", "/a", b"b"),
        fingerprint("POST", "/ab", b""),
        fingerprint("PUT", "/a", b"b"),
    }
    assert len(prints) == 3
    assert fingerprint("post", "/a", b"b") in prints
