"""Graceful shutdown of an entry while callers, operators and trainers keep sending requests."""

import asyncio
import json
from datetime import timedelta
from typing import Any

import pytest

from cranberryline.decisions import rendezvous
from cranberryline.entry import app as entry_app
from cranberryline.entry.proxy import ServiceHandler
from cranberryline.helpers.shutdown import Shutdown, StopOutcome

from .entry_process import (
    ENGINES,
    OPERATOR_TOKEN,
    SERVICE,
    TRAINER,
    TRAINER_TOKEN,
    Caller,
    Entry,
    EntryCluster,
    async_start_cluster,
    async_until,
)

_LONG_BODY_BYTES = 16 * 2**20
_PULL_PATH = f"/trainers/{TRAINER}/pull"
_STEP_PATH = f"/trainers/{TRAINER}/steps/1"
_LONGER_THAN_THE_TEST_S = 60.0


def _path(name: str) -> str:
    return f"/services/{SERVICE}/{name}"


def _owner_and_other(cluster: EntryCluster) -> list[Entry]:
    """Return the entry that owns the trainer's steps, then the other one."""
    by_id = {entry.cfg.vm_id: entry for entry in cluster.entries}
    return [by_id[vm_id] for vm_id in rendezvous.rank(TRAINER, by_id)]


async def _async_declare_step(caller: Caller) -> tuple[int, bytes] | None:
    groups = [{"prompt": "Salon, mur nord", "n": 2, "max_tokens": 8}]
    body = {"service": ENGINES, "groups": groups}
    return await caller.async_call(_STEP_PATH, method="PUT", token=TRAINER_TOKEN, body=body)


def _pull_body(wait_s: float) -> dict[str, Any]:
    return {"step": 1, "cursor": "", "version": 1, "wait_s": wait_s}


