"""A failure domain that loses the way to all upstreams that may get new flows.

Its own upstreams are evacuated and the others don't get the packets of its processes.
Gossip passes: processes send it to each other directly.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Collection, Iterable

import anyio

from egrethook.emulator.soak.fleet import SoakFleet, SoakVm
from egrethook.emulator.soak.peers import PacketUpstream, Violation
from egrethook.emulator.soak.store import StoreEmulator
from egrethook.forwarding.domain_departure import DEPARTED_SENTENCE
from egrethook.upstreams.reach_evidence import LASTING_SILENCE_S
from egrethook.upstreams.reachability import RETRY_AFTER_S

ROUTER_DELAY_S = 1.5
"""Time in which the router notices a change of readiness, in seconds."""

SLACK_S = 2.0
"""Time for openings to go unanswered and for a busy machine, in seconds."""

LEAVE_TIMEOUT_S = LASTING_SILENCE_S + ROUTER_DELAY_S + SLACK_S
"""Time in which all processes of the domain must leave the rotation, in seconds."""

RETURN_TIMEOUT_S = RETRY_AFTER_S + ROUTER_DELAY_S + SLACK_S
"""Time after the cut in which they must be back, in seconds."""

STAY_OUT_S = 3.0
"""Time for which the cut lasts after all have left, in seconds."""

CHECK_INTERVAL_S = 0.1
"""Interval between checks of the rotation, in seconds."""


class DomainCut:
    """Cuts a failure domain off and checks who leaves the rotation.

    Parameters
    ----------
    domain : str
        The failure domain.
    fleet : SoakFleet
        The processes; none is disturbed otherwise meanwhile.
    store : StoreEmulator
        The store that they read.
    upstreams : collection of PacketUpstream
        All upstreams.
    violations : list of Violation
        Violations are appended to it.
    """

    def __init__(
        self,
        domain: str,
        fleet: SoakFleet,
        store: StoreEmulator,
        upstreams: Collection[PacketUpstream],
        violations: list[Violation],
    ) -> None:
        self._domain = domain
        self._fleet = fleet
        self._store = store
        self._upstreams = upstreams
        self._violations = violations

    async def run(self) -> None:
        """Cut the domain off, end the cut, and check the rotation all the time."""
        self._check_logs(self._fleet.vms)
        inside = [vm for vm in self._fleet.vms if vm.domain == self._domain]
        self._set_cut(inside)
        await self._wait_for("leave", inside, lambda vm: not vm.in_rotation)
        await self._stay_out([vm for vm in inside if not vm.in_rotation])
        self._set_cut([])
        await self._wait_for("return", inside, lambda vm: vm.in_rotation)
        self._check_logs(vm for vm in self._fleet.vms if vm not in inside)

    def _set_cut(self, vms: Collection[SoakVm]) -> None:
        """Drop the packets of some processes; of none ends the cut."""
        key = f"op/evacuate/{self._domain}"
        if vms:
            self._store.put(key, {})
        else:
            self._store.delete(key)
        for upstream in self._upstreams:
            if upstream.domain != self._domain:
                upstream.drop_packets_of(vm.host for vm in vms)

    async def _wait_for(
        self, change: str, vms: list[SoakVm], has_changed: Callable[[SoakVm], bool]
    ) -> None:
        """Wait until all processes have changed; record a violation if they don't."""
        timeout_s = {"leave": LEAVE_TIMEOUT_S, "return": RETURN_TIMEOUT_S}[change]
        with anyio.move_on_after(timeout_s):
            while not all(has_changed(vm) for vm in vms):
                self._check_others()
                await anyio.sleep(CHECK_INTERVAL_S)
            return
        late = ", ".join(vm.name for vm in vms if not has_changed(vm))
        self._record(f"{late} did not {change} the rotation within {timeout_s:g} s")

    async def _stay_out(self, vms: list[SoakVm]) -> None:
        """Record a violation for each process that returns during the cut."""
        with anyio.move_on_after(STAY_OUT_S):
            while True:
                self._check_others()
                for vm in vms:
                    if vm.in_rotation:
                        self._record(f"{vm.name} returned during the cut")
                await anyio.sleep(CHECK_INTERVAL_S)

    def _check_others(self) -> None:
        for vm in self._fleet.vms:
            if vm.domain != self._domain and not vm.in_rotation:
                self._record(f"{vm.name} left while {self._domain} was cut off")

    def _check_logs(self, vms: Iterable[SoakVm]) -> None:
        """Record a violation for each process that left without a cut."""
        for vm in vms:
            if self._fleet.has_logged(vm, DEPARTED_SENTENCE):
                self._record(f"{vm.name} left though its domain was not cut off")

    def _record(self, what: str) -> None:
        if what not in (violation.what for violation in self._violations):
            self._violations.append(Violation(time.monotonic(), "departure", what))
