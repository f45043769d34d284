"""Which callers' requests the HTTP handlers forward to side processes, and which they reject."""

import asyncio
import json
from collections.abc import Iterator
from typing import Any

import pytest
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.simple_httpclient import HTTPStreamClosedError
from tornado.testing import bind_unused_port
from tornado.web import Application

from cranberryline.entry.proxy import CompletionHandler, ProxyContext, ServiceHandler
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.tokens import Identity, Role, TokenTable
from cranberryline.transport import Exchange
from cranberryline.transport.model import Chunk, Failed, Head, Submit
from tests.dispatch.conftest import DispatcherHarness, FakeSideProcess

TOKEN = "a-token-of-sixteen-characters"


def _send_truncated_response(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Head(msg.id, 200, (("Content-Type", "text/plain"),)))
    exchange.push(Chunk(msg.id, 0, b"a part"))
    exchange.push(Failed(msg.id, "upstream_cut", "yes"))


class ProxyHarness:
    """The callers' HTTP endpoints with two fake side processes, in their own event loop."""

    def __init__(self, runner: asyncio.Runner) -> None:
        self._runner = runner
        self.harness = DispatcherHarness(SystemClock())
        self.harness.publish("service", "redacteurs", {"type": "engine", "model": "rooms"})
        self.harness.publish("caller", "routing", {"share": 1, "class": "background"})
        self.side = self.harness.add_upstream("up-1")
        self.harness.service = "redacteurs"
        self.engine = self.harness.add_upstream("up-2")
        self.ready = True
        self.server, self.port = runner.run(self._async_listen())

    async def _async_listen(self) -> tuple[HTTPServer, int]:
        tokens = TokenTable.of([(TOKEN, Identity("routing", Role.CALLER))])
        context = ProxyContext(
            self.harness.clock,
            self.harness.metrics,
            self.harness.dispatcher,
            self.harness.book,
            tokens,
            lambda: self.ready,
            get_logger("test"),
        )
        args = {"context": context}
        routes = [
            (r"/services/([^/]+)/(.*)", ServiceHandler, args),
            (r"/v1/(completions|chat/completions)", CompletionHandler, args),
        ]
        sock, port = bind_unused_port()
        server = HTTPServer(Application(routes, log_function=lambda _: None))
        server.add_sockets([sock])
        return server, port

    def call(self, path: str, body: Any = None, **headers: str) -> HTTPResponse:
        """Send a request; a body makes it a POST."""
        names = {name.replace("_", "-"): value for name, value in headers.items()}
        method = "GET" if body is None else "POST"
        data = body if body is None or isinstance(body, bytes) else json.dumps(body)
        url = f"http://127.0.0.1:{self.port}{path}"
        return self._runner.run(self._async_fetch(url, method, data, names))

    async def _async_fetch(self, url: str, method: str, body: Any, headers: Any) -> HTTPResponse:
        client = AsyncHTTPClient(force_instance=True)
        try:
            return await client.fetch(
                url, method=method, body=body, headers=headers, raise_error=False
            )
        finally:
            client.close()


@pytest.fixture
def proxy() -> Iterator[ProxyHarness]:
    """Return a server that listens until the test ends."""
    with asyncio.Runner() as runner:
        proxy = ProxyHarness(runner)
        yield proxy
        proxy.server.stop()


def test_path_and_query_are_forwarded_unchanged(proxy: ProxyHarness) -> None:
    """An escaped slash is not decoded, and the query parameters are not reordered."""
    assert proxy.call("/services/dossiers/a%2Fb/%C3%A9?y=1&x=%20").code == 200
    assert proxy.side.submits[0].path == "/a%2Fb/%C3%A9?y=1&x=%20"


def test_headers_for_the_entry_are_not_forwarded(proxy: ProxyHarness) -> None:
    """A valid caller token is removed; any other Authorization header is for the upstream."""
    proxy.call("/services/dossiers/x", Authorization=f"Bearer {TOKEN}", X_Deadline_Ms="500")
    proxy.call("/services/dossiers/x", Authorization="Bearer theirs")
    names = [{name.lower() for name, _ in msg.headers} for msg in proxy.side.submits]
    assert "authorization" not in names[0]
    assert "x-deadline-ms" not in names[0]
    assert "authorization" in names[1]


