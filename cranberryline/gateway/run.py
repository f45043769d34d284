"""Run a gateway process until it is told to stop."""

import asyncio
import gc

from cranberryline.exit_code import ExitCode
from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.logging import get_logger
from cranberryline.helpers.memory import return_freed_memory
from cranberryline.helpers.shutdown import Shutdown
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.settings import GatewaySettings

from .app import GatewayProcess
from .reload import SettingsWatch

__all__ = ["run"]

_LOGGER = get_logger(__name__)


async def _async_run(cfg: GatewaySettings, path: str) -> int:
    gateway = GatewayProcess(cfg, UsersPlatform(cfg.store), SystemClock())
    shutdown = Shutdown(gateway.async_stop, cfg.stop_timeout, gateway.metrics)
    shutdown.install()
    # Modules and components live as long as the process. Each full garbage collection would traverse
    # these 50,000 objects or so, which takes 40 ms. The first one would run while recent jobs are
    # read, which would take 22 us per result instead of 4.
    gc.freeze()
    try:
        gateway.start()
    except OSError as exc:
        _LOGGER.error("cannot_listen", error=str(exc))
        return ExitCode.UNAVAILABLE
    watch = SettingsWatch(path, cfg, gateway.apply_settings, SystemClock())
    watch.install()
    watch_task = asyncio.ensure_future(watch.async_run())
    outcome = await shutdown.async_wait()
    watch_task.cancel()
    await gateway.async_close()
    return outcome.exit_code


def run(cfg: GatewaySettings, path: str) -> int:
    """Run a gateway until it receives a stop signal; return the exit code."""
    return_freed_memory()
    return asyncio.run(_async_run(cfg, path))
