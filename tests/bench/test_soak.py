"""The fault soak: it holds on a short run, and it would see what is broken."""

import asyncio
from pathlib import Path

from bench.soak.callers import Callers
from bench.soak.main import async_soak
from bench.soak.model import Book, SoakPlan
from bench.soak.world import World
from stand_ins.platform_sampler import EVENTS, PlatformSampler, Run


def test_no_promise_is_broken_in_a_short_soak(tmp_path: Path) -> None:
    """Gateways are killed, frozen and stopped while the store fails and samplers misbehave.

    Callers get whole answers of their own or none, steps end, and every gateway lists the same.
    """
    book = asyncio.run(async_soak(SoakPlan(seconds=15, seed=5, fault_every_s=1.0), tmp_path))
    assert book.broken == []
    assert book.counts["steps_whole"] >= 3 and book.counts["safe_200"] > 50
    assert sum(count for name, count in book.counts.items() if name.startswith("fault_")) >= 3


def _callers(tmp_path: Path) -> tuple[Callers, World, Book]:
    plan, book = SoakPlan(), Book()
    world = World(plan, tmp_path)
    return Callers(world, plan, book), world, book


def test_a_wrong_result_is_seen(tmp_path: Path) -> None:
    """A text with a gap, a version that made nothing, another item's score, a moved position."""
    callers, world, book = _callers(tmp_path)
    sampler = PlatformSampler("engines", "m")
    sampler.versions_of["s1i0"] = {4}
    world.samplers.append(sampler)
    text = "\n".join(f"s1i0.{event}" for event in range(1, EVENTS + 1))
    good = {"id": "s1i0", "state": "completed", "text": text, "versions": [4], "score": "seal-s1r0"}
    for change, promise in (
        ({"text": text[3:]}, "text"),
        ({"versions": [5]}, "versions"),
        ({"versions": []}, "versions"),
        ({"score": "seal-s1r1"}, "score"),
    ):
        callers._take("job1", [], 0, good | change)
        assert book.broken.pop().startswith(promise) and not book.broken
    rows: list[dict[str, object]] = []
    callers._take("job1", rows, 0, good)
    assert not book.broken
    callers._take("job1", rows, 0, good | {"state": "dead"})
    callers._take("job1", rows, 1, good)
    assert [line.partition(":")[0] for line in book.broken] == ["position", "listed_twice"]


def test_a_run_that_should_not_have_been_is_seen(tmp_path: Path) -> None:
    """A request that may run once ran twice; another was refused and ran."""
    callers, world, book = _callers(tmp_path)
    sampler = PlatformSampler("plain")
    sampler.runs += [Run(name, "/", b"", {}) for name in ("a", "a", "b", "c")]
    world.samplers.append(sampler)
    book.once |= {"a", "b", "c"}
    book.refused.add("b")
    callers.check_runs()
    assert sorted(line.partition(":")[0] for line in book.broken) == [
        "ran_though_refused",
        "ran_twice",
    ]
