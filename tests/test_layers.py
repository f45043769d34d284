"""Imports run down: no module imports from a layer above it, nor from a neighbour in its own layer."""

import ast
from collections.abc import Iterator
from pathlib import Path

import attrs
import pytest

ROOT = Path(__file__).parent.parent
PRODUCT = "cranberryline"
# The packages and single modules of the product, lowest first. Those of one line know nothing of each other.
LAYERS = (
    ("__init__", "exit_code", "ports", "settings"),
    ("helpers",),
    ("client", "config_client", "decisions", "leases", "requests", "transport", "workspaces"),
    ("configs", "slots", "usage", "weights"),
    ("controls", "execution", "quarantine", "routes", "samples", "upstreams"),
    ("dispatch",),
    ("jobs",),
    ("platform", "reports"),
    ("entry", "gateway", "side"),
    ("operator_commands",),
    ("operator_cli",),
    ("cli",),
    ("__main__",),
)
LEVELS = {name: level for level, names in enumerate(LAYERS) for name in names}


@attrs.frozen
class Import:
    """One import of the product's own code: from where, and of which package."""

    path: Path
    line: int
    importer: str
    imported: str

    @property
    def runs_down(self) -> bool:
        """Tell whether it stays in its package or goes to a lower layer."""
        if self.importer == self.imported:
            return True
        return LEVELS[self.imported] < LEVELS[self.importer]

    def __str__(self) -> str:
        return f"{self.path}:{self.line}: {self.importer} imports {self.imported}"


def _imports_of(root: Path) -> Iterator[Import]:
    """Yield every import of the product's own code, also those in functions and for types only."""
    for path in sorted((root / PRODUCT).rglob("*.py")):
        where = path.relative_to(root)
        for node in ast.walk(ast.parse(path.read_text())):
            named = [each for each in _modules_named(node, where.parts[:-1]) if each[0] == PRODUCT]
            for imported in dict.fromkeys(map(_package_of, named)):
                yield Import(where, node.lineno, _package(where), imported)


def _modules_named(node: ast.AST, package: tuple[str, ...]) -> list[tuple[str, ...]]:
    """Return what an import statement names, as absolute dotted paths."""
    if isinstance(node, ast.Import):
        return [tuple(alias.name.split(".")) for alias in node.names]
    if not isinstance(node, ast.ImportFrom):
        return []
    base = package[: len(package) + 1 - node.level] if node.level else ()
    module = (*base, *node.module.split(".")) if node.module else base
    return [(*module, alias.name) for alias in node.names]


def _package(path: Path) -> str:
    """Return the package, or the single module, that a file of the product belongs to."""
    return path.parts[1].removesuffix(".py")


def _package_of(dotted: tuple[str, ...]) -> str:
    """Return the package that a dotted path leads to; names of the product itself are its `__init__`'s."""
    if len(dotted) > 1 and dotted[1] in LEVELS:
        return dotted[1]
    return "__init__"


def test_every_package_has_its_layer() -> None:
    """A new package is put in its place before it is used, and one that went is taken off the list."""
    files = (ROOT / PRODUCT).rglob("*.py")
    assert {_package(path.relative_to(ROOT)) for path in files} == LEVELS.keys()


def test_imports_run_down() -> None:
    """An import of a layer above is told with its file and line."""
    found = list(_imports_of(ROOT))
    assert found
    upward = [str(each) for each in found if not each.runs_down]
    assert not upward, "\n" + "\n".join(upward)


@pytest.mark.parametrize(
    "statement",
    [
        "import cranberryline.gateway.app",
        "from cranberryline import gateway",
        "from cranberryline.gateway import app",
        "from cranberryline.gateway.app import GatewayProcess",
        "from ..gateway.app import GatewayProcess",
        "from .. import gateway",
        "def late():\n    from cranberryline.gateway import app",
        "if TYPE_CHECKING:\n    from cranberryline.gateway import app",
    ],
)
@pytest.mark.parametrize("importer", ["jobs", "entry"])
def test_an_import_upward_is_found(tmp_path: Path, importer: str, statement: str) -> None:
    """However it is written, from a domain or from a neighbour."""
    path = tmp_path / PRODUCT / importer / "planted.py"
    path.parent.mkdir(parents=True)
    path.write_text(f'"""Planted."""\n\n{statement}\n')
    line = 2 + len(statement.splitlines())
    where = path.relative_to(tmp_path)
    upward = [str(each) for each in _imports_of(tmp_path) if not each.runs_down]
    assert upward == [f"{where}:{line}: {importer} imports gateway"]


def test_an_import_downward_is_let_be(tmp_path: Path) -> None:
    """From a lower layer, from its own package, or from elsewhere."""
    path = tmp_path / PRODUCT / "gateway" / "planted.py"
    path.parent.mkdir(parents=True)
    path.write_text(
        "import asyncio\nfrom cranberryline import __version__\nfrom cranberryline.jobs import Job\n"
        "from .app import GatewayProcess\nfrom . import handler\nfrom ..helpers.clock import Clock\n"
    )
    found = list(_imports_of(tmp_path))
    assert [each.imported for each in found] == [
        "__init__",
        "jobs",
        "gateway",
        "gateway",
        "helpers",
    ]
    assert all(each.runs_down for each in found)
