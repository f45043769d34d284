"""Make the store calls of peers, and leave secrets out of the answers."""

from collections.abc import Callable
from datetime import timedelta

import attrs
from result import Ok

from cranberryline.ports.store import KeyedRecord, SharedLog, StoreError

from .relay_messages import RelayAnswer, RelayAppend, RelayNewest, RelayRead

__all__ = ["Redaction", "async_execute", "unchanged"]

ValueOf = Callable[[KeyedRecord], bytes]


@attrs.frozen
class Redaction:
    """The keyed topic whose records contain secrets; `redact` returns a value without them."""

    topic: str
    redact: ValueOf

    def for_topic(self, topic: str) -> ValueOf:
        """Return what gives the value of a topic's record that peers may have."""
        return self.redact if topic == self.topic else unchanged


async def async_execute(
    log: SharedLog,
    call: RelayAppend | RelayRead | RelayNewest,
    redaction: Redaction | None = None,
) -> RelayAnswer:
    """Make a peer's call to the store directly."""
    timeout = timedelta(milliseconds=call.timeout_ms)
    if isinstance(call, RelayAppend):
        appended = await log.async_append(call.topic, call.part, call.records, timeout, call.at)
        if isinstance(appended, Ok):
            return RelayAnswer("", "", appended.unwrap().offset, appended.unwrap().end)
        return _error_answer(appended.unwrap_err())
    value_of = unchanged if redaction is None else redaction.for_topic(call.topic)
    if isinstance(call, RelayRead):
        wait = timedelta(milliseconds=call.wait_ms)
        read = await log.async_read(call.topic, call.part, call.start, wait, timeout)
        if not isinstance(read, Ok):
            return _error_answer(read.unwrap_err())
        found = read.unwrap()
        records = list(found.records)
        if value_of is not unchanged:
            records = [_redacted(log, record, value_of) for record in records]
        return RelayAnswer("", "", found.start, found.end, records)
    newest = await log.async_newest(call.topic, timeout)
    if not isinstance(newest, Ok):
        return _error_answer(newest.unwrap_err())
    rows = newest.unwrap().records
    keys = [(row.key, value_of(row), row.offset) for row in rows]
    return RelayAnswer("", "", 0, newest.unwrap().end, [], keys)


def _redacted(log: SharedLog, record: bytes, value_of: ValueOf) -> bytes:
    """Return a record without secrets, at the same position; one without a key becomes empty."""
    keyed = log.unpack_keyed(record)
    return b"" if keyed is None else log.pack_keyed(keyed.key, value_of(keyed))


def unchanged(record: KeyedRecord) -> bytes:
    """Return a record's value as it is."""
    return record.value


def _error_answer(error: StoreError) -> RelayAnswer:
    return RelayAnswer(error.problem.value, error.detail, error.position)
