"""Starts the system's processes as the deploy file says, between the stand-ins."""

import asyncio
import base64
import json
import os
import re
import signal
import socket
import subprocess
import tempfile
import time
import tomllib
from pathlib import Path

from flows import Client, Endpoint
from platform_store import Store

REPOSITORY = Path(__file__).resolve().parents[2]
HEARTBEAT_S = 1.2
CONTRACTS = "base,drain,config,cost,recover,flows,places,platform"
MACHINES = (
    ("sala-bilbao", 2),
    ("sala-santander", 3),
    ("sala-oviedo", 1),
)
"""Zones and their machines, as on the sheet of fac-bonos."""

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Record:
    """Writes `record.txt`."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("")
        self._began_at = time.monotonic()

    def __call__(self, event, **fields):
        fields = " ".join(f"{name}={value!r}" for name, value in fields.items())
        now = time.monotonic() - self._began_at
        with self._path.open("a", encoding="utf-8") as file:
            file.write(f"{now:8.3f} {event} {fields}".rstrip() + "\n")


class Node:
    """One machine of the system and its process."""

    def __init__(self, deployment, name, zone, host):
        self.name, self.zone, self.host = name, zone, host
        self._deployment = deployment
        self.packets = host, deployment.ports["packets"]
        self._settings = deployment.folder / f"{name}.yaml"
        self._log = deployment.folder / f"{name}.log"
        self.process = None

    def render(self, seeds):
        """Fill in the settings template of the deploy file."""
        ports = self._deployment.ports
        values = {
            "nodeName": self.name,
            "zone": self.zone,
            "listen.datagramAddr": f"{self.host}:{ports['packets']}",
            "listen.control": f"{self.host}:{ports['control']}",
            "listen.readiness": f"{self.host}:{ports['readiness']}",
            "platform.address": ":".join(map(str, self._deployment.store_address)),
            "seeds": seeds,
            "bounds.maxFlowS": 60,
        }
        self._values = values
        template = (REPOSITORY / self._deployment.role["template"]).read_text()
        self._settings.write_text(
            re.sub(
                r"\{\{([\w.]+)\|json\}\}",
                lambda match: json.dumps(values[match[1]]),
                template,
            )
        )

    def start(self):
        """Start the process with the command of the deploy file."""
        words = [
            re.sub(r"\{\{([\w.]+)\}\}", lambda match: str(self._values[match[1]]), word)
            for word in self._deployment.role["run"].split()
        ]
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment |= {
            "PYTHONPATH": str(REPOSITORY / "target" / "deps"),
            "EGRETHOOK_CONFIG": str(self._settings),
            "EGRETHOOK_GUARANTEES": self._deployment.contracts,
        }
        with open(self._log, "ab") as log:
            self.process = subprocess.Popen(
                words, cwd=REPOSITORY, env=environment, stdout=log, stderr=log
            )

    def kill(self):
        """End the process at once."""
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        """Return whether the readiness probe succeeds."""
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(self.host, self._deployment.ports["readiness"]),
                0.5,
            )
            writer.write(b"GET /readyz HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 0.5)
            writer.close()
            return b" 200 " in line
        except (OSError, TimeoutError):
            return False


class Deployment:
    """Machines, store, endpoints and clients on loopback addresses."""

    def __init__(self, record, folder, machines=MACHINES, contracts=CONTRACTS):
        self.record, self.folder, self.contracts = record, Path(folder), contracts
        deploy = tomllib.loads((REPOSITORY / "deploy" / "system.toml").read_text())
        (self.role,) = deploy["roles"].values()
        self._net = 10 + os.getpid() % 200
        self.store_address = f"127.{self._net}.0.9", 0
        self.ports = {}
        self.nodes = []
        self.endpoints = {}
        self.clients = []
        self.store = Store(record)
        self._heartbeats = None
        self._silenced = set()
        self._choose_ports()
        for zone_number, (zone, count) in enumerate(machines, 1):
            for index in range(1, count + 1):
                host = f"127.{self._net}.{zone_number}.{9 + index}"
                self.nodes.append(Node(self, f"edge-{zone}-{index}", zone, host))
        self._clients_host = f"127.{self._net}.64."

    def host(self, last):
        """Return a loopback address that stands for a route."""
        return f"127.{self._net}.99.{last}"

    def _choose_ports(self):
        for name in ("packets", "control", "readiness", "store", "endpoint"):
            while True:
                with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp:
                    tcp.bind(("0.0.0.0", 0))
                    port = tcp.getsockname()[1]
                if port not in self.ports.values():
                    break
            self.ports[name] = port
        self.store_address = self.store_address[0], self.ports["store"]

    async def start(self):
        """Start the store, the clients and the system's processes."""
        await self.store.start(*self.store_address)
        for last in range(1, 4):
            client = Client(
                self.record, f"{self._clients_host}{last}", self.ports["packets"]
            )
            await client.start()
            self.clients.append(client)
        self._heartbeats = asyncio.ensure_future(self._keep_entries())
        seeds = [f"{node.host}:{self.ports['control']}" for node in self.nodes[:3]]
        for node in self.nodes:
            node.render(seeds)
            node.start()

    async def await_ready(self, limit_s=20.0):
        """Wait until all machines are ready, or end the run."""
        give_up_at = time.monotonic() + limit_s
        waiting = list(self.nodes)
        while waiting:
            waiting = [node for node in waiting if not await node.is_ready()]
            if time.monotonic() > give_up_at:
                raise CannotRunError(f"not ready: {[node.name for node in waiting]}")
            await asyncio.sleep(0.1)
        self.record("all machines are ready")

    async def add_endpoint(self, ident, service, zone, last, work_s=0.02, slow_s=0.0):
        """Start an endpoint; it registers itself at once.

        One that is slow at first (`slow_s`) writes at each heartbeat how much longer.
        """
        address = f"127.{self._net}.128.{last}", self.ports["endpoint"]
        endpoint = Endpoint(
            self.record, ident, service, zone, address, self.ports["packets"], work_s
        )
        endpoint.slow_s = slow_s
        await endpoint.start()
        self.endpoints[ident] = endpoint
        self.register(endpoint)
        return endpoint

    def register(self, endpoint):
        """Write an endpoint's entry, as it does at a change; return the revision."""
        return self.store.put(f"servers/{endpoint.ident}", endpoint.entry())

    async def crash(self, endpoints, down_s):
        """Let endpoints crash without a word; they start again after a while.

        Their entries are removed after three heartbeats of silence.
        """
        self.record("endpoints crash", endpoints=[one.ident for one in endpoints])
        for endpoint in endpoints:
            endpoint.crash()
        silence_s = min(down_s, 3 * HEARTBEAT_S)
        await asyncio.sleep(silence_s)
        for endpoint in endpoints:
            self.store.delete(f"servers/{endpoint.ident}")
        await asyncio.sleep(down_s - silence_s)
        for endpoint in endpoints:
            endpoint.start_again()
            self.register(endpoint)
        self.record("endpoints are back")

    def configure(self, config):
        """Write the operator's configuration; the return is the acknowledgement."""
        revision = self.store.put("op/config", config)
        self.record("config acknowledged", version=config["version"], revision=revision)
        return time.monotonic()

    async def lose_and_restore(self, versions, copy, away_s=1.0):
        """Let the store be away and come back from a copy.

        The operator writes the lost versions again, in their order, and each endpoint
        its entry as it is now.
        """
        await self.store.go_away()
        self.record("store is away")
        await asyncio.sleep(away_s)
        self.store.restore(copy)
        await self.store.come_back()
        for version in versions:
            self.configure(version)
        self._write_entries()
        self.record("all is written again", revision=self.store.revision)

    async def _keep_entries(self):
        """Write an entry at a heartbeat if the store lacks it or holds another."""
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if self.store.is_up:
                self._write_entries()

    def _write_entries(self):
        for endpoint in self.endpoints.values():
            if endpoint.is_dark:
                continue
            item = self.store.items.get(f"servers/{endpoint.ident}")
            if item is None or not _same_entry(item, endpoint):
                self.register(endpoint)

    def close(self):
        """End everything that was started."""
        for node in self.nodes:
            node.kill()


