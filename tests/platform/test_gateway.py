"""Requests through a gateway, over the platform's own messages."""

import asyncio
from collections import Counter

import msgspec
import pytest

from cranberryline.gateway.ingress import IngressHandler
from cranberryline.ports.http import HttpOrigin
from cranberryline.ports.short_call import ShortCalls

from .conftest import HOST, MODEL, async_nothing, async_platform, async_until, config, job, play


def test_a_request_comes_back_whole_and_unchanged() -> None:
    """Id, path, query, body and host arrive as sent; status, signature and body come back."""

    async def scene() -> None:
        platform = await async_platform()
        answer = await platform.async_call(
            "POST", "/files/a%2Fb?x=1", body=b"payload", Attempt_Id="r1"
        )
        assert (answer.code, answer.body) == (200, b"answer to r1")
        assert answer.headers["Response-Seal"] == "seal-r1"
        (run,) = [run for sampler in platform.samplers for run in sampler.runs]
        assert (run.path, run.body, run.headers["Host"]) == ("/files/a%2Fb?x=1", b"payload", HOST)
        assert 0 < int(run.headers["Deadline-Ms"]) <= 1500

    play(scene())


def test_what_no_route_allows_is_404_and_nothing_before_the_first_configuration_is() -> None:
    """Without any configuration nothing can be said to be missing: 503 and when to come back."""

    async def scene() -> None:
        platform = await async_platform()
        assert (await platform.async_call("GET", "/none/x", Attempt_Id="r1")).code == 404
        platform.gateways[0].routes.table = None
        answer = await platform.async_call("GET", "/files/x", Attempt_Id="r2")
        assert answer.code == 503 and float(answer.headers["Retry-After"]) > 0

    play(scene())


def test_a_sampler_that_turns_a_request_away_is_left_for_another() -> None:
    """One sampler is full and says that it did not run the request: the other answers."""

    async def scene() -> None:
        platform = await async_platform()
        platform.samplers[0].shed = 100
        for number in range(6):
            answer = await platform.async_call(
                "POST", "/files/x", body=b"", Attempt_Id=f"r{number}"
            )
            assert answer.code == 200

    play(scene())


def test_a_lost_answer_is_made_again_for_a_repeatable_request_only() -> None:
    """The answer is lost after the run.

    The caller of a repeatable request gets another upstream's, within its time; one that may not be
    repeated ran once, and its caller is not told that it did not.
    """

    async def scene() -> None:
        platform = await async_platform()
        plain = [sampler for sampler in platform.samplers if sampler.service == "files"]
        for sampler in plain:
            sampler.silent = 1
        answer = await platform.async_call("POST", "/files/x", body=b"", Attempt_Id="safe")
        runs = [run for sampler in plain for run in sampler.runs if run.id == "safe"]
        assert len(runs) <= 2 and answer.code in (200, 504)
        for sampler in plain:
            sampler.silent = 1
        answer = await platform.async_call("POST", "/once/x", body=b"", Attempt_Id="once")
        runs = [run for sampler in plain for run in sampler.runs if run.id == "once"]
        assert len(runs) == 1 and answer.code in (502, 504)

    play(scene())


def test_an_answer_to_another_request_never_reaches_this_caller() -> None:
    """A sampler answers with another request's id, or without a signature: neither is passed on."""

    async def scene() -> None:
        platform = await async_platform()
        plain = [sampler for sampler in platform.samplers if sampler.service == "files"]
        for sampler in plain:
            sampler.spoil_id = 1
        for number in range(4):
            answer = await platform.async_call(
                "POST", "/files/x", body=b"", Attempt_Id=f"r{number}"
            )
            assert answer.code != 200 or answer.body == f"answer to r{number}".encode()
        for sampler in plain:
            sampler.seal = False
        assert (await platform.async_call("POST", "/files/x", body=b"", Attempt_Id="n")).code >= 500

    play(scene())


def test_a_draining_sampler_and_one_at_a_used_address_get_no_request() -> None:
    """A sampler drains, then another service's sampler answers at its address.

    Neither runs a request of the old service: the first is known to leave, the second refuses what
    names another incarnation.
    """

    async def scene() -> None:
        platform = await async_platform()
        leaving, staying = (s for s in platform.samplers if s.service == "files")
        platform.store.put("keyed.servers", leaving.id, leaving.beat("draining"))
        await async_until(lambda: len(platform.gateways[0].upstreams.usable("files")) == 1)
        for number in range(6):
            assert (
                await platform.async_call("GET", "/files/x", Attempt_Id=f"a{number}")
            ).code == 200
        assert leaving.runs == []
        staying.id = "i-reused"
        answer = await platform.async_call("GET", "/files/x", Attempt_Id="b")
        assert answer.code == 503 and staying.runs[-1].id != "b"

    play(scene())


