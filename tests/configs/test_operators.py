"""Tests of the HTTP endpoints for operators, through an HTTP client."""

import asyncio
import json
from collections.abc import Callable
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from cranberryline.configs.publish import ConfigPublisher
from cranberryline.entry.operators import OperatorContext, PeerStatus, operator_routes
from cranberryline.helpers.clock import FakeClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tokens import Identity, Role, TokenTable
from cranberryline.ports.errors import PlatformError
from tests.configs.config_fakes import DirectSource, FakeLog, service_data, weights_data

TOKEN = "operator-token-0123456789"
CALLER_TOKEN = "caller-token-0123456789abc"
TOKENS = TokenTable.of(
    [(TOKEN, Identity("lan", Role.OPERATOR)), (CALLER_TOKEN, Identity("app", Role.CALLER))]
)
PEER = PeerStatus("side-1", "side", "samplers", "usable", True, 1, 7)


class Response:
    """An HTTP response with a JSON body."""

    def __init__(self, code: int, body: bytes, headers: Any) -> None:
        self.code = code
        self.data = json.loads(body)
        self.headers = headers


class Server:
    """A server with the endpoints on a loopback port, and a client for it."""

    def __init__(self, metrics: Metrics) -> None:
        self.log = FakeLog()
        self.source = DirectSource(self.log)
        self.current = True
        self.metrics = metrics
        context = OperatorContext(
            "entry-1",
            self.source.fold,
            ConfigPublisher(self.log, self.source, FakeClock()),
            metrics,
            lambda: self.current,
            lambda: [PEER],
            TOKENS,
        )
        socket = bind_sockets(0, "127.0.0.1")[0]
        self.port = socket.getsockname()[1]
        self.http = HTTPServer(Application(operator_routes(context), log_function=lambda _: None))
        self.http.add_socket(socket)

    async def async_call(
        self, method: str, path: str, body: Any = None, token: str | None = TOKEN
    ) -> Response:
        """Send a request."""
        raw = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        response = await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method=method,
            body=raw,
            headers={"Authorization": f"Bearer {token}"} if token else {},
            raise_error=False,
        )
        return Response(response.code, response.body, response.headers)

    async def async_post(self, data: Any) -> Response:
        """Publish one record."""
        return await self.async_call("POST", "/config/records", data)


Case = Callable[[Server], Any]


@pytest.fixture
def run() -> Callable[[Case], Server]:
    """Return a function that runs a case against a server."""

    def run_case(case: Case) -> Server:
        async def async_run() -> Server:
            server = Server(Metrics())
            try:
                await case(server)
            finally:
                server.http.stop()
                await server.http.close_all_connections()
            return server

        return asyncio.run(async_run())

    return run_case


def test_publish_amend_list_history(run: Callable[[Case], Server]) -> None:
    """A record is published and amended; list and history show it with revision and author."""

    async def async_case(server: Server) -> None:
        first = await server.async_post(weights_data(1))
        assert (first.code, first.data["revision"], first.data["author"]) == (200, 1, "lan")
        second = await server.async_post(weights_data(2, 1))
        assert second.data["revision"] == 2
        listed = (await server.async_call("GET", "/config/records?kind=weights")).data
        assert [(row["revision"], row["spec"]) for row in listed["records"]] == [
            (2, {"version": 2})
        ]
        path = "/config/records/weights/samplers/history"
        history = (await server.async_call("GET", path)).data
        assert [row["revision"] for row in history["records"]] == [1, 2]

    run(async_case)


def test_conflict_response_has_the_current_revision(run: Callable[[Case], Server]) -> None:
    """The later of two amendments gets 409 with the current revision, and is counted.

    The response also has the current record, and says that the request did not run.
    """

    async def async_case(server: Server) -> None:
        await server.async_post(weights_data(1))
        await server.async_post(weights_data(2, 1))
        conflict = await server.async_post(weights_data(3, 1))
        assert (conflict.code, conflict.data["reason"], conflict.data["ran"]) == (
            409,
            "config_conflict",
            "no",
        )
        assert conflict.data["current_revision"] == 2
        assert conflict.data["current"]["spec"] == {"version": 2}
        assert "the current revision is 2" in conflict.data["detail"]
        assert conflict.headers["Content-Type"] == "application/problem+json"

    server = run(async_case)
    assert server.metrics.value("cranberryline_refusals_total", reason="config_conflict") == 1


def test_validation_errors_are_listed(run: Callable[[Case], Server]) -> None:
    """An invalid record gets 422 with each invalid key, its value and what is allowed."""

    async def async_case(server: Server) -> None:
        response = await server.async_post(service_data(concurrency=0, leave_seconds="x"))
        assert (response.code, response.data["reason"]) == (422, "config_invalid")
        found = {row["key"]: row["value"] for row in response.data["mistakes"]}
        assert found == {"spec.concurrency": 0, "spec.leave_seconds": "x"}
        assert "an integer 1..4096" in response.data["detail"]

    run(async_case)


