"""Tests of the claim records, and of the claim state that all processes derive from them."""

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
from cranberryline.requests.const import MAX_RECORDED_BODY_BYTES

START = datetime(2026, 1, 1, tzinfo=UTC)
BUDGET = timedelta(seconds=10)


class Stream:
    """A fake stream; each record is one second newer than the one before by default."""

    def __init__(self) -> None:
        self.records: list[LogRecord] = []

    def add(self, data: dict[str, Any], after: timedelta = timedelta(seconds=1)) -> int:
        """Append a record and return its offset."""
        time = (self.records[-1].time if self.records else START) + after
        offset = len(self.records) + 1
        self.records.append(LogRecord(offset, time, f"r{offset}", data))
        return offset

    def page(self, first: int = 1) -> LogPage:
        """Return a page of all records from offset `first` on."""
        kept = tuple(record for record in self.records if record.offset >= first)
        return LogPage(first, len(self.records) + 1, kept)


def claim(key: str, claim_id: str, side: str = "s1", request_digest: str = "f") -> dict[str, Any]:
    """Return the data of a claim record."""
    return claim_record(key, claim_id, side, request_digest, BUDGET)


@pytest.fixture
def stream() -> Stream:
    """Return an empty stream."""
    return Stream()


@pytest.fixture
def fold() -> ClaimFold:
    """Return an empty claim state with a window of one hour."""
    return ClaimFold(window=timedelta(hours=1))


def test_losing_claim_never_becomes_active(stream: Stream, fold: ClaimFold) -> None:
    """Two side processes claim one key, then the winner abandons its claim.

    The loser has already refused its caller's request. If its claim became active, it would block
    the key although its request never runs.
    """
    stream.add(claim("k", "a", "s1"))
    stream.add(claim("k", "b", "s2"))
    fold.apply_page(stream.page())
    assert fold.is_active("k", "a")
    assert not fold.is_active("k", "b")
    stream.add(abandon_record("k", "a", "s1"))
    fold.apply_page(stream.page())
    assert fold.active_claim("k") is None
    stream.add(claim("k", "c", "s2"))
    fold.apply_page(stream.page())
    assert fold.is_active("k", "c")


def test_abandon_or_outcome_of_another_owner_is_ignored(stream: Stream, fold: ClaimFold) -> None:
    """An abandon or outcome of another incarnation, or an abandon of another claim, is ignored."""
    stream.add(claim("k", "a", "s1"))
    stream.add(abandon_record("k", "a", "s2"))
    stream.add(abandon_record("k", "b", "s1"))
    stream.add(outcome_record("k", "a", "s2", ClaimOutcome(200)))
    fold.apply_page(stream.page())
    assert fold.is_active("k", "a")
    assert fold.active_claim("k").state is ClaimState.CLAIMED


def test_settled_claim_cannot_be_abandoned(stream: Stream, fold: ClaimFold) -> None:
    """A request that has run can't be made to run again by an abandon of its claim."""
    stream.add(claim("k", "a"))
    settled = stream.add(outcome_record("k", "a", "s1", ClaimOutcome(200)))
    stream.add(abandon_record("k", "a", "s1"))
    fold.apply_page(stream.page())
    assert fold.active_claim("k").state is ClaimState.SETTLED
    assert fold.active_claim("k").outcome_offset == settled


@pytest.mark.parametrize("abandon_first", [True, False])
def test_late_or_duplicate_claim_after_its_abandon_is_ignored(
    stream: Stream, fold: ClaimFold, abandon_first: bool
) -> None:
    """An append whose answer was lost is applied only after its abandon, or before and after it."""
    if not abandon_first:
        stream.add(claim("k", "a"))
    stream.add(abandon_record("k", "a", "s1"))
    stream.add(claim("k", "a"))
    fold.apply_page(stream.page())
    assert fold.active_claim("k") is None


