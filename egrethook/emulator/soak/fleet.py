"""The forwarding processes of a soak, and the emulated router in front of them."""

from __future__ import annotations

import os
import random
import re
import signal
import subprocess
import sys
import time
from dataclasses import dataclass, field
from pathlib import Path
from types import TracebackType
from typing import Self

import anyio
import httpx
import msgspec

from egrethook.addresses import Address
from egrethook.emulator.soak.peers import Violation, rendezvous
from egrethook.emulator.soak.proxy import FaultyProxy
from egrethook.error_boundary import UNEXPECTED_ERROR

REPOSITORY_ROOT = Path(__file__).parents[3]
FORWARDER_SCRIPT = REPOSITORY_ROOT / "deploy" / "forwarder.py"
"""The script that the platform starts on each VM."""

PROBE_INTERVAL_S = 0.5
"""Interval between readiness probes of a VM, in seconds."""

PROBE_TIMEOUT_S = 0.4
"""Timeout of a readiness probe, in seconds."""

METRICS_TIMEOUT_S = 3.0
"""Timeout of a read of the metrics, in seconds."""

_CONFIGURATION_METRIC = re.compile(
    r"^egrethook_configuration_version ([0-9.e+]+)$", re.MULTILINE
)

PROBE_FAILURE_THRESHOLD = 2
"""Number of consecutive failed probes that takes a VM out of rotation."""

DISTURBANCE_GRACE_S = 4.0
"""Time after a disturbance in which a VM may still use excluded upstreams, in seconds.

Upstreams are excluded while they drain or their failure domain is evacuated.
"""

SHUTDOWN_TIMEOUT_S = 6.0
"""Time in which a process must end after SIGTERM, in seconds."""

PROBE_ERRORS = (httpx.HTTPError, AttributeError)
"""Errors of a failed probe; anyio raises AttributeError if a connection just closed."""

PEER_OFFSET, PROBE_OFFSET, METRICS_OFFSET, PROXY_OFFSET = 1, 2, 3, 4
"""Offsets of the other ports of a VM from its packet port."""


@dataclass
class SoakVm:
    """One VM: its process and the proxy between it and the store.

    Parameters
    ----------
    host, port : str, int
        Address of the packet port; the other ports are at fixed offsets from it.
    disturbed_at : float
        Time of the latest disturbance, in seconds.
    expected_down : bool
        Whether the soak itself has ended the process.
    failed_probes : int
        Number of consecutive failed probes.
    incarnation : int
        Number of times that the process has been started.
    """

    name: str
    domain: str
    host: str
    port: int
    proxy: FaultyProxy
    process: subprocess.Popen[bytes] | None = None
    disturbed_at: float = float("-inf")
    expected_down: bool = False
    failed_probes: int = PROBE_FAILURE_THRESHOLD
    incarnation: int = 0
    log_path: Path = field(default_factory=Path)

    @property
    def packet_address(self) -> Address:
        """The address to which the router sends packets."""
        return Address(self.host, self.port)

    @property
    def in_rotation(self) -> bool:
        """Whether the router may send new flows to it."""
        return self.failed_probes < PROBE_FAILURE_THRESHOLD

    def mark_disturbed(self) -> None:
        """Record a disturbance; see `DISTURBANCE_GRACE_S`."""
        self.disturbed_at = time.monotonic()

    def undisturbed_since(self, moment: float) -> bool:
        """Return whether the VM was undisturbed at a time and ever since.

        The grace period after the latest disturbance must have ended by that time.
        """
        return self.disturbed_at < moment - DISTURBANCE_GRACE_S


