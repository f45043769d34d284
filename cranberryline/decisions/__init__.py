"""Policies for load balancing, admission, retries and rollouts, without network, clock or log.

Each module holds one policy.
"""

from .admission import (
    AdmissionLimits,
    AdmissionPolicy,
    AdmissionRequest,
    AdmissionView,
    Admit,
    Refuse,
)
from .errors import DecisionError, DuplicateItemError
from .health import HealthPolicy, HealthState, HealthView
from .idle import IdlePolicy
from .model import AttemptOutcome, Priority, RefusalReason, WorkItem
from .outstanding import Outstanding
from .prefix_homes import PrefixHomes
from .queueing import QueueSettings, WorkQueue
from .rate_meter import RateMeter
from .retry import GiveUp, GiveUpReason, RetryBudget, RetryElsewhere, RetryPolicy, RetryRequest
from .rollout import (
    GroupView,
    RolloutPlan,
    RolloutPolicy,
    RolloutSettings,
    RolloutView,
    SampleView,
    StartSamples,
    StepView,
    StragglerAction,
    StragglerDecision,
)
from .routing import (
    Candidates,
    RouteRequest,
    RoutingPolicy,
    UpstreamView,
    free_slots,
    typical_rate,
)
from .slot_capacity import SlotCapacity
from .subset import SubsetChooser, subset
from .weight_swap import SwapSchedule, SwapSettings, hashed_swap_delay, swap_delay

__all__ = [
    "AdmissionLimits",
    "AdmissionPolicy",
    "AdmissionRequest",
    "AdmissionView",
    "Admit",
    "AttemptOutcome",
    "Candidates",
    "DecisionError",
    "DuplicateItemError",
    "GiveUp",
    "GiveUpReason",
    "GroupView",
    "HealthPolicy",
    "HealthState",
    "HealthView",
    "IdlePolicy",
    "Outstanding",
    "PrefixHomes",
    "Priority",
    "QueueSettings",
    "RateMeter",
    "RefusalReason",
    "Refuse",
    "RetryBudget",
    "RetryElsewhere",
    "RetryPolicy",
    "RetryRequest",
    "RolloutPlan",
    "RolloutPolicy",
    "RolloutSettings",
    "RolloutView",
    "RouteRequest",
    "RoutingPolicy",
    "SampleView",
    "SlotCapacity",
    "SwapSchedule",
    "SwapSettings",
    "StartSamples",
    "StepView",
    "StragglerAction",
    "StragglerDecision",
    "SubsetChooser",
    "UpstreamView",
    "WorkItem",
    "WorkQueue",
    "free_slots",
    "hashed_swap_delay",
    "subset",
    "swap_delay",
    "typical_rate",
]
