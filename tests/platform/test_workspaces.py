"""Keys and workspaces at a gateway, over the platform's own messages."""

import asyncio
from collections.abc import Iterator
from typing import Any

import msgspec
import pytest
from prometheus_client import generate_latest

from cranberryline.gateway.relay_messages import RelayNewest, RelayRead
from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.model import Job
from cranberryline.platform.config import read_config, without_keys
from cranberryline.platform.edge import PlatformEdge
from stand_ins.platform_sampler import PlatformSampler, Run

from .conftest import HOST, Platform, async_platform, async_until, config, job, play

KEY, SECOND_KEY, OTHER_KEY, TAKEN_KEY = (f"key{n}-5f0b1c9e7d" for n in range(4))
KEYS = (KEY, SECOND_KEY, OTHER_KEY, TAKEN_KEY)
TENANTS: list[dict[str, Any]] = [
    {"name": "alpha", "api_keys": [KEY, SECOND_KEY], "priority": 1},
    {"name": "beta", "api_keys": [OTHER_KEY]},
]
PUBLIC_SCORING = {
    "name": "r-open",
    "host": HOST,
    "path_prefix": "/open/",
    "kind": "safe",
    "timeout_ms": 1500,
    "goal_ms": 300,
    "priority": 2,
    "service": "files",
    "max_attempts": 2,
    "public": True,
}
WITH_KEYS = {"tenants": TENANTS, "routes": [PUBLIC_SCORING]}


def _scored_openly(items: int = 4) -> dict[str, Any]:
    body = job(items)
    for item in body["items"]:
        item["scorer"]["path"] = "/open/score"
    return body


def _runs(platform: Platform) -> Iterator[tuple[PlatformSampler, Run]]:
    for sampler in platform.samplers:
        for run in sampler.runs:
            yield sampler, run


def test_a_request_runs_under_its_workspace_and_without_the_key() -> None:
    """The upstream is told the workspace of the key, whatever the caller claims."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        answer = await platform.async_call(
            "POST", "/files/x", body=b"", Attempt_Id="r1", Api_Key=KEY, Tenant="beta"
        )
        assert answer.code == 200
        answer = await platform.async_call(
            "POST", "/open/x", body=b"", Attempt_Id="r2", Api_Key=KEY, Tenant="beta"
        )
        assert answer.code == 200
        runs = {run.id: run.headers for _, run in _runs(platform)}
        assert runs["r1"]["Tenant"] == "alpha" and "Tenant" not in runs["r2"]
        assert all("Api-Key" not in headers for headers in runs.values())

    play(scene())


@pytest.mark.parametrize("key", [None, "", "unknown", TAKEN_KEY, KEY + "x", "k" * 8192])
def test_a_request_without_a_known_key_is_refused_and_does_not_run(key: str | None) -> None:
    """Missing, empty, unknown and very long keys are answered 401 at once."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        headers = {} if key is None else {"Api_Key": key}
        for path in ("/files/x", "/once/x", "/stream/x", "/jobs/x"):
            answer = await platform.async_call("POST", path, body=b"{}", Attempt_Id="r1", **headers)
            problem = msgspec.json.decode(answer.body)
            assert (answer.code, problem["ran"]) == (401, "no")
        assert not list(_runs(platform))

    play(scene())


def test_a_key_sent_twice_is_unknown() -> None:
    """Two key headers, each of which would be accepted alone, are refused."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        host, _, port = platform.addresses[0].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = f"POST /files/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\nContent-Length: 0\r\n"
        writer.write(f"{head}Api-Key: {KEY}\r\nApi-Key: {SECOND_KEY}\r\n\r\n".encode())
        assert b" 401 " in await reader.readline()
        writer.close()

    play(scene())


def test_a_removed_key_is_refused_on_a_kept_connection() -> None:
    """The key is checked for each request, not for each connection."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        host, _, port = platform.addresses[0].partition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        gateway = platform.gateways[0]
        for number, expected in ((1, b"200"), (2, b"401")):
            writer.write(
                f"GET /files/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r{number}\r\n"
                f"Api-Key: {OTHER_KEY}\r\n\r\n".encode()
            )
            head = (await reader.readuntil(b"\r\n\r\n")).split(b"\r\n")
            assert head[0].split()[1] == expected
            length = next(int(x.split()[1]) for x in head if x.lower().startswith(b"content-len"))
            await reader.readexactly(length)
            platform.store.put(
                "keyed.op", "config", config(3, tenants=TENANTS[:1], routes=[PUBLIC_SCORING])
            )
            await async_until(lambda: gateway.routes.table.version == 3)
        writer.close()

    play(scene())


