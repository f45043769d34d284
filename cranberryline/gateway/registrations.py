"""Read the upstreams' registrations from the store into the directory, and list engine starts."""

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
    """Applies registration records to the directory, and counts rejected ones by reason.

    A registration whose service is not in the configuration is pending until it is: the upstream
    may be registered before its routes are configured, or another writer may have written the
    entry. In the second case, if the directory applied the entry, its start time and its drain
    would take precedence over those of the real upstream permanently.
    """

    def __init__(
        self, platform: PlatformPort, directory: Directory, routes: ActiveRoutes, metrics: Metrics
    ) -> None:
        self._platform = platform
        self._directory = directory
        self._routes = routes
        self._metrics = metrics
        self._pending: dict[str, Registration] = {}
        routes.listen(self._apply_pending)

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a record; an empty one removes the registration of its key.

        An unreadable record also removes it, but has no other effect.
        """
        self._pending.pop(record.key, None)
        if not record.value:
            self._directory.remove(record.key)
            return
        read = self._platform.read_registration(record)
        if isinstance(read, Err):
            self._reject(record.key, read.unwrap_err())
            return
        self._apply(read.unwrap())

    def engines(self) -> dict[str, list[EngineStart]]:
        """Return the starts of engines that serve models and are not draining, by service."""
        return {
            service: [
                EngineStart(registration.key, self._known_versions(registration), registration.id)
                for registration in registrations
            ]
            for service, registrations in self._directory.engines().items()
        }

    def _apply(self, registration: Registration) -> None:
        table = self._routes.table
        if table is None or not table.names_service(registration.service):
            self._pending[registration.id] = registration
            if table is not None:
                self._reject(registration.id, RegistrationProblem.UNKNOWN_SERVICE)
            return
        applied = self._directory.put(registration)
        if isinstance(applied, Err):
            self._count_rejection(applied.unwrap_err())

    def _apply_pending(self, table: RouteTable) -> None:
        """Apply the pending registrations whose service is in the new configuration."""
        known = [
            registration
            for registration in self._pending.values()
            if table.names_service(registration.service)
        ]
        for registration in known:
            del self._pending[registration.id]
            self._apply(registration)

    def _reject(self, upstream_id: str, problem: RegistrationProblem) -> None:
        self._directory.reject(upstream_id, problem)
        self._count_rejection(problem)

    def _count_rejection(self, problem: RegistrationProblem) -> None:
        self._metrics.drop(f"registration_{problem.value}")

    def _known_versions(self, registration: Registration) -> dict[str, int]:
        known = {
            model: self._directory.version(registration.key, model)
            for model in registration.versions
        }
        return {model: version for model, version in known.items() if version is not None}
