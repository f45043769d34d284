"""Messages and peer connections between the system's own processes."""

from .codec import decode, encode
from .errors import BadFrame, BadFrameReason, PeerGone
from .sockets import DealerSocket, RouterSocket

__all__ = [
    "BadFrame",
    "BadFrameReason",
    "DealerSocket",
    "PeerGone",
    "RouterSocket",
    "decode",
    "encode",
]
