"""Data of the trainer's client."""

from typing import Any

import attrs
from result import Err, Ok, Result

__all__ = ["Group", "PulledBatch", "ReceivedSample", "ReceivedSegment", "read_batch"]


@attrs.frozen
class Group:
    """A prompt and how many samples of it are wanted."""

    prompt: str
    n: int
    max_tokens: int


@attrs.frozen
class ReceivedSegment:
    """A run of tokens that one weight version made."""

    weight_version: int
    tokens: int


@attrs.frozen
class ReceivedSample:
    """A sample as the trainer gets it."""

    id: str
    group: int
    index: int
    text: str
    score: float
    segments: tuple[ReceivedSegment, ...]


@attrs.frozen
class PulledBatch:
    """An entry's answer to a pull made at `cursor` and at trainer version `version`."""

    cursor: str
    next_cursor: str
    version: int
    samples: tuple[ReceivedSample, ...]
    done: bool


def read_batch(data: Any, version: int) -> Result[PulledBatch, str]:
    """Read an entry's answer; an error says that it is none."""
    try:
        samples = tuple(_read_sample(row) for row in data["samples"])
        cursor, next_cursor, done = data["cursor"], data["next_cursor"], data["done"]
    except (KeyError, TypeError, ValueError) as exc:
        return Err(f"not a batch: {exc!r}")
    if not isinstance(cursor, str) or not isinstance(next_cursor, str) or type(done) is not bool:
        return Err("not a batch: a field of another type")
    return Ok(PulledBatch(cursor, next_cursor, version, samples, done))


def _read_sample(row: dict[str, Any]) -> ReceivedSample:
    segments = tuple(
        ReceivedSegment(int(segment["weight_version"]), int(segment["tokens"]))
        for segment in row["segments"]
    )
    return ReceivedSample(
        id=str(row["id"]),
        group=int(row["group"]),
        index=int(row["index"]),
        text=str(row["text"]),
        score=float(row["score"]),
        segments=segments,
    )
