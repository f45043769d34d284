"""Interface to the model weight versions that upstreams serve."""

import abc

__all__ = ["UpstreamVersions"]


class UpstreamVersions(abc.ABC):
    """Weight versions that upstreams serve, as far as this node knows."""

    @abc.abstractmethod
    def version(self, upstream: str, model: str) -> int | None:
        """Return the version of a model, or None if it is unknown."""

    @abc.abstractmethod
    def record_version(self, upstream: str, model: str, version: int) -> None:
        """Record the version that a response of the upstream reported."""
