"""Tests of parsing engine responses and attributing their tokens to weight versions."""

import json
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from cranberryline.samples import (
    Completion,
    CompletionStream,
    DiscardReason,
    Segment,
    read_completion,
)

DONE = "data: [DONE]\n\n"


def event(text: str, version: Any, tokens: Any, finish: str | None = None) -> str:
    """Return one event of an engine's stream."""
    choice = {"index": 0, "text": text, "finish_reason": finish}
    data = {"choices": [choice], "weight_version": version, "tokens": tokens}
    return f"data: {json.dumps(data)}\n\n"


def read(body: str | bytes) -> Any:
    """Return the result of parsing a whole body."""
    stream = CompletionStream()
    stream.feed(body.encode() if isinstance(body, str) else body)
    return stream.finish("u")


def test_sample_generated_during_a_swap_has_a_segment_per_version() -> None:
    """Consecutive events with the same version are merged into one segment, in order."""
    body = event("a", 4, 2) + event("b", 4, 3) + event("c", 5, 1, "stop") + DONE
    expected = Completion("abc", (Segment(4, 5), Segment(5, 1)), "u")
    assert read(body).unwrap() == expected


@pytest.mark.parametrize(
    ("body", "reason"),
    [
        (event("a", None, 1, "stop") + DONE, DiscardReason.VERSION_MISSING),
        (event("a", 4, 1) + event("b", None, 1, "stop") + DONE, DiscardReason.VERSION_MISSING),
        (event("a", -1, 1, "stop") + DONE, DiscardReason.VERSION_INVALID),
        (event("a", "4", 1, "stop") + DONE, DiscardReason.VERSION_INVALID),
        (event("a", 4.0, 1, "stop") + DONE, DiscardReason.VERSION_INVALID),
        (event("a", True, 1, "stop") + DONE, DiscardReason.VERSION_INVALID),
        (event("a", 2**80, 1, "stop") + DONE, DiscardReason.VERSION_INVALID),
        (event("a", 4, 0, "stop") + DONE, DiscardReason.TOKENS_INVALID),
        (event("a", 4, -3, "stop") + DONE, DiscardReason.TOKENS_INVALID),
        (event("a", 4, None, "stop") + DONE, DiscardReason.TOKENS_INVALID),
        (event("", None, 0, "stop") + DONE, DiscardReason.VERSION_MISSING),
        (event("a", 4, 1, "stop"), DiscardReason.TRUNCATED),
        (event("a", 4, 1) + DONE, DiscardReason.TRUNCATED),
        ("", DiscardReason.TRUNCATED),
        ("data: {\n\n" + DONE, DiscardReason.MALFORMED),
        ("data: []\n\n" + DONE, DiscardReason.MALFORMED),
        ('data: {"choices": []}\n\n' + DONE, DiscardReason.MALFORMED),
        ('data: {"choices": ["x"]}\n\n' + DONE, DiscardReason.MALFORMED),
        (event("a", 4, 1, "stop") + DONE + event("b", 4, 1), DiscardReason.MALFORMED),
    ],
)
def test_stream_that_cannot_be_attributed_is_discarded(body: str, reason: DiscardReason) -> None:
    """A missing or invalid version or token count, truncation and bad JSON have own reasons."""
    assert read(body).unwrap_err().reason is reason


def test_stream_that_is_not_utf8_is_discarded() -> None:
    """A body that is not valid UTF-8 is malformed."""
    assert read(b"data: \xff\xfe\n\n").unwrap_err().reason is DiscardReason.MALFORMED


runs = st.lists(
    st.tuples(st.text(min_size=1, max_size=5), st.integers(0, 9), st.integers(1, 50)),
    min_size=1,
    max_size=8,
)


def whole_body(runs: list[tuple[str, int, int]]) -> bytes:
    """Return a complete body with these (text, version, tokens) events."""
    events = [event(text, version, tokens) for text, version, tokens in runs]
    return ("".join(events) + event("", None, 0, "stop") + DONE).encode()


@given(runs, st.lists(st.integers(0, 2_000), max_size=8), st.booleans())
def test_any_split_reads_the_same(
    runs: list[tuple[str, int, int]], cuts: list[int], crlf: bool
) -> None:
    """The body may be split into reads anywhere, even inside a character or a line break."""
    body = whole_body(runs)
    body = body.replace(b"\n", b"\r\n") if crlf else body
    stream = CompletionStream()
    edges = [0, *sorted(cut % len(body) for cut in cuts), len(body)]
    for start, end in zip(edges, edges[1:], strict=False):
        stream.feed(body[start:end])
    completion = stream.finish("u").unwrap()
    assert completion.text == "".join(text for text, _, _ in runs)
    assert sum(s.tokens for s in completion.segments) == sum(tokens for _, _, tokens in runs)
    by_token = [v for s in completion.segments for v in [s.weight_version] * s.tokens]
    assert by_token == [version for _, version, tokens in runs for _ in range(tokens)]


@given(runs, st.integers(1, 2_000))
def test_cut_stream_is_never_a_sample(runs: list[tuple[str, int, int]], cut: int) -> None:
    """A stream that ends early looks like a short sample, but must be an error."""
    body = whole_body(runs)
    kept = body[: -(1 + cut % len(body))].rstrip(b"\n")
    result = read(kept)
    assert result.is_err() or kept.endswith(b"[DONE]")


@given(st.binary(max_size=200))
def test_any_bytes_get_an_answer(data: bytes) -> None:
    """No body makes the parser raise an exception."""
    stream = CompletionStream()
    stream.feed(data)
    stream.finish()


def plain(segments: Any, finish: str | None = "stop") -> dict[str, Any]:
    """Return the JSON of a response that is not streamed."""
    choice = {"message": {"content": "ab"}, "finish_reason": finish}
    return {"choices": [choice], "segments": segments}


def test_response_that_is_not_streamed() -> None:
    """The segments of a response that is not streamed are returned as listed."""
    rows = [{"weight_version": 4, "tokens": 2}, {"weight_version": 5, "tokens": 1}]
    expected = Completion("ab", (Segment(4, 2), Segment(5, 1)), "u")
    assert read_completion(plain(rows), "u").unwrap() == expected


@pytest.mark.parametrize(
    ("data", "reason"),
    [
        (plain(None), DiscardReason.VERSION_MISSING),
        (plain([]), DiscardReason.VERSION_MISSING),
        (plain([{"tokens": 2}]), DiscardReason.VERSION_MISSING),
        (plain([{"weight_version": 4}]), DiscardReason.TOKENS_INVALID),
        (plain([7]), DiscardReason.MALFORMED),
        (plain([{"weight_version": 4, "tokens": 2}], None), DiscardReason.TRUNCATED),
        ([], DiscardReason.MALFORMED),
        (None, DiscardReason.MALFORMED),
    ],
)
def test_invalid_response_that_is_not_streamed(data: Any, reason: DiscardReason) -> None:
    """The same faults as in a stream give the same reasons."""
    assert read_completion(data).unwrap_err().reason is reason
