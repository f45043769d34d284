"""What is still to be made of a text, by what was told and what came."""

import math
from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.decisions.lengths import KEPT, TextLengths

TOKENS = 50


def _learned(spread: float = 0.0) -> TextLengths:
    lengths, rng = TextLengths(), Random(3)
    for _ in range(KEPT):
        lengths.learn(round(20 * TOKENS * math.exp(rng.gauss(0, spread))), 20)
    return lengths


def test_nothing_is_known_of_events_before_a_text_has_ended() -> None:
    """What was told counts in tokens as it is; in events nothing but what was made does."""
    lengths = TextLengths()
    assert lengths.tokens_an_event is None
    assert lengths.tokens_left(1000, 0) == 1000
    assert lengths.events_left(1000, 40) == pytest.approx(14)


def test_the_tokens_of_an_event_are_learned_from_guesses_that_are_off() -> None:
    """One guess in three is off by half to double; the median is not."""
    assert _learned(0.5).tokens_an_event == pytest.approx(TOKENS, rel=0.15)


def test_a_wild_guess_changes_nothing() -> None:
    """A caller that tells a thousandfold for one text does not make all others look short."""
    lengths = _learned()
    lengths.learn(10**9, 20)
    assert lengths.events_left(100 * TOKENS, 0) == pytest.approx(100)


def test_a_text_that_outgrew_what_was_told_is_not_nearly_over() -> None:
    """Told 10 events, made 100: some third as many again are expected, and not none."""
    assert _learned().events_left(10 * TOKENS, 100) == pytest.approx(35)


@given(st.integers(0, 10**12), st.integers(0, 10_000))
def test_what_is_left_is_positive_and_no_longer_than_it_can_be(told: int, made: int) -> None:
    """Whatever a caller tells, the estimate is a number that routing can weigh."""
    left = _learned().events_left(told, made)
    assert 0 < left <= max(told / TOKENS, made, 4)
    assert _learned().tokens_left(told, made) >= (told > 0)
