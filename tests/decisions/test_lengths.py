"""Estimates of the remaining length of texts."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.lengths import RATIO_WINDOW, TextLengthEstimator

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
