"""The append-only log: offsets from 1 in each stream, a rate limit, retention, outages."""

import asyncio
import time
from collections import defaultdict, deque
from datetime import UTC, datetime
from typing import Any

import attrs

from .http import Controls, Handler, RateLimit, StandIn

__all__ = ["LogControls", "LogStandIn"]


@attrs.define
class LogControls(Controls):
    """Limits of the log; a call counts as one append, whatever number of records it has."""

    append_rate: float = 300.0
    keep_records: int = 100_000
    keep_s: float = 86_400.0


class _Stream:
    """One stream's records still kept."""

    def __init__(self) -> None:
        self.records: deque[tuple[float, dict[str, Any]]] = deque()
        self.next = 1
        self.grown = asyncio.Condition()

    @property
    def first(self) -> int:
        """Return the oldest offset kept, or the next one to be given."""
        return self.next - len(self.records)

    def append(self, record_id: str, data: Any) -> int:
        """Append a record and return its offset."""
        offset = self.next
        now = datetime.now(UTC).isoformat()
        record = {"offset": offset, "time": now, "id": record_id, "data": data}
        self.records.append((time.monotonic(), record))
        self.next += 1
        return offset

    def forget(self, keep_records: int, keep_s: float) -> None:
        """Drop what is past the retention."""
        horizon = time.monotonic() - keep_s
        while self.records and (len(self.records) > keep_records or self.records[0][0] < horizon):
            self.records.popleft()

    def page(self, start: int, limit: int) -> dict[str, Any]:
        """Return up to `limit` records from an offset on."""
        start = max(start, self.first)
        at = start - self.first
        rows = [self.records[i][1] for i in range(at, min(at + limit, len(self.records)))]
        return {"first": self.first, "next": start + len(rows), "records": rows}


class LogStandIn(StandIn):
    """The log service."""

    def __init__(self, controls: LogControls) -> None:
        super().__init__(controls)
        self.streams: dict[str, _Stream] = defaultdict(_Stream)
        self.rate = RateLimit(controls.append_rate)
        self.calls = 0
        self.refused = 0
        self.reads = 0

    def changed(self) -> None:
        """Apply a new append rate."""
        self.rate.per_second = self.controls.append_rate

    def journal(self) -> Any:
        """Tell what was appended and how much was refused."""
        streams = {name: [r for _, r in s.records] for name, s in self.streams.items()}
        return {
            "append_calls": self.calls,
            "refused": self.refused,
            "reads": self.reads,
            "streams": streams,
        }

    def stream(self, name: str) -> _Stream:
        """Return a stream as retention leaves it."""
        stream = self.streams[name]
        stream.forget(self.controls.keep_records, self.controls.keep_s)
        return stream

    def routes(self) -> list[Any]:
        """Return the log's one route."""
        return [(r"/streams/([^/]+)/records", _RecordsHandler, {"stand_in": self})]


class _RecordsHandler(Handler):
    """Append and read."""

    async def post(self, name: str) -> None:
        """Append records in one call."""
        log: LogStandIn = self.stand_in
        if not log.rate.take():
            log.refused += 1
            self.answer({"error": "append rate"}, 429, retry_after=1)
            return
        stream = log.stream(name)
        log.calls += 1
        offsets = [stream.append(rec["id"], rec["data"]) for rec in self.payload()["records"]]
        async with stream.grown:
            stream.grown.notify_all()
        self.answer_effect({"offsets": offsets})

    async def get(self, name: str) -> None:
        """Read a page, waiting for the first record beyond the end where asked to."""
        log: LogStandIn = self.stand_in
        log.reads += 1
        start = int(self.get_argument("from", "1"))
        limit = int(self.get_argument("limit", "500"))
        wait = float(self.get_argument("wait", "0"))
        stream = log.stream(name)
        if wait > 0 and stream.next <= start:
            await self._async_wait(stream, start, wait)
        self.answer(log.stream(name).page(start, limit))

    async def _async_wait(self, stream: _Stream, start: int, wait: float) -> None:
        """Wait until the stream reaches an offset."""
        try:
            async with asyncio.timeout(wait), stream.grown:
                await stream.grown.wait_for(lambda: stream.next > start)
        except TimeoutError:
            return
