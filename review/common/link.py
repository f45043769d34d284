"""The link between machines of the system and a sampler or the store, which can be harmed."""

import asyncio
from collections.abc import Callable


class _Channel:
    """An open channel; `asked` is the last that was sent on it, and a silent one carries nothing any more."""

    def __init__(self) -> None:
        self.asked = b""
        self.silent = False


class Link:
    """A relay in front of a sampler or the store.

    While it is cut it refuses, and what was open is reset. Open channels may go silent for good, while new
    ones work.
    """

    def __init__(self, target: str) -> None:
        self._host, _, port = target.rpartition(":")
        self._port = int(port)
        self._listen_on = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()
        self._channels: set[_Channel] = set()
        # While it is set, what is sent gets no answer, and channels that are opened stay silent for good.
        self.dark = False
        self.address = ""

    def silence(self, which: Callable[[bytes], bool]) -> tuple[int, int]:
        """Let the open channels go silent on which such a request was sent last; return how many of how many."""
        chosen = [each for each in self._channels if not each.silent and which(each.asked)]
        for channel in chosen:
            channel.silent = True
        return len(chosen), len(self._channels)

    async def async_heal(self) -> None:
        """Take channels, at the same address as before."""
        self._server = await asyncio.start_server(self._async_relay, "127.0.0.1", self._listen_on)
        self._listen_on = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{self._listen_on}"

    def cut(self) -> None:
        """Refuse new channels, and reset the open ones."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._open):
            writer.transport.abort()

    async def _async_relay(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        channel = _Channel()
        channel.silent = self.dark
        self._channels.add(channel)
        self._open.add(writer)
        onward: asyncio.StreamWriter | None = None
        try:
            back, onward = await asyncio.open_connection(self._host, self._port)
            self._open.add(onward)
            await asyncio.gather(
                _async_pump(reader, onward, channel, notes=True),
                _async_pump(back, writer, channel),
            )
        except (OSError, asyncio.CancelledError):
            pass  # the channel has ended, or this script has
        finally:
            self._channels.discard(channel)
            for each in filter(None, (writer, onward)):
                self._open.discard(each)
                each.close()


async def _async_pump(
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    channel: _Channel,
    notes: bool = False,
) -> None:
    while data := await reader.read(65536):
        if notes:
            channel.asked = data[:200]
        if channel.silent:
            continue
        writer.write(data)
        await writer.drain()
    if not channel.silent:
        writer.close()
