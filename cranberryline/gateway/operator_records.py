"""Apply what operators and trainers write to the store: routes, and versions of models."""

from collections.abc import Callable

from result import Err

from cranberryline.helpers.store_health import StoreHealth
from cranberryline.platform.ports import NamedVersion, PlatformPort
from cranberryline.ports.store import KeyedRecord
from cranberryline.routes import ActiveRoutes, RouteTable

__all__ = ["OperatorRecords"]


class OperatorRecords:
    """Passes each valid record on; `request_version` takes a model and the version to load."""

    def __init__(
        self,
        platform: PlatformPort,
        routes: ActiveRoutes,
        health: StoreHealth,
        request_version: Callable[[str, int], None],
    ) -> None:
        self._platform = platform
        self._routes = routes
        self._health = health
        self._request_version = request_version

    def apply_record(self, record: KeyedRecord) -> None:
        """Apply a record; the previous configuration stays active until the next valid one."""
        read = self._platform.read_operator(record)
        if isinstance(read, Err):
            detail = read.unwrap_err()
            self._health.unsound("operator_record_unreadable", key=record.key, detail=detail)
            return
        change = read.unwrap()
        if isinstance(change, RouteTable):
            self._routes.apply(change)
        elif isinstance(change, NamedVersion):
            self._request_version(change.model, change.version)
