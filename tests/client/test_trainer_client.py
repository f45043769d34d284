"""A trainer's client against two entries over HTTP: every failure costs time, never a sample."""

import asyncio
import json
from collections import Counter
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from datetime import timedelta
from typing import Any

import attrs
import pytest
from result import Err, Ok, Result
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

from cranberryline.client import ClientReason, Group, PulledBatch, ReceivedSample, TrainerClient
from cranberryline.client.model import read_batch
from cranberryline.entry.trainer_handlers import trainer_routes
from cranberryline.entry.trainers import StepOwnerPort, TrainerService
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.problem import write_problem
from cranberryline.samples.hedging import SlowestFirst
from cranberryline.samples.runner import RunnerPorts
from cranberryline.samples.table import StepTable
from tests.samples.sample_fakes import FakeConfig, FakeDispatch, FakeScorer

TOKEN = "a-token-of-the-trainer"
GROUPS = [Group("p", 6, 8), Group("q", 6, 8)]
SIZE = 12
WAIT = timedelta(seconds=1)


class Owners(StepOwnerPort):
    """Name the owner and pass calls on within this process, unless it can't be reached."""

    def __init__(self, me: str) -> None:
        self.me = me
        self.owner = me
        self.reachable = True
        self.services: dict[str, TrainerService] = {}

    def find_owner(self, trainer: str) -> str | None:
        """Return the owner."""
        return None if self.owner == self.me else self.owner

    async def async_forward(
        self, entry_id: str, method: str, path: str, body: bytes, timeout: timedelta
    ) -> Result[tuple[int, bytes], Any]:
        """Pass a call on."""
        if not self.reachable:
            return Err("no connection")
        return Ok(await self.services[entry_id].async_serve_peer(method, path, body))


@attrs.define(eq=False)
class Entry:
    """One entry, as far as trainers see it."""

    name: str
    port: int
    table: StepTable
    owners: Owners
    dispatch: FakeDispatch
    config: FakeConfig
    server: HTTPServer
    lose_answers: int = 0

    @property
    def url(self) -> str:
        """Return its address."""
        return f"http://127.0.0.1:{self.port}"

    async def async_kill(self) -> None:
        """Let it end as a killed process does: its connections break, its steps are gone."""
        self.server.stop()
        await self.server.close_all_connections()
        await self.table.async_close()


def check_token(handler: RequestHandler, trainer: str) -> bool:
    """Accept the one token."""
    if handler.request.headers.get("Authorization") == f"Bearer {TOKEN}":
        return True
    write_problem(handler, 401, "unauthorized", "A trainer's token is needed")
    return False


class Losing(Application):
    """Drop the connection instead of the answer, while the entry is told to."""

    entry: Entry

    def log_request(self, handler: RequestHandler) -> None:
        """Log nothing."""


def make_entry(name: str) -> Entry:
    """Start an entry on a free port."""
    dispatch, config = FakeDispatch(), FakeConfig()
    ports = RunnerPorts(dispatch, FakeScorer(), SlowestFirst(), Metrics(), SystemClock())
    table = StepTable(ports, config)
    owners = Owners(name)
    service = TrainerService(table, config, owners)
    owners.services[name] = service
    app = Losing(trainer_routes(service, check_token))
    server = HTTPServer(app)
    sockets = bind_sockets(0, "127.0.0.1")
    server.add_sockets(sockets)
    port = sockets[0].getsockname()[1]
    return Entry(name, port, table, owners, dispatch, config, server)


@asynccontextmanager
async def running_entries() -> AsyncIterator[list[Entry]]:
    """Run two entries that know of each other."""
    entries = [make_entry("one"), make_entry("two")]
    services = {e.name: e.owners.services[e.name] for e in entries}
    for entry in entries:
        entry.owners.services = services
        entry.owners.owner = "one"
    try:
        yield entries
    finally:
        for entry in entries:
            await entry.async_kill()


def make_client(entries: list[Entry]) -> TrainerClient:
    """Return a client that knows these entries."""
    return TrainerClient([entry.url for entry in entries], "t", TOKEN)


async def async_collect(
    client: TrainerClient,
    limit: int = 5,
    between: Callable[[int], Awaitable[None]] | None = None,
) -> list[ReceivedSample]:
    """Pull until the step is done."""
    samples: list[ReceivedSample] = []
    for number in range(200):
        pulled = await client.async_pull(limit, WAIT, timedelta(seconds=10))
        samples += pulled.unwrap()
        if client.position.done:
            return samples
        if between is not None:
            await between(number)
    raise AssertionError("the step does not end")


