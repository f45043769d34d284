"""Configuration records: their schemas, and the fold that derives the current configuration.

Every process folds the same records of the log in order, so all derive the same configuration.
"""

from .const import CONFIG_STREAM
from .envelope import Amendment, read_amendment, read_amendment_spec
from .errors import Mistake, Rejected, RejectReason
from .fold import Applied, ConfigFold
from .model import (
    CallerClass,
    CallerSpec,
    Kind,
    Revision,
    ServiceSpec,
    ServiceType,
    Spec,
    TrainerSpec,
    WeightsSpec,
)

__all__ = [
    "CONFIG_STREAM",
    "Amendment",
    "Applied",
    "CallerClass",
    "CallerSpec",
    "ConfigFold",
    "Kind",
    "Mistake",
    "RejectReason",
    "Rejected",
    "Revision",
    "ServiceSpec",
    "ServiceType",
    "Spec",
    "TrainerSpec",
    "WeightsSpec",
    "read_amendment",
    "read_amendment_spec",
]
