"""Speed reports between balancers.

The tests guard against a fresh balancer that knows nothing of slow upstreams, against
reports that cost more bytes than control traffic may, and against one balancer whose
wrong reports take an upstream out of use.
"""

from __future__ import annotations

import random

import pytest
from process_harness import free_port

from egrethook.addresses import Address
from egrethook.balancers.gossip import GOSSIP_INTERVAL_S, Gossip
from egrethook.balancers.gossip_codec import MemberInfo, SpeedReport, decode, encode
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.balancers.speed_exchange import (
    ANSWER_BURST,
    ASK_INTERVAL_S,
    POLL_INTERVAL_S,
    REPORT_INTERVAL_S,
    REPORT_MAX_ESTIMATES,
    ReportSelection,
    SpeedExchange,
)
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.replica import Replica
from egrethook.emulator.builders import ManualClock
from egrethook.emulator.flow_records import InMemoryDecoder
from egrethook.exceptions import BadMessageError
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.forwarding.tasks import ForwarderTasks
from egrethook.line_log import LineLog
from egrethook.platform.packet_header import PacketHeader
from egrethook.upstreams.peer_speeds import (
    MAX_REPORTERS,
    MAX_UPSTREAMS,
    REPORT_LIFE_S,
    SINGLE_REPORTER_MAX_FACTOR,
    PeerSpeeds,
)
from egrethook.upstreams.speeds import SpeedEstimate

CONTROL_BYTES_PER_S = 6_000
SPEED_BYTES_PER_S = 500
STEP_S = 0.05
DOMAINS = ("zone-a", "zone-b", "zone-c")


class FakeSpeeds:
    """Holds fixed own estimates and the last estimate of other balancers."""

    def __init__(self):
        self.own = {}
        self.from_peers = {}

    def own_estimates(self, now):
        return [SpeedEstimate(*item, 10.0) for item in self.own.items()]

    def apply_peer_estimates(self, estimates, now):
        self.from_peers |= {one.token: one.time_factor for one in estimates}


class Vm:
    """A balancer's gossip and speed exchange on a shared network."""

    def __init__(self, fleet, number, incarnation=1):
        self.address = Address(f"10.0.{number // 250}.{number % 250 + 1}", 7000)
        self.domain = DOMAINS[number % 3]
        self.rng = random.Random(f"{number}/{incarnation}")
        own = MemberInfo(self.address, self.domain, incarnation, 0)
        seeds = [Address(f"10.0.0.{seed}", 7000) for seed in (1, 2, 3)]
        self.members = GossipMembers(own, seeds, self.rng)
        self.socket = FleetSocket(fleet, self.address)
        replica = Replica(lambda items, previous_revision: None)
        self.gossip = Gossip(
            self.socket,
            self.members,
            replica,
            fleet.clock,
            self.rng,
            None,
            lambda token, observation: None,
        )
        self.speeds = FakeSpeeds()
        self.exchange = SpeedExchange(
            self.gossip, self.members, self.speeds, str, fleet.clock, self.rng
        )
        self.gossip.set_handler(SpeedReport, self.exchange.handle)
        self.next_round_at = fleet.clock.now() + self.rng.uniform(0, GOSSIP_INTERVAL_S)
        self.next_exchange_at = fleet.clock.now()

    def step(self, now):
        if now >= self.next_round_at:
            self.gossip._send_round()
            self.next_round_at += GOSSIP_INTERVAL_S
        if now >= self.next_exchange_at:
            self.next_exchange_at = now + self.exchange_step()

    def exchange_step(self):
        if self.exchange._asks_left:
            return ASK_INTERVAL_S if self.exchange.ask() else POLL_INTERVAL_S
        self.exchange.report()
        return REPORT_INTERVAL_S


class FleetSocket:
    def __init__(self, fleet, address):
        self.fleet, self.address = fleet, address

    def send(self, target, data):
        self.fleet.in_flight.append((self.address, target, data))