class SoakFleet:
    """Starts, probes and ends the processes, and routes flows to them.

    It ends only processes that it started.

    Parameters
    ----------
    vms : list of SoakVm
        The VMs.
    folder : Path
        Folder of the settings files and logs.
    violations : list of Violation
        Violations are appended to it.
    """

    def __init__(
        self, vms: list[SoakVm], folder: Path, violations: list[Violation]
    ) -> None:
        self._vms = vms
        self._folder = folder
        self._violations = violations
        self._client = httpx.AsyncClient(timeout=PROBE_TIMEOUT_S, trust_env=False)

    @property
    def vms(self) -> list[SoakVm]:
        """The VMs."""
        return self._vms

    async def __aenter__(self) -> Self:
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        for vm in self._vms:
            self.kill(vm)
        self._check_logs()
        with anyio.CancelScope(shield=True):
            await self._client.aclose()

    async def check_configuration(self, version: int) -> None:
        """Note a violation for each undisturbed VM that lacks a configuration."""
        for vm in self._vms:
            if vm.expected_down or not vm.undisturbed_since(time.monotonic()):
                continue
            held = await self._held_configuration(vm)
            if held is not None and held < version:
                what = f"{vm.name} has configuration {held} instead of {version}"
                self._violations.append(
                    Violation(time.monotonic(), "configuration", what)
                )

    async def _held_configuration(self, vm: SoakVm) -> int | None:
        """Return the version that a VM has in force; None if it doesn't answer."""
        url = f"http://{vm.host}:{vm.port + METRICS_OFFSET}/metrics"
        try:
            text = (await self._client.get(url, timeout=METRICS_TIMEOUT_S)).text
        except PROBE_ERRORS:
            return None
        found = _CONFIGURATION_METRIC.search(text)
        return int(float(found[1])) if found else None

    # Processes ---------------------------------------------------------------------

    def write_settings(self, vm: SoakVm, **changes: object) -> Path:
        """Write the settings file of a VM."""
        seeds = [f"{peer.host}:{peer.port + PEER_OFFSET}" for peer in self._vms[:3]]
        settings = {
            "name": vm.name,
            "failure_domain": vm.domain,
            "packets": f"{vm.host}:{vm.port}",
            "peers": f"{vm.host}:{vm.port + PEER_OFFSET}",
            "probes": f"{vm.host}:{vm.port + PROBE_OFFSET}",
            "registry": f"{vm.host}:{vm.port + PROXY_OFFSET}",
            "metrics_port": vm.port + METRICS_OFFSET,
            "known_peers": seeds,
            "guarantees": ["health"],
            **changes,
        }
        path = self._folder / f"{vm.name}.yaml"
        path.write_bytes(msgspec.json.encode(settings))
        return path

    def start(self, vm: SoakVm) -> None:
        """Start the process of a VM."""
        path = self.write_settings(vm)
        vm.incarnation += 1
        vm.log_path = self._folder / f"{vm.name}-{vm.incarnation}.log"
        vm.mark_disturbed()
        vm.expected_down = False
        with open(vm.log_path, "wb") as log:
            vm.process = subprocess.Popen(
                [sys.executable, str(FORWARDER_SCRIPT), f"{vm.host}:{vm.port}"],
                env={
                    **os.environ,
                    "EGRETHOOK_CONFIG": str(path),
                    "PYTHONPATH": str(REPOSITORY_ROOT),
                },
                stdout=log,
                stderr=subprocess.STDOUT,
            )

    def kill(self, vm: SoakVm) -> None:
        """End a process immediately with SIGKILL."""
        vm.mark_disturbed()
        vm.expected_down = True
        if vm.process is not None and vm.process.poll() is None:
            vm.process.kill()
            vm.process.wait()

    async def terminate(self, vm: SoakVm) -> None:
        """End a process with SIGTERM, as the platform does, and check that it ends."""
        vm.mark_disturbed()
        vm.expected_down = True
        process = vm.process
        if process is None or process.poll() is not None:
            return
        process.send_signal(signal.SIGCONT)
        process.terminate()
        with anyio.move_on_after(SHUTDOWN_TIMEOUT_S):
            while process.poll() is None:
                await anyio.sleep(0.05)
        if process.poll() is None:
            what = f"{vm.name} did not end within {SHUTDOWN_TIMEOUT_S:g} s of SIGTERM"
            self._violations.append(Violation(time.monotonic(), "shutdown", what))
            process.kill()
        elif process.returncode != 0 and vm.log_path.stat().st_size:
            # A process that has not logged anything had not begun to serve.
            what = f"{vm.name} ended with {process.returncode} after SIGTERM"
            self._violations.append(Violation(time.monotonic(), "shutdown", what))
        process.wait()

    def signal(self, vm: SoakVm, number: signal.Signals) -> None:
        """Send a signal to a process if it is running."""
        if vm.process is not None and vm.process.poll() is None:
            vm.process.send_signal(number)

    def _check_logs(self) -> None:
        """Record a violation for each log with an error that a process survived."""
        for path in sorted(self._folder.glob("*.log")):
            if UNEXPECTED_ERROR in path.read_text(errors="replace"):
                what = f"{path.stem} logged an unexpected error"
                self._violations.append(Violation(time.monotonic(), "error", what))

    def has_logged(self, vm: SoakVm, sentence: str) -> bool:
        """Return whether any process of a VM has logged a sentence."""
        logs = self._folder.glob(f"{vm.name}-*.log")
        return any(sentence in log.read_text(errors="replace") for log in logs)

    def check_processes(self) -> None:
        """Record a violation for each process that has ended by itself.

        No program can handle a SIGHUP that arrives before its first line has run; such
        a process is started again, as the platform does.
        """
        for vm in self._vms:
            if vm.process is None or vm.process.poll() is None or vm.expected_down:
                continue
            returncode = vm.process.returncode
            if returncode == -signal.SIGHUP and not vm.log_path.stat().st_size:
                self.start(vm)
                continue
            what = f"{vm.name} ended by itself with {returncode}"
            self._violations.append(Violation(time.monotonic(), "exit", what))
            vm.expected_down = True

    # Router ----------------------------------------------------------------------

    async def probe(self, vm: SoakVm) -> None:
        """Probe the readiness of one VM until cancelled."""
        url = f"http://{vm.host}:{vm.port + PROBE_OFFSET}/readyz"
        while True:
            try:
                response = await self._client.get(url)
                ready = response.status_code == httpx.codes.OK
            except PROBE_ERRORS:
                ready = False
            vm.failed_probes = 0 if ready else vm.failed_probes + 1
            await anyio.sleep(PROBE_INTERVAL_S)

    def choose_vm(self, domain: str, flow: bytes) -> Address | None:
        """Return the address of the VM to which the router sends a flow.

        Only VMs in the caller's failure domain get it. If fewer than half of them
        are in rotation, all of them are used; if none is, those of other domains.
        """
        domain_vms = [vm for vm in self._vms if vm.domain == domain]
        in_rotation = [vm for vm in domain_vms if vm.in_rotation]
        if not in_rotation:
            in_rotation = [vm for vm in self._vms if vm.in_rotation]
        elif len(in_rotation) * 2 < len(domain_vms):
            in_rotation = domain_vms
        return rendezvous(flow, [vm.packet_address for vm in in_rotation])


def sample_vms(rng: random.Random, vms: list[SoakVm], share: float) -> list[SoakVm]:
    """Return a random share of the VMs, at least one."""
    count = max(1, round(share * len(vms)))
    return rng.sample(vms, count)
