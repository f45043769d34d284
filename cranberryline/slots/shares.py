"""Weights and caps of trainers and workspaces, as operators set them."""

from collections.abc import Callable, Mapping

import attrs

__all__ = ["SlotShares"]


def _one(name: str) -> float:
    return 1.0


def _no_caps() -> Mapping[str, int]:
    return {}


@attrs.frozen
class SlotShares:
    """The weights, and the caps in force, by the name of a trainer or a workspace.

    A cap is the most slots at once; a name without one has no limit.
    """

    weights: Callable[[str], float] = _one
    caps: Callable[[], Mapping[str, int]] = _no_caps
    workspace_weights: Callable[[str], float] = _one
    workspace_caps: Callable[[], Mapping[str, int]] = _no_caps

    def weight(self, trainer: str, workspace: str) -> float:
        """Return the weight of a text of a trainer in a workspace, which is empty if unknown."""
        weight = self.weights(trainer)
        return weight * self.workspace_weights(workspace) if workspace else weight
