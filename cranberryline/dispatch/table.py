"""The upstreams of all services that this process can send requests to."""

from collections.abc import Callable, Mapping

from cranberryline.transport import UpstreamLink

from .pool import UpstreamPool
from .upstreams import Upstream

__all__ = ["UpstreamTable"]


def _no_versions(_vm_id: str) -> Mapping[str, int]:
    return {}


class UpstreamTable:
    """The upstreams of each service, by VM id.

    `served_versions` returns the version of each model that an upstream serves.
    """

    def __init__(self, served_versions: Callable[[str], Mapping[str, int]] = _no_versions) -> None:
        self._served_versions = served_versions
        self._pools: dict[str, UpstreamPool] = {}
        self._services: dict[str, str] = {}
        self._counts_connections: Callable[[], bool] = lambda: False

    def add(self, service: str, link: UpstreamLink, data_center: str) -> None:
        """Add an upstream of a service, or replace the one with the same VM id."""
        self.remove(link.vm_id)
        self._services[link.vm_id] = service
        self.pool(service).add(link, data_center)

    def remove(self, vm_id: str) -> None:
        """Remove an upstream."""
        service = self._services.pop(vm_id, None)
        if service is not None:
            self._pools[service].remove(vm_id)

    def versions_changed(self, vm_id: str) -> None:
        """Take in that an upstream serves other versions than before."""
        service = self._services.get(vm_id)
        if service is not None:
            self._pools[service].mark_changed(vm_id)

    def pool(self, service: str) -> UpstreamPool:
        """Return the upstreams of a service; the pool stays the same object."""
        pool = self._pools.get(service)
        if pool is None:
            pool = self._pools[service] = UpstreamPool(self._served_versions, self._is_counting)
        return pool

    def count_connections(self, counts: Callable[[], bool]) -> None:
        """Use each idle connection for one request while `counts` returns True."""
        self._counts_connections = counts

    def _is_counting(self) -> bool:
        return self._counts_connections()

    def usable(self, service: str) -> list[Upstream]:
        """Return the upstreams of a service that accept new requests."""
        return list(self.pool(service).iter_usable())

    def all(self) -> list[UpstreamLink]:
        """Return the links to all upstreams."""
        return [link for pool in self._pools.values() for link in pool.links()]
