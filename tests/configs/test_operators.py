"""The operators' endpoints, as a client of the HTTP server sees them."""

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


class Answer:
    """What came back."""

    def __init__(self, code: int, body: bytes, headers: Any) -> None:
        self.code = code
        self.data = json.loads(body)
        self.headers = headers


class Server:
    """The endpoints on a loopback port, and a client."""

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
    ) -> Answer:
        """Make one call."""
        raw = body if isinstance(body, bytes | None) else json.dumps(body).encode()
        response = await AsyncHTTPClient().fetch(
            f"http://127.0.0.1:{self.port}{path}",
            method=method,
            body=raw,
            headers={"Authorization": f"Bearer {token}"} if token else {},
            raise_error=False,
        )
        return Answer(response.code, response.body, response.headers)

    async def async_post(self, data: Any) -> Answer:
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


def test_conflict_says_what_to_do(run: Callable[[Case], Server]) -> None:
    """The loser gets 409 with the current revision and record, told as not run, and counted."""

    async def async_case(server: Server) -> None:
        await server.async_post(weights_data(1))
        await server.async_post(weights_data(2, 1))
        lost = await server.async_post(weights_data(3, 1))
        assert (lost.code, lost.data["reason"], lost.data["ran"]) == (409, "config_conflict", "no")
        assert lost.data["current_revision"] == 2
        assert lost.data["current"]["spec"] == {"version": 2}
        assert "the current revision is 2" in lost.data["detail"]
        assert lost.headers["Content-Type"] == "application/problem+json"

    server = run(async_case)
    assert server.metrics.value("cranberryline_refusals_total", reason="config_conflict") == 1


def test_mistakes_are_listed(run: Callable[[Case], Server]) -> None:
    """A record with mistakes gets 422 with each key, value and what is allowed."""

    async def async_case(server: Server) -> None:
        answer = await server.async_post(service_data(concurrency=0, leave_seconds="x"))
        assert (answer.code, answer.data["reason"]) == (422, "config_invalid")
        found = {row["key"]: row["value"] for row in answer.data["mistakes"]}
        assert found == {"spec.concurrency": 0, "spec.leave_seconds": "x"}
        assert "an integer 1..4096" in answer.data["detail"]

    run(async_case)


def test_unknown_schema_gets_422(run: Callable[[Case], Server]) -> None:
    """A record of a newer release is refused with the versions known here."""

    async def async_case(server: Server) -> None:
        answer = await server.async_post({**weights_data(1), "schema": 5})
        assert (answer.code, answer.data["reason"]) == (422, "config_unknown_schema")
        assert "one of 1" in answer.data["detail"]

    run(async_case)


def test_log_outage_gets_503_with_retry_after(run: Callable[[Case], Server]) -> None:
    """While the log is out nothing is published, and the answer says when to come back."""

    async def async_case(server: Server) -> None:
        server.log.out = True
        answer = await server.async_post(weights_data(1))
        assert (answer.code, answer.data["ran"]) == (503, "no")
        assert answer.headers["Retry-After"] == "5"

    run(async_case)


def test_lost_answers_that_stay_unknown_name_the_record_id(run: Callable[[Case], Server]) -> None:
    """Whether it was published cannot be told; the answer names the id to repeat it with."""

    async def async_case(server: Server) -> None:
        lost = PlatformError("cut")  # type: ignore[arg-type]
        server.log.append_errors = [lost, lost, lost]
        answer = await server.async_post({**weights_data(1), "id": "mine"})
        assert (answer.code, answer.data["ran"]) == (503, "unknown")
        assert answer.data["record_id"] == "mine"
        again = await server.async_post({**weights_data(1), "id": "mine"})
        assert (again.code, again.data["id"]) == (200, "mine")

    run(async_case)


@pytest.mark.parametrize("body", [b"{", b"[1]", b"", b"\xff", b"[" * 100_000, b"3"])
def test_body_that_is_no_object_gets_400(run: Callable[[Case], Server], body: bytes) -> None:
    """Bytes that are not a JSON object are refused and change nothing."""

    async def async_case(server: Server) -> None:
        answer = await server.async_post(body)
        assert (answer.code, answer.data["reason"]) == (400, "bad_json")

    assert run(async_case).log.records == []


def test_too_long_a_body_gets_413(run: Callable[[Case], Server]) -> None:
    """A record has a bounded size."""

    async def async_case(server: Server) -> None:
        answer = await server.async_post({**weights_data(1), "author": "x" * 300_000})
        assert answer.code == 413

    run(async_case)


@pytest.mark.parametrize(
    ("token", "code"), [(None, 401), ("nobody-knows-this-token", 401), (CALLER_TOKEN, 403)]
)
@pytest.mark.parametrize("path", ["/config/records", "/status", "/config/records/a/b/history"])
def test_endpoints_ask_for_an_operators_token(
    run: Callable[[Case], Server], path: str, token: str | None, code: int
) -> None:
    """Without an operator's token nothing is shown."""

    async def async_case(server: Server) -> None:
        answer = await server.async_call("GET", path, token=token)
        assert answer.code == code

    run(async_case)


def test_publishing_asks_for_an_operators_token(run: Callable[[Case], Server]) -> None:
    """Without an operator's token nothing is published."""

    async def async_case(server: Server) -> None:
        answer = await server.async_call("POST", "/config/records", weights_data(1), CALLER_TOKEN)
        assert answer.code == 403

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
    """An unknown kind or record is told as such."""

    async def async_case(server: Server) -> None:
        answer = await server.async_call("GET", path)
        assert (answer.code, answer.data["reason"]) == (404, reason)

    run(async_case)


def test_list_before_the_fold_is_current_gets_503(run: Callable[[Case], Server]) -> None:
    """An entry that does not know the configuration yet does not show an empty one."""

    async def async_case(server: Server) -> None:
        server.current = False
        answer = await server.async_call("GET", "/config/records")
        assert (answer.code, answer.data["reason"]) == (503, "not_ready")

    run(async_case)


def test_status_shows_what_is_in_force_where(run: Callable[[Case], Server]) -> None:
    """Status has the entry's offset and weights, and a row for each process it knows."""

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
