"""Parse engine responses into text and segments of one weight version each."""

import codecs
import json
from typing import Any

from result import Err, Ok, Result

from .const import (
    ATTR_CHOICES,
    ATTR_CONTENT,
    ATTR_DELTA,
    ATTR_FINISH_REASON,
    ATTR_MESSAGE,
    ATTR_SEGMENTS,
    ATTR_TEXT,
    ATTR_TOKENS,
    ATTR_WEIGHT_VERSION,
    MAX_SSE_LINE_CHARS,
    MAX_TOKENS_PER_SAMPLE,
    MAX_WEIGHT_VERSION,
    SSE_DATA,
    SSE_DONE,
)
from .errors import AttributionError, DiscardReason
from .model import Completion, Segment

__all__ = ["CompletionStream", "read_completion"]


class CompletionStream:
    """Incremental parser for a response streamed as server-sent events.

    Weight versions come only from what the engine reports with its tokens, not from the version it
    was ordered to load: after a swap that failed half way, the two differ.
    """

    def __init__(self) -> None:
        self._decoder = codecs.getincrementaldecoder("utf-8")()
        self._line = ""
        self._texts: list[str] = []
        self._segments: list[Segment] = []
        self._finished = False
        self._done = False
        self._error: AttributionError | None = None

    @property
    def tokens(self) -> int:
        """Return the number of tokens received so far."""
        return sum(segment.tokens for segment in self._segments)

    def feed(self, data: bytes) -> None:
        """Parse the next bytes of the body, which may be split anywhere.

        After an error, the rest of the body is ignored.
        """
        if self._error is not None:
            return
        try:
            self._line += self._decoder.decode(data)
        except UnicodeDecodeError:
            self._fail(DiscardReason.MALFORMED, "the body is not valid UTF-8")
            return
        *lines, self._line = self._line.replace("\r\n", "\n").split("\n")
        for line in lines:
            self._process_line(line)
        if len(self._line) > MAX_SSE_LINE_CHARS:
            self._fail(DiscardReason.MALFORMED, f"a line exceeds {MAX_SSE_LINE_CHARS} characters")

    def finish(self, upstream: str = "") -> Result[Completion, AttributionError]:
        """Return the completion after the end of the body, or the first error found in it."""
        if self._error is not None:
            return Err(self._error)
        # A stream that is truncated between two events is valid so far and looks like a short
        # sample. Only the finish reason and the `[DONE]` event tell the two apart.
        if not self._done or not self._finished:
            return Err(
                AttributionError(
                    DiscardReason.TRUNCATED, "the stream ended without a finish reason and [DONE]"
                )
            )
        return _completion("".join(self._texts), self._segments, upstream)

    def _process_line(self, line: str) -> None:
        if self._error is not None or not line.startswith(SSE_DATA):
            return
        payload = line.removeprefix(SSE_DATA).strip()
        if self._done:
            self._fail(DiscardReason.MALFORMED, "the stream has an event after [DONE]")
        elif payload == SSE_DONE:
            self._done = True
        else:
            self._process_event(payload)

    def _process_event(self, payload: str) -> None:
        try:
            event = json.loads(payload)
            choice = event[ATTR_CHOICES][0]
            text = _text(choice)
        except (ValueError, LookupError, TypeError, AttributeError, RecursionError):
            self._fail(DiscardReason.MALFORMED, "an event is not a completion chunk")
            return
        tokens = event.get(ATTR_TOKENS, 0)
        if not text and tokens == 0:
            self._finished = self._finished or bool(choice.get(ATTR_FINISH_REASON))
            return
        segment = _segment(event.get(ATTR_WEIGHT_VERSION), tokens)
        if isinstance(segment, AttributionError):
            self._error = segment
            return
        self._texts.append(text)
        _append(self._segments, segment)
        self._finished = self._finished or bool(choice.get(ATTR_FINISH_REASON))

    def _fail(self, reason: DiscardReason, detail: str) -> None:
        if self._error is None:
            self._error = AttributionError(reason, detail)
        self._line = ""


def read_completion(data: Any, upstream: str = "") -> Result[Completion, AttributionError]:
    """Parse the JSON of a response that was not streamed, which lists its segments."""
    try:
        choice = data[ATTR_CHOICES][0]
        text = _text(choice)
        finished = bool(choice.get(ATTR_FINISH_REASON))
    except (LookupError, TypeError, AttributeError):
        return Err(AttributionError(DiscardReason.MALFORMED, "the response is not a completion"))
    if not finished:
        return Err(AttributionError(DiscardReason.TRUNCATED, "the response has no finish reason"))
    rows = data.get(ATTR_SEGMENTS)
    if not isinstance(rows, list):
        return Err(
            AttributionError(DiscardReason.VERSION_MISSING, "the response has no list of segments")
        )
    segments: list[Segment] = []
    for row in rows:
        if not isinstance(row, dict):
            return Err(AttributionError(DiscardReason.MALFORMED, "a segment is not an object"))
        segment = _segment(row.get(ATTR_WEIGHT_VERSION), row.get(ATTR_TOKENS))
        if isinstance(segment, AttributionError):
            return Err(segment)
        _append(segments, segment)
    return _completion(text, segments, upstream)


def _completion(
    text: str, segments: list[Segment], upstream: str
) -> Result[Completion, AttributionError]:
    if not segments:
        return Err(
            AttributionError(
                DiscardReason.VERSION_MISSING, "the response has no tokens with a weight version"
            )
        )
    return Ok(Completion(text, tuple(segments), upstream))


def _text(choice: dict[str, Any]) -> str:
    message = choice.get(ATTR_DELTA) or choice.get(ATTR_MESSAGE)
    text = message.get(ATTR_CONTENT) if message else choice.get(ATTR_TEXT)
    if text is None:
        return ""
    if not isinstance(text, str):
        raise TypeError("the text is not a string")
    return text


def _segment(version: Any, tokens: Any) -> Segment | AttributionError:
    if version is None:
        return AttributionError(DiscardReason.VERSION_MISSING, "tokens have no weight version")
    if type(version) is not int or not 0 <= version <= MAX_WEIGHT_VERSION:
        return AttributionError(DiscardReason.VERSION_INVALID, f"{version!r:.40}")
    if type(tokens) is not int or not 0 < tokens <= MAX_TOKENS_PER_SAMPLE:
        return AttributionError(DiscardReason.TOKENS_INVALID, f"{tokens!r:.40}")
    return Segment(version, tokens)


def _append(segments: list[Segment], segment: Segment) -> None:
    """Append a segment, merged into the last one if both have the same weight version."""
    last = segments[-1] if segments else None
    if last is None or last.weight_version != segment.weight_version:
        segments.append(segment)
        return
    segments[-1] = Segment(last.weight_version, last.tokens + segment.tokens)