def test_a_newer_configuration_counts_and_an_older_one_never_does() -> None:
    """The plain route moves to another service; a stale record afterwards changes nothing."""

    async def scene() -> None:
        platform = await async_platform()
        other = platform.add_sampler("other")
        platform.store.put("keyed.op", "config", config(5, plain="other"))
        table = platform.gateways[0].routes
        await async_until(lambda: table.table is not None and table.table.version == 5)
        platform.store.put("keyed.op", "config", config(3))
        platform.store.put("keyed.op", "config", {"version": "nonsense"})
        await asyncio.sleep(0.3)
        await platform.async_call("GET", "/files/x", Attempt_Id="r1")
        assert [run.id for run in other.runs] == ["r1"]

    play(scene())


def test_a_caller_that_leaves_is_not_worked_for() -> None:
    """The caller closes its connection while the upstream works: the upstream's is closed too."""

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.delay_s = 30
        host, port = platform.addresses[0].split(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET /files/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r\r\n\r\n".encode())
        gateway = platform.gateways[0]
        await async_until(lambda: gateway.dispatcher.in_flight == 1)
        writer.close()
        await async_until(lambda: gateway.dispatcher.in_flight == 0, 0.5)

    play(scene())


def test_a_stream_goes_on_at_another_upstream_after_its_last_whole_event() -> None:
    """A sampler breaks off in the middle of an event: the caller sees each event once, in order."""

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.cut_after = 3
        answer = await platform.async_call("POST", "/stream/x", body=b"", Attempt_Id="s")
        expected = "".join(f"id: {n}\ndata: s.{n}\n\n" for n in range(1, 7))
        assert (answer.code, answer.body.decode()) == (200, expected)

    play(scene())


def test_a_job_is_run_scored_and_listed_alike_at_every_gateway() -> None:
    """Results carry the whole text, the versions that made it and the score's signature."""

    async def scene() -> None:
        platform = await async_platform(2)
        sent = await platform.async_call("POST", "/jobs/j1", body=job(), Attempt_Id="j1")
        assert sent.code == 202
        again = await platform.async_call("POST", "/jobs/j1", 1, job(), Attempt_Id="j1")
        assert again.code == 202
        results = await platform.async_results("j1", 4)
        assert results == await platform.async_results("j1", 4, 1)
        for row in results:
            number = row["id"].removeprefix("item")
            assert row["text"] == "\n".join(f"{row['id']}.{event}" for event in range(1, 7))
            assert row["versions"] == [1] and row["score"] == f"seal-score{number}"
        body = await platform.async_call("GET", "/api/items/j1?id=item0", 1)
        assert body.body == b"prompt"
        assert (await platform.async_call("DELETE", "/api/lots/j1", 1)).code == 200
        assert (await platform.async_call("DELETE", "/api/lots/j1")).code == 200
        assert (await platform.async_call("GET", "/api/lots/none")).code == 404

    play(scene())


def test_an_item_whose_run_breaks_off_is_gone_on_with_elsewhere() -> None:
    """The stream is cut in the middle of an event; the text has each event once."""

    async def scene() -> None:
        platform = await async_platform()
        for sampler in platform.samplers:
            sampler.cut_after = 2
        await platform.async_call("POST", "/jobs/j1", body=job(2), Attempt_Id="j1")
        for row in await platform.async_results("j1", 2):
            assert row["text"] == "\n".join(f"{row['id']}.{event}" for event in range(1, 7))
        resumed = [
            run.headers["Last-Event-Id"]
            for sampler in platform.samplers
            for run in sampler.runs
            if "Last-Event-Id" in run.headers
        ]
        assert "2" in resumed

    play(scene())


def test_an_item_that_ended_is_not_run_again_while_its_record_is_on_its_way() -> None:
    """The store takes half a second for an append, and the gateway looks for work meanwhile.

    What ended and is not yet listed is not due: run once more, it would take the places of others,
    and its score would be asked for twice.
    """

    async def scene() -> None:
        platform = await async_platform()
        platform.store.append_s = 0.5
        await platform.async_call("POST", "/jobs/j1", body=job(), Attempt_Id="j1")
        assert len(await platform.async_results("j1", 4)) == 4
        ran = Counter(run.id for sampler in platform.samplers for run in sampler.runs)
        assert set(ran.values()) == {1}

    play(scene())


def test_an_item_dies_only_of_what_the_platform_says_it_may() -> None:
    """Every run fails: the item is listed dead after the attempts that its route allows, no more."""

    async def scene() -> None:
        platform = await async_platform()
        engines = [sampler for sampler in platform.samplers if sampler.model]
        for sampler in engines:
            sampler.fail = 100
        await platform.async_call("POST", "/jobs/j1", body=job(1), Attempt_Id="j1")
        (row,) = await platform.async_results("j1", 1)
        assert row["state"] == "dead"
        assert sum(len(sampler.runs) for sampler in engines) == 3

    play(scene())


def test_named_versions_are_ordered_by_one_holder_and_old_engines_make_no_sample() -> None:
    """A trainer names version 2 and asks for a step that allows nothing older.

    One gateway orders, with the sequence number that each engine reported; the samples come from
    engines that have moved.
    """

    async def scene() -> None:
        platform = await async_platform(2)
        platform.store.put("keyed.op", f"version/{MODEL}", {"model": MODEL, "version": 2})
        await platform.async_call("POST", "/jobs/j1", body=job(4, min_version=2), Attempt_Id="j1")
        for row in await platform.async_results("j1", 4):
            assert row["versions"] == [2]
        orders = [order for sampler in platform.samplers for order in sampler.orders]
        assert orders and len({order["holder"] for order in orders}) == 1
        assert all(order["precondition"] == 0 and order["fencing_token"] > 0 for order in orders)

    play(scene())


def test_a_gateway_that_the_store_turns_away_works_through_its_peer() -> None:
    """The store answers one gateway with 503 and serves the other.

    The first still takes a job, which is run and listed, since its calls go through the second.
    """

    async def scene() -> None:
        platform = await async_platform(2)
        first = platform.gateways[0]
        await async_until(lambda: len(first.nodes.heartbeats()) == 2)
        nobody = HttpOrigin("http://127.0.0.1:9")
        first.store.direct._calls = ShortCalls(nobody)  # type: ignore[attr-defined]
        sent = await platform.async_call("POST", "/jobs/j1", body=job(), Attempt_Id="j1")
        assert sent.code == 202
        assert len(await platform.async_results("j1", 4)) == 4

    play(scene())


def test_a_store_that_is_out_for_all_refuses_jobs_and_serves_the_rest() -> None:
    """Plain requests go on; a job is refused with when to come back, and never runs."""

    async def scene() -> None:
        platform = await async_platform()
        platform.store.down = True
        assert (await platform.async_call("GET", "/files/x", Attempt_Id="r1")).code == 200
        sent = await platform.async_call("POST", "/jobs/j1", body=job(), Attempt_Id="j1")
        assert sent.code == 503 and float(sent.headers["Retry-After"]) > 0
        read = await platform.async_call("GET", "/api/lots/j1")
        assert read.code == 503
        platform.store.down = False
        await asyncio.sleep(2)
        assert (await platform.async_call("GET", "/api/lots/j1")).code == 404

    play(scene())


def test_an_append_without_an_answer_is_settled_by_reading() -> None:
    """The store keeps the job and its answer is lost: the caller is told that it is accepted."""

    async def scene() -> None:
        platform = await async_platform()
        tails = platform.gateways[0].jobs.tails
        await async_until(lambda: all(tail.loaded.is_set() for tail in tails))
        platform.gateways[0].lease.stopping = True
        platform.gateways[0].nodes.async_write_heartbeat = async_nothing  # type: ignore[method-assign]
        await asyncio.sleep(1.2)
        platform.store.lose = 1
        sent = await platform.async_call("POST", "/jobs/j1", body=job(), Attempt_Id="j1")
        assert sent.code == 202

    play(scene())


def test_a_job_that_is_no_job_is_told_so() -> None:
    """Bytes that are no JSON, an item twice, a body that is no base64: 400, and nothing is kept."""

    async def scene() -> None:
        platform = await async_platform()
        twice = job(1)
        twice["items"] *= 2
        spoilt = job(1)
        spoilt["items"][0]["body"] = "!"
        for body in (b"{", msgspec.json.encode(twice), msgspec.json.encode(spoilt)):
            sent = await platform.async_call("POST", "/jobs/j1", body=body, Attempt_Id="j1")
            assert sent.code == 400
        assert (await platform.async_call("GET", "/api/lots/j1")).code == 404

    play(scene())


def test_a_stream_that_an_error_of_ours_ends_does_not_look_whole(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A defect shows in the middle of a stream, when its head has left.

    The server's framework ends the body of a handler that raises in good order: the caller would take the
    part that came for all of it.
    """

    async def fail(_handler: IngressHandler, _data: bytes) -> None:
        raise ValueError("a defect")

    monkeypatch.setattr(IngressHandler, "_async_stream_events", fail)

    async def scene() -> None:
        platform = await async_platform()
        host, _, port = platform.addresses[0].rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            f"GET /stream/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: s1\r\nConnection: close\r\n\r\n"
        )
        writer.write(head.encode())
        answer = await asyncio.wait_for(reader.read(), 5)
        writer.close()
        assert answer.startswith(b"HTTP/1.1 200") and not answer.endswith(b"0\r\n\r\n")

    play(scene())
