"""Start a whole deployment on loopback: stand-ins, entries and side processes.

The launcher is the only thing that starts processes. It writes each one's settings into a
temporary folder, and ends by process id all that it started.
"""

import itertools
import json
import secrets
import shutil
import subprocess
import tempfile
import urllib.error
import urllib.request
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from pathlib import Path
from typing import Any

import attrs
import yaml

from .deployment import DeploymentPlan, ServicePlan
from .journal import read_journal
from .process import Process, free_ports, wait_for

__all__ = ["Deployment", "LaunchError", "call", "launched"]

PLATFORM = ("log", "vms", "store", "scorer")
STOP_SECONDS = 20.0
START_SECONDS = 30.0
START_ATTEMPTS = 3
PORT_IN_USE = "Address already in use"
OPERATOR = "operator"


class LaunchError(Exception):
    """Raise when a deployment does not come up."""


@attrs.frozen
class Answer:
    """A whole HTTP answer."""

    status: int
    data: Any


def call(
    url: str, payload: Any = None, token: str = "", method: str = "", timeout_s: float = 15.0
) -> Answer:
    """Call a JSON endpoint and wait for the whole answer of any status."""
    body = None if payload is None else json.dumps(payload).encode()
    headers = {"Content-Type": "application/json"}
    if token:
        headers["Authorization"] = f"Bearer {token}"
    req = urllib.request.Request(url, body, headers, method=method or None)
    try:
        with urllib.request.urlopen(req, timeout=timeout_s) as got:
            return Answer(got.status, _read(got.read()))
    except urllib.error.HTTPError as exc:
        return Answer(exc.code, _read(exc.read()))


def _read(body: bytes) -> Any:
    """Return a body's JSON, or its text where it is none."""
    try:
        return json.loads(body or b"null")
    except ValueError:
        return body.decode(errors="replace")


