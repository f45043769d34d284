"""Port to a platform as a whole: what stands in its store, and how its upstreams are reached."""

import abc
from collections.abc import Callable

import attrs
from result import Result

from cranberryline.jobs.ports import EdgeFormat
from cranberryline.ports.model import PlainServicePort, VmEntry
from cranberryline.ports.orders import OrderPort
from cranberryline.ports.response_memory import ByteHolding
from cranberryline.ports.store import KeyedRecord, SharedLog
from cranberryline.routes import RouteTable
from cranberryline.upstreams.directory import Registration
from cranberryline.upstreams.errors import RegistrationProblem
from cranberryline.usage import UsagePort

__all__ = ["NamedVersion", "OperatorChange", "PlatformPort"]


@attrs.frozen
class NamedVersion:
    """A version that a trainer named for its model."""

    model: str
    version: int


OperatorChange = RouteTable | NamedVersion


class PlatformPort(abc.ABC):
    """One platform; the topics are names of its store."""

    topic_operator: str
    topic_upstreams: str
    topic_nodes: str
    topic_marks: str
    topic_quarantine: str
    topic_slots: str
    topic_controls: str

    @property
    @abc.abstractmethod
    def log(self) -> SharedLog:
        """Return the store."""

    @property
    @abc.abstractmethod
    def edge(self) -> EdgeFormat:
        """Return the way in which callers and upstreams write."""

    @abc.abstractmethod
    def read_operator(self, record: KeyedRecord) -> Result[OperatorChange | None, str]:
        """Read what an operator or a trainer wrote; None for what does not concern us."""

    @abc.abstractmethod
    def without_secrets(self, record: KeyedRecord) -> bytes:
        """Return an operator's value without callers' keys, as it may be sent to other gateways."""

    @abc.abstractmethod
    def read_registration(self, record: KeyedRecord) -> Result[Registration, RegistrationProblem]:
        """Read what stands for an upstream; an Err where it names none. Never raises."""

    @abc.abstractmethod
    def connect(self, row: VmEntry) -> PlainServicePort:
        """Return the way to one upstream."""

    def account_responses(self, open_holding: Callable[[], ByteHolding]) -> None:
        """Count responses that are being received in the account of the process."""
        return

    @abc.abstractmethod
    def usage(self, address: str) -> UsagePort:
        """Return the client of the service that takes reports of use."""

    @abc.abstractmethod
    def orders(self, find: Callable[[str], Registration | None]) -> OrderPort:
        """Return the way to order engines; `find` tells of a start by its key, None once it is over."""
