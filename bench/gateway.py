"""Measure a gateway process before stand-ins: requests and batch items, and what they cost."""

import argparse
import asyncio
import json
import tempfile
import time
from http import HTTPStatus
from pathlib import Path
from typing import Any

import msgspec
import yaml
from tornado.httpclient import AsyncHTTPClient, HTTPRequest, HTTPResponse

from stand_ins.platform_sampler import PlatformSampler
from stand_ins.platform_store import PlatformStore
from stand_ins.process import Process, free_ports

__all__ = ["main"]

HOST = "bench.example"
_CLOCK_OF_PROCESS = 2
_CONNECTIONS = 8
_GROUP = 4
_UPSTREAMS = 2
_START_TRIES = 200


def _config() -> dict[str, Any]:
    common = {"host": HOST, "timeout_ms": 5000, "goal_ms": 1000, "max_attempts": 2}
    plain = {"name": "p", "path_prefix": "/p/", "kind": "safe", "service": "plain", **common}
    jobs = {"name": "j", "path_prefix": "/j/", "kind": "rollout", "service": "engines", **common}
    engine = {"slots": 16, "models": [{"name": "m"}]}
    services = [{"name": "plain"}, {"name": "engines", "engine": engine}]
    return {"version": 1, "routes": [plain, jobs], "services": services}


class _Setup:
    """A gateway and a bare forwarder in processes of their own, before stand-ins in this one."""

    def __init__(self, folder: Path) -> None:
        self.store = PlatformStore()
        self.store.start()
        self.store.put("keyed.op", "config", _config())
        self.samplers = [PlatformSampler("plain") for _ in range(_UPSTREAMS)]
        self.samplers += [PlatformSampler("engines", "m") for _ in range(_UPSTREAMS)]
        for sampler in self.samplers:
            sampler.start()
            self.store.put("keyed.servers", sampler.id, sampler.beat())
        front, ready, peer, bare = free_ports(4)
        self.front, self.bare = front, bare
        self.ready = f"http://127.0.0.1:{ready}/ready"
        settings = {
            "vm_id": "bench",
            "data_center": "levis",
            "store": self.store.address,
            "listen": f"127.0.0.1:{front}",
            "ready": f"127.0.0.1:{ready}",
            "peer": f"127.0.0.1:{peer}",
        }
        file = folder / "gateway.yaml"
        file.write_text(yaml.safe_dump(settings))
        self.gateway = Process("gateway", ["cranberryline", "gateway", str(file)], folder / "g.log")
        upstream = self.samplers[0].address.rpartition(":")[2]
        args = ["bench.reference", "bare", str(bare), upstream]
        self.forwarder = Process("bare", args, folder / "b.log")

    async def async_start(self) -> None:
        """Start both and wait until they answer."""
        self.gateway.start()
        self.forwarder.start()
        for _ in range(_START_TRIES):
            if await self._async_ready():
                return
            await asyncio.sleep(0.1)
        raise TimeoutError("the gateway is not ready")

    async def _async_ready(self) -> bool:
        try:
            return (await _async_fetch(self.ready)).code == HTTPStatus.OK
        except OSError:
            return False

    def stop(self) -> None:
        """End both processes."""
        for process in (self.gateway, self.forwarder):
            process.kill()


async def _async_fetch(url: str, method: str = "GET", body: bytes | None = None) -> HTTPResponse:
    headers = {"Host": HOST, "Attempt-Id": url.rpartition("/")[2].partition("?")[0]}
    req = HTTPRequest(url, method, headers, body, request_timeout=60)
    return await AsyncHTTPClient().fetch(req, raise_error=False)


def _cpu_seconds(process: Process) -> float:
    return time.clock_gettime((~process.pid << 3) | _CLOCK_OF_PROCESS)


async def _async_requests(port: int, process: Process, count: int) -> dict[str, float]:
    """Send requests over some connections at a time; return rate and cost."""
    numbers = iter(range(count))
    failed = 0

    async def caller() -> None:
        nonlocal failed
        for number in numbers:
            answer = await _async_fetch(f"http://127.0.0.1:{port}/p/r{port}-{number}")
            failed += answer.code != HTTPStatus.OK

    cpu, began = _cpu_seconds(process), time.monotonic()
    await asyncio.gather(*(caller() for _ in range(_CONNECTIONS)))
    cpu, wall = _cpu_seconds(process) - cpu, time.monotonic() - began
    return {
        "requests": count,
        "failed": failed,
        "requests_per_s": round(count / wall),
        "requests_per_core_s": round(count / cpu),
    }


def _job(items: int) -> bytes:
    made = [
        {"id": f"i{number}", "path": f"/j/{number}", "group": f"g{number // _GROUP}", "tokens": 9}
        for number in range(items)
    ]
    return msgspec.json.encode({"step": 0, "model": "m", "min_version": 1, "items": made})


async def _async_job(setup: _Setup, items: int) -> dict[str, float]:
    """Submit a job and read it until all is listed; return rate, cost and the store's calls."""
    base = f"http://127.0.0.1:{setup.front}"
    calls, cpu = dict(setup.store.calls), _cpu_seconds(setup.gateway)
    began = time.monotonic()
    sent = await _async_fetch(f"{base}/j/job{items}", "POST", _job(items))
    accepted = time.monotonic() - began
    listed = 0
    while listed < items:
        page = await _async_fetch(f"{base}/api/lots/job{items}?after={listed}")
        listed += len(msgspec.json.decode(page.body)["results"])
        await asyncio.sleep(0.05)
    wall, cpu = time.monotonic() - began, _cpu_seconds(setup.gateway) - cpu
    spent = {name: setup.store.calls[name] - calls.get(name, 0) for name in setup.store.calls}
    return {
        "items": items,
        "status": sent.code,
        "accepted_ms": round(accepted * 1000, 1),
        "items_per_s": round(items / wall),
        "items_per_core_s": round(items / cpu),
        **{f"store_{name}_calls": count for name, count in sorted(spent.items())},
    }


async def _async_main(requests: int, items: int) -> None:
    AsyncHTTPClient.configure(None, max_clients=1000)
    with tempfile.TemporaryDirectory() as folder:
        setup = _Setup(Path(folder))
        try:
            await setup.async_start()
            for port, process in (
                (setup.bare, setup.forwarder),
                (setup.front, setup.gateway),
            ):
                await _async_requests(port, process, requests // 10)
                line = await _async_requests(port, process, requests)
                print(json.dumps({"bench": "gateway", "what": process.name, **line}), flush=True)
            line = await _async_job(setup, items)
            print(json.dumps({"bench": "gateway", "what": "job", **line}), flush=True)
        finally:
            setup.stop()


def main(argv: list[str]) -> int:
    """Run the measurement; each line is JSON."""
    parser = argparse.ArgumentParser(prog="script/bench gateway", description=__doc__)
    parser.add_argument("--requests", type=int, default=2000)
    parser.add_argument("--items", type=int, default=200)
    args = parser.parse_args(argv)
    asyncio.run(_async_main(args.requests, args.items))
    return 0
