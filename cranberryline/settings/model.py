"""The settings of each role."""

from datetime import timedelta
from typing import Any

import attrs

from .const import (
    DEFAULT_ENTRY_LISTEN,
    DEFAULT_ENTRY_PEER,
    DEFAULT_KEEP_JOBS,
    DEFAULT_LEASE,
    DEFAULT_LOG_LEVEL,
    DEFAULT_LOG_RETENTION,
    DEFAULT_MAX_BODY_BYTES,
    DEFAULT_MAX_HEADER_BYTES,
    DEFAULT_OPERATOR_CONTROLS,
    DEFAULT_PARTITIONS,
    DEFAULT_REGISTRATIONS_MAX_AGE,
    DEFAULT_REPORT_LATE,
    DEFAULT_SIDE_LISTEN,
    DEFAULT_SIDE_PEER,
    DEFAULT_SLOT_SHARING,
    DEFAULT_SLOW_SENDER_TIMEOUT,
    DEFAULT_STALL_TIMEOUT,
    DEFAULT_STOP_TIMEOUT,
    LOG_LEVELS,
    MAX_BODY_BYTES,
    MAX_DESCRIPTORS,
    MAX_HEADER_BYTES,
    MAX_LOG_RETENTION_SECONDS,
    MAX_MEMORY_MB,
    MAX_PARTITIONS,
    MAX_SEEDS,
    MIN_BODY_BYTES,
    MIN_DESCRIPTORS,
    MIN_HEADER_BYTES,
    MIN_MEMORY_MB,
    SLOT_SHARING_AUTO,
    SLOT_SHARING_OFF,
    SLOT_SHARING_ON,
)
from .fields import (
    Address,
    Addresses,
    Choice,
    FieldKind,
    Identifier,
    Milliseconds,
    PeerAddress,
    Rate,
    Seconds,
    Size,
    Switch,
    Text,
    Url,
)

__all__ = [
    "ATTR_HELP",
    "ATTR_KEY",
    "ATTR_KIND",
    "EntrySettings",
    "GatewaySettings",
    "SideSettings",
]

ATTR_HELP = "help"
ATTR_KEY = "key"
ATTR_KIND = "kind"


def _setting(kind: FieldKind, text: str, default: Any = attrs.NOTHING, key: str = "") -> Any:
    """Declare one setting: its kind, what it is for, its default, its key if not the name."""
    return attrs.field(
        default=default, metadata={ATTR_KIND: kind, ATTR_HELP: text, ATTR_KEY: key or None}
    )


