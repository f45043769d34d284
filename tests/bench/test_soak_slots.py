"""The soak sees engines that hold too many texts, and keepers that count texts that are done."""

import asyncio

import pytest
from tornado.httpclient import AsyncHTTPClient

from bench.soak.model import Book, SoakPlan
from bench.soak.shared_slots import check_held, held_or_waiting
from stand_ins.platform_sampler import PlatformSampler


@pytest.mark.parametrize(("most", "broken"), [(8, 0), (9, 1)])
def test_an_engine_that_holds_more_than_slots_and_queue_is_seen(most: int, broken: int) -> None:
    """Without it the engines of a soak could take any number of texts."""
    book = Book()
    check_held(PlatformSampler("engines", "m", queue=4, most_held=most), book)
    assert len(book.broken) == broken


def test_what_a_keeper_still_counts_is_seen() -> None:
    """A slot that is never given back would be lost to all."""
    idle = {"held": 0, "waiting": 0, "longest_wait_ms": 0}
    held, waiting = {**idle, "held": 1}, {**idle, "waiting": 1}
    described = {"engines": {"trainers": {"a": idle, "b": held, "c": waiting}, "engines": {}}}
    assert held_or_waiting(described) == {"engines/b": held, "engines/c": waiting}
    assert held_or_waiting({}) == {}


def test_half_of_the_seeds_share_slots() -> None:
    """Both ways of choosing engines are played."""
    assert [SoakPlan(seed=seed).shares_slots for seed in range(4)] == [False, True, False, True]


def test_engine_with_a_queue_turns_away_what_is_more() -> None:
    """An engine that takes all would hide slots that are granted twice."""

    async def scene() -> list[int]:
        sampler = PlatformSampler("engines", "m", slots=1, queue=1, pause_s=0.02)
        sampler.start()
        client = AsyncHTTPClient(force_instance=True)
        calls = [
            client.fetch(
                f"http://{sampler.address}/x", headers={"Attempt-Id": f"a{n}"}, raise_error=False
            )
            for n in range(3)
        ]
        answers = await asyncio.gather(*calls)
        assert (sampler.most_held, sampler.full, sampler.held) == (2, 1, 0)
        sampler.stop()
        return sorted(answer.code for answer in answers)

    assert asyncio.run(scene()) == [200, 200, 503]
