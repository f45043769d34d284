"""The tricky behaviour of the stand-ins themselves."""

import random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from stand_ins.batch import Batch, BatchControls
from stand_ins.cache import BLOCK_CHARS, PrefixCache, prefixes
from stand_ins.journal import Journal
from stand_ins.text import TextError, check_text, token_at, tokens_wanted


def _text(prompt: str, run: str, count: int) -> str:
    return "".join(token_at(prompt, run, i, count) for i in range(count))


@given(prompt=st.text(max_size=40), count=st.integers(3, 40), cut=st.integers(1, 39))
def test_texts_tell_whole_from_cut_and_own_from_foreign(prompt: str, count: int, cut: int) -> None:
    """A whole text names its run; a cut or foreign one is refused."""
    text = _text(prompt, "e1#4", count)
    assert check_text(prompt, text) == "e1#4"
    with pytest.raises(TextError):
        check_text(prompt + "x", text)
    short = text.rsplit(" ", min(cut, count - 1))[0]
    with pytest.raises(TextError):
        check_text(prompt, short)


def test_two_runs_mixed_are_refused() -> None:
    """A text whose second half is another run's is nobody's answer."""
    ours, theirs = (_text("p", run, 10).split(" ") for run in ("e1#1", "e2#1"))
    with pytest.raises(TextError):
        check_text("p", " ".join(ours[:5] + theirs[5:]))


def test_some_answers_are_stragglers() -> None:
    """About the share asked for runs to the whole length, the rest to at most half."""
    lengths = [tokens_wanted(f"p{i}", "e#1", 400, 0.1) for i in range(500)]
    assert 20 < sum(n == 400 for n in lengths) < 90
    assert all(n <= 200 or n == 400 for n in lengths)


def test_cache_keeps_to_its_room_and_loses_some_events() -> None:
    """Least recently used blocks go first; lost events leave gaps in the numbers."""
    cache = PrefixCache(3, 0.0, 0.3, random.Random(1))
    for letter in "abcdefghijklmnopqrst":
        assert cache.use(letter * BLOCK_CHARS * 2) == 0
    assert cache.use("t" * BLOCK_CHARS * 2) == 2 * BLOCK_CHARS
    assert cache.use("a" * BLOCK_CHARS * 2) == 0
    seqs = [event["seq"] for event in cache.events(0)]
    assert seqs == sorted(set(seqs))
    assert len(seqs) < seqs[-1]


def test_prefixes_are_shared_by_prompts_that_begin_alike() -> None:
    """Whole blocks only, and equal as far as the prompts are equal."""
    first, second = prefixes("a" * 64 + "b" * 70), prefixes("a" * 64 + "c" * 64)
    assert len(first) == len(second) == 2
    assert first[0] == second[0]
    assert first[1] != second[1]


def test_batch_serves_lower_priority_numbers_first() -> None:
    """A trainer's request that arrived later than background work starts before it."""
    batch = Batch(
        "e", BatchControls(slots=1), PrefixCache(8, 0.0, 0.0, random.Random(0)), Journal()
    )
    late = batch.submit("b", "p", 40, 9)
    soon = batch.submit("a", "p", 40, 0)
    batch._admit()
    assert (soon.state, late.state) == ("running", "waiting")
