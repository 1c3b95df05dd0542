"""Fakes and builders shared by the tests."""

from __future__ import annotations

from typing import Any

from egrethook.addresses import Address
from egrethook.callers.packets import Refused, Run
from egrethook.callers.tokens import Token
from egrethook.discovery.catalog import Catalog
from egrethook.discovery.records import ItemKind, PublishedItem
from egrethook.emulator.builders import (
    SERVICE,
    FixedConfigurationSource,
    ManualClock,
    make_configuration,
)
from egrethook.published.configuration import Configuration
from egrethook.published.documents import render, validate
from egrethook.types import ExecutorId
from egrethook.upstreams.admission import Report
from egrethook.upstreams.executor import Executor
from egrethook.verdicts import Verdict

CALLER = Address("192.0.2.1", 9000)
LOCAL_EXECUTOR = ExecutorId("node-1", 1)
WARM = Report(boot=1, running=0, flows=0, answered=1000)
"""Load report of an upstream that has answered enough requests to be warm."""

COLD = Report(boot=1, running=0, flows=0, answered=0)
"""Load report of an upstream that has just started."""


class RecordingSender:
    """Records packets sent to callers."""

    def __init__(self) -> None:
        self.packets: list[Any] = []

    def send(self, address: Address, packet: Any) -> None:
        self.packets.append(packet)

    def of(self, kind: type) -> list[Any]:
        return [packet for packet in self.packets if isinstance(packet, kind)]

    def verdicts(self) -> list[Verdict]:
        return [packet.verdict for packet in self.of(Refused)]


class RecordingLink:
    """Records requests sent to an upstream."""

    def __init__(self) -> None:
        self.runs: dict[int, Run] = {}
        self.cancelled: list[int] = []

    def execute(self, run_id: int, run: Run, deadline_ms: int) -> None:
        self.runs[run_id] = run

    def cancel(self, run_id: int) -> None:
        self.cancelled.append(run_id)


class RecordingRelay:
    """Records relayed requests.

    `accepts` says whether there is another owner to relay them to.
    """

    def __init__(self, accepts: bool = False) -> None:
        self.accepts = accepts
        self.relayed: list[Run] = []

    def relay_elsewhere(self, run: Run, failed: str) -> bool:
        self.relayed.append(run)
        return self.accepts


class ExecutorRig:
    """An executor with fake dependencies and the upstreams of one service."""

    def __init__(
        self,
        upstreams: tuple[str, ...] = ("upstream-1",),
        report: Report = WARM,
        relay_accepts: bool = False,
    ) -> None:
        self.configuration = make_configuration(upstreams=upstreams)
        self.source = FixedConfigurationSource(self.configuration)
        self.clock = ManualClock()
        self.sender = RecordingSender()
        self.request_relay = RecordingRelay(relay_accepts)
        self.executor = Executor(
            LOCAL_EXECUTOR, self.source, self.sender, self.request_relay, self.clock
        )
        self.links: dict[str, RecordingLink] = {}
        for endpoint in self.configuration.endpoints():
            link = self.links[endpoint.name] = RecordingLink()
            limits = self.configuration.limits
            self.executor.pool.add(endpoint, limits, link)
            self.executor.connected(endpoint.name, report)

    @property
    def runs(self) -> list[Run]:
        """Requests sent to the upstreams and not yet answered by `finish`."""
        return [run for link in self.links.values() for run in link.runs.values()]

    def token(self) -> Token:
        """Issue a token for non-idempotent requests."""
        serial = self.executor.rights.issue(self.clock.now())
        endpoint = next(self.configuration.endpoints())
        token_bytes = self.executor.issuer.create_token(endpoint, CALLER, serial)
        return self.configuration.keys.unseal(token_bytes)

    def finish(self, name: str = "upstream-1", payload: bytes = b"done") -> None:
        """Answer the oldest unanswered request of an upstream."""
        link = self.links[name]
        run_id = min(link.runs)
        del link.runs[run_id]
        self.executor.answer(name, run_id, 0, 1, payload)


def make_run(number: int = 1, attempt: int = 1, **fields: Any) -> Run:
    """Return a request packet."""
    defaults: dict[str, Any] = {
        "service_name": SERVICE,
        "caller_id": 7,
        "number": number,
        "attempt": attempt,
        "idempotent": False,
        "deadline_ms": 2000,
        "caller_host": CALLER.host,
        "caller_port": CALLER.port,
        "payload": b"order",
        "sequence": number,
    }
    return Run(**{**defaults, **fields})


def index_value(revision: int, **changes: Any) -> dict[str, Any]:
    """Return an index document as plain data."""
    return {
        "kind": "index",
        "revision": revision,
        "preset": "ordinary",
        "presets": {"ordinary": {}, "peak": {"queue_per_slot": 16}},
        "failure_domains": {"domain-1": {"region": "region-1"}},
        "keys": {1: "00" * 16},
        "signing_key": 1,
        "services": {},
        "vms": {},
        **changes,
    }


def endpoint_value(name: str, port: int, **changes: Any) -> dict[str, Any]:
    """Return an endpoint as plain data."""
    return {
        "name": name,
        "address": f"10.0.0.1:{port}",
        "flow_address": f"10.0.0.1:{port + 1}",
        "failure_domain": "domain-1",
        **changes,
    }


def services_value(
    revision: int, endpoints: list[dict[str, Any]], name: str = "orders"
) -> dict[str, Any]:
    """Return a services document with one service as plain data."""
    return {
        "kind": "services",
        "name": name,
        "revision": revision,
        "services": [{"name": name, "endpoints": endpoints}],
    }


def raw(value: dict[str, Any]) -> bytes:
    """Return a value serialized as the platform publishes it."""
    return render(validate(value))


def make_token(configuration: Configuration, **changes: Any) -> Token:
    """Return a token for the first endpoint of the configuration."""
    endpoint = next(configuration.endpoints())
    fields: dict[str, Any] = {
        "serial": 1,
        "service_name": endpoint.service,
        "upstream": endpoint.name,
        "host": endpoint.flow_address.host,
        "port": endpoint.flow_address.port,
        "incarnation": endpoint.incarnation,
        "executor": "node-1",
        "executor_incarnation": 1,
        "revision": configuration.revision,
        "caller_host": CALLER.host,
        "caller_port": CALLER.port,
    }
    return Token(**{**fields, **changes})


def published_item(
    name: str, revision: int, value: bytes | None = b"x"
) -> PublishedItem:
    """Return an upstream's published record; a value of None deletes it."""
    return PublishedItem(ItemKind.UPSTREAM, name, revision, value)


def published_names(catalog: Catalog) -> set[str]:
    """Return the names of the items that a catalog holds."""
    changes = catalog.changes_since(0, 10**6)
    assert changes is not None
    return {item.name for item in changes.items if item.value is not None}
