"""Command line of the stand-ins: `python -m stand_ins NAME --port N [--control VALUE ...]`."""

import asyncio
import sys
from collections.abc import Callable
from typing import Any

import fire

from .engine import EngineControls, EngineStandIn
from .http import Controls, StandIn, async_serve
from .log import LogControls, LogStandIn
from .relay import RelayControls, RelayStandIn
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

    def engine(
        self, port: int, name: str, model: str, store: str, journal: str = "", **controls: Any
    ) -> None:
        """Serve a model engine."""
        _serve(lambda: EngineStandIn(EngineControls(**controls), name, model, store, journal), port)

    def service(self, port: int, name: str, journal: str = "", **controls: Any) -> None:
        """Serve a plain service."""
        _serve(lambda: ServiceStandIn(ServiceControls(**controls), name, journal), port)

    def scorer(self, port: int, **controls: Any) -> None:
        """Serve the scoring service."""
        _serve(lambda: ScorerStandIn(Controls(**controls)), port)

    def relay(self, port: int, links: str, **controls: Any) -> None:
        """Serve a TCP relay; `links` is NAME:LISTEN:TARGET,... with ports on loopback."""
        _serve(lambda: RelayStandIn(RelayControls(**controls), links), port)

    def run(self, example: str = "beaulieu") -> None:
        """Run an example deployment until interrupted."""
        from .run import run  # noqa: PLC0415 - a stand-in needs nothing of the launcher

        sys.exit(run(example))

    def demo(self, seconds: float = 8.0) -> None:
        """Run both examples in turn under load, and check the promises."""
        from .demo import demo  # noqa: PLC0415 - a stand-in needs nothing of the launcher

        sys.exit(demo(seconds))


if __name__ == "__main__":
    fire.Fire(Commands)
