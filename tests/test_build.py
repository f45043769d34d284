"""The one file: it runs by itself, as one process."""

import contextlib
import json
import os
import signal
import socket
import subprocess
import sys
import time
from collections.abc import Iterator
from pathlib import Path

import pytest
import yaml

_REPOSITORY = Path(__file__).resolve().parent.parent
# Put into the child by the interpreter itself at its start; ends it at the first sign of another
# process, however short-lived, which a look at the process table could miss.
_GUARD = """
import os, sys
_FORBIDDEN = {"os.fork", "os.forkpty", "os.posix_spawn", "os.spawn", "os.exec", "os.system",
              "subprocess.Popen"}
def _hook(event, args):
    if event in _FORBIDDEN:
        os.write(2, event.encode())
        os._exit(99)
sys.addaudithook(_hook)
"""
_SETTINGS = {
    "vm_id": "entry-1",
    "data_center": "levis",
    "log": "http://127.0.0.1:9001",
    "vm_list": "http://127.0.0.1:9002",
}


@pytest.fixture(scope="module")
def binary(tmp_path_factory: pytest.TempPathFactory) -> Path:
    """Build the file once, from what the environment holds."""
    target = tmp_path_factory.mktemp("dist") / "cranberryline"
    env = {**os.environ, "VENV": sys.prefix}
    subprocess.run([_REPOSITORY / "script/build", target], env=env, check=True, timeout=120)
    return target


@pytest.fixture
def environment(tmp_path: Path) -> dict[str, str]:
    """Return an environment without this checkout, and with the guard against other processes."""
    guard = tmp_path / "guard"
    guard.mkdir()
    (guard / "sitecustomize.py").write_text(_GUARD)
    return {
        "PATH": f"{Path(sys.executable).resolve().parent}:{os.environ['PATH']}",
        "PYTHONPATH": str(guard),
        "SHIV_ROOT": str(tmp_path / "unpacked"),
    }


def _run(binary: Path, env: dict[str, str], *args: str) -> subprocess.CompletedProcess[str]:
    """Run the file to its end, away from the checkout."""
    return subprocess.run(
        [binary, *args],
        check=False,
        env=env,
        cwd=binary.parent,
        capture_output=True,
        text=True,
        timeout=60,
    )


def _processes_of_session(session: int) -> list[int]:
    """Return the processes of a session, by the process table."""
    found = []
    for path in Path("/proc").glob("[0-9]*/stat"):
        try:
            fields = path.read_text().rpartition(")")[2].split()
        except (FileNotFoundError, ProcessLookupError):
            continue
        if int(fields[3]) == session:
            found.append(int(path.parent.name))
    return found


def test_it_is_one_file_that_runs(
    binary: Path, environment: dict[str, str], tmp_path: Path
) -> None:
    """Version and the check of settings, twice: the first run unpacks, the second one does not."""
    path = tmp_path / "entry.yaml"
    path.write_text(yaml.safe_dump(_SETTINGS))
    for _ in range(2):
        done = _run(binary, environment, "version")
        assert (done.returncode, done.stderr) == (0, "")
        assert done.stdout.startswith("cranberryline ")
    assert _run(binary, environment, "check-settings", str(path)).returncode == 0
    path.write_text("vm_id: 3")
    done = _run(binary, environment, "check-settings", str(path))
    assert done.returncode == 2
    assert "data_center: missing" in done.stderr


@pytest.mark.parametrize("after_s", [0.02, 0.05, 0.1, 0.2, 0.3])
def test_sighup_during_the_start_does_not_end_a_gateway(
    binary: Path, environment: dict[str, str], tmp_path: Path, after_s: float
) -> None:
    """SIGHUP tells of changed settings before Python, or the program, is loaded."""
    path = tmp_path / "gateway.yaml"
    free = [socket.socket() for _ in range(3)]
    for sock in free:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in free]
    for sock in free:
        sock.close()
    names = ("listen", "ready", "peer")
    settings = {name: f"127.0.0.1:{port}" for name, port in zip(names, ports, strict=True)}
    settings |= {"vm_id": "front-1", "data_center": "levis", "store": "127.0.0.1:9"}
    path.write_text(yaml.safe_dump(settings))
    with subprocess.Popen(
        [binary, "gateway", str(path)],
        env=environment,
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    ) as process:
        try:
            time.sleep(after_s)
            process.send_signal(signal.SIGHUP)
            with pytest.raises(subprocess.TimeoutExpired):
                process.wait(1.0)
        finally:
            process.kill()


