"""Faults brought about in a running deployment, and the promises that are counted afterwards."""

import asyncio
from collections.abc import Callable

import attrs

from stand_ins.demo import async_load, figures_of
from stand_ins.deployment import DeploymentPlan, load_plan
from stand_ins.launcher import Deployment, launched

__all__ = ["BROKEN_COUNTS", "Scenario", "play"]

Fault = Callable[[Deployment], None]

# Each of these counts must be 0 whatever happens; the stand-ins count them, not the product.
BROKEN_COUNTS = (
    "duplicates",
    "lost",
    "over_staleness_bound",
    "wrong_version",
    "wrong_score",
    "answers_wrong",
    "double_runs",
    "ran_though_refused",
    "not_run_though_told",
)


@attrs.frozen
class Scenario:
    """A load of some seconds, and what goes wrong when; times are from the start of the load."""

    faults: tuple[tuple[float, Fault], ...]
    seconds: float = 7.0
    relayed: bool = False
    example: str = "giat-sach"

    def plan(self) -> DeploymentPlan:
        """Return the deployment: two entries, three upstreams of each service."""
        return load_plan(self.example).shrunk(3, entries=2, relayed=self.relayed)


async def _async_faults(deployment: Deployment, scenario: Scenario) -> None:
    elapsed = 0.0
    for at, fault in scenario.faults:
        await asyncio.sleep(at - elapsed)
        elapsed = at
        await asyncio.to_thread(fault, deployment)


async def _async_play(deployment: Deployment, scenario: Scenario) -> dict[str, object]:
    faults = asyncio.ensure_future(_async_faults(deployment, scenario))
    load = await async_load(deployment, scenario.seconds)
    await faults
    return figures_of(deployment, load)


def play(scenario: Scenario) -> dict[str, object]:
    """Run a scenario and return what was counted outside of the product."""
    with launched(scenario.plan()) as deployment:
        try:
            return asyncio.run(_async_play(deployment, scenario))
        finally:
            deployment.kill_all()
