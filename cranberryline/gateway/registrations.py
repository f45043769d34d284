"""What the store says of upstreams: taken into the directory, and shown to who orders engines."""

from result import Err

from cranberryline.helpers.metrics import Metrics
from cranberryline.ports.platform import PlatformPort
from cranberryline.ports.store import KeyedRecord
from cranberryline.upstreams.directory import Directory, Registration
from cranberryline.upstreams.errors import RegistrationProblem
from cranberryline.weights.shift import EngineView

__all__ = ["Registrations"]


class Registrations:
    """Take each record in; what is refused is counted by its reason."""

    def __init__(self, platform: PlatformPort, directory: Directory, metrics: Metrics) -> None:
        self._platform = platform
        self._directory = directory
        self._metrics = metrics

    def take(self, record: KeyedRecord) -> None:
        """Take a record; one that names no upstream takes its key out of use, and nothing else."""
        if not record.value:
            self._directory.remove(record.key)
            return
        row = self._platform.read_registration(record)
        if isinstance(row, Err):
            self._directory.refuse(record.key, row.unwrap_err())
            self._count(row.unwrap_err())
            return
        put = self._directory.put(row.unwrap())
        if isinstance(put, Err):
            self._count(put.unwrap_err())

    def engines(self) -> dict[str, list[EngineView]]:
        """Return the starts of engines that take orders, by service."""
        return {
            service: [EngineView(row.key, self._versions(row), row.id) for row in rows]
            for service, rows in self._directory.engines().items()
        }

    def _count(self, problem: RegistrationProblem) -> None:
        self._metrics.drop(f"registration_{problem.value}")

    def _versions(self, row: Registration) -> dict[str, int]:
        known = {model: self._directory.version(row.key, model) for model in row.versions}
        return {model: version for model, version in known.items() if version is not None}
