"""A rollout service for reinforcement learning on shared engines."""

__all__ = ["__version__"]

__version__ = "0.1.0"
