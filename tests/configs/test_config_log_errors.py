"""Tests of a log client that raises an unexpected exception."""

from datetime import timedelta

import pytest
from result import Result

from cranberryline.ports.errors import PlatformError
from cranberryline.ports.model import LogPage
from tests.configs.config_fakes import Cluster, FakeLog, service_data
from tests.virtual_time import run_virtual


class RaisingLog(FakeLog):
    """A log client that raises an unexpected exception in its first reads."""

    def __init__(self, errors: int) -> None:
        super().__init__()
        self.errors = errors

    async def async_read(
        self, stream: str, start: int, limit: int = 500, wait: timedelta = timedelta()
    ) -> Result[LogPage, PlatformError]:
        """Raise an unexpected exception `errors` times, then read."""
        if self.errors:
            self.errors -= 1
            raise KeyError("first")
        return await super().async_read(stream, start, limit, wait)


def test_task_continues_after_an_unexpected_exception() -> None:
    """The log client raises an unexpected exception 3 times, as on a malformed response.

    Each one must be counted, and the gateway must continue to read. If its task ended, the gateway
    would use an outdated configuration until somebody noticed.
    """

    async def async_case() -> None:
        log = RaisingLog(3)
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
