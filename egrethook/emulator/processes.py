"""Starts, pauses and stops the processes of an emulated deployment."""

from __future__ import annotations

import contextlib
import os
import signal
import sys
import tempfile
from pathlib import Path
from types import TracebackType
from typing import Any, Self

import anyio
import httpx
import yaml
from anyio.abc import Process, TaskGroup

from egrethook.emulator.layouts import FLEET_SECRET, EmulatedFleet
from egrethook.emulator.runner import derive_seed
from egrethook.exceptions import NotReadyError

WAIT_TIMEOUT_S = 30.0
"""Timeout for a process to become ready or for another condition, in seconds."""

EXIT_TIMEOUT_S = 10.0
"""Timeout for a killed process to exit, in seconds."""

POLL_INTERVAL_S = 0.05
"""Time between checks of a condition, in seconds."""


class FleetProcesses:
    """Runs the processes of an emulated deployment and kills all of them on exit.

    Parameters
    ----------
    fleet : EmulatedFleet
        Addresses and published documents of the deployment.
    seed : int
        Seed from which the seeds of all processes are derived.
    mean_service_s : float
        Mean service time of each upstream, in seconds.
    answer_bytes : int
        Length of each answer, in bytes.
    fabric_faults : dict
        Faults of the fabric, by setting name.
    """

    def __init__(
        self,
        fleet: EmulatedFleet,
        seed: int = 1,
        mean_service_s: float = 0.02,
        answer_bytes: int = 200,
        fabric_faults: dict[str, float] | None = None,
    ) -> None:
        self.fleet = fleet
        self._seed = seed
        self._mean_service_s = mean_service_s
        self._answer_bytes = answer_bytes
        self._fabric_faults = fabric_faults or {}
        self._processes: dict[str, Process] = {}
        self._logs: dict[str, list[str]] = {}
        self._settings_folder = tempfile.TemporaryDirectory(prefix="egrethook-")
        self._client = httpx.AsyncClient(timeout=5.0, trust_env=False)
        self._tasks: TaskGroup | None = None

    async def __aenter__(self) -> Self:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        return self

    async def __aexit__(
        self,
        exc_type: type[BaseException] | None,
        exc: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        with anyio.CancelScope(shield=True):
            for name in list(self._processes):
                await self.kill(name)
            await self._client.aclose()
            self._settings_folder.cleanup()
        assert self._tasks is not None
        self._tasks.cancel_scope.cancel()
        await self._tasks.__aexit__(None, None, None)

    def log(self, name: str) -> list[str]:
        """Return the lines that a process has written to standard error."""
        return self._logs.get(name, [])

    # Starting --------------------------------------------------------------

    async def start_all(self) -> None:
        """Start all processes and wait until they are ready."""
        fleet = self.fleet
        await self._start_emulator(
            "platform",
            {
                "kind": "platform",
                "listen": fleet.platform,
                "index": fleet.index(),
                "values": fleet.values(),
            },
        )
        await self.wait_for_http(f"{fleet.platform_url}/emulator/state")
        for name in fleet.endpoints:
            await self.start_upstream(name)
        await self._start_emulator(
            "fabric",
            {
                "kind": "fabric",
                "listen": fleet.fabric,
                "control": fleet.fabric_control,
                "platform": fleet.platform_url,
                "seed": derive_seed(self._seed, "fabric"),
                **self._fabric_faults,
            },
        )
        for name in fleet.vms:
            await self.start_balancer(name)
        for name in fleet.vms:
            await self.wait_ready(name)
        await self.wait_connected()

    async def start_upstream(self, name: str) -> None:
        """Start an upstream process."""
        fleet = self.fleet
        await self._start_emulator(
            name,
            {
                "kind": "upstream",
                "service": fleet.service_by_endpoint[name],
                "endpoint": fleet.endpoints[name],
                "control": fleet.control_addresses[name],
                "mean_service_s": self._mean_service_s,
                "answer_bytes": self._answer_bytes,
                # The same for all: a request takes equally long on each upstream.
                "seed": derive_seed(self._seed, "service"),
            },
        )

    async def start_balancer(self, name: str) -> None:
        """Start a balancer process."""
        settings = self.fleet.balancer_settings(name)
        settings["seed"] = derive_seed(self._seed, name)
        await self._start(name, ["serve", "--settings"], settings)

    async def _start_emulator(self, name: str, settings: dict[str, Any]) -> None:
        await self._start(name, ["emulate", "--settings"], settings)

    async def _start(
        self, name: str, command: list[str], settings: dict[str, Any]
    ) -> None:
        path = Path(self._settings_folder.name) / f"{name}.yaml"
        path.write_text(yaml.safe_dump(settings), encoding="utf-8")
        process = await anyio.open_process(
            [sys.executable, "-m", "egrethook", *command, str(path)],
            stdin=None,
            stdout=None,
            start_new_session=True,
        )
        self._processes[name] = process
        self._logs[name] = []
        assert self._tasks is not None
        self._tasks.start_soon(self._collect_log, name, process)

    async def _collect_log(self, name: str, process: Process) -> None:
        assert process.stderr is not None
        partial_line = b""
        with contextlib.suppress(anyio.ClosedResourceError, anyio.BrokenResourceError):
            async for data in process.stderr:
                *lines, partial_line = (partial_line + data).split(b"\n")
                self._logs[name].extend(line.decode() for line in lines)

    # Waiting ---------------------------------------------------------------

    async def wait_for_http(self, url: str) -> None:
        """Wait until a GET request to a URL succeeds.

        Raises
        ------
        NotReadyError
            If no request succeeds within `WAIT_TIMEOUT_S`.
        """
        with anyio.move_on_after(WAIT_TIMEOUT_S):
            while True:
                with contextlib.suppress(httpx.HTTPError):
                    response = await self._client.get(url)
                    if response.is_success:
                        return
                await anyio.sleep(POLL_INTERVAL_S)
        raise NotReadyError(f"{url} did not answer within {WAIT_TIMEOUT_S:g} s")

    async def wait_ready(self, name: str) -> None:
        """Wait until a balancer is ready."""
        await self.wait_for_http(f"http://{self.fleet.vms[name]['admin']}/readyz")

    async def wait_connected(self) -> None:
        """Wait until each upstream is connected to an owner."""
        with anyio.move_on_after(WAIT_TIMEOUT_S):
            while True:
                connected = set()
                for name in self.balancers():
                    for upstream in (await self.status(name))["upstreams"]:
                        if upstream["owned"] and upstream["connected"]:
                            connected.add(upstream["name"])
                if connected >= set(self.fleet.endpoints):
                    return
                await anyio.sleep(POLL_INTERVAL_S)
        raise NotReadyError(
            f"not every upstream was connected to an owner within {WAIT_TIMEOUT_S:g} s"
        )

    def balancers(self) -> list[str]:
        """Return the names of the running balancers."""
        return [
            name
            for name in self.fleet.vms
            if name in self._processes and self._processes[name].returncode is None
        ]

    # Control ---------------------------------------------------------------

    async def status(self, name: str) -> dict[str, Any]:
        """Return the status of a balancer."""
        url = f"http://{self.fleet.vms[name]['admin']}/status"
        return (await self._client.get(url)).json()

    async def upstream_state(self, name: str) -> dict[str, Any]:
        """Return the counters and the state of an upstream."""
        url = f"http://{self.fleet.control_addresses[name]}/emulator/state"
        return (await self._client.get(url)).json()

    async def set_upstream(self, name: str, **settings: Any) -> None:
        """Change the behaviour of an upstream."""
        url = f"http://{self.fleet.control_addresses[name]}/emulator/set"
        (await self._client.post(url, json=settings)).raise_for_status()

    async def publish(
        self, values: list[dict[str, Any]], index: dict[str, Any] | None = None
    ) -> int:
        """Publish values and index changes on the platform and return the revision."""
        url = f"{self.fleet.platform_url}/emulator/publish"
        body = {"values": values, "index": index or {}}
        response = await self._client.post(url, json=body)
        response.raise_for_status()
        return response.json()["revision"]

    async def wait_revision(self, revision: int) -> None:
        """Wait until all running balancers have applied a revision."""
        with anyio.move_on_after(WAIT_TIMEOUT_S):
            while True:
                statuses = [await self.status(name) for name in self.balancers()]
                if all(status["revision"] >= revision for status in statuses):
                    return
                await anyio.sleep(POLL_INTERVAL_S)
        raise NotReadyError(
            f"revision {revision} was not applied by all balancers"
            f" within {WAIT_TIMEOUT_S:g} s"
        )

    async def leave(self, name: str) -> None:
        """Request a graceful leave of a balancer."""
        url = f"http://{self.fleet.vms[name]['admin']}/leave"
        headers = {"Authorization": f"Bearer {FLEET_SECRET}"}
        (await self._client.post(url, headers=headers)).raise_for_status()

    async def wait_exited(self, name: str, timeout_s: float = WAIT_TIMEOUT_S) -> int:
        """Wait until a process exits and return its exit status."""
        with anyio.fail_after(timeout_s):
            return await self._processes[name].wait()

    def pause(self, name: str) -> None:
        """Suspend a process with SIGSTOP."""
        os.kill(self._processes[name].pid, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        os.kill(self._processes[name].pid, signal.SIGCONT)

    async def kill(self, name: str) -> None:
        """Kill a process and wait until it has exited."""
        process = self._processes.pop(name)
        with contextlib.suppress(ProcessLookupError):
            process.kill()
        with anyio.move_on_after(EXIT_TIMEOUT_S):
            await process.aclose()
