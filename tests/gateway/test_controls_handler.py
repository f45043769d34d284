"""The calls by which operators list, set and take back controls."""

import asyncio
import json
from collections.abc import Awaitable, Callable
from datetime import datetime, timedelta
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient

from cranberryline.controls.const import MAX_CONTROLS
from cranberryline.controls.records import ControlRecord, encode_control
from cranberryline.platform.const import TOPIC_CONTROLS
from cranberryline.upstreams.directory import Registration

from .controls_server import ControlsServer, async_serve_controls

_Call = Callable[..., Awaitable[tuple[int, dict[str, Any]]]]


def _run(scenario: Callable[[ControlsServer, _Call], Awaitable[None]]) -> None:
    async def async_run() -> None:
        async with async_serve_controls() as server:

            async def async_call(
                method: str, path: str = "", body: bytes | None = None
            ) -> tuple[int, dict[str, Any]]:
                answer = await AsyncHTTPClient(force_instance=True).fetch(
                    f"{server.url}/controls{path}",
                    method=method,
                    body=body,
                    allow_nonstandard_methods=True,
                    raise_error=False,
                )
                return answer.code, json.loads(answer.body)

            await scenario(server, async_call)

    asyncio.run(async_run())


def test_control_is_listed_with_who_set_it_and_until_when() -> None:
    """Operators would not know whom to ask before they take it back."""

    async def scenario(_server: ControlsServer, call: _Call) -> None:
        body = b'{"weight": 2, "cap": 9, "by": "ada", "reason": "new run", "ends_in_seconds": 60}'
        assert (await call("PUT", "/trainer/m%2F0%20x", body))[0] == 200
        assert (await call("PUT", "/vm/n1", b"{}"))[0] == 200
        code, answer = await call("GET")
        share, cordon = answer["controls"]
        since, until = (datetime.fromisoformat(share.pop(key)) for key in ("since", "until"))
        assert code == 200 and until - since == timedelta(seconds=60)
        assert share == {
            "kind": "trainer",
            "name": "m/0 x",
            "weight": 2,
            "cap": 9,
            "by": "ada",
            "set_at": "n0",
            "reason": "new run",
            "in_force": True,
            "why_not": "",
            "ignored_for": [],
        }
        assert (cordon["kind"], cordon["by"], cordon["until"]) == ("vm", "127.0.0.1", None)
        assert "weight" not in cordon
        assert (await call("GET", "/vm/n1"))[1]["controls"] == [cordon]
        assert (await call("DELETE", "/vm/n1"))[0] == 200
        assert (await call("GET", "/vm/n1"))[0] == 404
        assert (await call("DELETE", "/vm/n1"))[1]["reason"] == "unknown_control"

    _run(scenario)


def test_cordon_of_the_last_upstream_is_listed_as_not_in_force() -> None:
    """An operator who waits for the upstream to run empty learns why it does not."""

    async def scenario(server: ControlsServer, call: _Call) -> None:
        registration = Registration("a", "files", "10.0.0.1:80", "levis", 4, False, {}, 100)
        server.harness.directory.put(registration)
        await call("PUT", "/upstream/a", b"{}")
        (row,) = (await call("GET"))[1]["controls"]
        assert not row["in_force"] and row["ignored_for"] == ["files"]
        assert row["why_not"] == "no upstream would be left of files"
        assert len(server.harness.table.usable("files")) == 1

    _run(scenario)


@pytest.mark.parametrize(
    ("path", "body", "field"),
    [
        ("", b"{}", "kind"),
        ("/engine/a", b"{}", "kind"),
        ("/vm/", b"{}", "name"),
        ("/vm/a%00b", b"{}", "name"),
        ("/vm/" + "x" * 161, b"{}", "name"),
        ("/trainer/t", b'{"weight": NaN}', "weight"),
        ("/trainer/t", b'{"weight": 2, "colour": 1}', "colour"),
        ("/trainer/t", b"weight=2", "body"),
        ("/vm/a", b'{"ends_in_seconds": 86401}', "ends_in_seconds"),
    ],
)
def test_bad_input_is_refused_with_its_field(path: str, body: bytes, field: str) -> None:
    """Nothing of it may be written."""

    async def scenario(server: ControlsServer, call: _Call) -> None:
        code, problem = await call("PUT", path, body)
        assert (code, problem["reason"], problem["field"]) == (400, "bad_control", field)
        assert problem["ran"] == "no" and problem["detail"].startswith(f"{field}: ")
        assert server.log.appends == 0

    _run(scenario)


def test_name_that_is_no_utf8_is_refused() -> None:
    """Such bytes can't stand in a record's key."""

    async def scenario(server: ControlsServer, call: _Call) -> None:
        assert (await call("PUT", "/vm/%ff", b"{}"))[0] == 400
        assert server.log.appends == 0

    _run(scenario)


def test_unconfirmed_change_is_told_as_unknown(monkeypatch: pytest.MonkeyPatch) -> None:
    """The store may have taken it; told as refused, the operator would rely on the state before."""
    monkeypatch.setattr("cranberryline.controls.writer._APPEND_TIMEOUT", timedelta(seconds=0.1))

    async def scenario(server: ControlsServer, call: _Call) -> None:
        await call("PUT", "/vm/n1", b"{}")
        server.log.lost = 2
        for method, body in (("PUT", b"{}"), ("DELETE", None)):
            code, problem = await call(method, "/vm/n1", body)
            assert (code, problem["reason"]) == (503, "store_unavailable")
            assert problem["ran"] == "unknown"
        server.log.refusing = lambda _topic, _part: True
        assert (await call("PUT", "/vm/n1", b"{}"))[0] == 503
        assert (await call("DELETE", "/vm/n1"))[0] == 503

    _run(scenario)


def test_number_of_controls_is_limited() -> None:
    """A script that sets controls in a loop would fill the memory of all gateways."""

    async def scenario(server: ControlsServer, call: _Call) -> None:
        value = encode_control(ControlRecord("n0", "ada", 1.0))
        for number in range(MAX_CONTROLS):
            server.log.put(TOPIC_CONTROLS, f"vm/v{number}", value)
        await asyncio.sleep(0.2)
        code, problem = await call("PUT", "/vm/one-more", b"{}")
        assert (code, problem["reason"]) == (409, "too_many_controls")
        assert (await call("PUT", "/vm/v7", b"{}"))[0] == 200
        assert (await call("DELETE", "/vm/v8"))[0] == 200
        assert (await call("PUT", "/vm/one-more", b"{}"))[0] == 200

    _run(scenario)
