"""What the store says of upstreams: taken into the directory, and shown to who orders engines."""

from result import Err

from cranberryline.helpers.metrics import Metrics
from cranberryline.platform.ports import PlatformPort
from cranberryline.ports.store import KeyedRecord
from cranberryline.routes import ActiveRoutes, RouteTable
from cranberryline.upstreams.directory import Directory, Registration
from cranberryline.upstreams.errors import RegistrationProblem
from cranberryline.weights.shift import EngineStart

__all__ = ["Registrations"]


class Registrations:
    """Take each record in; what is refused is counted by its reason.

    An entry of a service that no configuration names is held until one does: it may be of an upstream that is
    there before its routes, or of another writer. Passed on meanwhile, the start and the drain that it
    tells of would stand above the upstream's own for good.
    """

    def __init__(
        self, platform: PlatformPort, directory: Directory, routes: ActiveRoutes, metrics: Metrics
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._routes = routes
        self._metrics = metrics
        self._held: dict[str, Registration] = {}
        routes.listen(self._on_table)

    def take(self, record: KeyedRecord) -> None:
        """Take a record; one that names no upstream takes its key out of use, and nothing else."""
        self._held.pop(record.key, None)
        if not record.value:
            self._directory.remove(record.key)
            return
        row = self._platform.read_registration(record)
        if isinstance(row, Err):
            self._refuse(record.key, row.unwrap_err())
            return
        self._put(row.unwrap())

    def engines(self) -> dict[str, list[EngineStart]]:
        """Return the starts of engines that take orders, by service."""
        return {
            service: [EngineStart(row.key, self._versions(row), row.id) for row in rows]
            for service, rows in self._directory.engines().items()
        }

    def _put(self, row: Registration) -> None:
        table = self._routes.table
        if table is None or not table.names_service(row.service):
            self._held[row.id] = row
            if table is not None:
                self._refuse(row.id, RegistrationProblem.UNKNOWN_SERVICE)
            return
        put = self._directory.put(row)
        if isinstance(put, Err):
            self._count(put.unwrap_err())

    def _on_table(self, table: RouteTable) -> None:
        named = [row for row in self._held.values() if table.names_service(row.service)]
        for row in named:
            del self._held[row.id]
            self._put(row)

    def _refuse(self, upstream_id: str, problem: RegistrationProblem) -> None:
        self._directory.reject(upstream_id, problem)
        self._count(problem)

    def _count(self, problem: RegistrationProblem) -> None:
        self._metrics.drop(f"registration_{problem.value}")

    def _versions(self, row: Registration) -> dict[str, int]:
        known = {model: self._directory.version(row.key, model) for model in row.versions}
        return {model: version for model, version in known.items() if version is not None}
