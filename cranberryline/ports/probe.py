"""Tell a crashed process from a connection that was reset."""

import asyncio
import socket
from datetime import timedelta

from .http import HttpOrigin

__all__ = ["async_refuses"]


async def async_refuses(address: str, timeout: timedelta) -> bool:
    """Tell whether nothing listens at HOST:PORT: the machine answers, and refuses the connection.

    A silent machine or network says nothing of the process, and a process that listens has not ended.
    """
    origin = HttpOrigin(f"http://{address}")
    loop = asyncio.get_running_loop()
    family = socket.AF_INET6 if ":" in origin.host else socket.AF_INET
    with socket.socket(family, socket.SOCK_STREAM) as sock:
        sock.setblocking(False)
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                await loop.sock_connect(sock, (origin.host, origin.port))
        except ConnectionRefusedError:
            return True
        except OSError:
            return False
    return False