def test_the_guard_sees_other_processes(environment: dict[str, str]) -> None:
    """Without this the test above could pass because the guard was never loaded."""
    code = "import subprocess; subprocess.run(['true'])"
    done = subprocess.run([sys.executable, "-c", code], check=False, env=environment, timeout=60)
    assert done.returncode == 99


@pytest.fixture
def interruptible() -> Iterator[None]:
    """Let processes that are started here be interrupted.

    A shell starts what it runs in the background with SIGINT ignored, and that is passed on to every process
    below: the signal would be lost, and the process end by its own time limit.
    """
    previous = signal.signal(signal.SIGINT, signal.default_int_handler)
    yield
    signal.signal(signal.SIGINT, previous)


@pytest.mark.usefixtures("interruptible")
def test_it_is_one_process(binary: Path, environment: dict[str, str]) -> None:
    """While it runs, the process table shows the process that was started and no other."""
    with socket.create_server(("127.0.0.1", 0)) as silent:
        url = f"http://127.0.0.1:{silent.getsockname()[1]}"
        process = subprocess.Popen(
            [binary, "status", "--entry", url],
            env=environment,
            stdout=subprocess.DEVNULL,
            start_new_session=True,
        )
        # The connection stays open until the process has ended: closed before the signal arrives, it makes
        # the process end by itself with "no answer".
        with contextlib.ExitStack() as kept:
            try:
                silent.settimeout(60)
                conn, _ = silent.accept()
                kept.enter_context(conn)
                for _ in range(5):
                    assert _processes_of_session(process.pid) == [process.pid]
                    time.sleep(0.02)
            finally:
                process.send_signal(signal.SIGINT)
                assert process.wait(timeout=30) == 130


@pytest.mark.parametrize("role", ["entry", "side"])
def test_a_role_is_one_process_that_logs_and_stops(
    role: str, binary: Path, environment: dict[str, str], tmp_path: Path
) -> None:
    """The platform is out when the process starts.

    It starts all the same, logs JSON lines, and a planned stop ends it with 0, all in the process
    that was started.
    """
    ports = [_free_port(), _free_port()]
    addresses = {"listen": f"127.0.0.1:{ports[0]}", "peer": f"tcp://127.0.0.1:{ports[1]}"}
    settings = {
        **_SETTINGS,
        **addresses,
        "log": "http://127.0.0.1:1",
        "vm_list": "http://127.0.0.1:1",
    }
    if role == "side":
        del settings["vm_list"]
        settings |= {"service": "dossiers", "upstream": "http://127.0.0.1:1"}
    path = tmp_path / "settings.yaml"
    path.write_text(yaml.safe_dump(settings))
    process = subprocess.Popen(
        [binary, role, "--settings", path],
        env=environment,
        stdout=subprocess.PIPE,
        start_new_session=True,
    )
    try:
        assert process.stdout is not None
        event = json.loads(process.stdout.readline())
        assert (event["vm_id"], event["role"], event["level"]) == ("entry-1", role, "info")
        _wait_for_port(ports[0])
        assert _processes_of_session(process.pid) == [process.pid]
        process.send_signal(signal.SIGTERM)
        rest = process.stdout.read().splitlines()
        assert process.wait(timeout=30) == 0
        assert "stopped" in [json.loads(line)["message_type"] for line in rest]
    finally:
        process.kill()
        process.communicate()


def _free_port() -> int:
    """Return a port that was free just now."""
    with socket.create_server(("127.0.0.1", 0)) as server:
        port: int = server.getsockname()[1]
        return port


def _wait_for_port(port: int) -> None:
    """Wait until something listens."""
    for _ in range(1000):
        try:
            socket.create_connection(("127.0.0.1", port), 1).close()
        except OSError:
            time.sleep(0.02)
        else:
            return
    raise TimeoutError("nothing listens")
