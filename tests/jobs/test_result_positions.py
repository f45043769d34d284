"""Tests result positions at a node that missed records of a job."""

import asyncio
from datetime import timedelta

from cranberryline.helpers.metrics import Metrics
from cranberryline.helpers.tail import StoreHealth
from cranberryline.jobs.codec import encode_job, encode_records
from cranberryline.jobs.const import TOPIC_JOBS
from cranberryline.jobs.model import ItemResult, ItemState, JobRecord, ResultRecord
from cranberryline.jobs.service import JobService
from tests.jobs.test_book import make_job
from tests.store_fake import FakeStore, StoreLink
from tests.virtual_time import LoopClock, run_virtual

RETENTION = timedelta(seconds=180)


def _make_service(link: StoreLink) -> JobService:
    clock = LoopClock()
    return JobService(link, 1, clock, StoreHealth(clock), Metrics(), RETENTION)


def _make_result_record(index: int) -> ResultRecord:
    return ResultRecord("job-1", index, ItemResult(ItemState.COMPLETED, f"text {index}"))


async def _async_read_texts(service: JobService) -> list[str] | None:
    read = await service.async_read("job-1", 0, timedelta())
    return [result.text for _, result in read.unwrap().results] if read.is_ok() else None


def test_node_that_missed_results_does_not_list_later_ones_at_their_positions() -> None:
    """A node knows an open job, and is disconnected until the first results are deleted.

    After that it reads the later results. It must not list them from position 0 on: a caller
    reading there would get a different result than at other nodes, and one continuing at position 2
    would miss two items. `UNCERTAIN` is a valid answer.
    """

    async def scenario() -> None:
        store = FakeStore()
        links = [StoreLink(store), StoreLink(store)]
        services = [_make_service(link) for link in links]
        tails = [asyncio.ensure_future(service.tails[0].async_run()) for service in services]

        def append(*records: JobRecord) -> None:
            store.append(TOPIC_JOBS, 0, encode_records(records))

        append(*encode_job(make_job(), "a"))
        await asyncio.sleep(2)
        links[1].refusing = lambda _topic, _part: True
        await asyncio.sleep(2)
        append(_make_result_record(0), _make_result_record(1))
        await asyncio.sleep(2)
        store.first[(TOPIC_JOBS, 0)] = len(store.records[(TOPIC_JOBS, 0)])
        append(_make_result_record(2))
        links[1].refusing = lambda _topic, _part: False
        await asyncio.sleep(4)
        assert await _async_read_texts(services[0]) == ["text 0", "text 1", "text 2"]
        assert await _async_read_texts(services[1]) in (None, ["text 0", "text 1", "text 2"])
        for tail in tails:
            tail.cancel()

    run_virtual(scenario())