class Deployment:
    """A running deployment.

    Processes are named `log`, `vms`, `store`, `scorer`, `relay` (only where the plan is relayed),
    `entry-1`, ..., and for each upstream `redacteurs-1` (the stand-in) and `side-redacteurs-1`.
    """

    def __init__(self, plan: DeploymentPlan, folder: Path) -> None:
        self.plan = plan
        self.folder = folder
        self.processes: dict[str, Process] = {}
        self.urls: dict[str, str] = {}
        self.vms: list[dict[str, Any]] = []
        self.tokens: dict[str, str] = {}
        self._links: list[str] = []
        self._ports = iter(free_ports(self._port_count()))
        self._centers = itertools.cycle(plan.data_centers)

    @property
    def entries(self) -> list[str]:
        """Return the base URLs of the entries."""
        return [self.urls[f"entry-{n + 1}"] for n in range(self.plan.entries)]

    def upstreams(self, service: str) -> list[str]:
        """Return the names of a service's upstreams."""
        return [vm["id"] for vm in self.vms if vm["service"] == service]

    def start(self, publish: bool = True) -> None:
        """Start everything and wait until each process is ready; then publish the records."""
        self._write_tokens()
        self._start_platform()
        for service in self.plan.services:
            for number in range(1, service.samplers + 1):
                self._start_upstream(service, f"{service.name}-{number}")
        for number in range(1, self.plan.entries + 1):
            self._start_entry(f"entry-{number}")
        if self.plan.relayed:
            self._start_stand_in("relay", "relay", {"links": ",".join(self._links)})
            self._wait(["relay"], "/_control")
        self._wait(self._upstream_names() + ["vms"], "/_control")
        self.set_vms()
        self._wait([n for n in self.urls if n.startswith(("entry-", "side-"))], "/ready")
        if publish:
            self.publish_all()

    def stop(self) -> dict[str, int]:
        """End everything, the product's processes first; return their exit codes."""
        ours = [p for n, p in self.processes.items() if n.startswith(("entry-", "side-"))]
        for process in ours:
            process.thaw()
            process.terminate()
        codes = {process.name: self._end(process) for process in ours}
        for process in self.processes.values():
            if process.running:
                process.kill()
        return codes

    def kill_all(self) -> None:
        """End everything at once, for tests that have counted what they came for."""
        for process in self.processes.values():
            if process.running:
                process.kill()

    def process(self, name: str) -> Process:
        """Return a process by name."""
        return self.processes[name]

    def restart(self, name: str, path: str = "/ready") -> None:
        """Start an ended process anew, with the same settings, and wait until it is ready."""
        self.processes[name].start()
        self._wait([name], path if name.startswith(("entry-", "side-")) else "/_control")

    def control(self, name: str, **values: Any) -> None:
        """Change how a stand-in behaves."""
        answer = call(self.urls[name] + "/_control", values)
        if answer.status != 200:
            raise LaunchError(f"{name}: {answer.data}")

    def live_journal(self, name: str) -> Any:
        """Ask a running stand-in what truly happened."""
        return call(self.urls[name] + "/_journal").data

    def journal(self, name: str, kind: str = "run") -> list[dict[str, Any]]:
        """Read an upstream's journal, also of one that has been killed."""
        return [row for row in read_journal(self._journal_path(name)) if row["kind"] == kind]

    def silence(self, *vm_ids: str, way: str = "both") -> None:
        """Let the open connections to these VMs' peers go silent; new ones work."""
        self.control("relay", silence=list(vm_ids), way=way)

    def set_vms(self) -> None:
        """Publish the VM list as it is in `vms`; it shows after the list's lag."""
        self.control("vms", vms=self.vms)

    def set_vm_state(self, vm_id: str, state: str) -> None:
        """Mark a VM as live or leaving in the list."""
        for vm in self.vms:
            if vm["id"] == vm_id:
                vm["state"] = state
        self.set_vms()

    def publish(self, record: dict[str, Any], entry: int = 0) -> Answer:
        """Publish one configuration record through an entry."""
        url = self.entries[entry] + "/config/records"
        return call(url, {"amends": 0, **record}, self.tokens[OPERATOR])

    def publish_all(self) -> None:
        """Publish the plan's records and wait until every entry has them.

        An entry that has not read them yet answers 404 to calls of its share.
        """
        offset = 0
        for record in self.plan.records:
            answer = self.publish(record)
            if not 200 <= answer.status < 300:
                raise LaunchError(f"{record['kind']} {record['name']}: {answer.data}")
            offset = max(offset, answer.data["revision"])
        for number, url in enumerate(self.entries, 1):
            wait_for(
                lambda url=url: self._config_offset(url) >= offset,
                f"entry-{number} had no configuration",
                START_SECONDS,
            )

    def _config_offset(self, entry_url: str) -> int:
        """Return how much of the configuration an entry has, -1 if it does not answer."""
        try:
            answer = call(entry_url + "/config/records", token=self.tokens[OPERATOR], timeout_s=1.0)
        except OSError:
            return -1
        return answer.data["config_offset"] if answer.status == 200 else -1

    def _port_count(self) -> int:
        upstreams = sum(service.samplers for service in self.plan.services)
        # Beside the three or two ports of each VM there may be that of its relay.
        return len(PLATFORM) + 1 + 4 * upstreams + 3 * self.plan.entries

    def _upstream_names(self) -> list[str]:
        return [vm["id"] for vm in self.vms if vm["role"] == "upstream"]

    def _journal_path(self, name: str) -> Path:
        return self.folder / f"{name}.journal"

    def _write_tokens(self) -> None:
        """Make a token for each trainer and caller, and one for the operator."""
        roles = {OPERATOR: "operator"}
        roles |= dict.fromkeys(self.plan.names_of("trainer"), "trainer")
        roles |= dict.fromkeys(self.plan.names_of("caller"), "caller")
        self.tokens = {name: secrets.token_hex(16) for name in roles}
        rows = [
            {"name": name, "token": self.tokens[name], "role": role} for name, role in roles.items()
        ]
        path = self.folder / "tokens.yaml"
        path.touch(mode=0o600)
        path.write_text(yaml.safe_dump({"tokens": rows}))

    def _start_platform(self) -> None:
        for name in PLATFORM:
            self._start_stand_in(name, name, self.plan.platform.get(name, {}))

    def _start_stand_in(self, name: str, command: str, options: dict[str, Any]) -> None:
        port = next(self._ports)
        self.urls[name] = f"http://127.0.0.1:{port}"
        args = ["stand_ins", command, f"--port={port}"]
        args += [f"--{key}={value}" for key, value in options.items()]
        self._start(name, args)

    def _start_upstream(self, service: ServicePlan, name: str) -> None:
        """Start a stand-in and, where the service has them, the side process beside it."""
        command = "engine" if service.type == "engine" else "service"
        options = {"name": name, "journal": str(self._journal_path(name)), **service.controls}
        if service.type == "engine":
            options |= {"model": service.name, "store": self.urls["store"]}
        self._start_stand_in(name, command, options)
        if not service.side:
            self._add_vm(name, "upstream", None, service.name, self.urls[name])
            return
        listen, peer = next(self._ports), next(self._ports)
        vm = self._add_vm(name, "upstream", peer, service.name, self.urls[name])
        settings = {
            "vm_id": name,
            "data_center": vm["data_center"],
            "service": service.name,
            "listen": f"127.0.0.1:{listen}",
            "peer": f"tcp://127.0.0.1:{peer}",
            "upstream": self.urls[name],
            "log": self.urls["log"],
        }
        self._start_product("side", f"side-{name}", settings)

    def _start_entry(self, name: str) -> None:
        listen, peer = next(self._ports), next(self._ports)
        vm = self._add_vm(name, "entry", peer)
        settings = {
            "vm_id": name,
            "data_center": vm["data_center"],
            "listen": f"127.0.0.1:{listen}",
            "peer": f"tcp://127.0.0.1:{peer}",
            "log": self.urls["log"],
            "vm_list": self.urls["vms"],
            "scorer": self.urls["scorer"],
            "tokens_file": str(self.folder / "tokens.yaml"),
        }
        self._start_product("entry", name, settings)

    def _add_vm(
        self, name: str, role: str, peer: int | None, service: str = "", address: str = ""
    ) -> dict[str, Any]:
        shown = peer
        if self.plan.relayed and peer is not None:
            shown = next(self._ports)
            self._links.append(f"{name}:{shown}:{peer}")
        vm = {
            "id": name,
            "role": role,
            "state": "live",
            "data_center": next(self._centers),
            "peer": "" if shown is None else f"tcp://127.0.0.1:{shown}",
            "address": address,
            "service": service,
        }
        self.vms.append(vm)
        return vm

    def _start_product(self, role: str, name: str, settings: dict[str, Any]) -> None:
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        self.urls[name] = f"http://{settings['listen']}"
        self._start(name, ["cranberryline", role, f"--settings={path}"])

    def _start(self, name: str, args: list[str]) -> None:
        process = Process(name, args, self.folder / f"{name}.log")
        self.processes[name] = process
        process.start()

    def _wait(self, names: list[str], path: str) -> None:
        """Wait until each named process answers 200."""
        for name in names:
            wait_for(self._answers(name, path, names), f"{name} was not ready", START_SECONDS)

    def _raise_ended(self, names: list[str]) -> None:
        """Give up at once when one that is waited for has ended: it may be why others wait."""
        for name in names:
            process = self.processes[name]
            if not process.running:
                raise LaunchError(f"{name} ended:\n{process.output()[-3000:]}")

    def _answers(self, name: str, path: str, waited: list[str]) -> Callable[[], bool]:
        def answers() -> bool:
            self._raise_ended(waited)
            try:
                return call(self.urls[name] + path).status == 200
            except OSError:
                return False

        return answers

    def _end(self, process: Process) -> int:
        """Wait for a planned stop, and kill what does not stop in time."""
        try:
            return process.wait(STOP_SECONDS)
        except subprocess.TimeoutExpired:
            process.kill()
            return process.wait(1.0)


@contextmanager
def launched(plan: DeploymentPlan, publish: bool = True) -> Iterator[Deployment]:
    """Run a deployment for the length of a `with` block."""
    folder = Path(tempfile.mkdtemp(prefix="cranberryline-"))
    deployment = _started(plan, folder, publish)
    try:
        yield deployment
    finally:
        deployment.stop()
        shutil.rmtree(folder, ignore_errors=True)


def _started(plan: DeploymentPlan, folder: Path, publish: bool) -> Deployment:
    """Start a deployment, anew on other ports where another program took one meanwhile.

    A port is free when it is chosen and may be taken when it is bound; only that is tried again.
    """
    for attempt in range(START_ATTEMPTS):
        deployment = Deployment(plan, folder / str(attempt))
        deployment.folder.mkdir()
        try:
            deployment.start(publish)
        except Exception as exc:
            deployment.kill_all()
            if PORT_IN_USE not in str(exc) or attempt == START_ATTEMPTS - 1:
                raise
            continue
        return deployment
    raise AssertionError