class Fleet:
    """Balancers that exchange datagrams, of which a share may be lost."""

    def __init__(self, size, loss_share=0.0):
        self.clock = ManualClock()
        self.rng = random.Random(size)
        self.loss_share = loss_share
        self.in_flight = []
        self.vms = {}
        for number in range(size):
            self.start(number)

    def start(self, number, incarnation=1):
        vm = Vm(self, number, incarnation)
        self.vms[vm.address] = vm
        return vm

    def run(self, seconds):
        for _ in range(round(seconds / STEP_S)):
            self.clock.advance(STEP_S)
            for vm in self.vms.values():
                vm.step(self.clock.now())
            in_flight, self.in_flight = self.in_flight, []
            while in_flight:
                for source, target, data in in_flight:
                    if target in self.vms and self.rng.random() >= self.loss_share:
                        self.vms[target].gossip._handle(data, source)
                in_flight, self.in_flight = self.in_flight, []

    def domain(self, name):
        return [vm for vm in self.vms.values() if vm.domain == name]


SLOW = {101: 4.8, 102: 1.7, 103: 1.0, 104: 0.6}


def informed_fleet(size=12, **options):
    fleet = Fleet(size, **options)
    for vm in fleet.vms.values():
        vm.speeds.own = dict(SLOW)
    return fleet


@pytest.mark.parametrize("size", [60, 195, 300])
def test_control_traffic_stays_within_its_bound(size):
    """Each VM differs on 600 upstreams, and a tenth of the VMs has just started."""
    fleet = Fleet(size)
    for vm in fleet.vms.values():
        vm.speeds.own = {n: vm.rng.uniform(0.3, 4.0) for n in range(1, 601)}
    fleet.run(3.0)
    before = {
        address: (vm.gossip.bytes_sent, vm.exchange.bytes_sent)
        for address, vm in fleet.vms.items()
    }
    for number in range(0, size, 10):
        vm = fleet.start(number, incarnation=2)
        before[vm.address] = 0, 0
    fleet.run(10.0)
    sent = [
        (vm.gossip.bytes_sent - before[a][0], vm.exchange.bytes_sent - before[a][1])
        for a, vm in fleet.vms.items()
    ]
    assert max(total for total, _ in sent) < CONTROL_BYTES_PER_S * 10
    assert max(speeds for _, speeds in sent) < SPEED_BYTES_PER_S * 10
    assert min(speeds for _, speeds in sent) > 0


def test_restarted_vm_learns_speeds_within_a_second():
    fleet = informed_fleet()
    fleet.run(4.0)
    vm = fleet.start(4, incarnation=2)
    fleet.run(1.0)
    learned = vm.speeds.from_peers
    assert learned[101] == pytest.approx(4.8)
    assert learned[102] == pytest.approx(1.7)
    assert learned[104] == pytest.approx(0.6)
    assert 103 not in learned


def test_without_asking_a_restarted_vm_learns_later():
    fleet = informed_fleet()
    fleet.run(4.0)
    vm = fleet.start(4, incarnation=2)
    vm.exchange._asks_left = 0
    fleet.run(0.3)
    assert vm.speeds.from_peers == {}


def test_answer_holds_what_the_asked_vm_heard_from_others():
    """The VM that is asked has no answers of its own."""
    fleet = informed_fleet()
    asked = fleet.domain("zone-b")[0]
    asked.speeds.own = {}
    fleet.run(5.0)
    fleet.in_flight.clear()
    asked.exchange.handle(SpeedReport((), asks=True), Address("10.0.0.99", 7000))
    ((_, _, data),) = fleet.in_flight
    tokens = {one.token for one in decode(data).estimates}
    assert tokens == {101, 102, 104}


def test_fresh_vm_alone_in_its_domain_asks_the_others():
    fleet = Fleet(0)
    for number in (0, 1, 3, 4):
        fleet.start(number).speeds.own = dict(SLOW)
    fleet.run(3.0)
    vm = fleet.start(2)
    fleet.run(1.0)
    assert set(vm.speeds.from_peers) == {101, 102, 104}


def test_reports_stay_within_the_failure_domain():
    fleet = informed_fleet()
    for vm in fleet.domain("zone-a"):
        vm.speeds.own = {}
    for vm in fleet.vms.values():
        vm.exchange._asks_left = 0
    fleet.run(6.0)
    assert all(vm.speeds.from_peers == {} for vm in fleet.domain("zone-a"))
    assert all(vm.speeds.from_peers for vm in fleet.domain("zone-b"))