def _same_entry(item, endpoint):
    held = json.loads(base64.b64decode(item["value"]))
    now = endpoint.entry()
    return {**held, "sequence": 0} == {**now, "sequence": 0}


class CannotRunError(Exception):
    """The case could not be run."""


def route(name, host, port, service, kind="safe", timeout_ms=2000, slo_ms=150):
    """Return an entry of the configuration's routes."""
    return {
        "name": name,
        "host": host,
        "prefix": f"/{port}/",
        "type": kind,
        "timeoutMs": timeout_ms,
        "sloMs": slo_ms,
        "priority": 2,
        "service": service,
        "attempts": 2,
    }


def configuration(version, routes, services):
    """Return a whole configuration."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "healthPath": "/healthz",
                "maxConns": 2000,
                "protocol": "h1",
                "tls": False,
                "warmupS": 2.0,
                "warmupPerS": 0.0,
            }
            for name in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 262144,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
    }


def play(case, script):
    """Run a case; `case` gets the deployment and whether there is trouble.

    Returns the exit status: 0 if the rule held, 1 if it was broken, 2 if the case
    couldn't run.
    """
    record = Record(Path(script).resolve().parent / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record("case begins", trouble=trouble)
    with tempfile.TemporaryDirectory(prefix="review-") as folder:
        deployment = Deployment(record, folder, **getattr(case, "options", {}))
        try:
            broken = asyncio.run(_limited(case, deployment, trouble))
            status = BROKEN if broken else HELD
        except (CannotRunError, OSError, TimeoutError) as error:
            record("case could not run", error=str(error) or type(error).__name__)
            status = NOT_RUN
        finally:
            deployment.close()
            keep = os.environ.get("KEEP_LOGS")
            if keep:
                Path(keep).mkdir(parents=True, exist_ok=True)
                for log in Path(folder).glob("*.log"):
                    (Path(keep) / log.name).write_bytes(log.read_bytes())
    record("case ends", status=status)
    print({HELD: "held", BROKEN: "broken", NOT_RUN: "not run"}[status])
    return status


async def _limited(case, deployment, trouble):
    try:
        return await asyncio.wait_for(case(deployment, trouble), 110)
    finally:
        deployment.close()
