"""Where the time of steps and requests goes, told from the gateways' logs."""

from .command import run

__all__ = ["run"]