def test_only_the_workspace_of_a_job_reaches_it() -> None:
    """For the key of another workspace the job does not exist; any own key reads and ends it."""

    async def scene() -> None:
        platform = await async_platform(2, **WITH_KEYS)
        body = _scored_openly()
        answer = await platform.async_call(
            "POST", "/jobs/j1", 0, body, Attempt_Id="j1", Api_Key=KEY
        )
        assert answer.code == 202
        rows = await platform.async_results("j1", 4, 1, Api_Key=SECOND_KEY)
        assert {row["state"] for row in rows} == {"completed"}
        calls = (
            ("GET", "/api/lots/j1?after=0"),
            ("GET", "/api/items/j1?id=item0"),
            ("DELETE", "/api/lots/j1"),
        )
        for method, path in calls:
            for number in (0, 1):
                for key, expected in ((OTHER_KEY, 404), ("unknown", 401)):
                    answer = await platform.async_call(method, path, number, Api_Key=key)
                    assert answer.code == expected, (method, path, number, key)
        answer = await platform.async_call(
            "POST", "/jobs/j1", 0, body, Attempt_Id="j1", Api_Key=OTHER_KEY
        )
        assert answer.code == 409
        assert not platform.gateways[0].jobs.book.jobs["j1"].ended
        assert (await platform.async_call("DELETE", "/api/lots/j1", 1, Api_Key=KEY)).code == 200

    play(scene())


def test_items_run_under_the_workspace_of_their_job_at_every_gateway() -> None:
    """Items keep the job's workspace, whatever their headers name; scoring has none."""

    async def scene() -> None:
        platform = await async_platform(2, **WITH_KEYS)
        body = _scored_openly(8)
        for item in body["items"]:
            item["headers"] |= {"tenant": "beta", "api-key": OTHER_KEY}
        answer = await platform.async_call(
            "POST", "/jobs/j1", 0, body, Attempt_Id="j1", Api_Key=KEY
        )
        assert answer.code == 202
        await platform.async_results("j1", 8, 1, Api_Key=KEY)
        for sampler, run in _runs(platform):
            named = [value for name, value in run.headers.items() if name.lower() == "tenant"]
            assert named == (["alpha"] if sampler.model else [])
            assert "api-key" not in {name.lower() for name in run.headers}

    play(scene())


def test_a_removed_key_ends_no_job() -> None:
    """The key that submitted a job is removed; another key of the workspace reads the results."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        for sampler in platform.samplers:
            sampler.delay_s = 0.3
        body = _scored_openly()
        await platform.async_call("POST", "/jobs/j1", 0, body, Attempt_Id="j1", Api_Key=KEY)
        tenants = [{**TENANTS[0], "api_keys": [SECOND_KEY]}, TENANTS[1]]
        platform.store.put(
            "keyed.op", "config", config(3, tenants=tenants, routes=[PUBLIC_SCORING])
        )
        await async_until(lambda: platform.gateways[0].routes.table.version == 3)
        assert (await platform.async_call("GET", "/api/lots/j1?after=0", Api_Key=KEY)).code == 401
        rows = await platform.async_results("j1", 4, Api_Key=SECOND_KEY)
        assert {row["state"] for row in rows} == {"completed"}

    play(scene())


def test_a_job_without_a_workspace_is_read_with_any_key() -> None:
    """An older release wrote the job; its trainer still reads it after the upgrade."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        data = msgspec.json.encode(_scored_openly())
        old = PlatformEdge().read_job("j1", HOST, "/jobs/j1", data, 1e9).unwrap()
        book = platform.gateways[0].jobs
        assert await book.async_record("j1", list(encode_job(old, "old")))
        rows = await platform.async_results("j1", 4, Api_Key=OTHER_KEY)
        assert len(rows) == 4

    play(scene())


