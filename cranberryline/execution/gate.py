"""What is asked directly before a request's first byte is written."""

import abc

__all__ = ["OpenGate", "SendGate"]


class SendGate(abc.ABC):
    """Says whether what is known of the upstreams is recent enough to send a request by it."""

    @abc.abstractmethod
    def is_current(self) -> bool:
        """Return whether a request may be sent now."""

    @abc.abstractmethod
    async def async_confirm(self) -> None:
        """Renew what is known of the upstreams; it may still be too old afterwards."""

    @abc.abstractmethod
    def record_send(self) -> None:
        """Take that a request is about to be sent."""


class OpenGate(SendGate):
    """Lets every request pass, for processes that learn of their upstream from itself."""

    def is_current(self) -> bool:
        """Return True."""
        return True

    async def async_confirm(self) -> None:
        """Do nothing."""

    def record_send(self) -> None:
        """Do nothing."""
