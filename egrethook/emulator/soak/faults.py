"""The faults of a soak, and the upstreams that some of them exclude from openings."""

from __future__ import annotations

import random
import signal
import time
from collections.abc import Callable, Coroutine, Mapping
from dataclasses import dataclass
from typing import Any

import anyio

from egrethook.emulator.soak.fleet import (
    DISTURBANCE_GRACE_S,
    SoakFleet,
    SoakVm,
    sample_vms,
)
from egrethook.emulator.soak.peers import PacketUpstream, Violation
from egrethook.emulator.soak.proxy import ProxyMode
from egrethook.emulator.soak.store import StoreEmulator

DOMAINS = ("zone-a", "zone-b", "zone-c")

DRAIN_TIMEOUT_S = 3.0
"""Time after which a draining upstream must get no openings, in seconds."""

EVACUATION_TIMEOUT_S = 5.0
"""Time after which an evacuated failure domain must get no openings, in seconds."""

CONFIGURATION_TIMEOUT_S = 3.0
"""Time after which a new configuration must be in force, in seconds."""

COPY_AGE_RANGE_S = (1.0, 8.0)
"""Age of a copy to which the store comes back, in seconds."""

REWRITE_DELAY_MAX_S = 2.0
"""Longest time after which lost items are written again, in seconds."""


_STORE_RETURN = "store return"
"""Marks in `SoakFaults` that the store is coming back from a copy."""


@dataclass(frozen=True)
class _Exclusion:
    """Upstreams that must get no openings between two times."""

    rule: str
    names: frozenset[str]
    since: float
    until: float


def register_upstream(
    store: StoreEmulator, upstream: PacketUpstream, state: str
) -> None:
    """Write the record of an upstream."""
    upstream.record_writes += 1
    store.put(
        f"servers/{upstream.name}",
        {
            "service": upstream.service,
            "address": str(upstream.address),
            "zone": upstream.domain,
            "version": "1",
            "concurrency": 2,
            "state": state,
            "warmupLeftMs": 0,
            "sequence": upstream.record_writes,
            "born": upstream.started_ms,
        },
    )


