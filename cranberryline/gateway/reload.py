"""Read the settings again on SIGHUP, and when the file has changed without a signal."""

import asyncio
import signal
from collections.abc import Callable
from datetime import timedelta
from pathlib import Path
from types import FrameType

from result import Err

from cranberryline.helpers.clock import Clock
from cranberryline.helpers.logging import get_logger
from cranberryline.settings import GatewaySettings, load_settings

__all__ = ["SettingsWatch"]

_LOGGER = get_logger(__name__)

# A platform may change the file without a signal; looking costs one stat call.
_LOOK_INTERVAL = timedelta(seconds=2)


class SettingsWatch:
    """Hand over settings that changed and are valid; bad ones are told, and the old ones stay."""

    def __init__(
        self,
        path: str,
        cfg: GatewaySettings,
        apply: Callable[[GatewaySettings], None],
        clock: Clock,
    ) -> None:
        self._path = path
        self._cfg = cfg
        self._apply = apply
        self._clock = clock
        self._stamp = self._read_stamp()

    def install(self) -> None:
        """Listen for SIGHUP, whose default would end the process and cut every caller.

        The file is read once more: a change since the start read it came with a signal that was not heard.
        """
        loop = asyncio.get_running_loop()

        def on_signal(_signum: int, _frame: FrameType | None) -> None:
            loop.call_soon_threadsafe(self.reload, "signal")

        signal.signal(signal.SIGHUP, on_signal)
        loop.call_soon(self.reload, "start")

    async def async_run(self) -> None:
        """Look at the file until cancelled."""
        while True:
            await self._clock.async_sleep(_LOOK_INTERVAL)
            if self._read_stamp() != self._stamp:
                self.reload("file")

    def reload(self, cause: str) -> None:
        """Read the file and take what is valid."""
        self._stamp = self._read_stamp()
        loaded = load_settings(self._path, GatewaySettings)
        if isinstance(loaded, Err):
            for mistake in loaded.unwrap_err().mistakes:
                _LOGGER.error("settings_refused", cause=cause, mistake=str(mistake))
            return
        cfg = loaded.unwrap()
        changed = cfg != self._cfg
        _LOGGER.info("settings_reloaded", cause=cause, changed=changed)
        if changed:
            self._cfg = cfg
            self._apply(cfg)

    def _read_stamp(self) -> tuple[int, int] | None:
        try:
            stat = Path(self._path).stat()
        except OSError:
            return None
        return (stat.st_mtime_ns, stat.st_size)
