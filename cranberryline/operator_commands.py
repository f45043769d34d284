"""The operator's commands: each calls an entry, prints what came and returns an exit code."""

import asyncio
import getpass
import json
import os
import sys
from collections.abc import Awaitable, Callable
from datetime import timedelta
from pathlib import Path
from typing import Any

import attrs
import yaml
from result import Err, Ok, Result

from .config_client import ApiClient, ApiError, ApiReason, RecordDraft, read_records
from .exit_code import ExitCode
from .platform import config as platform_config
from .settings.fields import Url

__all__ = [
    "check_config",
    "clear_control",
    "get",
    "history",
    "list_controls",
    "list_holds",
    "list_records",
    "publish",
    "release_hold",
    "set_control",
    "status",
]

ATTR_KIND = "kind"
ATTR_NAME = "name"
ATTR_REVISION = "revision"
DEFAULT_ENTRY = "http://127.0.0.1:8001"
ENV_ENTRY = "CRANBERRYLINE_ENTRY"
ENV_TOKEN = "CRANBERRYLINE_TOKEN"  # noqa: S105 - the name of a variable

_PAUSES = (timedelta(milliseconds=200), timedelta(seconds=1))
_EXIT_CODES = {
    ApiReason.REFUSED: ExitCode.FAILURE,
    ApiReason.CONFLICT: ExitCode.CONFLICT,
    ApiReason.UNAVAILABLE: ExitCode.UNAVAILABLE,
    ApiReason.UNKNOWN: ExitCode.UNKNOWN,
}


def publish(file: str, entry: str, token_file: str) -> int:
    """Publish the records of a file in their order, up to the first that is not accepted."""
    drafts = read_records(file)
    if isinstance(drafts, Err):
        return _complain("\n".join(drafts.unwrap_err().mistakes), ExitCode.USAGE)

    async def async_run(client: ApiClient) -> Result[None, ApiError]:
        return await _async_publish(client, drafts.unwrap())

    return _call(entry, token_file, async_run, lambda _: None)


def get(kind: str, name: str, entry: str, token_file: str) -> int:
    """Print the record in force, with `amends` set so that an edited copy can be published."""
    found: list[dict[str, Any]] = []

    def show(records: list[dict[str, Any]]) -> None:
        found.extend(row for row in records if _key(row) == (kind, name))

    code = _call(entry, token_file, lambda client: client.async_records(), show)
    if code != ExitCode.OK:
        return code
    if not found:
        return _complain(f"{kind}/{name}: no such record in force", ExitCode.FAILURE)
    row = found[0]
    _print_yaml(
        {
            ATTR_KIND: kind,
            ATTR_NAME: name,
            "schema": row.get("schema"),
            "amends": row.get(ATTR_REVISION),
            "spec": row.get("spec"),
        }
    )
    return ExitCode.OK


def list_records(entry: str, token_file: str) -> int:
    """Print a line for each record in force."""

    def show(records: list[dict[str, Any]]) -> None:
        print(f"{'REVISION':>8}  {'KIND':10}{'NAME':24}{'SCHEMA':>6}  TIME")
        for row in sorted(records, key=_key):
            kind, name = _key(row)
            revision, schema = row.get(ATTR_REVISION, ""), row.get("schema", "")
            print(f"{revision:>8}  {kind:10}{name:24}{schema:>6}  {row.get('time', '')}")

    return _call(entry, token_file, lambda client: client.async_records(), show)


def history(kind: str, name: str, entry: str, token_file: str) -> int:
    """Print the revisions of a record that the entry has seen."""
    return _call(entry, token_file, lambda client: client.async_history(kind, name), _print_yaml)


def status(entry: str, token_file: str) -> int:
    """Print an entry's status."""
    return _call(entry, token_file, lambda client: client.async_status(), _print_yaml)


def check_config(file: str) -> int:
    """Print every mistake of a platform's configuration, else its workspaces without keys."""
    try:
        value = Path(file).read_bytes()
    except OSError as exc:
        return _complain(f"{file}: {exc.strerror}", ExitCode.USAGE)
    checked = platform_config.check_config(value)
    if isinstance(checked, Err):
        return _complain("\n".join(checked.unwrap_err()), ExitCode.FAILURE)
    workspaces = checked.unwrap().workspaces
    for name in [] if workspaces is None else workspaces.without_keys():
        print(f"workspace {name}: has no key, so no caller can use it")
    print(f"{file}: valid configuration of version {checked.unwrap().version}")
    return ExitCode.OK


def list_holds(gateway: str) -> int:
    """Print the requests that a gateway suspects or holds, as YAML."""
    return _call_gateway(gateway, lambda client: client.async_holds(), _print_yaml)


def release_hold(fingerprint: str, gateway: str) -> int:
    """Release a held request at every gateway."""

    def show(_answer: dict[str, Any]) -> None:
        print(f"{fingerprint}: released")

    return _call_gateway(gateway, lambda client: client.async_release(fingerprint), show)


def list_controls(gateway: str) -> int:
    """Print the controls that a gateway knows, as YAML."""
    return _call_gateway(gateway, lambda client: client.async_controls(), _print_yaml)


