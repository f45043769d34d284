"""A log client that raises what nobody expects."""

from datetime import timedelta

import pytest
from result import Result

from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import LogPage
from tests.configs.config_fakes import Cluster, FakeLog, service_data
from tests.virtual_time import run_virtual


class OddLog(FakeLog):
    """A log client that meets answers it was not written for, and raises."""

    def __init__(self, errors: int) -> None:
        super().__init__()
        self.errors = errors

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Raise what nobody expects, a few times."""
        if self.errors:
            self.errors -= 1
            raise KeyError("first")
        return await super().async_read(stream, start, limit, wait)


def test_task_that_fails_on_an_odd_answer_goes_on() -> None:
    """The log's client raises three times over an answer that it was not written for.

    What is seen: each is counted, and the entry reads on. Its task would otherwise have ended, and
    the entry served the same configuration until somebody noticed.
    """

    async def async_case() -> None:
        log = OddLog(3)
        log.put(service_data())
        cluster = Cluster(log)
        sync = cluster.add_entry("entry-0")
        await cluster.async_until_all_have(1, 10.0)
        assert sync.current
        assert cluster.metrics["entry-0"].value(
            "cranberryline_drops_total", reason="task_failed"
        ) == pytest.approx(3)
        cluster.close()

    run_virtual(async_case())
