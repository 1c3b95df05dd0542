"""Several balancers together on a virtual network, under faults.

Guards against requests or flows that are lost when a balancer, an upstream, the
platform or a part of the network fails.
"""

from __future__ import annotations

import anyio
import pytest
from proofs import SERVICE, SMALL_LAYOUT

from egrethook.callers.messages import CALLER_CODEC
from egrethook.callers.packets import Data
from egrethook.emulator.layouts import LAYOUTS
from egrethook.emulator.load import Load, LoadGenerator
from egrethook.emulator.virtual import VirtualFleet, run_virtual
from egrethook.exceptions import RequestError
from egrethook.types import UpstreamState
from egrethook.verdicts import Verdict


def run_with_seed(function, *args, seed: int = 1):
    return run_virtual(function, *args, seed=seed)


def test_flow_packet_sent_to_any_balancer_reaches_its_upstream():
    async def spray() -> None:
        fleet = VirtualFleet(LAYOUTS["cantabrico"], 1)
        async with fleet.running(), fleet.caller() as caller:
            assert len(fleet.balancers) == 6
            async with caller.open_flow(SERVICE) as flow:
                await flow.exchange(b"first")
                (holder,) = [u for u in fleet.upstreams.values() if u.state()["flows"]]
                for sequence, balancer in enumerate(fleet.balancers.values(), 2):
                    before = holder.counts.flow_packets
                    data = Data(flow._token, flow._number, sequence, b"x")
                    balancer._front.handle(CALLER_CODEC.encode(data))
                    await anyio.sleep(0.05)
                    assert holder.counts.flow_packets == before + 1

    run_with_seed(spray)


def test_new_balancer_gets_its_configuration_from_peers_without_platform():
    async def join() -> None:
        fleet = VirtualFleet(SMALL_LAYOUT, 1)
        async with fleet.running():
            fleet.add_host("bilbao-new", "sala-bilbao")
            fleet.fleet.add_vm("bilbao-new", "sala-bilbao")
            domain = fleet.fleet.vms_value("sala-bilbao")
            revision = fleet.platform.publish([domain], {})
            await fleet.wait_until(lambda: fleet.is_applied(revision))
            fleet.platform.set_mode({"down": True})
            fleet.start_balancer("bilbao-new", ("bilbao-1", "oviedo-1"))
            await fleet.wait_until(lambda: "bilbao-new" in fleet.balancers)
            new = fleet.balancers["bilbao-new"]
            await fleet.wait_until(lambda: new.ready)
            assert new.store.revision == revision

    run_with_seed(join)


def test_balancer_without_platform_and_peers_refuses_with_may_have_run():
    async def ask() -> Verdict:
        fleet = VirtualFleet(SMALL_LAYOUT, 1)
        async with fleet.running(), fleet.caller() as caller:
            fleet.platform.set_mode({"down": True})
            fleet.add_host("lonely", "sala-bilbao")
            fleet.fleet.add_vm("lonely", "sala-bilbao")
            fleet.start_balancer("lonely")
            await fleet.wait_until(lambda: "lonely" in fleet.balancers)
            vm = fleet.fleet.vms["lonely"]
            host, port = vm["callers"].split(":")
            caller._fabric = type(caller._fabric)(host, int(port))
            with pytest.raises(RequestError) as error:
                await caller.request(SERVICE, deadline_s=1.0)
            assert "no-configuration" in str(error.value)
            return error.value.outcome.verdict

    assert run_with_seed(ask) is Verdict.MAY_HAVE_RUN


def test_idempotent_requests_on_a_silent_connection_are_retried():
    async def silence() -> None:
        fleet = VirtualFleet(SMALL_LAYOUT, 2)
        async with fleet.running(), fleet.caller() as caller:
            load = Load(SERVICE, 20.0, 1.0, flows=0, duration_s=3.0, deadline_s=6.0)
            generator = LoadGenerator(caller, load, 2)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generator.run)
                await anyio.sleep(1.0)
                fleet.upstreams["cartera-1"].change({"silent": True})
            assert generator.result.refusals == {}
            links = [
                link
                for balancer in fleet.balancers.values()
                for link, _ in balancer._links._links.values()
            ]
            assert sum(link.losses for link in links) >= 1

    run_with_seed(silence)


def test_partitioned_failure_domains_keep_serving():
    async def cut() -> None:
        fleet = VirtualFleet(SMALL_LAYOUT, 3)
        async with fleet.running(), fleet.caller() as caller:
            load = Load(SERVICE, 30.0, 1.0, flows=4, duration_s=12.0, deadline_s=4.0)
            generator = LoadGenerator(caller, load, 3, reopen=True)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generator.run)
                await anyio.sleep(2.0)
                fleet.network.partition("sala-oviedo")
                await anyio.sleep(6.0)
                fleet.network.heal()
            answered = generator.result.outcomes[Verdict.ANSWERED.name]
            total = generator.result.outcomes.total()
            assert answered / total >= 0.99
            assert all(b.ready for b in fleet.balancers.values())

    run_with_seed(cut)


def test_death_of_an_owner_loses_no_request_or_flow():
    async def kill() -> None:
        fleet = VirtualFleet(SMALL_LAYOUT, 4)
        async with fleet.running(), fleet.caller() as caller:
            load = Load(SERVICE, 30.0, 1.0, flows=6, duration_s=6.0, deadline_s=4.0)
            generator = LoadGenerator(caller, load, 4)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generator.run)
                await anyio.sleep(2.0)
                fleet.kill_balancer("bilbao-2")
            assert generator.result.refusals == {}
            assert generator.result.flow_errors == {}
            assert generator.result.longest_gap_s() < 1.0
            assert fleet.upstreams_connected()

    run_with_seed(kill)


def test_draining_a_loaded_upstream_loses_no_request():
    async def drain() -> None:
        fleet = VirtualFleet(SMALL_LAYOUT, 5)
        async with fleet.running(), fleet.caller() as caller:
            load = Load(SERVICE, 110.0, 0.3, flows=4, duration_s=8.0)
            generator = LoadGenerator(caller, load, 5)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(generator.run)
                await anyio.sleep(4.0)
                fleet.upstreams["cartera-1"].change({"drain": True})
                await anyio.sleep(0.5)
                fleet.set_upstream_state("cartera-1", UpstreamState.DRAINING)
            assert generator.result.refusals == {}
            assert generator.result.flow_errors == {}

    run_with_seed(drain)
