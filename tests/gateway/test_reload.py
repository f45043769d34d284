"""Settings read again: by signal, by a silent change, and bad ones."""

import asyncio
import os
import signal
from pathlib import Path

import pytest

from cranberryline.gateway.reload import SettingsWatch
from cranberryline.helpers.clock import SystemClock
from cranberryline.settings import GatewaySettings, load_settings
from stand_ins.process import Process, free_ports, wait_for

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


def test_a_signal_in_the_middle_of_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """The settings change while a gateway starts: libraries are being read, nothing listens yet.

    Ended by the signal's default, it would be gone for one more start, and callers with it.
    """
    front, ready, peer = free_ports(3)
    ports = f"listen: 127.0.0.1:{front}\nready: 127.0.0.1:{ready}\npeer: 127.0.0.1:{peer}\n"
    file = tmp_path / "settings.yaml"
    file.write_text(f"vm_id: front-1\ndata_center: levis\nstore: 127.0.0.1:9\n{ports}")
    gateway = Process("front-1", ["cranberryline", "gateway", str(file)], tmp_path / "log")
    gateway.start()
    try:
        maps = Path(f"/proc/{gateway.pid}/maps")
        wait_for(lambda: not gateway.running or "msgspec" in maps.read_text(), "msgspec is read")
        gateway.signal(signal.SIGHUP)
        wait_for(
            lambda: not gateway.running or "settings_reloaded" in gateway.output(), "it listens"
        )
        assert gateway.running
    finally:
        gateway.kill()


def test_a_change_before_the_signal_is_listened_to_is_taken(file: Path) -> None:
    """It came with a signal that was not heard, after the settings were read."""
    taken: list[GatewaySettings] = []

    async def scene() -> None:
        cfg = load_settings(file, GatewaySettings).unwrap()
        _write(file, "log_level: debug\n")
        watch = SettingsWatch(str(file), cfg, taken.append, SystemClock())
        before = signal.getsignal(signal.SIGHUP)
        watch.install()
        await asyncio.sleep(0)
        signal.signal(signal.SIGHUP, before)

    asyncio.run(scene())
    assert [cfg.log_level for cfg in taken] == ["debug"]
