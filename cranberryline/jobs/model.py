"""Data model of batch jobs, as callers submit them and as the store keeps them."""

import enum

import msgspec

# `gc=False`: a job has hundreds of these. They hold only bytes and strings, so they cannot be part
# of a reference cycle.

__all__ = [
    "Item",
    "ItemHead",
    "ItemResult",
    "ItemState",
    "Job",
    "JobEnded",
    "JobHead",
    "JobPart",
    "JobRecord",
    "PackedResult",
    "ResultRecord",
    "Scorer",
    "TextPiece",
    "TextsStart",
]


class Scorer(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The request that scores an item's text, sent once the text is complete."""

    id: str
    host: str
    path: str
    body: bytes


class Item(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """One request of a job; items of the same `group` share a prompt.

    `prefix` identifies the longest part of the prompt that is shared with other items, and
    `prefix_tokens` is its length in tokens. `told_tokens` is the text length in tokens that the
    caller expects, or 0 if the caller gave none.
    """

    id: str
    path: str
    headers: tuple[tuple[str, str], ...]
    body: bytes
    tokens: int = 0
    group: str = ""
    scorer: Scorer | None = None
    prefix: str = ""
    prefix_tokens: int = 0
    told_tokens: int = 0


class Job(msgspec.Struct, array_like=True, frozen=True):
    """A batch job.

    `submitted` is the wall-clock time of the submission, in seconds since the epoch. It is used
    only to give up items that have waited too long. `workspace` is empty if callers need no key, and
    in records of older releases.
    """

    id: str
    host: str
    path: str
    items: tuple[Item, ...]
    submitted: float
    model: str = ""
    step: int | None = None
    min_version: int | None = None
    group_count: int | None = None
    workspace: str = ""


class ItemHead(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The fields of an item that every node needs; the rest is decoded only where the item runs."""

    id: str
    group: str


class JobHead(msgspec.Struct, array_like=True, frozen=True):
    """The fields of a job that every node needs, named as in `Job`.

    `details_crc` is the CRC-32 checksum of the compressed items, which are decoded only on a node
    that runs one of them.
    """

    id: str
    host: str
    path: str
    items: tuple[ItemHead, ...]
    submitted: float
    model: str = ""
    step: int | None = None
    min_version: int | None = None
    group_count: int | None = None
    details_crc: int = 0
    workspace: str = ""


class ItemState(enum.StrEnum):
    """The final state of an item."""

    COMPLETED = "completed"
    DEAD = "dead"  # failed permanently


class ItemResult(msgspec.Struct, array_like=True, frozen=True, gc=False):
    """The result of an item; `versions` are the model versions that generated events of `text`."""

    state: ItemState
    text: str = ""
    versions: tuple[int, ...] = ()
    score: str = ""


class JobPart(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="part"):
    """One of the `total` parts of an encoded job, as appended by one `writer`."""

    job: str
    writer: str
    index: int
    total: int
    data: bytes


class ResultRecord(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="result"):
    """The final result of an item; the first one in the partition wins."""

    job: str
    index: int
    result: ItemResult


class PackedResult(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="packed"):
    """The stored form of a `ResultRecord`; `data` is decoded only when the result is listed.

    `crc` is the CRC-32 checksum of `data`, so that every node detects changed bytes when it reads
    the record.
    """

    job: str
    index: int
    completed: bool
    data: bytes
    crc: int


class ResultPart(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="result_part"):
    """One of the `total` parts of a `PackedResult` that is too long for a record of the store.

    `crc` is the CRC-32 checksum of the whole data.
    """

    job: str
    index: int
    completed: bool
    number: int
    total: int
    data: bytes
    crc: int


class TextPiece(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="text"):
    """Consecutive events of a text that is not complete yet, appended by one `writer`.

    `number` counts the pieces of the writer from 0. `data` holds `count` encoded events, the last
    of which has the ID `last_id`. `versions` are the model versions that generated them, in the
    order of their first event. `crc` is the CRC-32 checksum of `data`.
    """

    job: str
    index: int
    writer: str
    number: int
    last_id: int
    count: int
    versions: tuple[int, ...]
    data: bytes
    crc: int


class TextsStart(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="texts"):
    """The offset of a job's first text piece in the texts topic, in the job's partition."""

    job: str
    offset: int


class JobEnded(msgspec.Struct, array_like=True, frozen=True, gc=False, tag="end"):
    """The caller no longer needs the job; none of its remaining items are run."""

    job: str


JobRecord = JobPart | ResultRecord | PackedResult | ResultPart | TextPiece | TextsStart | JobEnded
