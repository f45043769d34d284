"""Data of reports: the lines that they read, and what is put together from these."""

import enum
from datetime import datetime, timedelta
from typing import Annotated, Any

import attrs
import msgspec

__all__ = [
    "Cause",
    "GroupsRead",
    "ItemLine",
    "ItemPath",
    "JobAccepted",
    "JobCancelled",
    "JobEnded",
    "Line",
    "LogLines",
    "Refused",
    "RequestPath",
    "Skipped",
    "Span",
    "Step",
    "StepPath",
    "VersionNamed",
]

# Beyond these a number is no time of ours: the year 2286, and some 115 days.
_LAST_SECOND = 1e10
_LONGEST_MS = 10**10

Milliseconds = Annotated[int, msgspec.Meta(ge=0, le=_LONGEST_MS)]
Count = Annotated[int, msgspec.Meta(ge=0)]


class Cause(enum.StrEnum):
    """What a step or a plain request (`PLACE`, `UPSTREAM`) waited for, in the order of its way."""

    ACCEPT = "accept"
    NODE = "node"
    PLACE = "place"
    PREFILL = "prefill"
    BROKEN = "broken"
    TEXT = "text"
    SCORING_WAIT = "scoring_wait"
    SCORING = "scoring"
    APPEND = "append"
    READ = "read"
    UNFINISHED = "unfinished"
    UPSTREAM = "upstream"


class Line(msgspec.Struct, frozen=True, kw_only=True):
    """What all lines have; `timestamp` is Unix time in seconds by the writer's clock."""

    timestamp: Annotated[float, msgspec.Meta(ge=0, le=_LAST_SECOND)]
    request_id: str
    vm_id: str = ""


class JobAccepted(Line, frozen=True, kw_only=True):
    """A gateway kept a job, `ms` after it was asked to."""

    items: Count
    step: int | None = None
    model: str = ""
    group_count: int | None = None
    min_version: int | None = None
    ms: Milliseconds = 0


class JobEnded(Line, frozen=True, kw_only=True):
    """A caller ended a job."""


class JobCancelled(Line, frozen=True, kw_only=True):
    """Items that still ran when their job was ended, and how many were at which stage."""

    items: Count
    stages: dict[str, Count] = msgspec.field(default_factory=dict)


class GroupsRead(Line, frozen=True, kw_only=True):
    """Groups of a job that a reader was given whole."""

    groups: tuple[str, ...]


class Refused(Line, frozen=True, kw_only=True):
    """A call that was refused after `ms`."""

    reason: str = ""
    ms: Milliseconds = 0


class VersionNamed(msgspec.Struct, frozen=True, kw_only=True):
    """A node heard that a trainer named a version."""

    timestamp: Annotated[float, msgspec.Meta(ge=0, le=_LAST_SECOND)]
    model: str
    version: int


class ItemLine(Line, frozen=True, kw_only=True):
    """The end of an item. The first three fields of its time are one after another; the others are parts.

    Lines of earlier releases lack `group` and the parts; their whole time counts as text and scoring.
    """

    job: str
    outcome: str = ""
    group: str = ""
    group_size: Count = 0
    listed: bool = True
    events: Count = 0
    runs: Count = 0
    resumed: Count = 0
    upstreams: tuple[str, ...] = ()
    versions: tuple[int, ...] = ()
    known_ms: int | None = None
    waited_ms: Milliseconds = 0
    text_ms: Milliseconds = 0
    score_ms: Milliseconds = 0
    place_ms: Milliseconds = 0
    prefill_ms: Milliseconds = 0
    broken_ms: Milliseconds = 0
    score_wait_ms: Milliseconds = 0
    append_ms: Milliseconds = 0


@attrs.define
class Skipped:
    """Lines that could not be used, by why; none of them is passed over unsaid."""

    not_json: int = 0
    bad_fields: int = 0
    cut_short: int = 0

    @property
    def total(self) -> int:
        """Return how many there are."""
        return self.not_json + self.bad_fields + self.cut_short


@attrs.define
class LogLines:
    """What is read of the logs; `lines` counts all that are not empty, `other` those of no use here."""

    accepted: list[JobAccepted] = attrs.field(factory=list)
    ended: list[JobEnded] = attrs.field(factory=list)
    cancelled: list[JobCancelled] = attrs.field(factory=list)
    items: list[ItemLine] = attrs.field(factory=list)
    reads: list[GroupsRead] = attrs.field(factory=list)
    refused: list[Refused] = attrs.field(factory=list)
    versions: list[VersionNamed] = attrs.field(factory=list)
    of_request: list[dict[str, Any]] = attrs.field(factory=list)
    lines: int = 0
    other: int = 0
    skipped: Skipped = attrs.field(factory=Skipped)


@attrs.frozen
class Span:
    """A stretch of time and what it went on."""

    cause: Cause
    start: datetime
    end: datetime

    @property
    def took(self) -> timedelta:
        """Return how long it is."""
        return self.end - self.start


@attrs.frozen
class ItemPath:
    """One item and its spans, one after another from its job's acceptance to its listing."""

    line: ItemLine
    spans: tuple[Span, ...]

    @property
    def listed_at(self) -> datetime:
        """Return when its result stood."""
        return self.spans[-1].end


@attrs.frozen
class Step:
    """A job as the logs of all gateways tell of it, `items` once each and by id."""

    job: str
    model: str
    number: int | None
    asked: datetime
    accepted_at: datetime
    named: tuple[int, datetime] | None
    item_count: int | None
    group_count: int | None
    refusals: int
    items: tuple[ItemLine, ...]
    repeated: int
    reads: dict[str, datetime]
    ended_at: datetime | None
    cancelled: dict[str, int]


@attrs.frozen
class StepPath:
    """A step's critical path: its spans follow each other from `start` to `end` without a gap.

    `complete` is None where the lines don't tell how many groups there were to read.
    """

    step: Step
    items: tuple[ItemPath, ...]
    last: ItemPath | None
    groups_listed: int
    groups_wanted: int | None
    complete: bool | None
    spans: tuple[Span, ...]

    @property
    def start(self) -> datetime:
        """Return when the step was asked for."""
        return self.spans[0].start

    @property
    def took(self) -> timedelta:
        """Return the step's time."""
        return self.spans[-1].end - self.spans[0].start


@attrs.frozen
class RequestPath:
    """A plain request: its lines in the order of time, and its spans."""

    request_id: str
    lines: tuple[dict[str, Any], ...]
    spans: tuple[Span, ...]
