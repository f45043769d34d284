"""What runs of items have to know of upstreams' weight versions."""

import abc

__all__ = ["UpstreamVersions"]


class UpstreamVersions(abc.ABC):
    """Which weight version an upstream serves, as far as this node knows."""

    @abc.abstractmethod
    def version(self, upstream: str, model: str) -> int | None:
        """Return the version, None if unknown."""

    @abc.abstractmethod
    def learn(self, upstream: str, model: str, version: int) -> None:
        """Take the version that an answer told."""
