"""The command that checks a platform's configuration."""

import json
from pathlib import Path

import pytest

from cranberryline.cli import ExitCode, main

ROUTE = {"name": "r", "host": "h", "path_prefix": "/", "kind": "safe", "service": "s"}


def _write(path: Path, **more: object) -> str:
    cfg = {"version": 3, "routes": [ROUTE], "services": [{"name": "s"}], **more}
    path.write_text(json.dumps(cfg))
    return str(path)


def test_workspaces_without_keys_are_shown(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    """A valid configuration names the workspaces that no caller can use."""
    tenants = [{"name": "a", "api_keys": ["k"]}, {"name": "b", "api_keys": []}]
    path = _write(tmp_path / "config.json", tenants=tenants)
    assert main(["check-config", path]) == ExitCode.OK
    out = capsys.readouterr().out.splitlines()
    assert out == [
        "workspace b: has no key, so no caller can use it",
        f"{path}: valid configuration of version 3",
    ]


def test_each_mistake_is_one_line(tmp_path: Path, capsys: pytest.CaptureFixture[str]) -> None:
    """All mistakes are shown at once, and no key is."""
    tenants = [
        {"name": "a", "api_keys": ["secret-key", ""]},
        {"name": "b", "api_keys": ["secret-key"]},
        {"name": "b", "api_keys": []},
    ]
    path = _write(tmp_path / "config.json", tenants=tenants)
    assert main(["check-config", path]) == ExitCode.FAILURE
    err = capsys.readouterr().err
    for line in ("workspace b: listed twice", "workspace a: empty key", "has a key of workspace a"):
        assert line in err
    assert "secret-key" not in err
    assert main(["check-config", str(tmp_path / "none.json")]) == ExitCode.USAGE
