"""A TCP relay between two processes, whose open connections can go silent while new ones work."""

import asyncio
from contextlib import suppress
from typing import Any

import attrs

from .http import Controls, StandIn

__all__ = ["RelayControls", "RelayStandIn"]

READ_BYTES = 64 * 1024
WAY_BOTH = "both"
WAY_FORTH = "forth"
WAY_BACK = "back"


@attrs.define
class RelayControls(Controls):
    """`silence` names links ("*" for all) whose present connections carry nothing any more.

    They stay open at both ends; connections made later work. `way` is "both", "forth" (what the
    dialling end sends is lost) or "back". `delay_s` holds back each piece. While `refused` is set,
    connections are closed, new ones too.
    """

    silence: list[str] = attrs.field(factory=list)
    way: str = WAY_BOTH
    refused: bool = False
    delay_s: float = 0.0


@attrs.define(eq=False)
class _Link:
    """One relayed connection."""

    name: str
    silent: bool = False
    lost_ways: frozenset[str] = frozenset()
    passed: int = 0
    task: "asyncio.Task[None] | None" = None


class RelayStandIn(StandIn):
    """Relay each link `name:listen:target`, ports on loopback."""

    def __init__(self, controls: RelayControls, links: str) -> None:
        super().__init__(controls)
        self._plans = [link.split(":") for link in links.split(",") if link]
        self._links: set[_Link] = set()
        self._servers: list[asyncio.Server] = []
        self.made = 0

    def routes(self) -> list[Any]:
        """Have no routes but those of every stand-in."""
        return []

    def journal(self) -> Any:
        """Tell the open connections."""
        rows = [{"name": link.name, "silent": link.silent} for link in self._links]
        return {"made": self.made, "open": rows}

    async def async_start(self) -> None:
        """Listen for each link."""
        for name, listen, target in self._plans:
            self._servers.append(await self._async_listen(name, int(listen), int(target)))

    def stop(self) -> None:
        """Stop listening; open connections stay."""
        for server in self._servers:
            server.close()

    def changed(self) -> None:
        """Silence or close the connections that are open now; the wish does not outlive them."""
        wanted, self.controls.silence = set(self.controls.silence), []
        for link in self._links:
            if wanted & {link.name, "*"}:
                link.silent = True
                link.lost_ways |= _lost_ways(self.controls.way)
            if self.controls.refused and link.task is not None:
                link.task.cancel()

    async def _async_listen(self, name: str, listen: int, target: int) -> asyncio.Server:
        async def async_accept(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
            # asyncio reports a handler that is cancelled at the end of its loop as an error.
            with suppress(asyncio.CancelledError):
                await self._async_link(_Link(name), target, reader, writer)

        return await asyncio.start_server(async_accept, "127.0.0.1", listen)

    async def _async_link(
        self, link: _Link, port: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Relay one connection both ways until an end closes it."""
        if self.controls.refused:
            writer.close()
            return
        link.task = asyncio.current_task()
        try:
            far_reader, far_writer = await asyncio.open_connection("127.0.0.1", port)
        except OSError:
            writer.close()
            return
        self.made += 1
        self._links.add(link)
        ways = [
            asyncio.create_task(self._async_pass(link, WAY_FORTH, reader, far_writer)),
            asyncio.create_task(self._async_pass(link, WAY_BACK, far_reader, writer)),
        ]
        try:
            await asyncio.wait(ways, return_when=asyncio.FIRST_COMPLETED)
            while link.silent and not all(way.done() for way in ways):
                await asyncio.wait(ways)
        finally:
            for way in ways:
                way.cancel()
            writer.close()
            far_writer.close()
            self._links.discard(link)

    async def _async_pass(
        self,
        link: _Link,
        way: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Pass pieces on; on a silent link swallow them, and an end's closing too."""
        try:
            while piece := await reader.read(READ_BYTES):
                if way in link.lost_ways:
                    continue
                if self.controls.delay_s:
                    await asyncio.sleep(self.controls.delay_s)
                link.passed += len(piece)
                writer.write(piece)
                await writer.drain()
        except OSError:
            return


def _lost_ways(way: str) -> frozenset[str]:
    return frozenset((WAY_FORTH, WAY_BACK)) if way == WAY_BOTH else frozenset((way,))