def assert_each_once(samples: list[ReceivedSample]) -> None:
    """Check identities, and that each text is of its own identity."""
    counts = Counter((sample.group, sample.index) for sample in samples)
    assert counts == {(group, index): 1 for group in (0, 1) for index in range(6)}
    for sample in samples:
        assert sample.text.startswith(f"t/1/{sample.group}/{sample.index}@")
        assert sample.id == f"t/1/{sample.group}/{sample.index}"


@pytest.mark.parametrize("first", [0, 1])
def test_step_comes_whole_through_owner_or_other(first: int) -> None:
    """A pull through the entry that does not own the step is passed on."""

    async def async_play() -> None:
        async with running_entries() as entries:
            client = make_client([entries[first], entries[1 - first]])
            assert (await client.async_declare(1, "s", GROUPS, 5)).is_ok()
            assert_each_once(await async_collect(client))
            assert entries[1].dispatch.started.total() == 0
            client.close()

    asyncio.run(async_play())


def test_owner_dies_between_two_pulls() -> None:
    """The owner is killed after a batch was delivered, with more of the step finished.

    The client turns to the other entry, which does not know the step, declares it again and goes
    on from its cursor: nothing twice, nothing lost.
    """

    async def async_play() -> None:
        async with running_entries() as entries:
            client = make_client(entries)
            await client.async_declare(1, "s", GROUPS, 5)

            async def async_kill(number: int) -> None:
                if number == 0:
                    await entries[0].async_kill()
                    entries[1].owners.owner = "two"

            assert_each_once(await async_collect(client, between=async_kill))
            made = entries[1].dispatch.started
            assert 0 < made.total() <= SIZE - 1
            client.close()

    asyncio.run(async_play())


def test_owner_out_of_reach_makes_two_owners() -> None:
    """The entries lose each other while both serve; both make the step, the count stays right."""

    async def async_play() -> None:
        async with running_entries() as entries:
            client = make_client(entries)
            await client.async_declare(1, "s", GROUPS, 5)

            async def async_part(number: int) -> None:
                entries[1].owners.reachable = number % 2 == 0
                client._at = number % 2

            assert_each_once(await async_collect(client, limit=2, between=async_part))
            client.close()

    asyncio.run(async_play())


def test_entry_serves_in_place_of_an_owner_out_of_reach() -> None:
    """The owner can't be reached: the entry that was asked does the work, and refuses nothing."""

    async def async_play() -> None:
        async with running_entries() as entries:
            entries[1].owners.reachable = False
            client = make_client(entries[1:])
            assert (await client.async_declare(1, "s", GROUPS, 5)).is_ok()
            assert_each_once(await async_collect(client))
            assert entries[0].dispatch.started.total() == 0
            client.close()

    asyncio.run(async_play())


def test_version_that_moves_during_a_pull_drops_its_batch() -> None:
    """The trainer takes new weights while a pull is out; what it brings is pulled again, fresh."""

    async def async_play() -> None:
        async with running_entries() as entries:
            entry = entries[0]
            names = [f"t/1/{group}/{index}" for group in (0, 1) for index in range(6)]
            gate = asyncio.Event()
            entry.dispatch.blocked = dict.fromkeys(names, gate)
            client = make_client(entries)
            await client.async_declare(1, "s", GROUPS, 5)
            work = asyncio.ensure_future(async_collect(client))
            await asyncio.sleep(0.2)
            client.set_version(7)
            gate.set()
            await asyncio.sleep(0.2)
            entry.dispatch.version = 7
            samples = await work
            assert_each_once(samples)
            versions = {s.weight_version for sample in samples for s in sample.segments}
            assert versions == {7}
            assert client.dropped["version_moved"] >= 1
            client.close()

    asyncio.run(async_play())


def test_trainer_goes_on_from_its_checkpoint() -> None:
    """The trainer itself dies; with the cursor of its checkpoint it gets the rest."""

    async def async_play() -> None:
        async with running_entries() as entries:
            client = make_client(entries)
            await client.async_declare(1, "s", GROUPS, 5)
            first = list((await client.async_pull(3, WAIT)).unwrap())
            cursor = client.position.cursor
            (await client.async_pull(3, WAIT)).unwrap()
            client.close()
            again = make_client(entries)
            await again.async_declare(1, "s", GROUPS, 5, cursor)
            assert_each_once(first + await async_collect(again))
            again.close()

    asyncio.run(async_play())


