"""What callers write and read, in the platform's names."""

from collections.abc import Mapping
from datetime import timedelta

import msgspec
from result import Err, Ok, Result

from cranberryline.jobs.model import Item, Job, Scorer
from cranberryline.jobs.ports import (
    AnswerHead,
    CallerCall,
    EdgeFormat,
    HeaderPairs,
    ItemBodyRead,
    JobEnd,
    JobRead,
    PlainCall,
)
from cranberryline.jobs.service import JobPage

from .const import (
    EVENT_VERSION_FIELD,
    HEADER_HOST,
    HEADER_KEY,
    HEADER_LAST_EVENT,
    HEADER_LENGTH,
    HEADER_PREFIX,
    HEADER_REQUEST_ID,
    HEADER_SIGNATURE,
    HEADER_TIME_LEFT,
    HEADER_VERSIONS,
    HEADER_WAIT,
    HEADER_WORKSPACE,
    PATH_ITEMS,
    PATH_JOBS,
)

__all__ = ["PlatformEdge"]

_MAX_DIGITS = 9
# Never passed on as a caller sent them: the key is secret, and the workspace is set from it.
_WORKSPACE_HEADERS = (HEADER_KEY.lower(), HEADER_WORKSPACE.lower())


class _Scorer(msgspec.Struct):
    id: str
    host: str
    path: str
    body: bytes = b""


class _Item(msgspec.Struct):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: bytes = b""
    tokens: int = 0
    group: str = ""
    scorer: _Scorer | None = None


class _Job(msgspec.Struct):
    items: list[_Item]
    step: int | None = None
    model: str = ""
    min_version: int | None = None
    group_count: int | None = None


class PlatformEdge(EdgeFormat):
    """The platform's requests, jobs and answers."""

    version_field = EVENT_VERSION_FIELD

    def read_call(
        self, method: str, path: str, query: Mapping[str, str], headers: Mapping[str, str]
    ) -> Result[CallerCall, str]:
        """Tell the calls about jobs from requests to be passed on."""
        if path.startswith(PATH_JOBS):
            job = path.removeprefix(PATH_JOBS)
            if method == "DELETE":
                return Ok(JobEnd(job))
            after = _number(query.get("after", "0"))
            wait = _number(headers.get(HEADER_WAIT, "0"))
            if method != "GET" or after is None or wait is None:
                return Err("a job is read by GET with a number in after and in the wait")
            return Ok(JobRead(job, after, timedelta(milliseconds=wait)))
        if path.startswith(PATH_ITEMS):
            if method != "GET" or "id" not in query:
                return Err("an item's body is read by GET with an id")
            return Ok(ItemBodyRead(path.removeprefix(PATH_ITEMS), query["id"]))
        left = headers.get(HEADER_TIME_LEFT)
        number = None if left is None else _number(left)
        if left is not None and number is None:
            return Err(f"{HEADER_TIME_LEFT} must be a whole number of milliseconds")
        time_left = None if number is None else timedelta(milliseconds=number)
        last = _number(headers.get(HEADER_LAST_EVENT, ""))
        return Ok(PlainCall(headers.get(HEADER_REQUEST_ID, ""), time_left, last))

    def credential(self, headers: Mapping[str, str]) -> str:
        """Return the caller's key."""
        return headers.get(HEADER_KEY, "")

    def caller_headers(self, headers: HeaderPairs, workspace: str) -> HeaderPairs:
        """Return the headers with the workspace in place of the caller's key."""
        kept = [pair for pair in headers if pair[0].lower() not in _WORKSPACE_HEADERS]
        if workspace:
            kept.append((HEADER_WORKSPACE, workspace))
        return tuple(kept)

    def read_job(
        self, request_id: str, host: str, path: str, body: bytes, now: float, workspace: str = ""
    ) -> Result[Job, str]:
        """Read a submitted job."""
        if not request_id:
            return Err(f"{HEADER_REQUEST_ID} is missing")
        try:
            raw = msgspec.json.decode(body, type=_Job)
            items = tuple(_item_of(item) for item in raw.items)
        except msgspec.DecodeError as exc:
            return Err(str(exc)[:200])
        if len({item.id for item in items}) != len(items):
            return Err("an item's id stands twice")
        return Ok(
            Job(
                request_id,
                host,
                path,
                items,
                now,
                raw.model,
                raw.step,
                raw.min_version,
                raw.group_count,
                workspace,
            )
        )

    def write_page(self, page: JobPage) -> bytes:
        """Return results under the platform's names."""
        rows = []
        for item, result in page.results:
            row = {"id": item.id, "state": result.state.value, "text": result.text}
            if result.versions:
                row["versions"] = result.versions
            if result.score:
                row["score"] = result.score
            rows.append(row)
        return msgspec.json.encode({"total": page.total, "next_token": page.next, "results": rows})

    def item_headers(self, job: Job, item: Item, last_event: int | None) -> HeaderPairs:
        """Return the item's own headers, its id, the route's host and where to go on."""
        headers = [
            *self.caller_headers(item.headers, job.workspace),
            (HEADER_REQUEST_ID, item.id),
            (HEADER_HOST, job.host),
        ]
        if last_event is not None:
            headers.append((HEADER_LAST_EVENT, str(last_event)))
        return tuple(headers)

    def resume_headers(self, headers: HeaderPairs, last_event: int | None) -> HeaderPairs:
        """Return the headers with the event to go on after in place of the caller's own."""
        if last_event is None:
            return headers
        own = HEADER_LAST_EVENT.lower()
        kept = [pair for pair in headers if pair[0].lower() != own]
        return (*kept, (HEADER_LAST_EVENT, str(last_event)))

    def scorer_headers(self, scorer: Scorer) -> HeaderPairs:
        """Return the scoring request's id and host."""
        return ((HEADER_REQUEST_ID, scorer.id), (HEADER_HOST, scorer.host))

    def answer_head(self, headers: HeaderPairs) -> AnswerHead:
        """Read signature and version."""
        found = {name.lower(): value for name, value in headers}
        version = _number(found.get(HEADER_VERSIONS.lower(), ""))
        return AnswerHead(found.get(HEADER_SIGNATURE.lower(), ""), version)


def _item_of(raw: _Item) -> Item:
    scorer = None
    if raw.scorer is not None:
        told = raw.scorer
        scorer = Scorer(told.id, told.host, told.path, told.body)
    prefix, tokens = _shared_prefix(raw.headers.get(HEADER_PREFIX, ""))
    return Item(
        raw.id,
        raw.path,
        tuple(pair for pair in raw.headers.items() if pair[0].lower() not in _WORKSPACE_HEADERS),
        raw.body,
        raw.tokens,
        raw.group,
        scorer,
        prefix,
        tokens,
        _number(raw.headers.get(HEADER_LENGTH, "")) or 0,
    )


def _shared_prefix(text: str) -> tuple[str, int]:
    """Return the first part of the prompt and its tokens; the last part is the item's own."""
    parts = text.split(",")
    if len(parts) < 2:  # noqa: PLR2004 - one part is nobody else's
        return "", 0
    name, _, tokens = parts[0].strip().partition(":")
    return name, _number(tokens) or 0


def _number(text: str) -> int | None:
    ok = text.isascii() and text.isdigit() and len(text) <= _MAX_DIGITS
    return int(text) if ok else None