def test_response_to_a_slow_reader_is_sent_completely(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The shutdown begins while a long response is being sent to a caller that reads slowly.

    The dispatcher has delivered the last chunk and no longer counts the request as in flight. If
    the connection is closed then, unsent data is lost and the caller gets a truncated response.
    """

    async def async_scenario() -> None:
        async with async_start_cluster(monkeypatch) as cluster:
            (entry,) = cluster.entries
            cluster.service.parts = [bytes(_LONG_BODY_BYTES)]
            caller = await Caller.async_connect(entry, limit=2**10)
            caller.send(_path("long"))
            await async_until(lambda: cluster.service.runs)
            await async_until(lambda: not entry.process.dispatcher.in_flight)
            shutdown_task = asyncio.ensure_future(entry.process.async_stop())
            await asyncio.sleep(0.5)
            response = await caller.async_read_response()
            assert response is not None and len(response[1]) == _LONG_BODY_BYTES
            await shutdown_task

    asyncio.run(async_scenario())


@pytest.mark.parametrize("loop_iterations", range(10))
def test_request_read_just_before_the_close_gets_a_response(
    monkeypatch: pytest.MonkeyPatch, loop_iterations: int
) -> None:
    """A request arrives a few event loop iterations before the shutdown closes the connections.

    Between the read from the socket and the dispatcher, a request is not yet counted as in flight:
    the shutdown sees no work and closes the connection. The caller cannot tell whether its request
    was run.
    """
    monkeypatch.setattr(entry_app, "_LAST_REQUEST_DELAY", timedelta())
    handled: list[str] = []
    prepare = ServiceHandler.prepare

    def prepare_and_record(handler: ServiceHandler) -> None:
        handled.append(handler.request.path)
        prepare(handler)

    monkeypatch.setattr(ServiceHandler, "prepare", prepare_and_record)

    async def async_scenario() -> None:
        async with async_start_cluster(monkeypatch) as cluster:
            (entry,) = cluster.entries
            caller = await Caller.async_connect(entry)
            first = await caller.async_call(_path("first"))
            assert first is not None and first[0] == 200
            caller.send(_path("crossing"))
            for _ in range(loop_iterations):
                await asyncio.sleep(0)
            await entry.process.async_stop()
            await entry.async_terminate()
            response = await caller.async_read_response()
            ran = {"/crossing"} & set(cluster.service.paths) or {_path("crossing")} & set(handled)
            assert response is not None or not ran

    asyncio.run(async_scenario())


def test_request_accepted_late_in_a_shutdown_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Callers keep sending requests over persistent connections to a slow service.

    Some request is always in flight. A shutdown that only waits until there is none keeps accepting
    new ones until its timeout, and then aborts the last ones, which an upstream has run.
    """

    async def async_scenario() -> None:
        timeout = timedelta(seconds=2)
        async with async_start_cluster(monkeypatch, stop_timeout=timeout) as cluster:
            (entry,) = cluster.entries
            cluster.service.delay_s = 0.5
            callers = [await Caller.async_connect(entry) for _ in range(14)]
            for caller in callers:
                caller.send(_path("first"))
            for caller in callers:
                assert await caller.async_read_response() is not None
            responses: dict[str, Any] = {}

            async def async_send_at(number: int, caller: Caller) -> None:
                # One request starts every 0.2 s, so two or three are in flight at any time.
                await asyncio.sleep(0.2 * number)
                caller.send(_path(str(number)))
                responses[f"/{number}"] = await caller.async_read_response()

            shutdown = Shutdown(entry.process.async_stop, timeout, entry.process.metrics)
            calls = asyncio.gather(*(async_send_at(*pair) for pair in enumerate(callers)))
            await async_until(lambda: entry.process.dispatcher.in_flight)
            shutdown.request()
            outcome = await shutdown.async_wait()
            await entry.async_terminate()
            await calls
            unanswered = [path for path, response in responses.items() if response is None]
            assert set(unanswered) & set(cluster.service.paths) == set()
            assert outcome is StopOutcome.GRACEFUL

    asyncio.run(async_scenario())


def test_pending_append_of_an_operator_gets_a_response(monkeypatch: pytest.MonkeyPatch) -> None:
    """An operator publishes a record, and the entry shuts down before the log has confirmed it.

    If the connection is closed without a response, the operator does not know whether the record
    was accepted, publishes it again and gets a conflict with the first one.
    """

    async def async_scenario() -> None:
        async with async_start_cluster(monkeypatch) as cluster:
            (entry,) = cluster.entries
            cluster.log.append_delay_s = 0.5
            caller = await Caller.async_connect(entry)
            record = {"kind": "weights", "name": "autres", "schema": 1, "spec": {"version": 2}}
            caller.send("/config/records", method="POST", token=OPERATOR_TOKEN, body=record)
            await async_until(lambda: cluster.log.appends)
            await entry.process.async_stop()
            await entry.async_terminate()
            response = await caller.async_read_response()
            assert response is not None and response[0] == 200

    asyncio.run(async_scenario())


@pytest.mark.parametrize("at_owner", [True, False])
def test_waiting_pull_gets_a_response_and_does_not_delay_the_shutdown(
    monkeypatch: pytest.MonkeyPatch, at_owner: bool
) -> None:
    """A trainer's pull waits for samples, locally or at the step's owner, during a shutdown.

    Waiting for it would delay the shutdown by up to half a minute, and if its connection were
    closed the trainer would consider the entry broken. It must get a response at once; the trainer
    pulls again with the same cursor.
    """

    async def async_scenario() -> None:
        async with async_start_cluster(monkeypatch, entries=2) as cluster:
            cluster.upstreams[ENGINES].delay_s = _LONGER_THAN_THE_TEST_S
            owner, other = _owner_and_other(cluster)
            entry = owner if at_owner else other
            trainer = await Caller.async_connect(entry)
            declare_response = await _async_declare_step(trainer)
            assert declare_response is not None and declare_response[0] == 200
            trainer.send(_PULL_PATH, method="POST", token=TRAINER_TOKEN, body=_pull_body(20.0))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(3):
                await entry.process.async_stop()
                await entry.async_terminate()
                assert await trainer.async_read_response() is not None

    asyncio.run(async_scenario())


def test_step_is_not_declared_at_an_owner_that_is_shutting_down(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The owner of a trainer's steps shuts down while it still has a caller's request to finish.

    Meanwhile the trainer declares a step at the other entry, whose VM list still contains the
    owner. If the step started at the owner, its samples would delay the shutdown until its timeout,
    when callers' requests are aborted as well. The other entry must run the step itself.
    """

    async def async_scenario() -> None:
        async with async_start_cluster(monkeypatch, entries=2) as cluster:
            cluster.service.delay_s = 1.0
            cluster.upstreams[ENGINES].delay_s = _LONGER_THAN_THE_TEST_S
            owner, other = _owner_and_other(cluster)
            caller = await Caller.async_connect(owner)
            caller.send(_path("slow"))
            await async_until(lambda: cluster.service.runs)
            trainer = await Caller.async_connect(other)
            shutdown_task = asyncio.ensure_future(owner.process.async_stop())
            await asyncio.sleep(0.3)
            declare_response = await _async_declare_step(trainer)
            async with asyncio.timeout(5):
                await shutdown_task
                assert await caller.async_read_response() is not None
            assert declare_response is not None and declare_response[0] == 200
            assert json.loads(declare_response[1])["samples"] == 2
            await async_until(lambda: other.process.dispatcher.in_flight)

    asyncio.run(async_scenario())


def test_pull_forwarded_to_an_owner_that_is_shutting_down_gets_a_response(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A trainer's pull, forwarded by another entry, waits at the step's owner when it shuts down.

    The owner responds with the samples that are finished. If that response were lost with the
    connection, the other entry would respond that it does not know the step (409), and the trainer
    would have to declare it again.
    """

    async def async_scenario() -> None:
        async with async_start_cluster(monkeypatch, entries=2) as cluster:
            cluster.upstreams[ENGINES].delay_s = _LONGER_THAN_THE_TEST_S
            owner, other = _owner_and_other(cluster)
            trainer = await Caller.async_connect(other)
            declare_response = await _async_declare_step(trainer)
            assert declare_response is not None and declare_response[0] == 200
            trainer.send(_PULL_PATH, method="POST", token=TRAINER_TOKEN, body=_pull_body(20.0))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(3):
                await owner.process.async_stop()
                await owner.async_terminate()
                response = await trainer.async_read_response()
            assert response is not None and response[0] == 200

    asyncio.run(async_scenario())
