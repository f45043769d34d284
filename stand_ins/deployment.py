"""What a deployment consists of, as read from `examples/`."""

from pathlib import Path
from typing import Any

import attrs
import yaml

__all__ = ["EXAMPLES", "DeploymentPlan", "ServicePlan", "load_plan"]

ROOT = Path(__file__).resolve().parent.parent
EXAMPLES = ("beaulieu", "giat-sach")


@attrs.frozen
class ServicePlan:
    """A service and how many upstreams it has; `controls` are set at the stand-ins' start.

    Without `side`, nothing of ours runs beside its upstreams and the entries reach them directly.
    """

    name: str
    type: str
    samplers: int
    controls: dict[str, Any] = attrs.field(factory=dict)
    side: bool = True


@attrs.frozen
class DeploymentPlan:
    """Places, services and configuration records of one deployment.

    When `relayed`, the VM list shows for each peer the address of a relay in front of it, so that
    tests can make open connections go silent; a link is named as its VM.
    """

    name: str
    data_centers: tuple[str, ...]
    services: tuple[ServicePlan, ...]
    records: tuple[dict[str, Any], ...] = ()
    entries: int = 2
    relayed: bool = False
    platform: dict[str, dict[str, Any]] = attrs.field(factory=dict)

    def of_type(self, kind: str) -> ServicePlan:
        """Return the first service of a type."""
        return next(service for service in self.services if service.type == kind)

    def names_of(self, kind: str) -> list[str]:
        """Return the names of the records of a kind."""
        return [record["name"] for record in self.records if record["kind"] == kind]

    def spec_of(self, kind: str, name: str) -> dict[str, Any]:
        """Return a record's specification."""
        return next(r["spec"] for r in self.records if (r["kind"], r["name"]) == (kind, name))

    def shrunk(self, samplers: int, entries: int = 2, relayed: bool = False) -> "DeploymentPlan":
        """Return the plan with fewer upstreams, for tests."""
        services = tuple(
            attrs.evolve(service, samplers=min(samplers, service.samplers))
            for service in self.services
        )
        return attrs.evolve(self, services=services, entries=entries, relayed=relayed)


def load_plan(name: str) -> DeploymentPlan:
    """Read one of the examples."""
    folder = ROOT / "examples" / name
    raw = yaml.safe_load((folder / "deployment.yaml").read_text())
    records = yaml.safe_load((folder / "records.yaml").read_text())
    services = tuple(ServicePlan(name, **spec) for name, spec in raw["services"].items())
    return DeploymentPlan(
        raw["name"], tuple(raw["data_centers"]), services, tuple(records), raw["entries"]
    )