def test_half_of_all_datagrams_lost_delays_reports_only():
    fleet = informed_fleet(loss_share=0.5)
    fleet.run(8.0)
    for vm in fleet.vms.values():
        assert vm.speeds.from_peers[101] == pytest.approx(4.8)


def test_everyone_restarts_at_once_and_nobody_knows_anything():
    fleet = Fleet(60)
    fleet.run(5.0)
    for vm in fleet.vms.values():
        assert not vm.exchange._asks_left
        assert vm.exchange.received == 0


def test_upstream_that_is_normal_again_is_reported_so_and_then_left_out():
    selection = ReportSelection()
    selection.next_report([SpeedEstimate(1, 3.0, 10.0)], 0.0)
    normal = [SpeedEstimate(1, 1.0, 10.0)]
    assert selection.next_report(normal, 1.0) == tuple(normal)
    assert selection.next_report(normal, REPORT_LIFE_S + 1.0) == ()


def test_estimates_on_few_answers_or_near_one_are_not_reported():
    estimates = [SpeedEstimate(1, 3.0, 2.0), SpeedEstimate(2, 1.1, 10.0)]
    assert ReportSelection().next_report(estimates, 0.0) == ()


def test_all_clear_differences_are_reported_in_turn():
    estimates = [SpeedEstimate(token, 3.0, 10.0) for token in range(1, 2_001)]
    selection = ReportSelection()
    rounds = -(-2_000 // REPORT_MAX_ESTIMATES) + 8
    reported = set()
    for number in range(rounds):
        report = selection.next_report(estimates, number / 100)
        assert len(report) == REPORT_MAX_ESTIMATES
        reported |= {one.token for one in report}
    assert len(reported) == 2_000


def test_extreme_estimates_are_sent_within_the_range_of_a_message():
    """A value out of range would end the whole report."""
    estimates = [SpeedEstimate(1, 1e9, 1e12), SpeedEstimate(2, 1e-9, 10.0)]
    report = ReportSelection().next_report(estimates, 0.0)
    assert len(decode(encode(SpeedReport(report))).estimates) == 2


def note_from(speeds, reporters, time_factor, now=0.0):
    for reporter in reporters:
        (combined,) = speeds.note(reporter, [SpeedEstimate(1, time_factor, 10)], now)
    return combined.time_factor


@pytest.mark.parametrize("lie", [0.001, 1_000.0])
@pytest.mark.parametrize("others", [0, 1, 2, 6])
def test_one_lying_vm_cannot_move_an_estimate_far(lie, others):
    """Alone it moves the factor by the bound, against others not at all."""
    speeds = PeerSpeeds()
    for other in range(others):
        note_from(speeds, [other], 1.1)
    factor = note_from(speeds, ["liar"], lie)
    bound = SINGLE_REPORTER_MAX_FACTOR
    if others:
        assert factor == pytest.approx(1.1)
    else:
        assert factor in (bound, 1 / bound)


def test_lying_vm_repeats_itself_and_still_counts_once():
    speeds = PeerSpeeds()
    note_from(speeds, ["honest"], 1.0)
    assert note_from(speeds, ["liar"] * 20, 1_000.0) == 1.0


def test_two_reporters_that_agree_on_a_slow_upstream_are_believed():
    assert note_from(PeerSpeeds(), ["one", "other"], 4.8) == pytest.approx(4.8)


def test_reports_lose_weight_and_are_forgotten():
    speeds = PeerSpeeds()
    note_from(speeds, ["one"], 1.5)
    (late,) = speeds.combined(REPORT_LIFE_S / 2)
    assert late.weight < 5
    assert speeds.combined(REPORT_LIFE_S) == []


def test_report_that_expires_now_to_the_last_digit_is_forgotten():
    """Rounding makes its age `REPORT_LIFE_S` though it came later than that before."""
    speeds = PeerSpeeds()
    note_from(speeds, ["one"], 1.5, now=4.155597509256805)
    assert speeds.combined(16.155597509256804) == []


def test_reports_of_a_vm_that_has_gone_are_ignored():
    fleet = informed_fleet()
    fleet.run(4.0)
    gone = fleet.domain("zone-a")[1]
    del fleet.vms[gone.address]
    fleet.run(5.0)
    receiver = fleet.domain("zone-a")[0]
    late = SpeedReport((SpeedEstimate(999, 9.0, 10.0),))
    receiver.exchange.handle(late, gone.address)
    assert receiver.exchange.ignored == 1
    assert 999 not in receiver.speeds.from_peers


def test_memory_is_bounded_whatever_is_reported():
    speeds = PeerSpeeds()
    for reporter in range(40):
        speeds.note(reporter, [SpeedEstimate(1, 2.0, 10.0)], 0.0)
    assert len(speeds._reports[1]) == MAX_REPORTERS
    many = [SpeedEstimate(token, 2.0, 10.0) for token in range(1, 2 * MAX_UPSTREAMS)]
    speeds.note("one", many, 0.0)
    assert len(speeds) == MAX_UPSTREAMS


def test_many_questions_get_a_bounded_number_of_answers():
    fleet = informed_fleet()
    fleet.run(4.0)
    asked = fleet.domain("zone-a")[0]
    fleet.clock.advance(60.0)
    asked.exchange._members.merge(
        [MemberInfo(Address("10.0.0.9", 7000), "zone-a", 9, 9)], fleet.clock.now()
    )
    fleet.in_flight.clear()
    for _ in range(100):
        asked.exchange.handle(SpeedReport((), asks=True), Address("10.0.0.9", 7000))
    assert len(fleet.in_flight) == ANSWER_BURST


@pytest.mark.parametrize(
    "estimate",
    [(0, 2.0, 1.0), (2**32, 2.0, 1.0), (1, 0.0, 1.0), (1, -1.0, 1.0), (1, 2.0, -1.0)],
)
def test_report_with_a_value_out_of_range_is_refused(estimate):
    with pytest.raises(BadMessageError):
        decode(encode(SpeedReport((SpeedEstimate(*estimate),))))


def test_vm_that_resumes_after_a_suspension_asks_again():
    fleet = informed_fleet()
    fleet.run(4.0)
    vm = fleet.domain("zone-a")[0]
    vm.speeds.from_peers = {}
    fleet.clock.advance(20.0)
    vm.exchange.ask_again()
    fleet.run(2.0)
    assert set(vm.speeds.from_peers) >= {101, 102, 104}


@pytest.mark.parametrize("has_speeds", [True, False])
def test_process_exchanges_speeds_if_it_holds_any(has_speeds, tmp_path):
    """Without a table of speeds, reports of others are ignored."""
    host = "127.0.0.1"
    settings = ForwarderSettings(
        name="vm-1",
        failure_domain="zone-a",
        packets=f"{host}:{free_port()}",
        peers=f"{host}:{free_port()}",
        probes=f"{host}:{free_port()}",
        registry=f"{host}:1",
    )
    packets = DatagramSocket(Address.parse(settings.packets))
    source = Address(host, free_port())
    speeds = FakeSpeeds() if has_speeds else None
    with (
        Forwarder(settings, PacketHeader(), InMemoryDecoder(), packets) as forwarder,
        open(tmp_path / "log", "w") as log,
    ):
        forwarder._speeds = speeds
        tasks = ForwarderTasks(
            forwarder, RegistryStub(), "settings", LineLog(log.fileno(), "vm-1")
        )
        with tasks._peer_socket:
            now = forwarder.clock.now()
            tasks._members.merge([MemberInfo(source, "zone-a", 1, 1)], now)
            report = SpeedReport((SpeedEstimate(7, 1.9, 10.0),))
            tasks._gossip._handle(encode(report), source)
            counts = tasks._process_counts()
    assert counts.get("speed_reports_received") == (1 if has_speeds else None)
    if has_speeds:
        assert speeds.from_peers == {7: 1.9}


class RegistryStub:
    """A source that is not read."""

    calls = 0
