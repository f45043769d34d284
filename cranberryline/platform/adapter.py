"""The users' platform behind the product's port."""

from collections.abc import Callable

from result import Err, Ok, Result

from cranberryline.jobs.ports import EdgeFormat
from cranberryline.ports.const import (
    MAX_ALL_COLLECTED_BYTES,
    MAX_COLLECTED_BYTES,
    SMALL_RESPONSE_BYTES,
)
from cranberryline.ports.model import PlainServicePort, VmEntry
from cranberryline.ports.orders import OrderPort
from cranberryline.ports.response_memory import ByteHolding, ResponseMemory
from cranberryline.ports.store import KeyedRecord, SharedLog
from cranberryline.upstreams.directory import Registration
from cranberryline.upstreams.errors import RegistrationProblem
from cranberryline.usage import UsagePort

from .config import read_config, read_version, without_keys
from .const import (
    KEY_CONFIG,
    KEY_VERSION_PREFIX,
    TOPIC_CONTROLS,
    TOPIC_MARKS,
    TOPIC_NODES,
    TOPIC_OPERATOR,
    TOPIC_QUARANTINE,
    TOPIC_SERVERS,
    TOPIC_SLOTS,
)
from .edge import PlatformEdge
from .ports import NamedVersion, OperatorChange, PlatformPort
from .samplers import SamplerClient, SamplerOrders, read_registration
from .store import HttpStore
from .usage import PlatformUsage

__all__ = ["UsersPlatform"]


class UsersPlatform(PlatformPort):
    """Names, formats and calls of the users' platform."""

    topic_operator = TOPIC_OPERATOR
    topic_upstreams = TOPIC_SERVERS
    topic_nodes = TOPIC_NODES
    topic_marks = TOPIC_MARKS
    topic_quarantine = TOPIC_QUARANTINE
    topic_slots = TOPIC_SLOTS
    topic_controls = TOPIC_CONTROLS

    def __init__(self, store: str) -> None:
        self._log = HttpStore(store)
        self._edge = PlatformEdge()
        self._response_memory = ResponseMemory(
            MAX_COLLECTED_BYTES, MAX_ALL_COLLECTED_BYTES, SMALL_RESPONSE_BYTES
        )

    @property
    def log(self) -> SharedLog:
        """Return the store."""
        return self._log

    @property
    def edge(self) -> EdgeFormat:
        """Return the platform's messages."""
        return self._edge

    def read_operator(self, record: KeyedRecord) -> Result[OperatorChange | None, str]:
        """Read a configuration or a named version; a dropped key says nothing."""
        if not record.value:
            return Ok(None)
        if record.key == KEY_CONFIG:
            table = read_config(record.value)
            return Err(table.unwrap_err()) if isinstance(table, Err) else Ok(table.unwrap())
        if record.key.startswith(KEY_VERSION_PREFIX):
            named = read_version(record.key.removeprefix(KEY_VERSION_PREFIX), record.value)
            if isinstance(named, Err):
                return Err(named.unwrap_err())
            return Ok(NamedVersion(*named.unwrap()))
        return Ok(None)

    def without_secrets(self, record: KeyedRecord) -> bytes:
        """Return the value, with digests in place of the keys of a configuration."""
        is_config = record.key == KEY_CONFIG and record.value
        return without_keys(record.value) if is_config else record.value

    def read_registration(self, record: KeyedRecord) -> Result[Registration, RegistrationProblem]:
        """Read an upstream's entry."""
        return read_registration(record.key, record.value)

    def connect(self, row: VmEntry) -> PlainServicePort:
        """Return the client of one incarnation of an upstream."""
        return SamplerClient(row, self._response_memory)

    def account_responses(self, open_holding: Callable[[], ByteHolding]) -> None:
        """Count responses of upstreams in the account of the process."""
        self._response_memory.open_holding = open_holding

    def usage(self, address: str) -> UsagePort:
        """Return the client for reports of use."""
        return PlatformUsage(address)

    def orders(self, find: Callable[[str], Registration | None]) -> OrderPort:
        """Return the client for orders."""
        return SamplerOrders(find)
