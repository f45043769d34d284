"""Client of an entry's operator endpoints, for the command line."""

import enum
import json
import uuid
from collections.abc import Iterator
from datetime import timedelta
from http import HTTPStatus
from pathlib import Path
from typing import Any
from urllib.parse import quote

import attrs
import yaml
from result import Err, Ok, Result
from tornado.httpclient import AsyncHTTPClient, HTTPClientError, HTTPRequest, HTTPResponse

__all__ = ["ApiClient", "ApiError", "ApiReason", "RecordDraft", "RecordFileError", "read_records"]

ATTR_AMENDS = "amends"
ATTR_KIND = "kind"
ATTR_NAME = "name"
ATTR_SCHEMA = "schema"
ATTR_SPEC = "spec"

DEFAULT_TIMEOUT = timedelta(seconds=15)

_REQUIRED = (ATTR_KIND, ATTR_NAME, ATTR_SCHEMA, ATTR_SPEC)
# What the entry shows of a revision besides; a record taken from it can be published again.
_IGNORED = frozenset({"revision", "time", "id", "author"})
_MAX_FILE_BYTES = 1024 * 1024
_UNAVAILABLE = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.BAD_GATEWAY,
    HTTPStatus.SERVICE_UNAVAILABLE,
    HTTPStatus.GATEWAY_TIMEOUT,
)
_PATH_RECORDS = "/config/records"
_PATH_STATUS = "/status"
_PATH_HOLDS = "/holds"
_PATH_CONTROLS = "/controls"


class ApiReason(enum.StrEnum):
    """What kind of failure a call met, as far as the command line tells them apart."""

    REFUSED = "refused"
    CONFLICT = "conflict"
    UNAVAILABLE = "unavailable"
    UNKNOWN = "unknown"  # the call may have taken effect


@attrs.frozen
class ApiError:
    """A failed call to an entry."""

    reason: ApiReason
    message: str


@attrs.frozen
class RecordFileError:
    """All mistakes of a file of records."""

    mistakes: tuple[str, ...]


@attrs.frozen
class RecordDraft:
    """A record to publish; `amends` is None where the file leaves it to the entry's state.

    The id makes a second attempt harmless. It is never taken from the file: a row copied from the
    history to bring an old spec back would be taken for the accepted record that it was.
    """

    kind: str
    name: str
    schema: int
    spec: dict[str, Any] | None
    amends: int | None = None
    id: str = attrs.field(factory=lambda: uuid.uuid4().hex)

    def as_dict(self) -> dict[str, Any]:
        """Return the body to post."""
        return attrs.asdict(self)


