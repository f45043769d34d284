"""Injects faults into a running deployment and counts the guarantees that were violated."""

import asyncio
from collections.abc import Callable

import attrs

from stand_ins.demo import async_load, figures_of
from stand_ins.deployment import DeploymentPlan, load_plan
from stand_ins.launcher import Deployment, launched

__all__ = ["VIOLATION_COUNTS", "Scenario", "run_scenario"]

Fault = Callable[[Deployment], None]

# Each of these counts must be 0 under every fault. They are counted by the stand-ins for callers,
# trainers and upstreams, independently of cranberryline itself.
VIOLATION_COUNTS = (
    "duplicates",
    "lost",
    "over_staleness_bound",
    "wrong_version",
    "wrong_score",
    "answers_wrong",
    "double_runs",  # a request that may run only once ran several times
    "ran_though_refused",  # reported with ran=no although it ran
    "not_run_though_told",  # reported with ran=yes although it did not run
)


@attrs.frozen
class Scenario:
    """A load of `seconds`, and the faults to inject; fault times are seconds after its start.

    With `relayed`, the connections between processes go through a relay that can drop traffic.
    """

    faults: tuple[tuple[float, Fault], ...]
    seconds: float = 7.0
    relayed: bool = False
    example: str = "giat-sach"

    def plan(self) -> DeploymentPlan:
        """Return the plan of a deployment with two entries and three upstreams of each service."""
        return load_plan(self.example).shrunk(3, entries=2, relayed=self.relayed)


async def _async_inject_faults(deployment: Deployment, scenario: Scenario) -> None:
    elapsed = 0.0
    for at, fault in scenario.faults:
        await asyncio.sleep(at - elapsed)
        elapsed = at
        await asyncio.to_thread(fault, deployment)


async def _async_run_scenario(deployment: Deployment, scenario: Scenario) -> dict[str, object]:
    faults = asyncio.ensure_future(_async_inject_faults(deployment, scenario))
    load = await async_load(deployment, scenario.seconds)
    await faults
    return figures_of(deployment, load)


def run_scenario(scenario: Scenario) -> dict[str, object]:
    """Run a scenario and return the counts of the stand-ins."""
    with launched(scenario.plan()) as deployment:
        try:
            return asyncio.run(_async_run_scenario(deployment, scenario))
        finally:
            deployment.kill_all()