def test_refusals_are_final_and_told() -> None:
    """A wrong token, an unknown service and another declaration are not tried for ever."""

    async def async_play() -> None:
        async with running_entries() as entries:
            stranger = TrainerClient([entries[0].url], "t", "wrong")
            refused = await stranger.async_declare(1, "s", GROUPS, 5)
            assert refused.unwrap_err().refusal == "unauthorized"
            client = make_client(entries)
            unknown = (await client.async_declare(1, "nothing", GROUPS, 5)).unwrap_err()
            assert (unknown.reason, unknown.status) == (ClientReason.REFUSED, 404)
            assert (await client.async_declare(1, "s", GROUPS, 5)).is_ok()
            other = (await client.async_declare(1, "s", GROUPS[:1], 5)).unwrap_err()
            assert (other.refusal, other.status) == ("step_differs", 409)
            stranger.close()
            client.close()

    asyncio.run(async_play())


def test_no_entry_answers() -> None:
    """With all entries gone the call ends with its budget."""

    async def async_play() -> None:
        client = TrainerClient(["http://127.0.0.1:9"], "t", TOKEN)
        budget = timedelta(seconds=0.5)
        result = await client.async_declare(1, "s", GROUPS, 5, budget=budget)
        assert result.unwrap_err().reason is ClientReason.UNAVAILABLE
        client.close()

    asyncio.run(async_play())


@pytest.mark.parametrize(
    "change",
    [
        {"step": -1},
        {"step": "1"},
        {"cursor": 7},
        {"version": None},
        {"version": 2**60},
        {"max": 0},
        {"wait_s": 1e9},
        {"wait_s": "x"},
        {"step": True},
    ],
)
def test_bad_pull_is_refused_by_field(change: dict[str, Any]) -> None:
    """A pull that breaks a rule gets a 400 that names the field."""

    async def async_play() -> None:
        async with running_entries() as entries:
            service = entries[0].owners.services["one"]
            pull = {"step": 1, "cursor": "", "version": 5, "max": 4, "wait_s": 0} | change
            answer = await service.async_pull("t", json.dumps(pull).encode())
            assert (answer.status, answer.reason) == (400, "bad_request")
            assert next(iter(change)) in answer.title

    asyncio.run(async_play())


@pytest.mark.parametrize("body", [b"", b"{", b"[]", b"\xff", b"[" * 100_000])
def test_bodies_that_are_no_json_are_refused(body: bytes) -> None:
    """Nonsense gets its 400 on both calls, also when another entry passes it on."""

    async def async_play() -> None:
        async with running_entries() as entries:
            service = entries[0].owners.services["one"]
            assert (await service.async_pull("t", body)).status == 400
            assert (await service.async_declare("t", 1, body)).status == 400
            status, _ = await service.async_serve_peer("PUT", "/trainers/t/steps/1", body)
            assert status == 400
            assert (await service.async_serve_peer("GET", "/x", body))[0] == 404

    asyncio.run(async_play())


def test_cursor_of_another_step_is_refused() -> None:
    """A cursor that does not fit is told as such, and hands nothing over."""

    async def async_play() -> None:
        async with running_entries() as entries:
            client = make_client(entries)
            await client.async_declare(1, "s", GROUPS, 5)
            (await client.async_pull(3, WAIT)).unwrap()
            cursor = client.position.cursor
            await client.async_declare(2, "s", GROUPS, 5, cursor)
            refused = (await client.async_pull(3, WAIT)).unwrap_err()
            assert (refused.refusal, refused.status) == ("cursor_other_step", 409)
            client.close()

    asyncio.run(async_play())


def test_answer_that_is_no_batch_is_not_taken() -> None:
    """An entry that answers nonsense is passed over like one that does not answer."""
    assert read_batch(
        {"samples": [{}], "cursor": "", "next_cursor": "x", "done": False}, 5
    ).is_err()
    assert read_batch([], 5).is_err()
    assert read_batch({"samples": [], "cursor": 1, "next_cursor": "", "done": False}, 5).is_err()
    batch = {"samples": [], "cursor": "", "next_cursor": "", "done": False}
    assert read_batch(batch, 5) == Ok(PulledBatch("", "", 5, (), False))