def test_claim_expires_after_the_window(stream: Stream, fold: ClaimFold) -> None:
    """Claims expire by the record times of the log, so all processes drop them at the same offset."""
    stream.add(claim("k", "a"))
    stream.add(claim("other", "b"), after=timedelta(minutes=59))
    fold.apply_page(stream.page())
    assert fold.is_active("k", "a")
    stream.add(claim("k", "c"), after=timedelta(minutes=2))
    fold.apply_page(stream.page())
    assert fold.is_active("k", "c")


def test_claims_below_the_log_start_are_dropped(stream: Stream) -> None:
    """The log drops a claim that a running process has read and a new process can't read.

    For the new process the next claim is active. The running process must agree: otherwise, after
    an abandon of the dropped claim, it would let a third claim run in parallel with the second.
    """
    stream.add(claim("k", "a", "s1"))
    running = ClaimFold()
    running.apply_page(stream.page())
    stream.add(claim("k", "b", "s2"))
    stream.add(abandon_record("k", "a", "s1"))
    stream.add(claim("k", "c", "s1"))
    started = ClaimFold()
    started.apply_page(stream.page(first=2))
    running.apply_page(stream.page(first=2))
    assert started.is_active("k", "b")
    assert running.active_claim("k") == started.active_claim("k")


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
def test_invalid_records_are_counted_and_skipped(
    stream: Stream, fold: ClaimFold, data: dict[str, Any]
) -> None:
    """A record that is not a valid claim record is skipped and counted."""
    stream.add(data)
    fold.apply_page(stream.page())
    assert fold.invalid_records == 1
    assert fold.active_claim("k") is None
    assert fold.next_offset == 2


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
def test_state_does_not_depend_on_paging_or_repeated_pages(
    datas: list[dict[str, Any]], cuts: list[int]
) -> None:
    """Reading the stream at once, in pages or with pages repeated gives the same state."""
    stream = Stream()
    at_once, in_pages = ClaimFold(), ClaimFold()
    for count, data in enumerate(datas, 1):
        stream.add(data)
        if count in cuts:
            in_pages.apply_page(stream.page())
            in_pages.apply_page(stream.page())
    at_once.apply_page(stream.page())
    in_pages.apply_page(stream.page())
    assert at_once == in_pages


@given(st.lists(records, max_size=30))
def test_only_the_owner_can_release_a_key(datas: list[dict[str, Any]]) -> None:
    """Within the window an active claim is removed only by an abandon of its owner."""
    stream, fold = Stream(), ClaimFold()
    for data in datas:
        before = {key: fold.active_claim(key) for key in "kl"}
        stream.add(data)
        fold.apply_page(stream.page())
        for key, claim_before in before.items():
            after = fold.active_claim(key)
            if claim_before is None or (after and after.claim_id == claim_before.claim_id):
                continue
            assert data["kind"] == "abandon"
            assert data["side_incarnation"] == claim_before.side_incarnation
            assert after is None


def test_outcome_round_trip_and_large_bodies() -> None:
    """A body up to the limit is recorded; for a larger one only the digest is."""
    small = ClaimOutcome(201, (("A", "b"),), b"x" * MAX_RECORDED_BODY_BYTES, "d")
    large = ClaimOutcome(201, (), b"x" * (MAX_RECORDED_BODY_BYTES + 1), "d")
    assert outcome_from_record(outcome_record("k", "a", "s", small)).unwrap() == small
    assert outcome_from_record(outcome_record("k", "a", "s", large)).unwrap().body is None
    assert outcome_from_record({"status": "x"}).is_err()


def test_keys_of_two_callers_differ() -> None:
    """No choice of caller and key gives two callers the same scoped key."""
    assert scoped_key("a", "b:c") != scoped_key("a:b", "c")
    assert scoped_key("a", "1") != scoped_key("b", "1")


def test_different_requests_have_different_fingerprints() -> None:
    """Moving text from the body to the path changes the fingerprint; the method's case does not."""
    fingerprints = {
        fingerprint("POST", "/a", b"b"),
        fingerprint("POST", "/ab", b""),
        fingerprint("PUT", "/a", b"b"),
    }
    assert len(fingerprints) == 3
    assert fingerprint("post", "/a", b"b") in fingerprints
