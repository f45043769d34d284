"""The side process: the only door to its upstream."""

import asyncio
import uuid
from datetime import timedelta

import zmq
from tornado.httpserver import HTTPServer
from tornado.web import Application, RequestHandler

from cranberryline.helpers.clock import Clock, SystemClock
from cranberryline.helpers.logging import get_logger, set_up_logging
from cranberryline.helpers.metrics import Metrics, MetricsHandler
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.platform.clients import HttpEngine
from cranberryline.requests import SideBook
from cranberryline.settings import SideSettings
from cranberryline.transport.model import Load, Welcome

from .runner import Runner
from .server import PeerServer, ServerEvents

__all__ = ["SideProcess", "run"]

_LOGGER = get_logger(__name__)

# Three times the longest heartbeat interval of an entry.
_ENTRY_SILENT_AFTER = timedelta(seconds=15)
_SWEEP_INTERVAL = timedelta(seconds=5)


class SideProcess(ServerEvents):
    """Put the parts of a side process together."""

    def __init__(self, cfg: SideSettings, clock: Clock) -> None:
        self._cfg = cfg
        self._clock = clock
        self.metrics = Metrics()
        self.incarnation = uuid.uuid4().hex
        self.book = SideBook(self.incarnation)
        self.upstream = HttpEngine(cfg.upstream_url)
        self.runner = Runner(clock, self.upstream, self.metrics, self.book)
        self._ctx = zmq.Context()
        self._server: PeerServer | None = None
        self._http: HTTPServer | None = None

    @property
    def ready(self) -> bool:
        """Tell whether new work is welcome."""
        return self._server is not None and not self.book.draining

    def load(self) -> Load | None:
        """Return the present load report."""
        return Load(
            running=self.book.running,
            queued=self.book.queued,
            queued_tokens=self.runner.queued_tokens,
            slots=self.runner.concurrency,
            weight_version=None,
            config_offset=self.config_offset(),
        )

    def welcome(self) -> Welcome:
        """Say who this is, in which life."""
        return Welcome(
            vm_id=self._cfg.vm_id,
            incarnation=self.incarnation,
            service=self._cfg.service,
            data_center=self._cfg.data_center,
            config_offset=self.config_offset(),
            draining=self.book.draining,
        )

    async def async_start(self) -> None:
        """Open the door."""
        self._server = PeerServer(
            self._ctx,
            self._cfg.peer,
            self._clock,
            self.runner,
            self.metrics,
            self.welcome,
            self,
        )
        self._http = _listen(self._cfg.listen, self)
        _LOGGER.info("side_ready", vm_id=self._cfg.vm_id, incarnation=self.incarnation)

    async def async_sweep(self) -> None:
        """Let go of entries that have gone silent."""
        while True:
            await self._clock.async_sleep(_SWEEP_INTERVAL)
            if self._server is not None:
                self._server.drop_silent(_ENTRY_SILENT_AFTER)

    async def async_stop(self) -> None:
        """Refuse what has not begun, tell the entries, and finish what runs."""
        self.runner.drain()
        if self._server is not None:
            self._server.announce_drain(self.incarnation, self._cfg.stop_timeout)
        await self.runner.async_wait_idle()
        # The last answers leave with the loop's next turns.
        await self._clock.async_sleep(timedelta(milliseconds=100))

    def close(self) -> None:
        """Close the ports."""
        if self._http is not None:
            self._http.stop()
        if self._server is not None:
            self._server.close()
        self._ctx.destroy(linger=0)


class _HealthHandler(RequestHandler):
    """Answer whether the process lives, or is ready for work."""

    def initialize(self, side: SideProcess, readiness: bool) -> None:
        """Take the process."""
        self._side = side
        self._readiness = readiness

    def get(self) -> None:
        """Answer 200 or 503."""
        good = self._side.ready or not self._readiness
        self.set_status(200 if good else 503)
        self.finish({"ready": self._side.ready})


def _listen(address: str, side: SideProcess) -> HTTPServer:
    app = Application(
        [
            ("/health", _HealthHandler, {"side": side, "readiness": False}),
            ("/ready", _HealthHandler, {"side": side, "readiness": True}),
            ("/metrics", MetricsHandler, {"metrics": side.metrics}),
        ],
        log_function=lambda _: None,
    )
    server = HTTPServer(app)
    host, _, port = address.rpartition(":")
    server.listen(int(port), host)
    return server


async def _async_run(cfg: SideSettings) -> int:
    side = SideProcess(cfg, SystemClock())
    shutdown = Shutdown(side.async_stop, cfg.stop_timeout, side.metrics)
    shutdown.install()
    await side.async_start()
    sweep = asyncio.ensure_future(side.async_sweep())
    outcome = await shutdown.async_wait()
    sweep.cancel()
    side.close()
    return outcome.exit_code


def run(cfg: SideSettings) -> int:
    """Run a side process until it is told to stop; return the exit code."""
    writer = set_up_logging(cfg.log_level, vm_id=cfg.vm_id, role="side")
    try:
        return asyncio.run(_async_run(cfg))
    finally:
        writer.close()