def test_unknown_schema_gets_422(run: Callable[[Case], Server]) -> None:
    """A record of a newer release is rejected with the supported schema versions."""

    async def async_case(server: Server) -> None:
        response = await server.async_post({**weights_data(1), "schema": 5})
        assert (response.code, response.data["reason"]) == (422, "config_unknown_schema")
        assert "one of 1" in response.data["detail"]

    run(async_case)


def test_log_outage_gets_503_with_retry_after(run: Callable[[Case], Server]) -> None:
    """In an outage of the log nothing is published, and the response says when to retry."""

    async def async_case(server: Server) -> None:
        server.log.in_outage = True
        response = await server.async_post(weights_data(1))
        assert (response.code, response.data["ran"]) == (503, "no")
        assert response.headers["Retry-After"] == "5"

    run(async_case)


def test_response_to_an_append_of_unknown_outcome_has_the_record_id(
    run: Callable[[Case], Server],
) -> None:
    """All responses of the log are lost, so it is unknown whether the record was published.

    The response has the record id, with which the operator can safely repeat the request.
    """

    async def async_case(server: Server) -> None:
        lost = PlatformError("cut")  # type: ignore[arg-type]
        server.log.append_errors = [lost, lost, lost]
        response = await server.async_post({**weights_data(1), "id": "mine"})
        assert (response.code, response.data["ran"]) == (503, "unknown")
        assert response.data["record_id"] == "mine"
        again = await server.async_post({**weights_data(1), "id": "mine"})
        assert (again.code, again.data["id"]) == (200, "mine")

    run(async_case)


@pytest.mark.parametrize("body", [b"{", b"[1]", b"", b"\xff", b"[" * 100_000, b"3"])
def test_body_that_is_not_a_json_object_gets_400(
    run: Callable[[Case], Server], body: bytes
) -> None:
    """A body that is not a JSON object is rejected, and nothing is published."""

    async def async_case(server: Server) -> None:
        response = await server.async_post(body)
        assert (response.code, response.data["reason"]) == (400, "bad_json")

    assert run(async_case).log.records == []


def test_body_that_is_too_long_gets_413(run: Callable[[Case], Server]) -> None:
    """A body above the size limit is rejected."""

    async def async_case(server: Server) -> None:
        response = await server.async_post({**weights_data(1), "author": "x" * 300_000})
        assert response.code == 413

    run(async_case)


@pytest.mark.parametrize(
    ("token", "code"), [(None, 401), ("nobody-knows-this-token", 401), (CALLER_TOKEN, 403)]
)
@pytest.mark.parametrize("path", ["/config/records", "/status", "/config/records/a/b/history"])
def test_endpoints_require_an_operator_token(
    run: Callable[[Case], Server], path: str, token: str | None, code: int
) -> None:
    """Without the token of an operator no configuration or status is returned."""

    async def async_case(server: Server) -> None:
        response = await server.async_call("GET", path, token=token)
        assert response.code == code

    run(async_case)


def test_publishing_requires_an_operator_token(run: Callable[[Case], Server]) -> None:
    """Without the token of an operator nothing is published."""

    async def async_case(server: Server) -> None:
        response = await server.async_call("POST", "/config/records", weights_data(1), CALLER_TOKEN)
        assert response.code == 403

    assert run(async_case).log.records == []


@pytest.mark.parametrize(
    ("path", "reason"),
    [
        ("/config/records?kind=king", "unknown_kind"),
        ("/config/records/king/x/history", "unknown_kind"),
        ("/config/records/checkpoint/x/history", "unknown_kind"),
        ("/config/records/weights/x/history", "unknown_record"),
    ],
)
def test_unknown_names_get_404(run: Callable[[Case], Server], path: str, reason: str) -> None:
    """A request for an unknown kind or record gets 404 with the reason."""

    async def async_case(server: Server) -> None:
        response = await server.async_call("GET", path)
        assert (response.code, response.data["reason"]) == (404, reason)

    run(async_case)


def test_list_before_the_fold_is_current_gets_503(run: Callable[[Case], Server]) -> None:
    """A gateway that has not read the configuration yet must not return an empty one."""

    async def async_case(server: Server) -> None:
        server.current = False
        response = await server.async_call("GET", "/config/records")
        assert (response.code, response.data["reason"]) == (503, "not_ready")

    run(async_case)


def test_status_has_the_configuration_in_force_and_the_peers(run: Callable[[Case], Server]) -> None:
    """Status has the offset and weights of the gateway, and a row for each known peer."""

    async def async_case(server: Server) -> None:
        await server.async_post(weights_data(7))
        await server.log.async_put({"kind": "king"})
        await server.async_post(weights_data(8, 1))
        status = (await server.async_call("GET", "/status")).data
        assert status["config_offset"] == 3
        assert status["weights"] == {"samplers": {"version": 8, "revision": 3}}
        assert status["refused_records"] == {"malformed": 1}
        assert status["peers"] == [PEER.as_dict()]

    run(async_case)
