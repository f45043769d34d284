"""Estimates of the remaining length of texts."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.lengths import RATIO_WINDOW, MeanExcess, TextLengthEstimator

TOKENS = 50


def _trained(spread: float = 0.0) -> TextLengthEstimator:
    lengths, rng = TextLengthEstimator(), Random(3)
    for _ in range(RATIO_WINDOW):
        lengths.record_completed(round(20 * TOKENS * math.exp(rng.gauss(0, spread))), 20)
    return lengths


def test_estimate_is_not_converted_to_events_before_a_text_has_completed() -> None:
    """Before, the estimate in tokens is used as is, and in events only the length so far."""
    lengths = TextLengthEstimator()
    assert lengths.tokens_per_event is None
    assert lengths.tokens_left(1000, 0) == 1000
    assert lengths.events_left(1000, 40) == pytest.approx(14)


def test_tokens_per_event_are_learned_from_inexact_estimates() -> None:
    """One estimate in three is off by half to double; the median ratio is not."""
    assert _trained(0.5).tokens_per_event == pytest.approx(TOKENS, rel=0.15)


def test_single_wrong_estimate_changes_nothing() -> None:
    """One estimate that is far too large must not make all other texts seem short."""
    lengths = _trained()
    lengths.record_completed(10**9, 20)
    assert lengths.events_left(100 * TOKENS, 0) == pytest.approx(100)


def test_text_longer_than_its_estimate_is_not_considered_nearly_complete() -> None:
    """Estimated at 10 events and at 100 so far, about a third more are expected instead of none."""
    assert _trained().events_left(10 * TOKENS, 100) == pytest.approx(35)


@given(st.integers(0, 10**12), st.integers(0, 10_000))
def test_remaining_length_is_positive_and_bounded(expected: int, events: int) -> None:
    """Whatever the caller's estimate, the result stays in a range that routing can compare."""
    left = _trained().events_left(expected, events)
    assert 0 < left <= max(expected / TOKENS, events, 4)
    assert _trained().tokens_left(expected, events) >= (expected > 0)


def test_text_that_passes_its_estimate_is_likely_to_be_long() -> None:
    """A long text with a short estimate stays on a slow engine until its step waits for it alone."""
    excess = MeanExcess()
    assert excess.events_left(20) == 0
    for length in [10] * 90 + [130] * 10:
        excess.record_completed(length)
    assert excess.events_left(0) == 22
    assert excess.events_left(20) == 110
    assert excess.events_left(130) == 0


def test_few_long_texts_tell_nothing() -> None:
    """A single long text would make every text that passes its estimate seem long."""
    excess = MeanExcess()
    for length in [10] * 90 + [130] * 7:
        excess.record_completed(length)
    assert excess.events_left(20) == 0


@given(st.lists(st.integers(1, 200), max_size=600), st.integers(0, 200))
def test_mean_excess_is_that_of_the_last_texts(lengths: list[int], events: int) -> None:
    """The window forgets the lengths of a trainer that has changed its prompts."""
    excess = MeanExcess()
    for length in lengths:
        excess.record_completed(length)
    longer = [length - events for length in lengths[-256:] if length > events]
    expected = sum(longer) / len(longer) if len(longer) >= 8 else 0.0
    assert abs(excess.events_left(events) - expected) < 1e-6


def test_overrun_begins_at_the_estimate() -> None:
    """Without an estimate, or without a known ratio, every length is past it."""
    lengths = TextLengthEstimator()
    assert lengths.is_overrun(100, 0)
    lengths.record_completed(100, 10)
    assert not lengths.is_overrun(200, 19)
    assert lengths.is_overrun(200, 20)
    assert lengths.is_overrun(0, 0)
