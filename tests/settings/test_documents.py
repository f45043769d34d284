"""The pages that describe settings, metrics and exit codes name all that there are."""

from datetime import timedelta
from pathlib import Path

import attrs
import pytest

from cranberryline.exit_code import ExitCode
from cranberryline.helpers.metrics import Metrics
from cranberryline.settings import EntrySettings, GatewaySettings, SideSettings
from cranberryline.settings.model import ATTR_KEY

_DOCS = Path(__file__).resolve().parents[2] / "docs"


@pytest.mark.parametrize(
    ("cls", "title"),
    [(EntrySettings, "Entry"), (GatewaySettings, "Gateway"), (SideSettings, "Side process")],
)
def test_each_setting_is_described_with_its_default(cls: type, title: str) -> None:
    """A key or a default that changes without its page is found here."""
    section = (_DOCS / "SETTINGS.md").read_text().split(f"\n## {title}\n")[1].split("\n## ")[0]
    rows = [line.split("|") for line in section.splitlines() if line.startswith("| `")]
    described = {row[1].strip(" `"): row[2].strip(" `") for row in rows}
    actual = {
        field.metadata[ATTR_KEY] or field.name: _shown(field.default) for field in attrs.fields(cls)
    }
    assert described == actual


def _shown(default: object) -> str:
    """Return a default as the page writes it."""
    if default is attrs.NOTHING:
        return "required"
    if default is None:
        return "none"
    if isinstance(default, timedelta):
        return f"{default.total_seconds():g}"
    return str(default)


def test_each_metric_is_described() -> None:
    """A counter that nobody can look up tells nothing."""
    page = (_DOCS / "OPERATIONS.md").read_text()
    for family in Metrics().registry.collect():
        if family.name.startswith("cranberryline_"):
            name = f"{family.name}_total" if family.type == "counter" else family.name
            assert f"| `{name}` |" in page


def test_each_exit_code_is_described() -> None:
    """Scripts of operators rest on them."""
    page = (_DOCS / "API.md").read_text()
    for code in ExitCode:
        assert f"\n| {code.value} | " in page
