"""Command line of the stand-ins: `python -m stand_ins NAME --port N [--control VALUE ...]`."""

import asyncio
from collections.abc import Callable
from typing import Any

import fire

from .engine import EngineControls, EngineStandIn
from .http import Controls, StandIn, async_serve
from .log import LogControls, LogStandIn
from .scorer import ScorerStandIn
from .service import ServiceControls, ServiceStandIn
from .store import StoreControls, StoreStandIn
from .vms import VmsControls, VmsStandIn


def _serve(make: Callable[[], StandIn], port: int) -> None:
    """Make the stand-in inside its event loop and serve it."""

    async def async_main() -> None:
        await async_serve(make(), port)

    asyncio.run(async_main())


class Commands:
    """Each command serves one stand-in; further options set its controls."""

    def log(self, port: int, **controls: Any) -> None:
        """Serve the append-only log."""
        _serve(lambda: LogStandIn(LogControls(**controls)), port)

    def vms(self, port: int, **controls: Any) -> None:
        """Serve the VM list."""
        _serve(lambda: VmsStandIn(VmsControls(**controls)), port)

    def store(self, port: int, **controls: Any) -> None:
        """Serve the weight store."""
        _serve(lambda: StoreStandIn(StoreControls(**controls)), port)

    def engine(self, port: int, name: str, model: str, store: str, **controls: Any) -> None:
        """Serve a model engine."""
        _serve(lambda: EngineStandIn(EngineControls(**controls), name, model, store), port)

    def service(self, port: int, name: str, **controls: Any) -> None:
        """Serve a plain service."""
        _serve(lambda: ServiceStandIn(ServiceControls(**controls), name), port)

    def scorer(self, port: int, **controls: Any) -> None:
        """Serve the scoring service."""
        _serve(lambda: ScorerStandIn(Controls(**controls)), port)


if __name__ == "__main__":
    fire.Fire(Commands)
