"""The callers' HTTP surface over fake side processes: what passes through, and what is refused."""

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


def _cut(side: FakeSideProcess, exchange: Exchange, msg: Submit) -> None:
    exchange.push(Head(msg.id, 200, (("Content-Type", "text/plain"),)))
    exchange.push(Chunk(msg.id, 0, b"a part"))
    exchange.push(Failed(msg.id, "upstream_cut", "yes"))


class Surface:
    """The callers' HTTP surface before two fake side processes, on a loop of its own."""

    def __init__(self, runner: asyncio.Runner) -> None:
        self._runner = runner
        self.bench = DispatcherHarness(SystemClock())
        self.bench.publish("service", "redacteurs", {"type": "engine", "model": "rooms"})
        self.bench.publish("caller", "routing", {"share": 1, "class": "background"})
        self.side = self.bench.add_upstream("up-1")
        self.bench.service = "redacteurs"
        self.engine = self.bench.add_upstream("up-2")
        self.ready = True
        self.server, self.port = runner.run(self._async_listen())

    async def _async_listen(self) -> tuple[HTTPServer, int]:
        tokens = TokenTable.of([(TOKEN, Identity("routing", Role.CALLER))])
        context = ProxyContext(
            self.bench.clock,
            self.bench.metrics,
            self.bench.dispatcher,
            self.bench.book,
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
def surface() -> Iterator[Surface]:
    """Return a surface that listens for the length of a test."""
    with asyncio.Runner() as runner:
        surface = Surface(runner)
        yield surface
        surface.server.stop()


def test_path_and_query_pass_as_they_are(surface: Surface) -> None:
    """An escaped slash stays one, and the query keeps its order."""
    assert surface.call("/services/dossiers/a%2Fb/%C3%A9?y=1&x=%20").code == 200
    assert surface.side.submits[0].path == "/a%2Fb/%C3%A9?y=1&x=%20"


def test_headers_of_ours_stay_here(surface: Surface) -> None:
    """Our token names the caller and goes no further; another one is the upstream's."""
    surface.call("/services/dossiers/x", Authorization=f"Bearer {TOKEN}", X_Deadline_Ms="500")
    surface.call("/services/dossiers/x", Authorization="Bearer theirs")
    names = [{name.lower() for name, _ in msg.headers} for msg in surface.side.submits]
    assert "authorization" not in names[0]
    assert "x-deadline-ms" not in names[0]
    assert "authorization" in names[1]


def test_a_record_bounds_a_callers_class(surface: Surface) -> None:
    """A background caller that calls itself urgent stays in the background."""
    surface.call("/services/dossiers/x", Authorization=f"Bearer {TOKEN}", X_Priority="application")
    surface.call("/services/dossiers/x", X_Caller="other", X_Priority="trainer")
    assert [msg.priority for msg in surface.side.submits] == [2, 1]


def test_methods_decide_what_may_be_repeated(surface: Surface) -> None:
    """POST is not idempotent unless the caller says so; a key is bound to its caller."""
    surface.call("/services/dossiers/x", b"1")
    surface.call("/services/dossiers/x", b"1", X_Idempotent="true")
    surface.call("/services/dossiers/x", b"1", Idempotency_Key="k", X_Caller="one")
    surface.call("/services/dossiers/x", b"1", Idempotency_Key="k", X_Caller="two")
    assert [msg.idempotent for msg in surface.side.submits] == [False, True, False, False]
    assert surface.side.submits[2].key != surface.side.submits[3].key


def test_bad_requests_get_a_problem_and_reach_nobody(surface: Surface) -> None:
    """Each names what is wrong, was not run, and is counted."""
    cases = [
        surface.call("/services/nothing/x"),
        surface.call("/services/dossiers/x", X_Priority="urgent"),
        surface.call("/services/dossiers/x", X_Deadline_Ms="soon"),
        surface.call("/services/dossiers/x", X_Idempotent="maybe"),
        surface.call("/services/dossiers/x", b"", Idempotency_Key="k" * 256),
        surface.call("/v1/completions", b"{"),
        surface.call("/v1/completions", {"prompt": "no model"}),
        surface.call("/v1/completions", {"model": "rooms", "max_tokens": 0}),
        surface.call("/v1/completions", {"model": "unknown"}),
    ]
    assert [answer.code for answer in cases] == [404, 400, 400, 400, 400, 400, 400, 400, 404]
    problems = [json.loads(answer.body) for answer in cases]
    assert {problem["ran"] for problem in problems} == {"no"}
    assert all(problem["request_id"] for problem in problems)
    assert surface.side.submits == surface.engine.submits == []


def test_before_the_configuration_nothing_is_called_unknown(surface: Surface) -> None:
    """A process that has just started says when to come back, not that there is no service."""
    surface.ready = False
    answer = surface.call("/services/dossiers/x")
    assert answer.code == 503
    assert answer.headers["Retry-After"]
    assert json.loads(answer.body)["reason"] == "not_ready"


def test_a_completion_goes_to_the_models_service(surface: Surface) -> None:
    """By the model's name; its tokens are the prompt's and those it may make."""
    body = {"model": "rooms", "prompt": "x" * 40, "max_tokens": 100}
    assert surface.call("/v1/completions", body).code == 200
    assert (surface.engine.submits[0].path, surface.engine.submits[0].tokens) == (
        "/v1/completions",
        110,
    )


def test_a_cut_answer_is_cut_for_the_caller_too(surface: Surface) -> None:
    """The caller's connection ends early; it never reads a tidy end behind a part."""
    surface.side.script = _cut
    with pytest.raises(HTTPStreamClosedError):
        surface.call("/services/dossiers/x")


def test_requests_and_answers_are_counted(surface: Surface) -> None:
    """One of each, with its time."""
    surface.call("/services/dossiers/x")
    metrics = surface.bench.metrics
    assert metrics.value("cranberryline_requests_total", kind="service") == 1
    assert metrics.value("cranberryline_answers_total", kind="service") == 1
    assert metrics.value("cranberryline_request_seconds_count", kind="service") == 1
