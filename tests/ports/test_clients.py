"""The HTTP clients against the stand-ins, in one process over loopback."""

import asyncio
import json
import socket
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import pytest

from cranberryline.ports import (
    HttpEngine,
    HttpLog,
    HttpPlainService,
    HttpVmList,
    PlatformReason,
    UpstreamCut,
)
from cranberryline.ports.model import UpstreamBody, UpstreamRequest
from cranberryline.upstreams import Membership
from stand_ins.engine import EngineControls, EngineStandIn
from stand_ins.http import StandIn, async_listen
from stand_ins.log import LogControls, LogStandIn
from stand_ins.service import ServiceControls, ServiceStandIn
from stand_ins.store import StoreControls, StoreStandIn
from stand_ins.text import check_text
from stand_ins.vms import VmsControls, VmsStandIn

_TIMEOUT = timedelta(seconds=3)
_SHORT = timedelta(seconds=0.2)
_GET = UpstreamRequest("GET", "/files/7?full=1", (("X-Caller", "inspector"),))


def _run(coro: Coroutine[Any, Any, None]) -> None:
    asyncio.run(coro)


async def _async_url(stand_in: StandIn) -> str:
    _, port = await async_listen(stand_in)
    return f"http://127.0.0.1:{port}"


async def _async_body(body: UpstreamBody) -> bytes:
    return b"".join([chunk async for chunk in body.chunks()])


def _closed_port() -> int:
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return int(sock.getsockname()[1])


def test_refused_connection_has_not_run() -> None:
    """Nothing listens, so no byte was sent, and the error vouches for that."""

    async def async_main() -> None:
        client = HttpPlainService(f"http://127.0.0.1:{_closed_port()}")
        err = (await client.async_send(_GET, _TIMEOUT)).unwrap_err()
        assert (err.reason, err.may_have_run) == (PlatformReason.UNREACHABLE, False)

    _run(async_main())


