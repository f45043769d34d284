"""The trainer's and the callers' books notice each broken promise."""

import asyncio
from collections.abc import Callable
from pathlib import Path
from typing import Any

import pytest
from tornado.escape import json_decode
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from stand_ins.books import CallBook, Told, audit_calls, audit_samples
from stand_ins.client import EntryClient
from stand_ins.deployment import load_plan
from stand_ins.journal import Journal
from stand_ins.launcher import Deployment
from stand_ins.scorer import score_of
from stand_ins.text import token_at
from stand_ins.trainer import Trainer, TrainerPlan

_VERSION = 3
_GROUPS, _SIZE = 2, 3
_RUN = "redacteurs-1#1"

Batch = dict[str, Any]


def _text(prompt: str) -> str:
    return "".join(token_at(prompt, _RUN, i, 8) for i in range(8))


class _FakeEntry(RequestHandler):
    """Serve a step in two batches; `spoil` may change a batch before it goes out."""

    def initialize(self, trainer: dict[str, Trainer], spoil: Callable[[Batch], None]) -> None:
        """Take what the test prepared."""
        self.trainer = trainer
        self.spoil = spoil

    def get(self) -> None:
        """Tell the weights in force."""
        record = {"kind": "weights", "name": "redacteurs", "revision": 1}
        self.finish({"records": [{**record, "spec": {"version": _VERSION}}]})

    def put(self) -> None:
        """Take any declaration."""
        self.finish({})

    def post(self) -> None:
        """Serve group 0 at the start, the rest at cursor "a"."""
        pull = json_decode(self.request.body)
        first = pull["cursor"] == ""
        batch = {
            "cursor": pull["cursor"],
            "next_cursor": "a" if first else "b",
            "samples": [self._sample(0 if first else 1, index) for index in range(_SIZE)],
            "done": not first,
        }
        self.spoil(batch)
        self.finish(batch)

    def _sample(self, group: int, index: int) -> dict[str, Any]:
        text = _text(self.trainer["it"].prompt(1, group))
        segments = [{"weight_version": _VERSION, "tokens": 8}]
        return {
            "group": group,
            "index": index,
            "text": text,
            "segments": segments,
            "score": score_of(text),
            "id": f"1/{group}/{index}",
        }


def _train(spoil: Callable[[Batch], None]) -> Trainer:
    """Run one step against the fake entry."""
    plan = TrainerPlan("descriptions", "redacteurs", 2, _GROUPS, _SIZE, train_s=0.0, steps=1)

    async def async_main() -> Trainer:
        made: dict[str, Trainer] = {}
        app = Application([(r"/.*", _FakeEntry, {"trainer": made, "spoil": spoil})])
        sockets = bind_sockets(0, "127.0.0.1")
        server = HTTPServer(app)
        server.add_sockets(sockets)
        client = EntryClient([f"http://127.0.0.1:{sockets[0].getsockname()[1]}"], "token")
        made["it"] = Trainer(plan, client, client)
        await made["it"].async_run(5.0)
        server.stop()
        client.close()
        return made["it"]

    return asyncio.run(async_main())


@pytest.fixture
def deployment(tmp_path: Path) -> Deployment:
    """Return a deployment that was never started, with one engine and one service journal."""
    deployment = Deployment(load_plan("beaulieu").shrunk(1), tmp_path)
    for service in ("redacteurs", "dossiers"):
        deployment.vms.append({"id": f"{service}-1", "role": "upstream", "service": service})
    engine = Journal(str(tmp_path / "redacteurs-1.journal"))
    segments = [{"weight_version": _VERSION, "tokens": 8}]
    engine.append({"kind": "run", "run": _RUN, "segments": segments})
    return deployment


def _counts(trainer: Trainer) -> tuple[int, int, int]:
    return trainer.book.duplicates, trainer.book.lost, trainer.book.over_bound


def test_honest_entry_leaves_clean_books(deployment: Deployment) -> None:
    """Nothing is counted against an entry that keeps its promises."""
    trainer = _train(lambda batch: None)
    assert len(trainer.book.received) == _GROUPS * _SIZE
    assert _counts(trainer) == (0, 0, 0)
    assert not any(audit_samples(deployment, trainer.book).values())


def test_repeated_sample_is_a_duplicate() -> None:
    """One sample twice in a batch counts once against the entry."""
    trainer = _train(lambda batch: batch["samples"].append(batch["samples"][0]))
    assert _counts(trainer) == (2, 0, 0)


def test_missing_sample_is_lost() -> None:
    """A step said to be done without all its samples has lost the rest."""
    trainer = _train(lambda batch: batch["samples"].pop())
    assert _counts(trainer) == (0, 2, 0)


def test_stale_sample_is_over_the_bound() -> None:
    """The oldest segment counts, here one of three versions ago with a bound of two."""

    def spoil(batch: Batch) -> None:
        batch["samples"][0]["segments"].append({"weight_version": _VERSION - 3, "tokens": 1})

    assert _counts(_train(spoil)) == (0, 0, 2)


def test_batch_for_another_cursor_is_not_taken() -> None:
    """A batch that does not stand at the trainer's cursor changes nothing."""
    seen: list[str] = []

    def spoil(batch: Batch) -> None:
        seen.append(batch["cursor"])
        if len(seen) == 1:
            batch["cursor"] = "elsewhere"

    trainer = _train(spoil)
    assert trainer.book.dropped_batches == 1
    assert _counts(trainer) == (0, 0, 0)


@pytest.mark.parametrize(
    ("field", "value", "fault"),
    [
        ("segments", [{"weight_version": 2, "tokens": 8}], "wrong_version"),
        ("text", "no such text", "wrong_text"),
        ("score", 2.0, "wrong_score"),
    ],
)
def test_audit_of_samples_notices(
    deployment: Deployment, field: str, value: Any, fault: str
) -> None:
    """Versions, texts and scores are held against what the engine and scorer would say."""
    trainer = _train(lambda batch: batch["samples"][0].update({field: value}))
    assert audit_samples(deployment, trainer.book)[fault] == 2


def test_audit_of_calls_notices(deployment: Deployment) -> None:
    """Two runs of one call, a run behind a `no`, and no run behind a `yes` are each counted."""
    service = Journal(str(deployment.folder / "dossiers-1.journal"))
    for call in ("a/1", "a/2", "b/1", "d/1"):
        service.append({"kind": "run", "call": call})
    book = CallBook("inspectors", once={"a", "b", "c", "d"})
    told = {"b/1": "no", "c/1": "yes", "d/1": "unknown", "e/1": "no"}
    book.told = {call: Told(ran, "some_reason") for call, ran in told.items()}
    counted = audit_calls(deployment, book)
    assert counted == {"double_runs": 1, "ran_though_refused": 1, "not_run_though_told": 1}
