"""Checks of the system's invariants under failure.

Each check runs real balancers over a virtual network, injects failures and returns
the violations that it found. `test_always.py` expects none; `test_switched_off.py`
expects a violation when the mechanism behind the invariant is disabled.
"""

from __future__ import annotations

import random

import anyio

from egrethook.callers.client import Caller
from egrethook.emulator.layouts import Layout, ServiceLayout
from egrethook.emulator.load import Load, LoadGenerator, LoadResult
from egrethook.emulator.report import count_executions
from egrethook.emulator.virtual import VirtualFleet
from egrethook.exceptions import RequestError
from egrethook.types import UpstreamState
from egrethook.verdicts import Verdict

SMALL_LAYOUT = Layout(
    region="cornisa",
    balancers={"sala-bilbao": ("bilbao-1", "bilbao-2"), "sala-oviedo": ("oviedo-1",)},
    services=(
        ServiceLayout(
            "cartera", "cartera", ("sala-bilbao", "sala-oviedo", "sala-bilbao")
        ),
        ServiceLayout("extractos", "extractos", ("sala-oviedo",)),
    ),
    inter_domain_delay_s=0.003,
)
"""Three balancers and four upstreams.

Each failure domain has a balancer and an upstream of `cartera`, so that the other
domain can fail.
"""

SERVICE = "cartera"
PROPAGATION_LIMIT_S = 3.0
"""Limit for requirements that say "after a few seconds", in seconds."""


def find_violations(result: LoadResult, fleet: VirtualFleet) -> list[str]:
    """Return duplicate runs, false verdicts and misdelivered answers and packets.

    Runs and verdicts are checked for non-idempotent requests only; idempotent ones
    may run more than once.
    """
    upstreams = [upstream.state() for upstream in fleet.upstreams.values()]
    runs = count_executions(upstreams)
    found = []
    for key, verdict in result.non_idempotent.items():
        if runs[key] > 1:
            found.append(f"request {key[1]} ran {runs[key]} times")
        if verdict is Verdict.NOT_RUN and runs[key]:
            found.append(f"request {key[1]} ran, but was refused as not run")
        if verdict is Verdict.ANSWERED and not runs[key]:
            found.append(f"request {key[1]} was answered, but never ran")
    if result.wrong_answers:
        found.append(f"{result.wrong_answers} answers belong to another request")
    if wrong := sum(upstream["wrong_service"] for upstream in upstreams):
        found.append(f"{wrong} packets reached another service")
    return found


def broken_flows(result: LoadResult, allowed: tuple[str, ...] = ()) -> list[str]:
    """Return counts of broken flows by reason, except for the allowed error codes."""
    return [
        f"{count} flows broken: {reason}"
        for reason, count in result.flow_errors.items()
        if not any(code in reason for code in allowed)
    ]


