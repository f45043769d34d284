"""Port to the platform's store: partitioned logs, and topics that keep the newest record of a key."""

import abc
import enum
from datetime import timedelta

import attrs
from result import Result

from .errors import PlatformError

__all__ = [
    "Appended",
    "KeyedRecord",
    "KeyedSnapshot",
    "LogRead",
    "SharedLog",
    "StoreError",
    "StoreProblem",
    "problem_of_call",
]


class StoreProblem(enum.StrEnum):
    """Why a call to the store brought nothing, and what that says of its effect."""

    REFUSED = "refused"  # the store said that nothing was done
    UNKNOWN = "unknown"  # no answer: it may have been done, or may be done seconds later
    CONFLICT = "conflict"  # the partition does not end where the caller thought
    GONE = "gone"  # the records asked for have been deleted


@attrs.frozen
class StoreError:
    """A call that brought nothing; `position` is the end on CONFLICT, the oldest kept on GONE.

    `out_since` is set where another node confirms that the store answers nobody: the moment, with
    suspensions counted, of the last answer that either of the two had.
    """

    problem: StoreProblem
    detail: str = ""
    position: int = 0
    out_since: timedelta | None = None


def problem_of_call(error: PlatformError) -> StoreProblem:
    """Tell what a failed call says of its effect: nothing was done for sure only if nothing was sent."""
    return StoreProblem.UNKNOWN if error.may_have_run else StoreProblem.REFUSED


@attrs.frozen
class Appended:
    """Where records now stand: the offset of the first one, and the partition's end."""

    offset: int
    end: int


@attrs.frozen
class LogRead:
    """A run of records from `start` on; `end` is the partition's end as the store saw it.

    `at_once` tells that the store was asked not to wait for a record, whatever its caller wanted.
    """

    start: int
    end: int
    records: tuple[bytes, ...] = ()
    at_once: bool = False

    @property
    def next(self) -> int:
        """Return the offset to read from next."""
        return self.start + len(self.records)


@attrs.frozen
class KeyedRecord:
    """The newest record of a key; an empty value says that the key was dropped."""

    key: str
    value: bytes
    offset: int = 0


@attrs.frozen
class KeyedSnapshot:
    """The newest record of each key of a topic, and an offset from which to follow on.

    `unreadable` is how many more stand there that could not be read.
    """

    records: tuple[KeyedRecord, ...]
    end: int
    unreadable: int = 0


class SharedLog(abc.ABC):
    """The store as the system uses it; every call is bounded by its `timeout`."""

    @abc.abstractmethod
    async def async_append(
        self,
        topic: str,
        part: int,
        records: list[bytes],
        timeout: timedelta,
        at: int | None = None,
    ) -> Result[Appended, StoreError]:
        """Append records all or nothing; with `at`, only if the partition ends there.

        Errors: CONFLICT with the end where it does not, REFUSED when nothing was done, UNKNOWN when it may
        have been, or may be later if its condition still holds.
        """

    @abc.abstractmethod
    async def async_read(
        self, topic: str, part: int, start: int, wait: timedelta, timeout: timedelta
    ) -> Result[LogRead, StoreError]:
        """Read records from an offset, waiting up to `wait` for the first one.

        A read brings every record whose append was acknowledged before it was asked, or fewer of them with
        an `end` that tells so. Errors: GONE with the oldest offset kept, else REFUSED or UNKNOWN.
        """

    @abc.abstractmethod
    async def async_newest(
        self, topic: str, timeout: timedelta
    ) -> Result[KeyedSnapshot, StoreError]:
        """Read the newest record of each key of a topic."""

    @abc.abstractmethod
    async def async_trim(
        self, topic: str, part: int, before: int, timeout: timedelta
    ) -> Result[None, StoreError]:
        """Delete a partition's records before an offset; done twice it changes nothing. Errors: REFUSED or UNKNOWN."""

    @abc.abstractmethod
    def pack_keyed(self, key: str, value: bytes) -> bytes:
        """Return the record that sets a key, for `async_append` to a topic of keys."""

    @abc.abstractmethod
    def unpack_keyed(self, record: bytes) -> KeyedRecord | None:
        """Read a record of a topic of keys, None if it is not one."""