class ApiClient:
    """Call an entry; redirects are not followed, since they would carry the token elsewhere."""

    def __init__(self, base_url: str, token: str, timeout: timedelta = DEFAULT_TIMEOUT) -> None:
        self._base_url = base_url.rstrip("/")
        self._token = token
        self._timeout = timeout.total_seconds()

    async def async_publish(self, draft: RecordDraft) -> Result[dict[str, Any], ApiError]:
        """Publish one record; `amends` has to be set."""
        return await self._async_call("POST", _PATH_RECORDS, draft.as_dict())

    async def async_records(self) -> Result[list[dict[str, Any]], ApiError]:
        """Return all records in force."""
        answer = await self._async_call("GET", _PATH_RECORDS)
        return _list_in(answer)

    async def async_history(self, kind: str, name: str) -> Result[list[dict[str, Any]], ApiError]:
        """Return what the log still keeps of one record."""
        path = f"{_PATH_RECORDS}/{quote(kind, safe='')}/{quote(name, safe='')}/history"
        return _list_in(await self._async_call("GET", path))

    async def async_status(self) -> Result[dict[str, Any], ApiError]:
        """Return the entry's view of the system."""
        return await self._async_call("GET", _PATH_STATUS)

    async def async_holds(self) -> Result[list[dict[str, Any]], ApiError]:
        """Return the requests that a gateway suspects, those that it holds among them."""
        return _list_in(await self._async_call("GET", _PATH_HOLDS), "requests")

    async def async_release(self, fingerprint: str) -> Result[dict[str, Any], ApiError]:
        """Release a request that gateways hold."""
        return await self._async_call("DELETE", f"{_PATH_HOLDS}/{quote(fingerprint, safe='')}")

    async def async_controls(self) -> Result[list[dict[str, Any]], ApiError]:
        """Return the controls that a gateway knows."""
        return _list_in(await self._async_call("GET", _PATH_CONTROLS), "controls")

    async def async_set_control(
        self, kind: str, name: str, control: dict[str, Any]
    ) -> Result[dict[str, Any], ApiError]:
        """Set a control at all gateways."""
        return await self._async_call("PUT", _control_path(kind, name), control)

    async def async_clear_control(self, kind: str, name: str) -> Result[dict[str, Any], ApiError]:
        """Take a control back at all gateways."""
        return await self._async_call("DELETE", _control_path(kind, name))

    async def _async_call(
        self, method: str, path: str, body: dict[str, Any] | None = None
    ) -> Result[dict[str, Any], ApiError]:
        """Make one call and read its JSON object."""
        try:
            req = HTTPRequest(
                self._base_url + path,
                method=method,
                headers=self._headers(),
                body=None if body is None else json.dumps(body),
                connect_timeout=self._timeout,
                request_timeout=self._timeout,
                follow_redirects=False,
            )
            response = await AsyncHTTPClient().fetch(req, raise_error=False)
        except ConnectionRefusedError:
            return Err(ApiError(ApiReason.UNAVAILABLE, f"no entry listens at {self._base_url}"))
        except (OSError, HTTPClientError, ValueError) as exc:
            return Err(self._unfinished(method, path, exc))
        return _read(response)

    def _headers(self) -> dict[str, str]:
        """Return the headers of every call."""
        headers = {"Content-Type": "application/json"}
        if self._token:
            headers["Authorization"] = f"Bearer {self._token}"
        return headers

    def _unfinished(self, method: str, path: str, exc: BaseException) -> ApiError:
        """Return the error of a call that got no answer."""
        if method == "GET":
            return ApiError(ApiReason.UNAVAILABLE, f"no answer from {self._base_url}: {exc}")
        if path.startswith(_PATH_CONTROLS):
            hint = "The change may be in force: look with `cranberryline controls list`"
        elif method == "DELETE":
            hint = "The request may be released: look with `cranberryline holds list`"
        else:
            hint = (
                "The record may be in force: look with `cranberryline config history` before "
                "publishing it again"
            )
        message = f"no answer from {self._base_url}: {exc}. {hint}"
        return ApiError(ApiReason.UNKNOWN, message)


def read_records(path: str | Path) -> Result[list[RecordDraft], RecordFileError]:
    """Read one or more records from a YAML file: a mapping, a list, or several documents."""
    try:
        with Path(path).open("rb") as file:
            raw = file.read(_MAX_FILE_BYTES + 1)
    except OSError as exc:
        return Err(RecordFileError((f"{path}: not readable ({exc.strerror})",)))
    if len(raw) > _MAX_FILE_BYTES:
        return Err(RecordFileError((f"{path}: longer than {_MAX_FILE_BYTES} bytes",)))
    try:
        documents = list(yaml.safe_load_all(raw.decode()))
    except (yaml.YAMLError, UnicodeDecodeError, RecursionError, ValueError) as exc:
        return Err(RecordFileError((f"{path}: not YAML ({exc})",)))
    rows = list(_rows(documents))
    if not rows:
        return Err(RecordFileError((f"{path}: no record in it",)))
    mistakes = [mistake for i, row in enumerate(rows) for mistake in _check_row(i, row)]
    if mistakes:
        return Err(RecordFileError(tuple(mistakes)))
    return Ok([_draft(row) for row in rows])


