"""An entry that stops while callers, operators and trainers hold connections and go on asking."""

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
    Stage,
    async_stage,
    async_until,
)

_LONG = 16 * 2**20
_PULL = f"/trainers/{TRAINER}/pull"
_STEP = f"/trainers/{TRAINER}/steps/1"
_NEVER_S = 60.0


def _path(name: str) -> str:
    return f"/services/{SERVICE}/{name}"


def _owner_and_other(stage: Stage) -> list[Entry]:
    """Return the entry that owns the trainer's steps, then the other one."""
    by_id = {entry.cfg.vm_id: entry for entry in stage.entries}
    return [by_id[vm_id] for vm_id in rendezvous.rank(TRAINER, by_id)]


async def _async_declare(caller: Caller) -> tuple[int, bytes] | None:
    groups = [{"prompt": "Salon, mur nord", "n": 2, "max_tokens": 8}]
    body = {"service": ENGINES, "groups": groups}
    return await caller.async_call(_STEP, method="PUT", token=TRAINER_TOKEN, body=body)


def _pull_body(wait_s: float) -> dict[str, Any]:
    return {"step": 1, "cursor": "", "version": 1, "wait_s": wait_s}


def test_an_answer_that_is_still_being_sent_is_sent_to_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The stop begins while a long answer waits for a caller who reads slowly.

    The dispatcher has handed over the last part, so it counts the request no more: the connection is
    closed with what the socket had not taken, and the caller has a part of the answer.
    """

    async def scene() -> None:
        async with async_stage(monkeypatch) as stage:
            (entry,) = stage.entries
            stage.service.parts = [bytes(_LONG)]
            caller = await Caller.async_dial(entry, limit=2**10)
            caller.send(_path("long"))
            await async_until(lambda: stage.service.runs)
            await async_until(lambda: not entry.process.dispatcher.in_flight)
            stop = asyncio.ensure_future(entry.process.async_stop())
            await asyncio.sleep(0.5)
            answer = await caller.async_answer()
            assert answer is not None and len(answer[1]) == _LONG
            await stop

    asyncio.run(scene())


@pytest.mark.parametrize("turns", range(10))
def test_a_request_read_just_before_the_close_is_answered(
    monkeypatch: pytest.MonkeyPatch, turns: int
) -> None:
    """A caller's request arrives some turns of the loop before the stop closes the connections.

    Between the read from the socket and the dispatcher a request is counted nowhere: the stop sees no
    work and closes. The caller cannot tell whether the request was run.
    """
    monkeypatch.setattr(entry_app, "_LAST_REQUEST_DELAY", timedelta())
    taken: list[str] = []
    prepare = ServiceHandler.prepare

    def note(handler: ServiceHandler) -> None:
        taken.append(handler.request.path)
        prepare(handler)

    monkeypatch.setattr(ServiceHandler, "prepare", note)

    async def scene() -> None:
        async with async_stage(monkeypatch) as stage:
            (entry,) = stage.entries
            caller = await Caller.async_dial(entry)
            first = await caller.async_call(_path("first"))
            assert first is not None and first[0] == 200
            caller.send(_path("crossing"))
            for _ in range(turns):
                await asyncio.sleep(0)
            await entry.process.async_stop()
            await entry.async_end()
            answer = await caller.async_answer()
            ran = {"/crossing"} & set(stage.service.paths) or {_path("crossing")} & set(taken)
            assert answer is not None or not ran

    asyncio.run(scene())


def test_a_request_taken_late_in_a_stop_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """Callers ask now and then on connections that they keep, and the service takes a while.

    Some request is always under way, so a stop that waits until there is none goes on taking new ones up to
    its bound, and cuts those that it took last: run by an upstream, without an answer.
    """

    async def scene() -> None:
        timeout = timedelta(seconds=2)
        async with async_stage(monkeypatch, stop_timeout=timeout) as stage:
            (entry,) = stage.entries
            stage.service.delay_s = 0.5
            callers = [await Caller.async_dial(entry) for _ in range(14)]
            for caller in callers:
                caller.send(_path("first"))
            for caller in callers:
                assert await caller.async_answer() is not None
            answers: dict[str, Any] = {}

            async def async_ask(number: int, caller: Caller) -> None:
                # One begins each 0.2 s: two or three are under way at any time.
                await asyncio.sleep(0.2 * number)
                caller.send(_path(str(number)))
                answers[f"/{number}"] = await caller.async_answer()

            shutdown = Shutdown(entry.process.async_stop, timeout, entry.process.metrics)
            asks = asyncio.gather(*(async_ask(*pair) for pair in enumerate(callers)))
            await async_until(lambda: entry.process.dispatcher.in_flight)
            shutdown.request()
            outcome = await shutdown.async_wait()
            await entry.async_end()
            await asks
            cut = [path for path, answer in answers.items() if answer is None]
            assert set(cut) & set(stage.service.paths) == set()
            assert outcome is StopOutcome.GRACEFUL

    asyncio.run(scene())


def test_an_operator_s_append_under_way_is_answered(monkeypatch: pytest.MonkeyPatch) -> None:
    """An operator publishes a record, and the entry stops while the log takes its time.

    Closed without an answer, the record may be in force or not: nobody tells the operator, who publishes
    again and meets a conflict with the own record.
    """

    async def scene() -> None:
        async with async_stage(monkeypatch) as stage:
            (entry,) = stage.entries
            stage.log.append_s = 0.5
            caller = await Caller.async_dial(entry)
            record = {"kind": "weights", "name": "autres", "schema": 1, "spec": {"version": 2}}
            caller.send("/config/records", method="POST", token=OPERATOR_TOKEN, body=record)
            await async_until(lambda: stage.log.appends)
            await entry.process.async_stop()
            await entry.async_end()
            answer = await caller.async_answer()
            assert answer is not None and answer[0] == 200

    asyncio.run(scene())


@pytest.mark.parametrize("at_owner", [True, False])
def test_a_pull_that_waits_is_answered_and_holds_nothing_up(
    monkeypatch: pytest.MonkeyPatch, at_owner: bool
) -> None:
    """A trainer's pull waits for samples, here or at the step's owner, when this entry stops.

    Waited for, it holds the stop for half a minute; cut, the trainer takes the entry for broken. It gets
    an answer at once, and asks again with the same cursor.
    """

    async def scene() -> None:
        async with async_stage(monkeypatch, entries=2) as stage:
            stage.upstreams[ENGINES].delay_s = _NEVER_S
            owner, other = _owner_and_other(stage)
            entry = owner if at_owner else other
            trainer = await Caller.async_dial(entry)
            declared = await _async_declare(trainer)
            assert declared is not None and declared[0] == 200
            trainer.send(_PULL, method="POST", token=TRAINER_TOKEN, body=_pull_body(20.0))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(3):
                await entry.process.async_stop()
                await entry.async_end()
                assert await trainer.async_answer() is not None

    asyncio.run(scene())


def test_no_step_begins_anew_at_an_owner_that_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    """The owner of a trainer's steps stops, and has a caller's request to finish.

    Meanwhile the trainer declares a step at the other entry, whose VM list still shows the owner. Begun
    there, the samples hold the stop until its bound, at which callers' requests are cut too. The other
    entry takes the step itself.
    """

    async def scene() -> None:
        async with async_stage(monkeypatch, entries=2) as stage:
            stage.service.delay_s = 1.0
            stage.upstreams[ENGINES].delay_s = _NEVER_S
            owner, other = _owner_and_other(stage)
            caller = await Caller.async_dial(owner)
            caller.send(_path("slow"))
            await async_until(lambda: stage.service.runs)
            trainer = await Caller.async_dial(other)
            stop = asyncio.ensure_future(owner.process.async_stop())
            await asyncio.sleep(0.3)
            declared = await _async_declare(trainer)
            async with asyncio.timeout(5):
                await stop
                assert await caller.async_answer() is not None
            assert declared is not None and declared[0] == 200
            assert json.loads(declared[1])["samples"] == 2
            await async_until(lambda: other.process.dispatcher.in_flight)

    asyncio.run(scene())


def test_a_pull_passed_on_to_an_owner_that_stops_is_answered(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A trainer's pull waits at the step's owner, by way of another entry, when the owner stops.

    The owner answers it with what there is; were the answer lost with the connection, the other entry would
    know no such step (409), and the trainer declares it again.
    """

    async def scene() -> None:
        async with async_stage(monkeypatch, entries=2) as stage:
            stage.upstreams[ENGINES].delay_s = _NEVER_S
            owner, other = _owner_and_other(stage)
            trainer = await Caller.async_dial(other)
            declared = await _async_declare(trainer)
            assert declared is not None and declared[0] == 200
            trainer.send(_PULL, method="POST", token=TRAINER_TOKEN, body=_pull_body(20.0))
            await asyncio.sleep(0.3)
            async with asyncio.timeout(3):
                await owner.process.async_stop()
                await owner.async_end()
                answer = await trainer.async_answer()
            assert answer is not None and answer[0] == 200

    asyncio.run(scene())
