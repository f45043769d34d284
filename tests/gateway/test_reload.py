"""Settings read again: by signal, by a silent change, and bad ones."""

import asyncio
import os
import signal
from pathlib import Path

import pytest

from cranberryline.gateway.reload import SettingsWatch
from cranberryline.helpers.clock import SystemClock
from cranberryline.settings import GatewaySettings, load_settings

TEXT = """
vm_id: front-1
data_center: levis
store: 127.0.0.1:9001
listen: 127.0.0.1:9002
ready: 127.0.0.1:9003
peer: 127.0.0.1:9004
"""


@pytest.fixture
def file(tmp_path: Path) -> Path:
    """Return a settings file."""
    made = tmp_path / "settings.yaml"
    made.write_text(TEXT)
    return made


def _watch(file: Path, taken: list[GatewaySettings]) -> SettingsWatch:
    cfg = load_settings(file, GatewaySettings).unwrap()
    return SettingsWatch(str(file), cfg, taken.append, SystemClock())


def _write(file: Path, more: str) -> None:
    file.write_text(TEXT + more)


def test_a_signal_takes_changed_settings(file: Path) -> None:
    """SIGHUP, whose default ends a process, reads the file again."""
    taken: list[GatewaySettings] = []

    async def scene() -> None:
        watch = _watch(file, taken)
        before = signal.getsignal(signal.SIGHUP)
        watch.install()
        try:
            _write(file, "log_level: debug\nlease_ms: 2500\n")
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.1)
        finally:
            signal.signal(signal.SIGHUP, before)

    asyncio.run(scene())
    assert [(cfg.log_level, cfg.lease.total_seconds()) for cfg in taken] == [("debug", 2.5)]


def test_a_silent_change_is_seen(file: Path) -> None:
    """The file changed without a signal."""
    taken: list[GatewaySettings] = []

    async def scene() -> None:
        task = asyncio.ensure_future(_watch(file, taken).async_run())
        _write(file, "log_level: warning\n")
        await asyncio.sleep(2.2)
        task.cancel()

    asyncio.run(scene())
    assert [cfg.log_level for cfg in taken] == ["warning"]


@pytest.mark.parametrize("bad", ["vm_id: [", "unknown: 1\n" + TEXT, "vm_id: front-1\n", ""])
def test_bad_settings_leave_the_old_ones_in_force(file: Path, bad: str) -> None:
    """Nothing is handed over, and the process goes on."""
    taken: list[GatewaySettings] = []
    watch = _watch(file, taken)
    file.write_text(bad)
    watch.reload("test")
    assert taken == []
    file.write_text(TEXT + "log_level: error\n")
    watch.reload("test")
    assert [cfg.log_level for cfg in taken] == ["error"]


def test_settings_that_did_not_change_change_nothing(file: Path) -> None:
    """A signal without a change hands nothing over."""
    taken: list[GatewaySettings] = []
    _watch(file, taken).reload("test")
    assert taken == []