def _control_path(kind: str, name: str) -> str:
    """Return the path of a control."""
    return f"{_PATH_CONTROLS}/{quote(kind, safe='')}/{quote(name, safe='')}"


def _rows(documents: list[Any]) -> Iterator[Any]:
    """Yield the records of all documents."""
    for document in documents:
        if isinstance(document, list):
            yield from document
        elif document is not None:
            yield document


def _check_row(index: int, row: Any) -> list[str]:
    """Return all mistakes of one record's frame; the entry checks what is in its spec."""
    place = f"record {index + 1}"
    if not isinstance(row, dict):
        return [f"{place}: a {type(row).__name__}; allowed: a mapping with {', '.join(_REQUIRED)}"]
    mistakes = [f"{place}: {key} is missing" for key in _REQUIRED if key not in row]
    known = {*_REQUIRED, ATTR_AMENDS, *_IGNORED}
    mistakes.extend(f"{place}: unknown key {key}" for key in row if key not in known)
    for key in (ATTR_KIND, ATTR_NAME):
        if key in row and (not isinstance(row[key], str) or not row[key]):
            mistakes.append(f"{place}: {key} is {row[key]!r}; allowed: a text")
    for key in (ATTR_SCHEMA, ATTR_AMENDS):
        if key in row and not _is_whole(row[key]):
            mistakes.append(f"{place}: {key} is {row[key]!r}; allowed: a whole number from 0")
    if ATTR_SPEC in row and not isinstance(row[ATTR_SPEC], dict | None):
        mistakes.append(f"{place}: spec is {row[ATTR_SPEC]!r}; allowed: a mapping, null to delete")
    return mistakes


def _is_whole(value: Any) -> bool:
    """Tell whether a value is a whole number from 0."""
    return isinstance(value, int) and not isinstance(value, bool) and value >= 0


def _draft(row: dict[str, Any]) -> RecordDraft:
    """Build a draft from a checked record."""
    return RecordDraft(
        row[ATTR_KIND], row[ATTR_NAME], row[ATTR_SCHEMA], row[ATTR_SPEC], row.get(ATTR_AMENDS)
    )


def _read(response: HTTPResponse) -> Result[dict[str, Any], ApiError]:
    """Turn an answer into its object or an error."""
    try:
        data = json.loads(response.body)
    except ValueError:
        data = None
    if not HTTPStatus.OK <= response.code < HTTPStatus.MULTIPLE_CHOICES:
        return Err(_refusal(response.code, data))
    if not isinstance(data, dict):
        return Err(ApiError(ApiReason.REFUSED, "the answer is no JSON object; is it an entry?"))
    return Ok(data)


def _list_in(
    answer: Result[dict[str, Any], ApiError], name: str = "records"
) -> Result[list[dict[str, Any]], ApiError]:
    """Return the list of that name in an answer."""
    if isinstance(answer, Err):
        return answer
    rows = answer.unwrap().get(name)
    if not isinstance(rows, list):
        return Err(ApiError(ApiReason.REFUSED, f"the answer holds no {name}; who listens there?"))
    return Ok(rows)


def _refusal(status: int, data: Any) -> ApiError:
    """Turn a refusal into an error that repeats what the entry said."""
    body = data if isinstance(data, dict) else {}
    parts = [str(body[key]) for key in ("title", "detail") if body.get(key)]
    reason = body.get("reason", "no reason given")
    message = f"{status} {reason}: " + (". ".join(parts) or "no explanation given")
    if status == HTTPStatus.CONFLICT:
        return ApiError(ApiReason.CONFLICT, message)
    if body.get("ran") == "unknown":
        return ApiError(ApiReason.UNKNOWN, message)
    if status in _UNAVAILABLE:
        return ApiError(ApiReason.UNAVAILABLE, message)
    return ApiError(ApiReason.REFUSED, message)
