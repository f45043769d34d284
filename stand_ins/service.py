"""A plain service: it echoes who asked for what, and keeps a journal of what it ran."""

import asyncio
import json
from typing import Any

import attrs

from .http import Controls, Handler, StandIn
from .journal import Journal

__all__ = ["ServiceControls", "ServiceStandIn"]

HEADER_CALL_ID = "X-Call-Id"


@attrs.define
class ServiceControls(Controls):
    """`latency_s` per run; the next `cut_bodies` answers end half way, the next `silent` never."""

    latency_s: float = 0.002
    slots: int = 64
    cut_bodies: int = 0
    cut_chunked: bool = False
    silent: int = 0
    fail_status: int = 0
    answer_bytes: int = 0


class ServiceStandIn(StandIn):
    """A plain service."""

    def __init__(self, controls: ServiceControls, name: str, journal: str = "") -> None:
        super().__init__(controls)
        self.name = name
        self.book = Journal(journal)
        self.count = len(self.book.of_kind("run"))
        self.busy = asyncio.Semaphore(controls.slots)

    def journal(self) -> Any:
        """Tell each request that ran, in the order in which it took effect."""
        return {"name": self.name, "count": self.count, "runs": self.book.of_kind("run")}

    def routes(self) -> list[Any]:
        """Take any path."""
        return [(r"/.*", _AnyHandler, {"stand_in": self})]


class _AnyHandler(Handler):
    """Run any request."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "DELETE", "PATCH", "PUT", "OPTIONS")

    async def _async_run(self) -> None:
        """Run the request: the effect first, then the answer, under the faults asked for."""
        service: ServiceStandIn = self.stand_in
        async with service.busy:
            self._note()
            await asyncio.sleep(service.controls.latency_s)
        await self._async_answer(service.controls)

    def _note(self) -> None:
        """Write the run into the journal; from here on the effect has taken place."""
        service: ServiceStandIn = self.stand_in
        service.count += 1
        self.run = service.count
        service.book.append(
            {
                "kind": "run",
                "run": self.run,
                "method": self.request.method,
                "path": self.request.uri,
                "call": self.request.headers.get(HEADER_CALL_ID, ""),
                "caller": self.request.headers.get("X-Caller", ""),
            }
        )

    async def _async_answer(self, controls: ServiceControls) -> None:
        """Answer, or fail in the way that a test asked for."""
        if controls.silent > 0:
            controls.silent -= 1
            await self.left.wait()
            return
        if controls.lose_answers > 0:
            controls.lose_answers -= 1
            self.drop()
            return
        if controls.fail_status:
            self.answer({"error": "asked for"}, controls.fail_status)
            return
        body = self._body(controls)
        self.set_header("Content-Type", "application/json")
        self.set_header("X-Served-By", self.stand_in.name)
        if controls.cut_bodies > 0:
            controls.cut_bodies -= 1
            await self._async_cut(body, controls.cut_chunked)
            return
        self.finish(body)

    def _body(self, controls: ServiceControls) -> bytes:
        """Return an answer that can be told from that to any other request."""
        data = {
            "service": self.stand_in.name,
            "run": self.run,
            "method": self.request.method,
            "path": self.request.uri,
            "call": self.request.headers.get(HEADER_CALL_ID, ""),
            "caller": self.request.headers.get("X-Caller", ""),
            "echo": self.request.body.decode("utf-8", "replace"),
            "padding": "x" * controls.answer_bytes,
        }
        return json.dumps(data).encode()

    async def _async_cut(self, body: bytes, chunked: bool) -> None:
        """Send half the body, then close the connection."""
        if not chunked:
            self.set_header("Content-Length", str(len(body)))
        self.write(body[: len(body) // 2])
        await self.flush()
        self.drop()

    get = head = post = delete = patch = put = options = _async_run