def test_an_older_release_reads_the_records_of_a_job() -> None:
    """The workspace is the last field of a record, which older releases ignore."""

    class OldJob(msgspec.Struct, array_like=True):
        id: str
        host: str
        path: str
        items: tuple[Any, ...]
        submitted: float
        model: str = ""
        step: int | None = None
        min_version: int | None = None
        group_count: int | None = None

    new = Job("j1", HOST, "/jobs/j1", (), 1.0, "m", 1, 2, 3, "alpha")
    old = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=OldJob)
    assert (old.id, old.group_count) == ("j1", 3)
    assert encode_records(encode_job(new, "w"))


def test_a_gateway_that_the_store_rejects_learns_of_removed_keys_without_any_key() -> None:
    """A gateway reads the configuration through a peer, which sends digests in place of keys."""
    new = msgspec.json.encode(config(3, **WITH_KEYS))
    relayed = without_keys(new)
    assert not [key for key in KEYS if key.encode() in relayed]
    table, direct = read_config(relayed).unwrap(), read_config(new).unwrap()
    assert table.workspaces is not None and direct.workspaces is not None
    assert table.routes == direct.routes and table.limits == direct.limits
    for key in KEYS:
        assert table.workspaces.find(key) == direct.workspaces.find(key)
    assert without_keys(b'{"tenants": [{"name": "a", "api_keys": "' + KEY.encode()) == b"{}"


def test_a_configuration_with_a_bad_workspace_leaves_the_table_active() -> None:
    """A key in two workspaces is reported without the key, and the previous table applies."""

    async def scene() -> None:
        platform = await async_platform(**WITH_KEYS)
        doubled = [*TENANTS, {"name": "gamma", "api_keys": [KEY]}]
        platform.store.put("keyed.op", "config", config(3, tenants=doubled))
        gateway = platform.gateways[0]
        await async_until(
            lambda: gateway.metrics.value(
                "cranberryline_drops_total", reason="operator_record_unreadable"
            )
            == 1
        )
        answer = await platform.async_call(
            "POST", "/files/x", body=b"", Attempt_Id="r", Api_Key=KEY
        )
        assert answer.code == 200 and gateway.routes.table.version == 2

    play(scene())


def test_no_key_is_found_anywhere(capfd: pytest.CaptureFixture[str]) -> None:
    """Logs, metrics, responses, records, messages between gateways and `repr` contain no key."""

    async def scene() -> list[bytes]:
        platform = await async_platform(2, **WITH_KEYS)
        seen: list[bytes] = []
        for number, key in enumerate((KEY, SECOND_KEY, OTHER_KEY, TAKEN_KEY)):
            for path in ("/files/x", "/once/x", "/stream/x", "/open/x", "/none/x", "/jobs/bad"):
                answer = await platform.async_call(
                    "POST", path, number % 2, b"x", Attempt_Id=f"r{number}", Api_Key=key
                )
                seen += [answer.body, str(dict(answer.headers.get_all())).encode()]
        body = _scored_openly()
        await platform.async_call("POST", "/jobs/j1", 0, body, Attempt_Id="j1", Api_Key=KEY)
        await platform.async_results("j1", 4, 1, Api_Key=KEY)
        log = platform.gateways[0].store
        answered = [
            await log.async_serve(call)
            for call in (
                RelayNewest("keyed.op", 500),
                RelayRead("keyed.op", 0, 0, 0, 500),
            )
        ]
        seen += [repr(answer).encode() for answer in answered]
        seen += [
            b"".join(records)
            for (topic, _), records in platform.store.records.items()
            if topic != "keyed.op"
        ]
        for gateway in platform.gateways:
            seen.append(generate_latest(gateway.metrics.registry))
            seen.append(repr(gateway.routes.table).encode())
            seen.append(repr(gateway.routes.table.workspaces).encode())
        return seen

    seen: list[bytes] = []

    async def keep() -> None:
        seen.extend(await scene())

    play(keep())
    logged = capfd.readouterr()
    seen += [logged.out.encode(), logged.err.encode()]
    for key in KEYS:
        assert not [text for text in seen if key.encode() in text]
