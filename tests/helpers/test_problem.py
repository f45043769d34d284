"""Problem JSON, as a client of an HTTP server sees it."""

import asyncio
import json
from collections.abc import Callable
from datetime import timedelta
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from tornado.httpclient import AsyncHTTPClient, HTTPResponse
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.problem import (
    ProblemHandler,
    problem_body,
    retry_after_seconds,
    write_problem,
)

Fetch = Callable[..., HTTPResponse]


class _Refuse(RequestHandler):
    """Refuse each request."""

    request_id = 17

    def get(self) -> None:
        """Write a problem over a header and a status that were meant for an answer."""
        self.set_header("X-Answer", "yes")
        self.write("half an answer")
        write_problem(
            self,
            503,
            "queue_full",
            "The queue is full",
            retry_after=timedelta(seconds=1.2),
            detail="Come back.",
            service="pickup-app",
        )
        write_problem(self, 500, "again", "A second refusal changes nothing")


class _Begun(RequestHandler):
    """Fail after the head of the answer has gone out."""

    async def get(self) -> None:
        """Send a head and a part of a body, then refuse."""
        self.set_header("Content-Length", "100") if self.get_argument("length", "") else None
        self.write("part")
        await self.flush()
        write_problem(self, 502, "upstream_cut", "The upstream cut its answer", ran="yes")


class _Broken(ProblemHandler):
    """Raise what no code of ours has met."""

    async def get(self) -> None:
        """Raise, after a part of the answer if asked to."""
        if self.get_argument("part", ""):
            self.write("part")
            await self.flush()
        raise RuntimeError("broken")

    def put(self) -> None:
        """Ask for an argument that is not there."""
        self.get_argument("absent")


@pytest.fixture
def fetch() -> Fetch:
    """Return a function that makes one request to a server with the handlers above."""

    def run(path: str, **options: Any) -> HTTPResponse:
        async def async_run() -> HTTPResponse:
            metrics = Metrics()
            metrics.refuse("queue_full")
            app = Application(
                [
                    ("/refuse", _Refuse),
                    ("/begun", _Begun),
                    ("/broken", _Broken),
                    ("/metrics", MetricsHandler, {"metrics": metrics}),
                ]
            )
            server = HTTPServer(app)
            sockets = bind_sockets(0, "127.0.0.1")
            server.add_sockets(sockets)
            port = sockets[0].getsockname()[1]
            try:
                url = f"http://127.0.0.1:{port}{path}"
                return await AsyncHTTPClient().fetch(url, raise_error=False, **options)
            finally:
                server.stop()
                await server.close_all_connections()

        return asyncio.run(async_run())

    return run


def test_a_refusal_has_all_members(fetch: Fetch) -> None:
    """The caller can tell why, whether it ran, and when to come back."""
    response = fetch("/refuse")
    assert response.code == 503
    assert response.headers["Content-Type"] == "application/problem+json"
    assert response.headers["Retry-After"] == "2"
    assert "X-Answer" not in response.headers
    assert json.loads(response.body) == {
        "type": "urn:cranberryline:problem:queue_full",
        "title": "The queue is full",
        "status": 503,
        "reason": "queue_full",
        "ran": "no",
        "request_id": "17",
        "detail": "Come back.",
        "service": "pickup-app",
    }


@pytest.mark.parametrize("path", ["/begun", "/begun?length=1"])
def test_an_answer_already_begun_is_cut(fetch: Fetch, path: str) -> None:
    """An upstream dies after the head and a part of its answer have gone to the caller.

    A problem appended then would be read as the rest of the body, and the answer would look whole.
    The connection is closed without the end of the body, which every client reports as an error.
    """
    with pytest.raises(Exception, match="closed|Closed"):
        fetch(path)


@pytest.mark.parametrize(
    ("method", "status", "reason", "ran"),
    [
        ("GET", 500, "internal_error", "unknown"),
        ("DELETE", 405, "method_not_allowed", "no"),
        ("PUT", 400, "bad_request", "no"),
    ],
)
def test_errors_of_the_server_are_problems(
    fetch: Fetch, method: str, status: int, reason: str, ran: str
) -> None:
    """A client that reads problems need not read tornado's pages too."""
    response = fetch("/broken", method=method, body=b"" if method == "PUT" else None)
    assert response.headers["Content-Type"] == "application/problem+json"
    body = json.loads(response.body)
    assert (body["status"], body["reason"], body["ran"]) == (status, reason, ran)


def test_a_fault_of_ours_after_the_head_cuts_the_answer(fetch: Fetch) -> None:
    """A handler raises when a part of its answer has gone out.

    Tornado on its own would write the end of the body after that part: the caller would get a
    status of 200 with half an answer in good order.
    """
    with pytest.raises(Exception, match="closed|Closed"):
        fetch("/broken?part=1")


def test_metrics_are_served(fetch: Fetch) -> None:
    """A counter shows under its reason."""
    body = fetch("/metrics").body.decode()
    assert 'cranberryline_refusals_total{reason="queue_full"} 1.0' in body
    assert "process_resident_memory_bytes" in body


def test_extra_members_cannot_change_the_promise() -> None:
    """What an upstream's error brings along can't overwrite `ran` or `reason`."""
    extra: dict[str, Any] = {"type": "x", "service": "y"}
    body = json.loads(problem_body(503, "queue_full", "Full", **extra))
    assert body["type"] == "urn:cranberryline:problem:queue_full"
    assert body["service"] == "y"


@given(st.timedeltas(min_value=timedelta(0), max_value=timedelta(days=1)))
def test_retry_after_is_never_early(duration: timedelta) -> None:
    """A caller that comes back on the second is not refused for the same wait."""
    seconds = retry_after_seconds(duration)
    assert seconds >= 1
    assert timedelta(seconds=seconds) >= duration
    assert timedelta(seconds=seconds) < duration + timedelta(seconds=1) or seconds == 1
