"""Reload of settings: on a signal, after a change without a signal, and of invalid settings."""

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
    path = tmp_path / "settings.yaml"
    path.write_text(TEXT)
    return path


def _watch(file: Path, applied: list[GatewaySettings]) -> SettingsWatch:
    cfg = load_settings(file, GatewaySettings).unwrap()
    return SettingsWatch(str(file), cfg, applied.append, SystemClock())


def _write(file: Path, more: str) -> None:
    file.write_text(TEXT + more)


def test_sighup_applies_changed_settings(file: Path) -> None:
    """SIGHUP reloads the file; its default action would end the process."""
    applied: list[GatewaySettings] = []

    async def scenario() -> None:
        watch = _watch(file, applied)
        before = signal.getsignal(signal.SIGHUP)
        watch.install()
        try:
            _write(file, "log_level: debug\nlease_ms: 2500\n")
            os.kill(os.getpid(), signal.SIGHUP)
            await asyncio.sleep(0.1)
        finally:
            signal.signal(signal.SIGHUP, before)

    asyncio.run(scenario())
    assert [(cfg.log_level, cfg.lease.total_seconds()) for cfg in applied] == [("debug", 2.5)]


def test_change_without_a_signal_is_applied(file: Path) -> None:
    """The file is changed and no signal is sent."""
    applied: list[GatewaySettings] = []

    async def scenario() -> None:
        task = asyncio.ensure_future(_watch(file, applied).async_run())
        _write(file, "log_level: warning\n")
        await asyncio.sleep(2.2)
        task.cancel()

    asyncio.run(scenario())
    assert [cfg.log_level for cfg in applied] == ["warning"]


@pytest.mark.parametrize("invalid", ["vm_id: [", "unknown: 1\n" + TEXT, "vm_id: front-1\n", ""])
def test_invalid_settings_leave_the_previous_ones_in_effect(file: Path, invalid: str) -> None:
    """Invalid settings are not applied, and a later valid file still is."""
    applied: list[GatewaySettings] = []
    watch = _watch(file, applied)
    file.write_text(invalid)
    watch.reload("test")
    assert applied == []
    file.write_text(TEXT + "log_level: error\n")
    watch.reload("test")
    assert [cfg.log_level for cfg in applied] == ["error"]


def test_unchanged_settings_are_not_applied_again(file: Path) -> None:
    """A reload of an unchanged file applies nothing."""
    applied: list[GatewaySettings] = []
    _watch(file, applied).reload("test")
    assert applied == []


def test_sighup_during_the_start_does_not_end_the_process(tmp_path: Path) -> None:
    """SIGHUP arrives while a gateway imports its libraries, before its ports are open.

    The default action would end the process, and callers would have no gateway until it has
    started again.
    """
    front, ready, peer = free_ports(3)
    ports = f"listen: 127.0.0.1:{front}\nready: 127.0.0.1:{ready}\npeer: 127.0.0.1:{peer}\n"
    file = tmp_path / "settings.yaml"
    file.write_text(f"vm_id: front-1\ndata_center: levis\nstore: 127.0.0.1:9\n{ports}")
    gateway = Process("front-1", ["cranberryline", "gateway", str(file)], tmp_path / "log")
    gateway.start()
    try:
        maps = Path(f"/proc/{gateway.pid}/maps")
        wait_for(
            lambda: not gateway.running or "msgspec" in maps.read_text(), "msgspec is imported"
        )
        gateway.signal(signal.SIGHUP)
        wait_for(lambda: not gateway.running or "settings_reloaded" in gateway.output(), "reload")
        assert gateway.running
    finally:
        gateway.kill()


def test_change_before_the_signal_handler_is_installed_is_applied(file: Path) -> None:
    """The file changed after it was read, and the signal came before the handler was installed."""
    applied: list[GatewaySettings] = []

    async def scenario() -> None:
        cfg = load_settings(file, GatewaySettings).unwrap()
        _write(file, "log_level: debug\n")
        watch = SettingsWatch(str(file), cfg, applied.append, SystemClock())
        before = signal.getsignal(signal.SIGHUP)
        watch.install()
        await asyncio.sleep(0)
        signal.signal(signal.SIGHUP, before)

    asyncio.run(scenario())
    assert [cfg.log_level for cfg in applied] == ["debug"]
