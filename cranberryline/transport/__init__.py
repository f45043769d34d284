"""Messages and peer connections between the system's own processes."""

from .codec import decode, encode
from .dialer import Dialer, DialerEvents
from .errors import BadFrame, BadFrameReason, PeerGone, PortTaken
from .link import Exchange, Lost, UpstreamLink
from .listener import Connection, Listener, ListenerEvents
from .sockets import DealerSocket, RouterSocket

__all__ = [
    "BadFrame",
    "BadFrameReason",
    "Connection",
    "DealerSocket",
    "Dialer",
    "DialerEvents",
    "Exchange",
    "Listener",
    "ListenerEvents",
    "Lost",
    "PeerGone",
    "PortTaken",
    "RouterSocket",
    "UpstreamLink",
    "decode",
    "encode",
]