def set_control(
    kind: str, name: str, gateway: str, weight: str, cap: str, seconds: str, reason: str
) -> int:
    """Set a control at every gateway; empty texts are not sent."""
    control: dict[str, Any] = {"by": _user()}
    numbers = {"weight": weight, "cap": cap, "ends_in_seconds": seconds}
    for field, text in numbers.items():
        if not text:
            continue
        number = _number(text)
        if number is None:
            return _complain(f"{field}: {text!r}; allowed: a number", ExitCode.USAGE)
        control[field] = number
    if reason:
        control["reason"] = reason

    def show(_answer: dict[str, Any]) -> None:
        print(f"{kind}/{name}: set")

    return _call_gateway(
        gateway, lambda client: client.async_set_control(kind, name, control), show
    )


def clear_control(kind: str, name: str, gateway: str) -> int:
    """Take a control back at every gateway."""

    def show(_answer: dict[str, Any]) -> None:
        print(f"{kind}/{name}: taken back")

    return _call_gateway(gateway, lambda client: client.async_clear_control(kind, name), show)


def _number(text: str) -> int | float | None:
    """Return the JSON number that a text is, else None."""
    try:
        number = json.loads(text)
    except (ValueError, RecursionError):
        return None
    is_number = isinstance(number, int | float) and not isinstance(number, bool)
    return number if is_number else None


def _user() -> str:
    """Return the name under which the operator is logged in."""
    try:
        return getpass.getuser()
    except (OSError, KeyError):
        return "unknown"


def _call_gateway(
    gateway: str,
    call: Callable[[ApiClient], Awaitable[Result[Any, ApiError]]],
    show: Callable[[Any], None],
) -> int:
    """Make calls to a gateway, which has no address by default."""
    if not gateway:
        return _complain("gateway: the base URL of a gateway's ready address", ExitCode.USAGE)
    return _call(gateway, "", call, show)


async def _async_publish(client: ApiClient, drafts: list[RecordDraft]) -> Result[None, ApiError]:
    """Publish drafts, those without `amends` against the revisions that the entry tells."""
    revisions: dict[tuple[str, str], int] = {}
    if any(draft.amends is None for draft in drafts):
        current = await client.async_records()
        if isinstance(current, Err):
            return current
        revisions = {_key(row): row.get(ATTR_REVISION, 0) for row in current.unwrap()}
    for draft in drafts:
        label = f"{draft.kind}/{draft.name}"
        amends = draft.amends
        if amends is None:
            amends = revisions.get((draft.kind, draft.name), 0)
            print(f"{label}: amends not given, taken from the entry: {amends}")
        answer = await _async_publish_one(client, attrs.evolve(draft, amends=amends))
        if isinstance(answer, Err):
            print(f"{label}: not accepted", file=sys.stderr)
            return answer
        revision = answer.unwrap().get(ATTR_REVISION, 0)
        revisions[draft.kind, draft.name] = revision
        print(f"{label}: in force as revision {revision}")
    return Ok(None)


async def _async_publish_one(
    client: ApiClient, draft: RecordDraft
) -> Result[dict[str, Any], ApiError]:
    """Publish one record; where its outcome is unknown, ask again under the same id.

    An answer that was lost looks like a failure, and the operator would publish the record a second
    time, over a change that somebody made in between. Under its id it takes effect only once, and
    the entry answers what became of it.
    """
    for pause in _PAUSES:
        answer = await client.async_publish(draft)
        if answer.is_ok() or answer.unwrap_err().reason is not ApiReason.UNKNOWN:
            return answer
        await asyncio.sleep(pause.total_seconds())
    return await client.async_publish(draft)


def _call(
    entry: str,
    token_file: str,
    call: Callable[[ApiClient], Awaitable[Result[Any, ApiError]]],
    show: Callable[[Any], None],
) -> int:
    """Make calls to an entry and show what came, or say what went wrong."""
    token = _token(token_file)
    if isinstance(token, Err):
        return _complain(token.unwrap_err(), ExitCode.USAGE)
    base_url = Url().parse(entry or os.environ.get(ENV_ENTRY, "") or DEFAULT_ENTRY)
    if isinstance(base_url, Err):
        return _complain(f"entry: allowed: {base_url.unwrap_err()}", ExitCode.USAGE)

    async def async_run() -> Result[Any, ApiError]:
        return await call(ApiClient(base_url.unwrap(), token.unwrap()))

    answer = asyncio.run(async_run())
    if isinstance(answer, Err):
        error = answer.unwrap_err()
        return _complain(error.message, _EXIT_CODES[error.reason])
    show(answer.unwrap())
    return ExitCode.OK


def _token(token_file: str) -> Result[str, str]:
    """Return the operator's token, from the file if one is named."""
    if not token_file:
        return Ok(os.environ.get(ENV_TOKEN, "").strip())
    try:
        return Ok(Path(token_file).read_text().strip())
    except (OSError, UnicodeDecodeError) as exc:
        return Err(f"token_file: {token_file}: not readable ({type(exc).__name__})")


def _key(row: dict[str, Any]) -> tuple[str, str]:
    """Return what names a record."""
    return str(row.get(ATTR_KIND, "")), str(row.get(ATTR_NAME, ""))


def _print_yaml(data: Any) -> None:
    """Print data as YAML, its keys in the order given."""
    print(yaml.safe_dump(data, sort_keys=False, allow_unicode=True), end="")


def _complain(message: str, code: ExitCode) -> int:
    """Say what went wrong and return the exit code."""
    print(f"cranberryline: {message}", file=sys.stderr)
    return code