class SoakFaults:
    """Disturbs the processes, their connections, the store and the upstreams.

    Parameters
    ----------
    rng : random.Random
        Chooses what is disturbed and for how long.
    fleet : SoakFleet
        The processes.
    store : StoreEmulator
        The store that they read.
    upstreams : mapping of str to PacketUpstream
        The upstreams by name.
    publish_routes : callable
        Writes a new version of the configuration, and returns its number.
    """

    def __init__(
        self,
        rng: random.Random,
        fleet: SoakFleet,
        store: StoreEmulator,
        upstreams: Mapping[str, PacketUpstream],
        publish_routes: Callable[[], int],
    ) -> None:
        self._rng = rng
        self._fleet = fleet
        self._store = store
        self._upstreams = upstreams
        self._publish_routes = publish_routes
        self._exclusions: list[_Exclusion] = []
        # Names of draining upstreams, keys of evacuations and `_STORE_RETURN`.
        self._in_force: set[str] = set()

    @property
    def kinds(self) -> list[tuple[str, Callable[[], Coroutine[Any, Any, None]]]]:
        """Name and function of each kind of fault."""
        return [
            ("kill", self._kill_vm),
            ("kill many", self._kill_most_vms),
            ("pause", self._pause_vm),
            ("terminate", self._terminate_vm),
            ("reload", self._reload_settings),
            ("proxies delay", lambda: self._disturb_some_proxies(ProxyMode.DELAY)),
            ("proxies reset", lambda: self._disturb_some_proxies(ProxyMode.RESET)),
            ("proxies one way", lambda: self._disturb_some_proxies(ProxyMode.ONE_WAY)),
            ("proxies silent", lambda: self._disturb_some_proxies(ProxyMode.SILENT)),
            ("store unreachable", self._cut_off_store),
            ("store history lost", self._lose_store_history),
            ("store from a copy", self._return_store_to_copy),
            ("configuration", self._change_configuration),
            ("upstream draining", self._drain_upstream),
            ("upstream unresponsive", self._silence_upstream),
            ("domain evacuated", self._evacuate_domain),
        ]

    def _random_vm(self) -> SoakVm:
        return self._rng.choice(self._fleet.vms)

    async def _kill_vm(self) -> None:
        await self._kill_and_restart([self._random_vm()])

    async def _kill_most_vms(self) -> None:
        await self._kill_and_restart(sample_vms(self._rng, self._fleet.vms, 0.7))

    async def _kill_and_restart(self, vms: list[SoakVm]) -> None:
        running = [vm for vm in vms if not vm.expected_down]
        for vm in running:
            self._fleet.kill(vm)
        await anyio.sleep(self._rng.uniform(0.2, 1.5))
        for vm in running:
            self._fleet.start(vm)

    async def _pause_vm(self) -> None:
        vm = self._random_vm()
        vm.mark_disturbed()
        self._fleet.signal(vm, signal.SIGSTOP)
        await anyio.sleep(self._rng.uniform(0.5, 3.0))
        self._fleet.signal(vm, signal.SIGCONT)
        vm.mark_disturbed()

    async def _terminate_vm(self) -> None:
        vm = self._random_vm()
        if vm.expected_down:
            return
        await self._fleet.terminate(vm)
        self._fleet.start(vm)

    async def _reload_settings(self) -> None:
        for vm in sample_vms(self._rng, self._fleet.vms, 0.5):
            self._fleet.write_settings(vm, flow_limit=self._rng.randrange(2, 6))
            if self._rng.random() < 0.5:
                self._fleet.signal(vm, signal.SIGHUP)

    async def _disturb_some_proxies(self, mode: ProxyMode) -> None:
        chosen = sample_vms(self._rng, self._fleet.vms, self._rng.choice((0.2, 0.6)))
        await self._apply_proxy_mode(chosen, mode)

    async def _cut_off_store(self) -> None:
        await self._apply_proxy_mode(self._fleet.vms, ProxyMode.RESET)

    async def _apply_proxy_mode(self, vms: list[SoakVm], mode: ProxyMode) -> None:
        for vm in vms:
            vm.mark_disturbed()
            await vm.proxy.set_mode(mode)
        await anyio.sleep(self._rng.uniform(1.0, 4.0))
        for vm in vms:
            await vm.proxy.set_mode(ProxyMode.PASS)
            vm.mark_disturbed()

    async def _lose_store_history(self) -> None:
        self._store.clear_history()

    async def _return_store_to_copy(self) -> None:
        """Let the store be away and come back from an older copy.

        What it has lost is written again; a configuration follows, which all VMs must
        then have in time.
        """
        if _STORE_RETURN in self._in_force:
            return
        self._in_force.add(_STORE_RETURN)
        copy = self._store.copy()
        await anyio.sleep(self._rng.uniform(*COPY_AGE_RANGE_S))
        await self._set_all_proxies(ProxyMode.RESET)
        await anyio.sleep(1.0)
        self._store.come_back(copy)
        await self._set_all_proxies(ProxyMode.PASS)
        await anyio.sleep(self._rng.choice((0.0, 1.0)) * REWRITE_DELAY_MAX_S)
        self._write_lost_items()
        await anyio.sleep(DISTURBANCE_GRACE_S)
        version = self._publish_routes()
        await anyio.sleep(CONFIGURATION_TIMEOUT_S)
        await self._fleet.check_configuration(version)
        self._in_force.remove(_STORE_RETURN)

    async def _set_all_proxies(self, mode: ProxyMode) -> None:
        for vm in self._fleet.vms:
            await vm.proxy.set_mode(mode)
            vm.mark_disturbed()

    def _write_lost_items(self) -> None:
        """Write what the store has lost, as operators and upstreams do."""
        for key in self._store.lost_keys():
            written = self._store.written(key)
            name = key.removeprefix("servers/")
            if name in self._upstreams:
                register_upstream(self._store, self._upstreams[name], written["state"])
            elif written is None:
                self._store.delete(key)
            else:
                self._store.put(key, written)

    async def _change_configuration(self) -> None:
        self._publish_routes()

    def _choose_spare_upstream(self) -> PacketUpstream | None:
        """Return a random upstream that its service can spare, or None.

        At least two other upstreams of the service must respond.
        """
        for upstream in self._rng.sample(
            list(self._upstreams.values()), len(self._upstreams)
        ):
            responsive = [
                other
                for other in self._upstreams.values()
                if other.service == upstream.service and not other.unresponsive
            ]
            if len(responsive) > 2 and upstream in responsive:
                return upstream
        return None

    async def _drain_upstream(self) -> None:
        upstream = self._choose_spare_upstream()
        if upstream is None or upstream.name in self._in_force:
            return
        self._in_force.add(upstream.name)
        register_upstream(self._store, upstream, "draining")
        since = time.monotonic() + DRAIN_TIMEOUT_S
        await anyio.sleep(DRAIN_TIMEOUT_S + 3.0)
        self._record_exclusion("drain", {upstream.name}, since)
        self._in_force.remove(upstream.name)
        register_upstream(self._store, upstream, "ready")

    async def _silence_upstream(self) -> None:
        upstream = self._choose_spare_upstream()
        if upstream is None:
            return
        upstream.unresponsive = True
        await anyio.sleep(self._rng.uniform(1.0, 4.0))
        upstream.unresponsive = False

    async def _evacuate_domain(self) -> None:
        domain = self._rng.choice(DOMAINS)
        key = f"op/evacuate/{domain}"
        if key in self._in_force:
            return
        self._in_force.add(key)
        self._store.put(key, {})
        since = time.monotonic() + EVACUATION_TIMEOUT_S
        names = {
            upstream.name
            for upstream in self._upstreams.values()
            if upstream.domain == domain
        }
        await anyio.sleep(EVACUATION_TIMEOUT_S + 3.0)
        self._record_exclusion("evacuation", names, since)
        self._in_force.remove(key)
        self._store.delete(key)

    def _record_exclusion(self, rule: str, names: set[str], since: float) -> None:
        """Exclude upstreams from openings from a time in the past until now."""
        until = time.monotonic()
        self._exclusions.append(_Exclusion(rule, frozenset(names), since, until))

    def exclusion_violations(self) -> list[Violation]:
        """Return a violation for each opening that an excluded upstream got.

        Openings through a VM that was disturbed shortly before or later do not count.
        """
        violations = []
        by_host = {vm.host: vm for vm in self._fleet.vms}
        for exclusion in self._exclusions:
            for name in exclusion.names:
                for at, host in self._upstreams[name].openings:
                    is_excluded = exclusion.since < at < exclusion.until
                    if is_excluded and by_host[host].undisturbed_since(at):
                        what = f"{name} got an opening through {by_host[host].name}"
                        what += f" {at - exclusion.since:.1f} s after the timeout"
                        violations.append(Violation(at, exclusion.rule, what))
        return violations
