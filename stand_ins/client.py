"""An HTTP client for the stand-ins that call the system."""

import itertools
import json
from typing import Any

import attrs
from tornado.httpclient import HTTPRequest
from tornado.simple_httpclient import SimpleAsyncHTTPClient

__all__ = ["EntryClient", "Reply"]

MAX_CLIENTS = 1000
STATUS_NO_ANSWER = 0


@attrs.frozen
class Reply:
    """An answer; status 0 stands for a connection that failed or was cut."""

    status: int
    body: bytes = b""
    retry_after_s: float = 0.2

    @property
    def ok(self) -> bool:
        """Say whether this is a whole answer of success."""
        return 200 <= self.status < 300

    @property
    def data(self) -> Any:
        """Return the JSON body, or an empty mapping where it is none."""
        try:
            return json.loads(self.body)
        except ValueError:
            return {}

    @property
    def reason(self) -> str:
        """Return why the call was refused."""
        if self.status == STATUS_NO_ANSWER:
            return "no_answer"
        return str(self.data.get("reason", f"status_{self.status}"))

    @property
    def ran(self) -> str:
        """Return whether the refused call ran; without a word about it that is unknown."""
        return str(self.data.get("ran", "unknown"))


class EntryClient:
    """Call the entries in turn, as a balancer would spread the calls."""

    def __init__(self, entries: list[str], token: str, caller: str = "") -> None:
        self.entries = entries
        self._headers = {"Content-Type": "application/json", "Authorization": f"Bearer {token}"}
        if caller:
            self._headers["X-Caller"] = caller
        self._next = itertools.cycle(range(len(entries)))
        self._http = SimpleAsyncHTTPClient(force_instance=True, max_clients=MAX_CLIENTS)

    async def async_call(
        self,
        method: str,
        path: str,
        payload: Any = None,
        headers: dict[str, str] | None = None,
        timeout_s: float = 30.0,
        entry: int | None = None,
    ) -> Reply:
        """Make one call, through the next entry unless one is named."""
        number = next(self._next) if entry is None else entry % len(self.entries)
        req = HTTPRequest(
            self.entries[number] + path,
            method,
            headers={**self._headers, **(headers or {})},
            body=None if payload is None else json.dumps(payload),
            connect_timeout=2.0,
            request_timeout=timeout_s,
        )
        try:
            got = await self._http.fetch(req, raise_error=False)
        except Exception:  # noqa: BLE001 - whatever it was, there is no whole answer
            return Reply(STATUS_NO_ANSWER)
        if got.code == 599:
            return Reply(STATUS_NO_ANSWER)
        return Reply(got.code, got.body or b"", float(got.headers.get("Retry-After", "0.2")))

    def close(self) -> None:
        """Close the client."""
        self._http.close()
