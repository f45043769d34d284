"""The processes and stand-ins of a soak."""

import asyncio
from pathlib import Path
from typing import Any

import msgspec
import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPRequest, HTTPResponse

from stand_ins.platform_sampler import PlatformSampler
from stand_ins.platform_store import PlatformStore
from stand_ins.process import Process, free_ports

from .model import ENGINES, HOST, MODEL, PLAIN, SoakPlan, config

__all__ = ["World"]

_SAMPLERS = 3
_BEAT_S = 1.0
_READY_S = 20.0


class World:
    """Gateways in processes of their own before a store and samplers in this one."""

    def __init__(self, plan: SoakPlan, folder: Path) -> None:
        self.store = PlatformStore()
        self.samplers: list[PlatformSampler] = []
        self.version = 1
        self.fronts: list[int] = []
        self.gateways: list[Process] = []
        self.left: list[PlatformSampler] = []
        self._ready: list[int] = []
        self._config = 0
        self._plan = plan
        self._folder = folder

    async def async_start(self) -> None:
        """Start everything and wait until every gateway is ready."""
        self.store.start()
        self.configure()
        for service, model in ((PLAIN, ""), (ENGINES, MODEL)):
            for _ in range(_SAMPLERS):
                self.add_sampler(service, model)
        for number in range(self._plan.gateways):
            self._make_gateway(number)
        async with asyncio.timeout(_READY_S):
            for port in self._ready:
                while not await self._async_is_ready(port):  # noqa: ASYNC110 - another process
                    await asyncio.sleep(0.05)

    def stop(self) -> None:
        """End what was started."""
        for gateway in self.gateways:
            gateway.thaw()
            gateway.kill()
        for sampler in (*self.samplers, *self.left):
            sampler.stop()
        self.store.stop()

    def configure(self) -> None:
        """Write the next version of the configuration."""
        self._config += 1
        self.store.put("keyed.op", "config", config(self._config))

    def name_version(self, version: int) -> None:
        """Name a version as a trainer does."""
        self.version = version
        named = {"model": MODEL, "version": version}
        self.store.put("keyed.op", f"version/{MODEL}", named)

    def add_sampler(self, service: str, model: str) -> None:
        """Start a sampler with the newest version."""
        sampler = PlatformSampler(service, model, version=self.version)
        sampler.start()
        self.samplers.append(sampler)
        self.store.put("keyed.servers", sampler.id, sampler.beat())

    def replace_sampler(self, sampler: PlatformSampler) -> None:
        """Let a sampler leave as announced, and another take its part."""
        self.samplers.remove(sampler)
        self.left.append(sampler)
        self.store.put("keyed.servers", sampler.id, sampler.beat("draining"))
        self.add_sampler(sampler.service, sampler.model)

    async def async_beat(self) -> None:
        """Write what each sampler serves, about once a second."""
        while True:
            await asyncio.sleep(_BEAT_S)
            for sampler in self.samplers:
                self.store.put("keyed.servers", sampler.id, sampler.beat())

    async def async_call(
        self,
        gateway: int,
        method: str,
        path: str,
        request_id: str,
        body: Any = None,
        seconds: float = 3.0,
    ) -> HTTPResponse | None:
        """Call a gateway as a client does; None when no whole answer came."""
        headers = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Deadline-Ms": str(int(seconds * 1000)),
        }
        data = msgspec.json.encode(body) if body is not None else None
        req = HTTPRequest(
            f"http://127.0.0.1:{self.fronts[gateway]}{path}",
            method,
            headers,
            data,
            allow_nonstandard_methods=True,
            request_timeout=seconds,
            connect_timeout=1.0,
        )
        try:
            return await AsyncHTTPClient().fetch(req, raise_error=False)
        except (OSError, HTTPError):
            return None

    def _make_gateway(self, number: int) -> None:
        front, ready, peer = free_ports(3)
        settings = {
            "vm_id": f"front-{number}",
            "data_center": "levis",
            "store": self.store.address,
            "listen": f"127.0.0.1:{front}",
            "ready": f"127.0.0.1:{ready}",
            "peer": f"127.0.0.1:{peer}",
            "partitions": 2,
            "stop_seconds": 4,
        }
        file = self._folder / f"front-{number}.yaml"
        file.write_text(yaml.safe_dump(settings))
        args = ["cranberryline", "gateway", str(file)]
        gateway = Process(f"front-{number}", args, self._folder / f"front-{number}.log")
        gateway.start()
        self.gateways.append(gateway)
        self.fronts.append(front)
        self._ready.append(ready)

    async def _async_is_ready(self, port: int) -> bool:
        try:
            answer = await AsyncHTTPClient().fetch(f"http://127.0.0.1:{port}/", raise_error=False)
        except OSError:
            return False
        return answer.code == 200
