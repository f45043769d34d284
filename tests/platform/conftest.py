"""Gateways in this process before stand-ins of the users' platform."""

import asyncio
import base64
from collections.abc import Coroutine
from datetime import timedelta
from typing import Any

import attrs
import msgspec
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from cranberryline.gateway.app import GatewayProcess
from cranberryline.helpers.clock import SystemClock
from cranberryline.platform.adapter import UsersPlatform
from cranberryline.settings import GatewaySettings
from stand_ins.drains import DrainBook
from stand_ins.platform_sampler import PlatformSampler
from stand_ins.platform_store import PlatformStore
from stand_ins.process import free_ports
from stand_ins.store_links import StoreLinks

HOST = "files.example"
MODEL = "m0"


def config(version: int = 2, plain: str = "files", **more: Any) -> dict[str, Any]:
    """Return a configuration with a plain route, a route for jobs and one for streams."""
    plain_route = {
        "name": "r-plain",
        "host": HOST,
        "path_prefix": "/files/",
        "kind": "safe",
        "timeout_ms": 1500,
        "goal_ms": 300,
        "priority": 2,
        "service": plain,
        "max_attempts": 2,
    }
    once = {**plain_route, "name": "r-once", "path_prefix": "/once/", "kind": "unsafe"}
    jobs = {
        **plain_route,
        "name": "r-jobs",
        "path_prefix": "/jobs/",
        "kind": "rollout",
        "service": "engines",
        "max_attempts": 3,
        "max_wait_s": 40,
    }
    stream = {
        **plain_route,
        "name": "r-stream",
        "path_prefix": "/stream/",
        "kind": "stream",
        "service": "engines",
        "can_resume": True,
    }
    engine = {"slots": 4, "models": [{"name": MODEL}]}
    services = [{"name": "files"}, {"name": "other"}, {"name": "engines", "engine": engine}]
    routes = [plain_route, once, jobs, stream, *more.get("routes", [])]
    whole = {"version": version, "routes": routes, "services": services, "limits": {}}
    tenants = more.get("tenants")
    return whole if tenants is None else {**whole, "tenants": tenants}


def job(items: int = 4, min_version: int = 1) -> dict[str, Any]:
    """Return a job as a trainer submits it."""
    made = [
        {
            "id": f"item{number}",
            "path": f"/jobs/x/{number}",
            "headers": {"Model": MODEL, "Prompt-Prefix": "aa:10,bb:2"},
            "body": base64.b64encode(b"prompt").decode(),
            "tokens": 20,
            "group": f"g{number // 2}",
            "scorer": {
                "id": f"score{number}",
                "host": HOST,
                "path": "/files/score",
                "body": base64.b64encode(b"how good").decode(),
            },
        }
        for number in range(items)
    ]
    return {"step": 1, "model": MODEL, "min_version": min_version, "group_count": 2, "items": made}


@attrs.define
class Platform:
    """The stand-ins and the gateways before them."""

    store: PlatformStore = attrs.field(factory=PlatformStore)
    samplers: list[PlatformSampler] = attrs.field(factory=list)
    gateways: list[GatewayProcess] = attrs.field(factory=list)
    addresses: list[str] = attrs.field(factory=list)
    settings: list[GatewaySettings] = attrs.field(factory=list)
    # Relays between the store and the gateways that are added; None lets them reach it directly.
    links: StoreLinks | None = None
    drains: DrainBook = attrs.field(factory=DrainBook)
    # Further settings of the gateways that are added.
    more: dict[str, Any] = attrs.field(factory=dict)

    def add_sampler(self, service: str, model: str = "", **fields: Any) -> PlatformSampler:
        """Start a sampler and let it register."""
        sampler = PlatformSampler(service, model, **fields)
        sampler.start()
        self.samplers.append(sampler)
        self.store.put("keyed.servers", sampler.id, sampler.beat())
        return sampler

    def drain(self, sampler: PlatformSampler) -> None:
        """Let a sampler tell that it drains."""
        self.store.put("keyed.servers", sampler.id, sampler.beat("draining"))
        self.drains.left(sampler.id)

    def remove(self, sampler: PlatformSampler) -> None:
        """Remove the entry of a sampler that leaves without telling that it drains."""
        self.store.put("keyed.servers", sampler.id, None)
        self.drains.left(sampler.id)

    def start_again(self, sampler: PlatformSampler, **fields: Any) -> PlatformSampler:
        """Start a sampler again under its id, and let it register."""
        again = sampler.start_again(**fields)
        self.samplers[self.samplers.index(sampler)] = again
        self.store.put("keyed.servers", again.id, again.beat())
        return again

    async def async_add_gateway(self) -> GatewayProcess:
        """Start a gateway and wait until it is ready."""
        store = self.store.address
        if self.links is not None:
            store = await self.links.async_add(store)
        front, ready, peer = (f"127.0.0.1:{port}" for port in free_ports(3))
        cfg = GatewaySettings(
            vm_id=f"front-{len(self.gateways)}",
            data_center="levis",
            store=store,
            listen=front,
            ready_listen=ready,
            peer=peer,
            partitions=2,
            stop_timeout=timedelta(seconds=4),
            **self.more,
        )
        gateway = GatewayProcess(cfg, UsersPlatform(cfg.store), SystemClock())
        gateway.start()
        self.gateways.append(gateway)
        self.addresses.append(front)
        self.settings.append(cfg)
        await async_until(lambda: gateway.ready)
        return gateway

    async def async_call(
        self, method: str, path: str, number: int = 0, body: Any = None, **headers: str
    ) -> HTTPResponse:
        """Call a gateway as a client does."""
        sent = {"Host": HOST, "Deadline-Ms": "3000"}
        sent |= {name.replace("_", "-"): value for name, value in headers.items()}
        data = body if body is None or isinstance(body, bytes) else msgspec.json.encode(body)
        req = HTTPRequest(
            f"http://{self.addresses[number]}{path}",
            method,
            sent,
            data,
            allow_nonstandard_methods=True,
            request_timeout=20,
        )
        return await AsyncHTTPClient(force_instance=True).fetch(req, raise_error=False)

    async def async_results(
        self, job_id: str, count: int, number: int = 0, **headers: str
    ) -> list[dict[str, Any]]:
        """Read a job until so many results are listed."""
        async with asyncio.timeout(15):
            while True:
                answer = await self.async_call(
                    "GET", f"/api/lots/{job_id}?after=0", number, **headers
                )
                if answer.code == 200:
                    page = msgspec.json.decode(answer.body)
                    if len(page["results"]) >= count:
                        return page["results"]
                await asyncio.sleep(0.05)


async def async_until(condition: Any, seconds: float = 10) -> None:
    """Wait until a condition holds."""
    async with asyncio.timeout(seconds):
        while not condition():  # noqa: ASYNC110 - what is waited for has no event
            await asyncio.sleep(0.02)


async def async_nothing() -> bool:
    """Write no sign of life, so that the next append is the test's own."""
    return True


def play(scene: "Coroutine[Any, Any, None]") -> None:
    """Run a scene on a loop of its own."""
    asyncio.run(scene)


async def async_platform(
    gateways: int = 1, links: StoreLinks | None = None, **more: Any
) -> Platform:
    """Return a platform with two plain services, two engines and some gateways.

    `more` is passed to `config`.
    """
    platform = Platform(links=links)
    platform.store.start()
    platform.store.put("keyed.op", "config", config(**more))
    for _ in range(2):
        platform.add_sampler("files")
        platform.add_sampler("engines", MODEL)
    for _ in range(gateways):
        await platform.async_add_gateway()
    return platform
