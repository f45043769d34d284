"""Parsers for the schema versions of each kind; older versions are converted when parsed.

The rules of a released schema version must never change: processes of two releases would then fold
the same records into different configurations. A new rule needs a new schema version.
"""

from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from .const import (
    DEFAULT_CONCURRENCY,
    DEFAULT_FETCHES_PER_SECOND,
    DEFAULT_FRESHNESS,
    DEFAULT_LEAVE_SECONDS,
    DEFAULT_MAX_IN_FLIGHT,
    DEFAULT_QUEUE_SECONDS,
    DEFAULT_SHARE,
    DEFAULT_STALENESS_BOUND,
    DEFAULT_SWAP_FRACTION,
    DEFAULT_TIMEOUT_SECONDS,
    MAX_CONCURRENCY,
    MAX_IN_FLIGHT,
    MAX_RATE,
    MAX_SECONDS,
    MAX_SHARE,
    MAX_STALENESS_BOUND,
    MAX_VERSION,
)
from .errors import Mistake
from .fields import Field, choice, fraction, integer, name_field, number, read_fields, text
from .model import (
    CallerClass,
    CallerSpec,
    Kind,
    ServiceSpec,
    ServiceType,
    Spec,
    TrainerSpec,
    WeightsSpec,
)

__all__ = ["check_name", "known_schemas", "read_spec"]

Reader = Callable[[Any], Result[Spec, list[Mistake]]]
Data = dict[str, Any]

SERVICE_COMMON = {
    "type": choice([kind.value for kind in ServiceType]),
    "model": text(""),
    "concurrency": integer(1, MAX_CONCURRENCY, DEFAULT_CONCURRENCY),
    "timeout_seconds": number(0, MAX_SECONDS, DEFAULT_TIMEOUT_SECONDS, above=True),
    "leave_seconds": number(0, MAX_SECONDS, DEFAULT_LEAVE_SECONDS),
}
QUEUE_SECONDS = number(0, MAX_SECONDS, DEFAULT_QUEUE_SECONDS)
FETCHES_PER_SECOND = number(0, MAX_RATE, DEFAULT_FETCHES_PER_SECOND, above=True)
SWAP_FRACTION = fraction(DEFAULT_SWAP_FRACTION, above=True)
MAPPING = Field("a mapping", lambda value: isinstance(value, dict), {})

SERVICE_1 = {
    **SERVICE_COMMON,
    "queue_seconds": QUEUE_SECONDS,
    "fetches_per_second": FETCHES_PER_SECOND,
    "swap_fraction": SWAP_FRACTION,
}
SERVICE_2 = {**SERVICE_COMMON, "queue": MAPPING, "weights": MAPPING}
SERVICE_2_QUEUE = {"seconds": QUEUE_SECONDS}
SERVICE_2_WEIGHTS = {"fetches_per_second": FETCHES_PER_SECOND, "swap_fraction": SWAP_FRACTION}

TRAINER_1 = {
    "service": name_field(),
    "staleness_bound": integer(0, MAX_STALENESS_BOUND, DEFAULT_STALENESS_BOUND),
    "freshness": fraction(DEFAULT_FRESHNESS),
    "max_in_flight": integer(1, MAX_IN_FLIGHT, DEFAULT_MAX_IN_FLIGHT),
}
WEIGHTS_1 = {"version": integer(1, MAX_VERSION)}
CALLER_1 = {
    "share": number(0, MAX_SHARE, DEFAULT_SHARE, above=True),
    "class": choice([kind.value for kind in CallerClass], CallerClass.APPLICATION.value),
}


def _build_service(values: Data, mistakes: list[Mistake]) -> Result[Spec, list[Mistake]]:
    if values.get("type") == ServiceType.ENGINE and values.get("model") == "":
        mistakes.append(Mistake("model", None, "the model's name (required for type engine)"))
    if mistakes:
        return Err(mistakes)
    return Ok(ServiceSpec(**{**values, "type": ServiceType(values["type"])}))


def _read_service_1(data: Any) -> Result[Spec, list[Mistake]]:
    return _build_service(*read_fields(data, SERVICE_1))


def _read_service_2(data: Any) -> Result[Spec, list[Mistake]]:
    values, mistakes = read_fields(data, SERVICE_2)
    queue, wrong = read_fields(values.pop("queue", {}), SERVICE_2_QUEUE, "queue.")
    mistakes += wrong
    weights, wrong = read_fields(values.pop("weights", {}), SERVICE_2_WEIGHTS, "weights.")
    mistakes += wrong
    if "seconds" in queue:
        values["queue_seconds"] = queue["seconds"]
    return _build_service({**values, **weights}, mistakes)


def _read_trainer_1(data: Any) -> Result[Spec, list[Mistake]]:
    values, mistakes = read_fields(data, TRAINER_1)
    return Err(mistakes) if mistakes else Ok(TrainerSpec(**values))


def _read_weights_1(data: Any) -> Result[Spec, list[Mistake]]:
    values, mistakes = read_fields(data, WEIGHTS_1)
    return Err(mistakes) if mistakes else Ok(WeightsSpec(**values))


def _read_caller_1(data: Any) -> Result[Spec, list[Mistake]]:
    values, mistakes = read_fields(data, CALLER_1)
    if mistakes:
        return Err(mistakes)
    return Ok(CallerSpec(values["share"], CallerClass(values["class"])))


READERS: dict[Kind, dict[int, Reader]] = {
    Kind.SERVICE: {1: _read_service_1, 2: _read_service_2},
    Kind.TRAINER: {1: _read_trainer_1},
    Kind.WEIGHTS: {1: _read_weights_1},
    Kind.CALLER: {1: _read_caller_1},
}


def known_schemas(kind: Kind) -> list[int]:
    """Return the schema versions of a kind that this release supports, oldest first."""
    return sorted(READERS.get(kind, {}))


def check_name(name: Any) -> list[Mistake]:
    """Return the validation errors of a record's name."""
    return read_fields({"name": name}, {"name": name_field()})[1]


def read_spec(kind: Kind, schema: int, data: Any) -> Result[Spec, list[Mistake]]:
    """Parse a spec of a supported schema version into its current type."""
    return READERS[kind][schema](data)
