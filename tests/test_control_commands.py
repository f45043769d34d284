"""The command line's `controls`, against the calls of a gateway."""

import asyncio
import socket
import threading
from collections.abc import Iterator

import pytest
import yaml

from cranberryline.cli import ExitCode, main
from tests.gateway.controls_server import ControlsServer, async_serve_controls


@pytest.fixture
def server() -> Iterator[ControlsServer]:
    """Serve a gateway's controls from a thread, since each command runs a loop of its own."""
    ready, made, loop = threading.Event(), [], asyncio.new_event_loop()
    stop = asyncio.Event()

    async def async_serve() -> None:
        async with async_serve_controls() as served:
            made.append(served)
            ready.set()
            await stop.wait()

    thread = threading.Thread(target=loop.run_until_complete, args=(async_serve(),))
    thread.start()
    assert ready.wait(5)
    yield made[0]
    loop.call_soon_threadsafe(stop.set)
    thread.join(5)
    loop.close()


def _run(server: ControlsServer, *line: str) -> int:
    return main(["controls", *line, "--gateway", server.url])


def test_controls_are_set_listed_and_taken_back(
    server: ControlsServer, capsys: pytest.CaptureFixture[str]
) -> None:
    """Names that look like numbers or paths stay as they are."""
    flags = ("--weight", "2.5", "--cap=12", "--seconds=60", "--reason=a new run")
    assert _run(server, "set", "trainer", "007/x", *flags) == ExitCode.OK
    assert _run(server, "set", "upstream", "i-1") == ExitCode.OK
    assert "upstream/i-1: set" in capsys.readouterr().out
    assert _run(server, "list") == ExitCode.OK
    share, cordon = yaml.safe_load(capsys.readouterr().out)
    assert (share["name"], share["weight"], share["cap"]) == ("007/x", 2.5, 12)
    assert (share["reason"], bool(share["until"]), bool(share["by"])) == ("a new run", True, True)
    assert (cordon["kind"], cordon["name"], cordon["in_force"]) == ("upstream", "i-1", True)
    assert _run(server, "clear", "trainer", "007/x") == ExitCode.OK
    assert "trainer/007/x: taken back" in capsys.readouterr().out
    assert _run(server, "list") == ExitCode.OK
    assert len(yaml.safe_load(capsys.readouterr().out)) == 1


@pytest.mark.parametrize(
    ("line", "code", "said"),
    [
        (("set", "trainer", "t", "--weight", "0.01"), ExitCode.FAILURE, "weight"),
        (("set", "trainer", "t", "--weight", "NaN"), ExitCode.FAILURE, "weight"),
        (("set", "trainer", "t", "--weight", "heavy"), ExitCode.USAGE, "weight"),
        (("set", "trainer", "t", "--cap", "true"), ExitCode.USAGE, "cap"),
        (("set", "engine", "e"), ExitCode.FAILURE, "kind"),
        (("clear", "vm", "n7"), ExitCode.FAILURE, "unknown_control"),
    ],
)
def test_refusal_names_the_mistake(
    server: ControlsServer,
    capsys: pytest.CaptureFixture[str],
    line: tuple[str, ...],
    code: ExitCode,
    said: str,
) -> None:
    """An operator could not tell what to mend."""
    assert _run(server, *line) == code
    assert said in capsys.readouterr().err


def test_unconfirmed_control_is_told_as_unknown(
    server: ControlsServer, capsys: pytest.CaptureFixture[str]
) -> None:
    """A script that reads the exit code must not take it for refused."""
    server.log.refusing = lambda _topic, _part: True
    assert _run(server, "set", "vm", "n1") == ExitCode.UNKNOWN
    assert "store_unavailable" in capsys.readouterr().err


def test_lost_answer_points_to_the_list_of_controls(capsys: pytest.CaptureFixture[str]) -> None:
    """The hint of another command would lead to the wrong place."""
    with socket.create_server(("127.0.0.1", 0)) as listener:

        def cut() -> None:
            conn, _ = listener.accept()
            conn.recv(1)
            conn.close()

        thread = threading.Thread(target=cut)
        thread.start()
        gateway = f"http://127.0.0.1:{listener.getsockname()[1]}"
        assert main(["controls", "set", "vm", "n1", "--gateway", gateway]) == ExitCode.UNKNOWN
        thread.join(5)
    assert "cranberryline controls list" in capsys.readouterr().err


@pytest.mark.parametrize(
    "line", [["list"], ["clear", "vm", "n1"], ["set", "vm", "n1", "--gateway", ""]]
)
def test_controls_need_a_gateway(line: list[str]) -> None:
    """There is no address that would be right by default."""
    assert main(["controls", *line]) == ExitCode.USAGE