async def flows_survive_planned_changes(seed: int) -> list[str]:
    """Check that no flow breaks while balancers and upstreams change as planned.

    Balancers receive the configuration late, and the fabric loses and duplicates
    packets.
    """
    rng = random.Random(seed)
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    async with fleet.running(), fleet.caller() as caller:
        fleet.fabric.change({"loss": 0.02, "doubling": 0.05})
        fleet.delay_configuration_reads(PROPAGATION_LIMIT_S, rng)
        load = Load(SERVICE, 5.0, 0.5, flows=12, duration_s=60.0)
        generator = LoadGenerator(caller, load, seed, reopen=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(0.5)
            fleet.add_host("cartera-new", "sala-oviedo")
            fleet.fleet.add_endpoint(SERVICE, "cartera-new", "sala-oviedo")
            fleet.start_upstream("cartera-new")
            fleet.publish_service(SERVICE)
            async with StaggeredFlows(caller, 10) as faults:
                await fleet.replace_balancer("bilbao-1", "bilbao-3")
                fleet.set_upstream_state("cartera-1", UpstreamState.DRAINING)
                await anyio.sleep(PROPAGATION_LIMIT_S)
            generator.finish()
    return broken_flows(generator.result) + faults


class StaggeredFlows:
    """Opens flows 0.2 s apart, so that new ones start at each stage of a change.

    On entry, returns the list to which broken flows are added; on exit, waits for the
    flows to end.
    """

    def __init__(self, caller: Caller, count: int) -> None:
        self._caller = caller
        self._count = count
        self._faults: list[str] = []

    async def __aenter__(self) -> list[str]:
        self._tasks = anyio.create_task_group()
        await self._tasks.__aenter__()
        for number in range(self._count):
            self._tasks.start_soon(self._run_flow, number * 0.2)
        return self._faults

    async def __aexit__(self, *exc_info: object) -> None:
        await self._tasks.__aexit__(*exc_info)

    async def _run_flow(self, after_s: float) -> None:
        await anyio.sleep(after_s)
        load = Load(SERVICE, 0.1, flows=1, duration_s=3.0)
        generator = LoadGenerator(self._caller, load, 1)
        result = await generator.run()
        self._faults += broken_flows(result)


async def packets_stay_within_their_service(seed: int) -> list[str]:
    """Check that flows do not reach a service that takes over an upstream's address.

    Packets are counted from 50 ms after every balancer has the new configuration.
    """
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    async with fleet.running(), fleet.caller() as caller:
        load = Load(SERVICE, 20.0, 0.5, flows=9, duration_s=6.0)
        generator = LoadGenerator(caller, load, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(1.0)
            revision = fleet.reassign_addresses("cartera-1", "extractos", "extractos-2")
            await fleet.wait_until(lambda: fleet.is_applied(revision))
            await anyio.sleep(0.05)
            new_upstream = fleet.upstreams["extractos-2"].counts
            before = new_upstream.wrong_service
            await anyio.sleep(2.0)
    found = broken_flows(generator.result, ("upstream-gone",))
    if misdelivered := new_upstream.wrong_service - before:
        found.append(f"{misdelivered} packets of cartera reached extractos")
    if generator.result.wrong_answers:
        found.append("a request got the answer to another request")
    if not generator.result.flow_errors:
        found.append("no flow was open at the reassigned upstream")
    return found


async def cold_upstreams_are_not_overloaded(seed: int) -> list[str]:
    """Check the load on an upstream that turns cold and on a newly started one."""
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    found = []
    async with fleet.running(), fleet.caller() as caller:
        load = Load(SERVICE, 100.0, 1.0, flows=5, duration_s=6.0)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(LoadGenerator(caller, load, seed, reopen=True).run)
            await anyio.sleep(2.0)
            fleet.upstreams["cartera-1"].change({"cold": True})
            fleet.add_host("cartera-new", "sala-bilbao")
            fleet.fleet.add_endpoint(SERVICE, "cartera-new", "sala-bilbao")
            fleet.start_upstream("cartera-new")
            fleet.publish_service(SERVICE)
        new_upstream = fleet.upstreams["cartera-new"].counts
        if new_upstream.overloads:
            found.append(
                f"a new upstream was overloaded {new_upstream.overloads} times"
            )
        if not new_upstream.answered:
            found.append("a new upstream answered no request")
        # Requests already sent when the upstream turns cold, at most one for each of
        # its two slots, cannot be held back.
        turned_cold = fleet.upstreams["cartera-1"].counts
        if turned_cold.overloads > 2:
            found.append(
                f"a cold upstream was overloaded {turned_cold.overloads} times"
            )
    return found


async def out_of_service_domain_gets_no_packets(seed: int) -> list[str]:
    """Check that a domain taken out of service gets no packets after a few seconds.

    One balancer cannot reach the platform and learns of the change from its peers.
    """
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    found = []
    async with fleet.running(), fleet.caller() as caller:
        load = Load(SERVICE, 30.0, 0.5, flows=10, duration_s=8.0)
        generator = LoadGenerator(caller, load, seed, reopen=True)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(1.0)
            platform = fleet.network.host_of(fleet.fleet.platform)
            fleet.network.block(fleet.host("bilbao-2"), platform)
            fleet.set_domain_in_service("sala-oviedo", False)
            await anyio.sleep(PROPAGATION_LIMIT_S)
            before = _received_work(fleet, "cartera-2")
            await anyio.sleep(2.0)
            if late := _received_work(fleet, "cartera-2") - before:
                found.append(
                    f"{late} packets or requests reached a domain out of service"
                    f" after {PROPAGATION_LIMIT_S:g} s"
                )
            generator.finish()
    return (
        found
        + find_violations(generator.result, fleet)
        + broken_flows(generator.result, ("domain-out",))
    )


def _received_work(fleet: VirtualFleet, name: str) -> int:
    """Return the number of flow packets received plus requests run by an upstream."""
    counts = fleet.upstreams[name].counts
    return counts.flow_packets + counts.executed.total()


async def answers_are_complete_and_match_requests(seed: int) -> list[str]:
    """Check long answers while packets are lost, delayed and duplicated."""
    fleet = VirtualFleet(SMALL_LAYOUT, seed, mean_service_s=0.02, answer_bytes=60_000)
    found: list[str] = []

    async def send_request(caller: Caller, number: int) -> None:
        payload = f"<{number}>".encode()
        try:
            answer = await caller.request(
                SERVICE, payload, idempotent=number % 2 == 0, deadline_s=8.0
            )
        except RequestError as error:
            found.append(f"request {number}: {error}")
            return
        # The emulated upstream answers with its name, the caller's id and the request's
        # number, followed by repetitions of `PAYLOAD@NAME `.
        name, caller_id, request_number, rest = answer.payload.split(b" ", 3)
        unit = payload + b"@" + name + b" "
        if int(request_number) != answer.number or int(caller_id) != caller.caller_id:
            found.append(f"request {number} got the answer to another request")
        if rest != unit * (len(rest) // len(unit)) or len(rest) < 59_000:
            found.append(f"request {number} got an incomplete or mixed answer")

    async with fleet.running(), fleet.caller() as caller:
        fleet.fabric.change({"loss": 0.05, "doubling": 0.2, "jitter_s": 0.05})
        fleet.network.loss, fleet.network.doubling = 0.02, 0.1
        fleet.network.jitter_s = 0.02
        async with anyio.create_task_group() as tasks:
            for number in range(30):
                tasks.start_soon(send_request, caller, number)
                await anyio.sleep(0.05)
    return found


async def requests_run_at_most_once(seed: int) -> list[str]:
    """Check that no request runs twice while duplicates of it are in flight.

    A balancer crashes and restarts, another leaves, an upstream goes silent and a
    failure domain is partitioned.
    """
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    async with fleet.running(), fleet.caller() as caller:
        fleet.fabric.change({"loss": 0.05, "doubling": 0.3, "jitter_s": 0.1})
        fleet.network.loss = 0.02
        load = Load(SERVICE, 40.0, 0.0, flows=0, duration_s=9.0)
        generator = LoadGenerator(caller, load, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(1.0)
            fleet.kill_balancer("bilbao-1")
            fleet.upstreams["cartera-2"].change({"silent": True})
            await anyio.sleep(1.0)
            fleet.network.partition("sala-oviedo")
            await anyio.sleep(2.0)
            fleet.network.heal()
            fleet.start_balancer("bilbao-1")
            fleet.upstreams["cartera-2"].change({"silent": False})
            await anyio.sleep(1.0)
            await fleet.replace_balancer("bilbao-2", "bilbao-4")
    found = find_violations(generator.result, fleet)
    if generator.result.outcomes[Verdict.ANSWERED.name] < 100:
        found.append("fewer than 100 requests were answered")
    return found


async def draining_upstreams_get_no_new_work(seed: int) -> list[str]:
    """Check that draining upstreams get no new work after a few seconds.

    One drains by a published state, the other by its load report while the platform
    is down.
    """
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    found = []
    async with fleet.running(), fleet.caller() as caller:
        load = Load(SERVICE, 40.0, 1.0, flows=8, duration_s=9.0)
        generator = LoadGenerator(caller, load, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(1.0)
            fleet.set_upstream_state("cartera-1", UpstreamState.DRAINING)
            await anyio.sleep(1.0)
            fleet.platform.set_mode({"down": True})
            fleet.upstreams["cartera-3"].change({"drain": True})
            await anyio.sleep(PROPAGATION_LIMIT_S)
            before = [_new_work_counts(fleet, n) for n in ("cartera-1", "cartera-3")]
            await anyio.sleep(2.0)
            after = [_new_work_counts(fleet, n) for n in ("cartera-1", "cartera-3")]
        if before != after:
            found.append(
                f"new work after {PROPAGATION_LIMIT_S:g} s: {before}, then {after}"
            )
    return (
        found
        + broken_flows(generator.result)
        + find_violations(generator.result, fleet)
    )


def _new_work_counts(fleet: VirtualFleet, name: str) -> tuple[int, int]:
    """Return how many requests and flows an upstream has received."""
    upstream = fleet.upstreams[name]
    counts = upstream.counts
    return counts.executed.total() + counts.shed, len(upstream.state()["flows_seen"])


async def graceful_leave_fails_no_request(seed: int) -> list[str]:
    """Check that requests and flows survive the graceful leave of each balancer."""
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    async with fleet.running(), fleet.caller() as caller:
        load = Load(SERVICE, 60.0, 0.3, flows=5, duration_s=60.0)
        generator = LoadGenerator(caller, load, seed)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(generator.run)
            await anyio.sleep(1.0)
            for number, old in enumerate(("bilbao-1", "bilbao-2", "oviedo-1")):
                await fleet.replace_balancer(old, f"vm-{number}")
            generator.finish()
    result = generator.result
    found = [
        f"{count} requests failed: {why}" for why, count in result.refusals.items()
    ]
    return found + broken_flows(result) + find_violations(result, fleet)


async def configuration_converges_and_never_reverts(seed: int) -> list[str]:
    """Check that publications reach every balancer and no balancer reverts one.

    Operators publish in quick succession, the platform serves stale values and goes
    down, and one balancer cannot reach it.
    """
    fleet = VirtualFleet(SMALL_LAYOUT, seed)
    found: list[str] = []
    highest: dict[str, int] = {}

    def check_revision(name: str, revision: int) -> None:
        if revision < highest.get(name, 0):
            found.append(f"{name} reverted from {highest[name]} to {revision}")
        highest[name] = max(revision, highest.get(name, 0))

    async def poll_revisions() -> None:
        while True:
            for name, balancer in fleet.balancers.items():
                check_revision(name, balancer.store.revision)
            await anyio.sleep(0.01)

    async with fleet.running(), anyio.create_task_group() as tasks:
        tasks.start_soon(poll_revisions)
        platform = fleet.network.host_of(fleet.fleet.platform)
        fleet.network.block(fleet.host("oviedo-1"), platform)
        for preset in ("peak", "maintenance", "ordinary", "peak"):
            revision = fleet.platform.publish([], {"preset": preset})
        took_s = await fleet.wait_until(lambda: fleet.is_applied(revision))
        if took_s > PROPAGATION_LIMIT_S:
            found.append(f"revision {revision} in force after {took_s:.1f} s")
        presets = {b.store.configuration.preset for b in fleet.balancers.values()}
        if presets != {"peak"}:
            found.append(f"presets in force: {presets}, expected peak")
        fleet.platform.set_mode({"stale_by": 3})
        await anyio.sleep(2.0)
        fleet.platform.set_mode({"stale_by": 1})
        fleet.platform.publish([], {"preset": "ordinary"})
        await anyio.sleep(2.0)
        fleet.platform.set_mode({"stale_by": 0, "down": True})
        await anyio.sleep(2.0)
        fleet.platform.set_mode({"down": False})
        await anyio.sleep(PROPAGATION_LIMIT_S)
        presets = {b.store.configuration.preset for b in fleet.balancers.values()}
        if presets != {"ordinary"}:
            found.append(f"presets after the outage: {presets}, expected ordinary")
        tasks.cancel_scope.cancel()
    return found
