"""Reload the settings on SIGHUP, or when the settings file has changed."""

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

# A platform may change the file without sending a signal. A check costs one stat call.
_CHECK_INTERVAL = timedelta(seconds=2)


class SettingsWatch:
    """Call `apply` with settings that have changed and are valid.

    The mistakes of invalid settings are logged, and the previous settings stay in effect.
    """

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
        self._file_state = self._read_file_state()

    def install(self) -> None:
        """Handle SIGHUP, whose default action would end the process and all its connections.

        The file is also read again now, since a signal that came between the first read of the
        file and this call had no effect.
        """
        loop = asyncio.get_running_loop()

        def on_signal(_signum: int, _frame: FrameType | None) -> None:
            loop.call_soon_threadsafe(self.reload, "signal")

        signal.signal(signal.SIGHUP, on_signal)
        loop.call_soon(self.reload, "start")

    async def async_run(self) -> None:
        """Check the file for changes until cancelled."""
        while True:
            await self._clock.async_sleep(_CHECK_INTERVAL)
            if self._read_file_state() != self._file_state:
                self.reload("file")

    def reload(self, cause: str) -> None:
        """Read the file, and apply its settings if they are valid and have changed.

        `cause` is logged: "signal", "start" or "file".
        """
        self._file_state = self._read_file_state()
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

    def _read_file_state(self) -> tuple[int, int] | None:
        """Return the file's modification time and size, or None if it cannot be read."""
        try:
            stat = Path(self._path).stat()
        except OSError:
            return None
        return (stat.st_mtime_ns, stat.st_size)