@pytest.mark.parametrize("may_send", [True, False])
def test_a_request_that_may_not_be_sent_once_connected_leaves_no_byte(may_send: bool) -> None:
    """Guards against sending what is no longer wanted since its connection took long to be made."""

    async def async_main() -> None:
        came = asyncio.get_running_loop().create_future()

        async def async_serve(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            came.set_result(await reader.read(10))
            writer.write(b"HTTP/1.1 204 X\r\nContent-Length: 0\r\n\r\n")
            writer.close()

        server = await asyncio.start_server(async_serve, "127.0.0.1", 0)
        port = server.sockets[0].getsockname()[1]
        req = UpstreamRequest("GET", "/x", may_send=lambda: may_send)
        sent = await HttpPlainService(f"http://127.0.0.1:{port}").async_send(req, _TIMEOUT)
        assert bool(await came) is may_send and sent.is_ok() is may_send
        if not may_send:
            err = sent.unwrap_err()
            assert (err.reason, err.may_have_run) == (PlatformReason.WITHHELD, False)
        server.close()

    _run(async_main())


@pytest.mark.parametrize("chunked", [False, True])
def test_cut_body_is_not_taken_for_a_whole_one(chunked: bool) -> None:
    """The caller gets the first half, then an error.

    The service sends its head and half a body, then closes. Both framings must show it: a body
    shorter than its Content-Length, and a chunked one without its last chunk.
    """

    async def async_main() -> None:
        controls = ServiceControls(cut_bodies=1, cut_chunked=chunked)
        client = HttpPlainService(await _async_url(ServiceStandIn(controls, "s")))
        body = (await client.async_send(_GET, _TIMEOUT)).unwrap()
        with pytest.raises(UpstreamCut):
            await _async_body(body)
        assert b"inspector" in await _async_body((await client.async_send(_GET, _TIMEOUT)).unwrap())

    _run(async_main())


def test_lost_answer_may_have_run() -> None:
    """The caller sees a cut, and cannot tell that the run took place.

    The service runs the request, then the connection ends without an answer. Only the service's
    own journal knows, so the error must not say that nothing ran.
    """

    async def async_main() -> None:
        service = ServiceStandIn(ServiceControls(lose_answers=1), "s")
        client = HttpPlainService(await _async_url(service))
        err = (await client.async_send(_GET, _TIMEOUT)).unwrap_err()
        assert (err.reason, err.may_have_run) == (PlatformReason.CUT, True)
        assert service.count == 1

    _run(async_main())


def test_silent_service_times_out() -> None:
    """The connection stays open and carries nothing; the time limit ends the wait."""

    async def async_main() -> None:
        service = ServiceStandIn(ServiceControls(silent=1), "s")
        client = HttpPlainService(await _async_url(service))
        err = (await client.async_send(_GET, _SHORT)).unwrap_err()
        assert (err.reason, err.may_have_run) == (PlatformReason.TIMEOUT, True)

    _run(async_main())


def test_closing_an_answer_wakes_its_reader() -> None:
    """A reader that waits for more sees a cut as soon as another task lets go of the answer."""

    async def async_main() -> None:
        engine = EngineStandIn(EngineControls(silent_streams=1), "e", "m", "http://127.0.0.1:1")
        client = HttpEngine(await _async_url(engine))
        req = UpstreamRequest(
            "POST", "/v1/completions", (), b'{"model":"m","prompt":"p","stream":true}'
        )
        body = (await client.async_send(req, timedelta(seconds=60))).unwrap()
        reader = asyncio.create_task(_async_body(body))
        await asyncio.sleep(0.1)
        await body.async_close()
        with pytest.raises(UpstreamCut):
            await asyncio.wait_for(reader, 2)

    _run(async_main())


def test_large_body_is_held_back_by_a_slow_reader() -> None:
    """A reader that takes nothing keeps the sender waiting; then all arrives."""

    async def async_main() -> None:
        size = 8_000_000
        client = HttpPlainService(
            await _async_url(ServiceStandIn(ServiceControls(answer_bytes=size), "s"))
        )
        body = (await client.async_send(_GET, timedelta(seconds=20))).unwrap()
        await asyncio.sleep(0.2)
        assert len(await _async_body(body)) > size

    _run(async_main())


def test_head_request_has_no_body() -> None:
    """A HEAD answer's Content-Length counts no body that would be missed."""

    async def async_main() -> None:
        client = HttpPlainService(await _async_url(ServiceStandIn(ServiceControls(), "s")))
        body = (await client.async_send(UpstreamRequest("HEAD", "/x"), _TIMEOUT)).unwrap()
        assert body.head.status == 200
        assert await _async_body(body) == b""

    _run(async_main())


def test_log_append_whose_answer_is_lost_can_be_read_back() -> None:
    """The caller sees a cut, yet the record stands and is found by its id."""

    async def async_main() -> None:
        log = HttpLog(await _async_url(LogStandIn(LogControls(lose_answers=1))))
        err = (await log.async_append("config", [("a", {"x": 1})])).unwrap_err()
        assert err.may_have_run
        page = (await log.async_read("config", 1)).unwrap()
        assert [(rec.offset, rec.id) for rec in page.records] == [(1, "a")]
        assert (await log.async_append("config", [("b", {}), ("c", {})])).unwrap() == [2, 3]

    _run(async_main())


def test_log_limits_appends_and_forgets() -> None:
    """Past the rate there is a typed refusal; past the retention, reading starts at `first`."""

    async def async_main() -> None:
        log = HttpLog(await _async_url(LogStandIn(LogControls(append_rate=3, keep_records=2))))
        for n in range(3):
            assert (await log.async_append("s", [(str(n), {})])).is_ok()
        err = (await log.async_append("s", [("x", {})])).unwrap_err()
        assert err.reason is PlatformReason.RATE_LIMITED
        assert err.retry_after_s == 1.0
        page = (await log.async_read("s", 1)).unwrap()
        assert (page.first, page.next, len(page.records)) == (2, 4, 2)

    _run(async_main())


def test_log_read_waits_for_the_next_record() -> None:
    """A long poll returns with the record as soon as it is there."""

    async def async_main() -> None:
        log = HttpLog(await _async_url(LogStandIn(LogControls())))
        reading = asyncio.create_task(log.async_read("s", 1, wait=timedelta(seconds=20)))
        await asyncio.sleep(0.05)
        await log.async_append("s", [("a", {})])
        page = (await asyncio.wait_for(reading, 2)).unwrap()
        assert page.records[0].id == "a"

    _run(async_main())


def test_log_outage_is_a_refusal() -> None:
    """During an outage the log answers 503, which is a refusal with its status."""

    async def async_main() -> None:
        log = HttpLog(await _async_url(LogStandIn(LogControls(outage="refuse"))))
        err = (await log.async_read("s", 1)).unwrap_err()
        assert (err.reason, err.status) == (PlatformReason.REFUSED, 503)

    _run(async_main())


def test_vm_list_shows_a_change_after_its_lag() -> None:
    """An unchanged list is None; a change comes with a new version, later than it happened."""
    row = {"id": "e1", "role": "entry", "state": "live", "data_center": "levis", "peer": "tcp://x"}

    async def async_main() -> None:
        service = VmsStandIn(VmsControls(lag_s=0.1))
        vms = HttpVmList(await _async_url(service))
        assert (await vms.async_list(1)).unwrap() is None
        service.controls.vms = [row]
        service.changed()
        assert (await vms.async_list(1)).unwrap() is None
        got = (await vms.async_list(1, timedelta(seconds=5))).unwrap()
        assert got is not None
        assert (got.version, got.vms[0].id) == (2, "e1")

    _run(async_main())


@pytest.mark.parametrize(
    "bad",
    [
        {"id": "x1", "role": "king", "state": "live", "data_center": "levis", "peer": "tcp://x"},
        {"id": "x1", "role": "entry", "state": "undead", "data_center": "levis", "peer": "tcp://x"},
        {"id": "x1", "role": ["entry"], "state": "live", "data_center": "levis", "peer": "tcp://x"},
        {"id": "x1", "role": "entry", "state": "live", "data_center": "levis"},
        {"id": "x1", "role": "entry", "state": "live", "data_center": ["levis"], "peer": "tcp://x"},
        {"role": "entry", "state": "live", "peer": "tcp://x"},
        {},
        "e1",
        None,
    ],
)
def test_one_bad_row_does_not_refuse_the_whole_vm_list(bad: Any) -> None:
    """The rows beside a bad one are handed on, and the membership names the bad one alone.

    A platform that adds a role would otherwise cut every entry off from all further lists.
    """
    row = {"id": "e1", "role": "entry", "state": "live", "data_center": "levis", "peer": "tcp://x"}

    async def async_main() -> None:
        service = VmsStandIn(VmsControls(vms=[bad, row]))
        vms = HttpVmList(await _async_url(service))
        got = (await vms.async_list(0)).unwrap()
        assert got is not None
        members = Membership()
        applied = members.apply_list(got).unwrap()
        assert [refused.row for refused in applied.refused] == [0]
        assert [vm.id for vm in members.entries()] == ["e1"]

    _run(async_main())


def test_engine_streams_whole_answers_and_tells_versions() -> None:
    """A stream's text checks out against its prompt, and each event names its version."""

    async def async_main() -> None:
        store = await _async_url(StoreStandIn(StoreControls(fetch_s=0.0)))
        engine = EngineStandIn(EngineControls(step_s=0.002, swap_s=0.0), "e1", "m", store)
        client = HttpEngine(await _async_url(engine))
        assert (await client.async_load_weights("m", 7, 5, _TIMEOUT)).unwrap() == 7
        req = UpstreamRequest("POST", "/v1/completions", (), b'{"model":"m","prompt":"cuff"}')
        body = await _async_body((await client.async_send(req, _TIMEOUT)).unwrap())
        answer = json.loads(body)
        run = check_text("cuff", answer["choices"][0]["text"])
        row = next(row for row in engine.journal()["runs"] if row["run"] == run)
        assert row["segments"] == answer["segments"]
        assert {seg["weight_version"] for seg in answer["segments"]} == {7}

    _run(async_main())


def test_engine_refuses_an_old_fence_where_it_checks() -> None:
    """The same late order is refused by one engine and obeyed by the other."""

    async def async_main() -> None:
        store = await _async_url(StoreStandIn(StoreControls(fetch_s=0.0, fetch_rate=100)))
        for check in (True, False):
            controls = EngineControls(check_fence=check, swap_s=0.0)
            client = HttpEngine(await _async_url(EngineStandIn(controls, "e", "m", store)))
            assert (await client.async_load_weights("m", 2, 9, _TIMEOUT)).is_ok()
            late = await client.async_load_weights("m", 1, 4, _TIMEOUT)
            if check:
                assert late.unwrap_err().reason is PlatformReason.STALE_FENCE
            else:
                assert late.unwrap() == 1

    _run(async_main())


def test_engine_serves_an_unknown_version_after_a_failed_swap() -> None:
    """The order fails, the load report has no version, and the next good order mends it."""

    async def async_main() -> None:
        store = await _async_url(StoreStandIn(StoreControls(fetch_s=0.0, fetch_rate=100)))
        controls = EngineControls(fail_swaps=1, swap_s=0.0, load_lag_s=0.0)
        client = HttpEngine(await _async_url(EngineStandIn(controls, "e", "m", store)))
        assert (await client.async_load_weights("m", 2, 1, _TIMEOUT)).unwrap_err().status == 500
        await asyncio.sleep(0.05)
        assert (await client.async_load()).unwrap().weight_version is None
        assert (await client.async_load_weights("m", 2, 1, _TIMEOUT)).unwrap() == 2

    _run(async_main())


def test_engine_cancels_a_stream() -> None:
    """A cancelled stream ends cut, and a second cancel finds nothing."""

    async def async_main() -> None:
        engine = EngineStandIn(EngineControls(), "e", "m", "http://127.0.0.1:1")
        client = HttpEngine(await _async_url(engine))
        req = UpstreamRequest(
            "POST",
            "/v1/completions",
            (("X-Request-Id", "r1"),),
            b'{"model":"m","prompt":"p","stream":true,"max_tokens":4000}',
        )
        body = (await client.async_send(req, _TIMEOUT)).unwrap()
        assert (await client.async_cancel("r1")).unwrap() is True
        with pytest.raises(UpstreamCut):
            await _async_body(body)
        assert (await client.async_cancel("r1")).unwrap() is False

    _run(async_main())