def test_callers_record_limits_its_priority_class(proxy: ProxyHarness) -> None:
    """A caller configured as background cannot raise its priority with X-Priority."""
    proxy.call("/services/dossiers/x", Authorization=f"Bearer {TOKEN}", X_Priority="application")
    proxy.call("/services/dossiers/x", X_Caller="other", X_Priority="trainer")
    assert [msg.priority for msg in proxy.side.submits] == [2, 1]


def test_method_sets_the_default_of_idempotent(proxy: ProxyHarness) -> None:
    """POST is idempotent only with X-Idempotent; an idempotency key is scoped to its caller."""
    proxy.call("/services/dossiers/x", b"1")
    proxy.call("/services/dossiers/x", b"1", X_Idempotent="true")
    proxy.call("/services/dossiers/x", b"1", Idempotency_Key="k", X_Caller="one")
    proxy.call("/services/dossiers/x", b"1", Idempotency_Key="k", X_Caller="two")
    assert [msg.idempotent for msg in proxy.side.submits] == [False, True, False, False]
    assert proxy.side.submits[2].key != proxy.side.submits[3].key


def test_invalid_requests_get_a_problem_and_reach_no_upstream(proxy: ProxyHarness) -> None:
    """Each problem states that the request was not run, and has a request id."""
    responses = [
        proxy.call("/services/nothing/x"),
        proxy.call("/services/dossiers/x", X_Priority="urgent"),
        proxy.call("/services/dossiers/x", X_Deadline_Ms="soon"),
        proxy.call("/services/dossiers/x", X_Idempotent="maybe"),
        proxy.call("/services/dossiers/x", b"", Idempotency_Key="k" * 256),
        proxy.call("/v1/completions", b"{"),
        proxy.call("/v1/completions", {"prompt": "no model"}),
        proxy.call("/v1/completions", {"model": "rooms", "max_tokens": 0}),
        proxy.call("/v1/completions", {"model": "unknown"}),
    ]
    assert [resp.code for resp in responses] == [404, 400, 400, 400, 400, 400, 400, 400, 404]
    problems = [json.loads(response.body) for response in responses]
    assert {problem["ran"] for problem in problems} == {"no"}
    assert all(problem["request_id"] for problem in problems)
    assert proxy.side.submits == proxy.engine.submits == []


def test_no_service_is_reported_unknown_before_the_configuration_is_loaded(
    proxy: ProxyHarness,
) -> None:
    """An entry that has just started responds 503 with Retry-After instead of 404."""
    proxy.ready = False
    response = proxy.call("/services/dossiers/x")
    assert response.code == 503
    assert response.headers["Retry-After"]
    assert json.loads(response.body)["reason"] == "not_ready"


def test_completion_is_forwarded_to_the_service_of_its_model(proxy: ProxyHarness) -> None:
    """Its token count is that of the prompt, estimated at 4 characters each, plus max_tokens."""
    body = {"model": "rooms", "prompt": "x" * 40, "max_tokens": 100}
    assert proxy.call("/v1/completions", body).code == 200
    assert (proxy.engine.submits[0].path, proxy.engine.submits[0].tokens) == (
        "/v1/completions",
        110,
    )


def test_truncated_response_is_truncated_for_the_caller(proxy: ProxyHarness) -> None:
    """The entry closes the connection early instead of ending the body as if it were complete."""
    proxy.side.script = _send_truncated_response
    with pytest.raises(HTTPStreamClosedError):
        proxy.call("/services/dossiers/x")


def test_requests_and_responses_are_counted(proxy: ProxyHarness) -> None:
    """One request increments the request and response counters and the latency histogram once."""
    proxy.call("/services/dossiers/x")
    metrics = proxy.harness.metrics
    assert metrics.value("cranberryline_requests_total", kind="service") == 1
    assert metrics.value("cranberryline_answers_total", kind="service") == 1
    assert metrics.value("cranberryline_request_seconds_count", kind="service") == 1
