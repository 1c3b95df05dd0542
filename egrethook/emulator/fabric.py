"""An emulated network fabric that sends each packet to a random balancer."""

from __future__ import annotations

import random
from dataclasses import dataclass
from typing import Any

import anyio
from anyio.abc import TaskGroup

from egrethook.addresses import Address
from egrethook.network import Datagrams
from egrethook.published.configuration import ConfigurationStore
from egrethook.types import VmState


@dataclass
class FabricFaults:
    """Faults that the fabric applies to packets.

    Parameters
    ----------
    loss, doubling : float
        Probabilities that a packet is lost or duplicated.
    delay_s, jitter_s : float
        Constant delay and upper bound of the additional random delay, in seconds.
    """

    loss: float = 0.0
    doubling: float = 0.0
    delay_s: float = 0.0
    jitter_s: float = 0.0


class FabricEmulator:
    """Forwards each packet from callers to a random live balancer.

    Parameters
    ----------
    datagrams : Datagrams
        Socket that callers send to.
    store : ConfigurationStore
        Configuration with the published list of balancers.
    seed : int
        Seed of all random choices.
    """

    def __init__(
        self, datagrams: Datagrams, store: ConfigurationStore, seed: int
    ) -> None:
        self._datagrams = datagrams
        self._store = store
        self._rng = random.Random(seed)
        self.faults = FabricFaults()
        self._sent = 0
        self._lost = 0

    def targets(self) -> list[Address]:
        """Return the addresses of the balancers whose published state is live."""
        configuration = self._store.configuration
        if configuration is None:
            return []
        return [
            vm.callers for vm in configuration.vms.values() if vm.state is VmState.LIVE
        ]

    def change(self, settings: dict[str, Any]) -> None:
        """Set faults by name; other names are ignored."""
        for name, value in settings.items():
            if name in vars(self.faults):
                setattr(self.faults, name, float(value))

    def state(self) -> dict[str, Any]:
        """Return the counters and the current faults."""
        return {
            "sent": self._sent,
            "lost": self._lost,
            "targets": len(self.targets()),
            **vars(self.faults),
        }

    async def run(self) -> None:
        """Forward packets until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                for data, _ in await self._datagrams.receive():
                    self._forward(data, tasks)

    def _forward(self, data: bytes, tasks: TaskGroup) -> None:
        targets = self.targets()
        copies = 2 if self._rng.random() < self.faults.doubling else 1
        for _ in range(copies):
            if not targets or self._rng.random() < self.faults.loss:
                self._lost += 1
                continue
            self._sent += 1
            target = self._rng.choice(targets)
            delay_s = self.faults.delay_s + self._rng.random() * self.faults.jitter_s
            if delay_s > 0:
                tasks.start_soon(self._deliver_late, data, target, delay_s)
            else:
                self._datagrams.send(target, data)

    async def _deliver_late(self, data: bytes, target: Address, delay_s: float) -> None:
        await anyio.sleep(delay_s)
        self._datagrams.send(target, data)