@attrs.frozen(kw_only=True)
class EntrySettings:
    """Settings of an entry process."""

    vm_id: str = _setting(Identifier(), "The id that the VM list gives this VM.")
    data_center: str = _setting(Identifier(), "The data center that this VM stands in.")
    log_url: str = _setting(Url(), "Base URL of the platform's append-only log.", key="log")
    vm_list_url: str = _setting(Url(), "Base URL of the platform's VM list.", key="vm_list")
    listen: str = _setting(
        Address(), "Where callers, trainers and operators reach it over HTTP.", DEFAULT_ENTRY_LISTEN
    )
    peer: str = _setting(PeerAddress(), "Where other entries reach it.", DEFAULT_ENTRY_PEER)
    scorer_url: str | None = _setting(
        Url(),
        "Base URL of the service that scores samples; without it no sample is scored.",
        None,
        key="scorer",
    )
    tokens_file: str | None = _setting(
        Text(),
        "File of the tokens and their roles; without it operator and trainer endpoints refuse.",
        None,
    )
    log_retention: timedelta = _setting(
        Seconds(MAX_LOG_RETENTION_SECONDS),
        "How long the log keeps a record; the configuration is carried forward well before.",
        DEFAULT_LOG_RETENTION,
        key="log_retention_seconds",
    )
    stop_timeout: timedelta = _setting(
        Seconds(),
        "How long a planned stop waits for work in flight.",
        DEFAULT_STOP_TIMEOUT,
        key="stop_seconds",
    )
    max_body_bytes: int = _setting(
        Size(MIN_BODY_BYTES, MAX_BODY_BYTES),
        "Longest request body; a longer one gets 413.",
        DEFAULT_MAX_BODY_BYTES,
    )
    max_header_bytes: int = _setting(
        Size(MIN_HEADER_BYTES, MAX_HEADER_BYTES),
        "Longest request line and headers together; longer ones get 431.",
        DEFAULT_MAX_HEADER_BYTES,
    )
    slow_sender_timeout: timedelta = _setting(
        Seconds(),
        "How long a caller may take to send its whole request.",
        DEFAULT_SLOW_SENDER_TIMEOUT,
        key="slow_sender_seconds",
    )
    stall_timeout: timedelta = _setting(
        Seconds(),
        "How long a caller may neither send the rest of its request nor read its answer.",
        DEFAULT_STALL_TIMEOUT,
        key="stall_seconds",
    )
    memory_mb: int | None = _setting(
        Size(MIN_MEMORY_MB, MAX_MEMORY_MB),
        "Memory of the machine in MB, which bounds what is held for callers; without it 160.",
        None,
    )
    max_descriptors: int | None = _setting(
        Size(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
        "How many descriptors the process may open; without it 1,638, or what the kernel allows.",
        None,
    )
    log_level: str = _setting(
        Choice(*LOG_LEVELS), "Lowest level that is logged.", DEFAULT_LOG_LEVEL
    )


@attrs.frozen(kw_only=True)
class SideSettings:
    """Settings of a side process."""

    vm_id: str = _setting(Identifier(), "The id that the VM list gives this VM.")
    data_center: str = _setting(Identifier(), "The data center that this VM stands in.")
    service: str = _setting(Identifier(), "The service that the upstream belongs to.")
    log_url: str = _setting(Url(), "Base URL of the platform's append-only log.", key="log")
    upstream_url: str = _setting(Url(), "Base URL of the upstream on this VM.", key="upstream")
    listen: str = _setting(
        Address(), "Where /health, /ready and /metrics are served.", DEFAULT_SIDE_LISTEN
    )
    peer: str = _setting(PeerAddress(), "Where entries reach it.", DEFAULT_SIDE_PEER)
    stop_timeout: timedelta = _setting(
        Seconds(),
        "How long a planned stop waits for work in flight.",
        DEFAULT_STOP_TIMEOUT,
        key="stop_seconds",
    )
    log_level: str = _setting(
        Choice(*LOG_LEVELS), "Lowest level that is logged.", DEFAULT_LOG_LEVEL
    )


@attrs.frozen(kw_only=True)
class GatewaySettings:
    """Settings of a gateway process."""

    vm_id: str = _setting(Identifier(), "The name of this VM.")
    data_center: str = _setting(Identifier(), "The data center that this VM stands in.")
    store: str = _setting(Address(), "Address of the platform's store.")
    listen: str = _setting(Address(), "Where callers reach it over HTTP.")
    ready_listen: str = _setting(Address(), "Where /ready and /metrics are served.", key="ready")
    peer: str = _setting(Address(), "Where other gateways reach it.")
    seeds: tuple[str, ...] = _setting(
        Addresses(MAX_SEEDS),
        "Where some other gateways may be reached, for a start while the store is out.",
        (),
    )
    partitions: int = _setting(
        Size(1, MAX_PARTITIONS), "Partitions of the store's topics.", DEFAULT_PARTITIONS
    )
    store_reads: float | None = _setting(
        Rate(),
        "Reads per second that the store allows all gateways together; without it, any number.",
        None,
        key="store_reads_per_second",
    )
    lease: timedelta = _setting(
        Milliseconds(),
        "How long a holder may give orders after its last renewal.",
        DEFAULT_LEASE,
        key="lease_ms",
    )
    config_max_age: timedelta | None = _setting(
        Milliseconds(),
        "Within which time a change of the configuration has to be in force; without it, none.",
        None,
        key="config_max_age_ms",
    )
    registrations_max_age: timedelta = _setting(
        Milliseconds(),
        "Within which time an upstream that leaves gets no more requests.",
        DEFAULT_REGISTRATIONS_MAX_AGE,
        key="registrations_max_age_ms",
    )
    key_max_age: timedelta | None = _setting(
        Milliseconds(),
        "How long keys are accepted without a confirmed configuration; without it, for any time.",
        None,
        key="key_max_age_ms",
    )
    usage_api: str | None = _setting(
        Address(), "Address of the service that takes reports of use.", None
    )
    report_window: timedelta | None = _setting(
        Seconds(),
        "Length of the windows of time that are reported; without it none are.",
        None,
        key="report_window_seconds",
    )
    report_late: timedelta = _setting(
        Seconds(),
        "Within which time after its end a window is to be reported.",
        DEFAULT_REPORT_LATE,
        key="report_late_seconds",
    )
    keep_jobs: timedelta = _setting(
        Seconds(),
        "How long a batch job is answered for after it was submitted.",
        DEFAULT_KEEP_JOBS,
        key="keep_jobs_seconds",
    )
    slot_sharing: str = _setting(
        Choice(SLOT_SHARING_OFF, SLOT_SHARING_AUTO, SLOT_SHARING_ON),
        "Whether gateways share the slots of engines; auto: of several models, at many gateways.",
        DEFAULT_SLOT_SHARING,
    )
    operator_controls: bool = _setting(
        Switch(),
        "Whether operators can set weights, caps and cordons while gateways run.",
        DEFAULT_OPERATOR_CONTROLS,
    )
    stop_timeout: timedelta = _setting(
        Seconds(),
        "How long a planned stop waits for work in flight.",
        DEFAULT_STOP_TIMEOUT,
        key="stop_seconds",
    )
    max_body_bytes: int = _setting(
        Size(MIN_BODY_BYTES, MAX_BODY_BYTES),
        "Longest request body; a longer one gets 413.",
        DEFAULT_MAX_BODY_BYTES,
    )
    max_header_bytes: int = _setting(
        Size(MIN_HEADER_BYTES, MAX_HEADER_BYTES),
        "Longest request line and headers together; longer ones get 431.",
        DEFAULT_MAX_HEADER_BYTES,
    )
    slow_sender_timeout: timedelta = _setting(
        Seconds(),
        "How long a caller may take to send its whole request.",
        DEFAULT_SLOW_SENDER_TIMEOUT,
        key="slow_sender_seconds",
    )
    stall_timeout: timedelta = _setting(
        Seconds(),
        "How long a caller may neither send the rest of its request nor read its answer.",
        DEFAULT_STALL_TIMEOUT,
        key="stall_seconds",
    )
    memory_mb: int | None = _setting(
        Size(MIN_MEMORY_MB, MAX_MEMORY_MB),
        "Memory of the machine in MB, which bounds what is held for callers; without it 160.",
        None,
    )
    max_descriptors: int | None = _setting(
        Size(MIN_DESCRIPTORS, MAX_DESCRIPTORS),
        "How many descriptors the process may open; without it 1,638, or what the kernel allows.",
        None,
    )
    log_level: str = _setting(
        Choice(*LOG_LEVELS), "Lowest level that is logged.", DEFAULT_LOG_LEVEL
    )
