"""The account of this process."""

from cranberryline.helpers.clock import SystemClock
from cranberryline.helpers.metrics import Metrics

from .account import MemoryAccount
from .const import DEFAULT_OWN_BYTES
from .limits import MemoryLimits
from .machine import machine_bytes, resident_bytes

__all__ = ["open_account"]

_REASON_EVICTED = "client_evicted"


def open_account(memory_mb: int | None = None, metrics: Metrics | None = None) -> MemoryAccount:
    """Return an account for a machine with so many MB, without a number the smallest one.

    What the process uses so far is taken as its own. A program that embeds a server uses more than the
    server by itself: without a number what is beyond that is not the server's, and changes nothing.
    """
    own = resident_bytes() or DEFAULT_OWN_BYTES
    embedding = 0 if memory_mb is not None else max(own - DEFAULT_OWN_BYTES, 0)
    limits = MemoryLimits.of(machine_bytes(memory_mb), own - embedding).beside(embedding)
    account = MemoryAccount(limits, SystemClock(), resident_bytes)
    if metrics is not None:
        account.on_evict = lambda: metrics.drop(_REASON_EVICTED)
        metrics.memory_held.set_function(lambda: account.held)
    return account
