"""Guards the guarantees of real forwarding processes under random faults.

Processes are killed, paused and cut off from the store under load. Seeds that failed
before are run again. A soak ended by a signal must not leave processes behind.
"""

from __future__ import annotations

import random
import signal
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from types import SimpleNamespace

import anyio
import pytest

from egrethook.addresses import Address
from egrethook.emulator.soak import domain_cut
from egrethook.emulator.soak.domain_cut import DomainCut
from egrethook.emulator.soak.faults import SoakFaults, _Exclusion
from egrethook.emulator.soak.fleet import SoakFleet, SoakVm
from egrethook.emulator.soak.peers import CALM_TIME_S, PacketUpstream
from egrethook.emulator.soak.run import Soak, SoakOptions
from egrethook.emulator.soak.store import StoreEmulator
from egrethook.error_boundary import UNEXPECTED_ERROR
from egrethook.forwarding.domain_departure import DEPARTED_SENTENCE

REGRESSION_SEEDS = {
    9: "SIGTERM while libraries were loading ended the process with -15",
    14: "SIGHUP while libraries were loading ended the process",
}
"""Seeds on which a soak failed before, with the cause."""

FAULTS_DURATION_S = 10.0


@pytest.mark.end_to_end
def test_random_faults_violate_no_guarantee():
    reports = {}

    async def soak(seed):
        options = SoakOptions(seed, seconds=FAULTS_DURATION_S)
        reports[seed] = await Soak(options, lambda line: None).run()

    async def soak_all():
        async with anyio.create_task_group() as tasks:
            for seed in (1, *REGRESSION_SEEDS):
                tasks.start_soon(soak, seed)

    anyio.run(soak_all)
    for seed, report in reports.items():
        stall_s = f"{report.longest_stall_s:.2f}"
        print(f"seed {seed}: longest stall {stall_s} s, logs in {report.folder}")
    assert {seed: report.violations for seed, report in reports.items()} == {
        1: [],
        **dict.fromkeys(REGRESSION_SEEDS, []),
    }
    assert all(report.requests > 300 for report in reports.values())


def children_of(process):
    path = Path(f"/proc/{process.pid}/task/{process.pid}/children")
    return [int(number) for number in path.read_text().split()]


@pytest.mark.end_to_end
def test_soak_that_is_ended_by_a_signal_leaves_no_process():
    command = [sys.executable, "-m", "egrethook", "soak", "--seed", "77"]
    soak = subprocess.Popen(command, stdout=subprocess.DEVNULL)
    deadline = time.monotonic() + 20.0
    while len(children_of(soak)) < 6:
        assert time.monotonic() < deadline
        time.sleep(0.1)
    children = children_of(soak)
    soak.terminate()
    assert soak.wait(20.0) == 130
    assert not any(Path(f"/proc/{number}").exists() for number in children)


def test_soaks_of_one_seed_use_different_networks():
    """Two runs of the tests at once on one machine must not disturb each other."""
    soaks = [Soak(SoakOptions(398), lambda line: None) for _ in range(3)]
    with ExitStack() as listeners:
        for soak in soaks:
            listeners.enter_context(soak._bind_store())
        hosts = {vm.host for soak in soaks for vm in soak._make_vms()}
    assert len(hosts) == 3 * len(soaks[0]._make_vms())


def test_error_that_a_process_survived_is_a_violation(tmp_path):
    violations = []
    (tmp_path / "vm-0-1.log").write_text('{"message": "start: the process starts."}')
    (tmp_path / "vm-0-2.log").write_text(f'{{"message": "flows: {UNEXPECTED_ERROR}"}}')

    async def end_soak():
        async with SoakFleet([], tmp_path, violations):
            pass

    anyio.run(end_soak)
    assert [violation.what for violation in violations] == [
        "vm-0-2 logged an unexpected error"
    ]


@pytest.mark.parametrize(
    ("opened_at", "disturbed_at", "is_violation"),
    [(15.0, 0.0, True), (5.0, 0.0, False), (25.0, 0.0, False), (15.0, 14.0, False)],
)
def test_opening_of_an_excluded_upstream_is_a_violation(
    opened_at, disturbed_at, is_violation
):
    vm = SoakVm("vm-0", "a", "127.0.0.1", 1, proxy=None, disturbed_at=disturbed_at)
    upstream = PacketUpstream("i-1", "a", "a", Address("127.0.0.1", 1), 1, [])
    upstream.openings.append((opened_at, vm.host))
    fleet = SoakFleet([vm], Path(), [])
    faults = SoakFaults(random.Random(1), fleet, None, {"i-1": upstream}, None)
    faults._exclusions.append(_Exclusion("drain", frozenset({"i-1"}), 10.0, 20.0))
    assert bool(faults.exclusion_violations()) == is_violation


class EndedProcess:
    def __init__(self, returncode):
        self.returncode = returncode

    def poll(self):
        return self.returncode


@pytest.mark.parametrize(
    "returncode, log, is_violation",
    [
        (-signal.SIGHUP, b"", False),
        (-signal.SIGHUP, b"a line", True),
        (-signal.SIGSEGV, b"", True),
        (1, b"", True),
    ],
)
def test_only_a_sighup_before_the_first_line_may_end_a_process(
    tmp_path, monkeypatch, returncode, log, is_violation
):
    vm = SoakVm("vm-0", "a", "127.0.0.1", 1, proxy=None)
    vm.process, vm.log_path = EndedProcess(returncode), tmp_path / "vm.log"
    vm.log_path.write_bytes(log)
    violations, started = [], []
    fleet = SoakFleet([vm], tmp_path, violations)
    monkeypatch.setattr(fleet, "start", started.append)
    fleet.check_processes()
    assert bool(violations) == is_violation
    assert started == ([] if is_violation else [vm])


def test_flow_may_be_reset_until_its_upstream_has_answered_for_a_while(monkeypatch):
    upstream = PacketUpstream("i-1", "a", "a", Address("127.0.0.1", 1), 1, [])
    assert upstream.is_calm
    now = time.monotonic()
    upstream.unresponsive = True
    assert not upstream.is_calm
    upstream.unresponsive = False
    assert not upstream.is_calm
    monkeypatch.setattr(time, "monotonic", lambda: now + CALM_TIME_S + 1.0)
    assert upstream.is_calm


@pytest.mark.parametrize(
    ("left_during_cut", "expected"),
    [
        (("vm-0", "vm-1"), []),
        (("vm-0",), ["vm-1 did not leave the rotation within 0.2 s"]),
        (("vm-0", "vm-1", "vm-2"), ["vm-2 left while a was cut off"]),
    ],
)
def test_only_the_processes_of_a_domain_that_is_cut_off_must_leave(
    tmp_path, monkeypatch, left_during_cut, expected
):
    monkeypatch.setattr(domain_cut, "LEAVE_TIMEOUT_S", 0.2)
    monkeypatch.setattr(domain_cut, "STAY_OUT_S", 0.1)
    vms = [
        SoakVm(f"vm-{n}", domain, f"127.0.0.{n + 1}", 1, None, failed_probes=0)
        for n, domain in enumerate("aab")
    ]
    upstream = PacketUpstream("i-1", "s", "b", Address("127.0.0.9", 1), 1, [])
    violations = []
    fleet, store = SoakFleet(vms, tmp_path, violations), StoreEmulator()

    async def follow_the_cut():
        while True:
            for vm in vms:
                is_out = upstream.drops_packets and vm.name in left_during_cut
                vm.failed_probes = 2 if is_out else 0
            await anyio.sleep(0.01)

    async def run():
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follow_the_cut)
            await DomainCut("a", fleet, store, [upstream], violations).run()
            tasks.cancel_scope.cancel()

    anyio.run(run)
    assert [violation.what for violation in violations] == expected


def test_departure_without_a_cut_is_a_violation(tmp_path):
    vm = SoakVm("vm-0", "a", "127.0.0.1", 1, None)
    (tmp_path / "vm-0-3.log").write_text(f"departure: {DEPARTED_SENTENCE}")
    violations = []
    fleet = SoakFleet([vm], tmp_path, violations)
    DomainCut("b", fleet, StoreEmulator(), [], violations)._check_logs([vm])
    assert [violation.rule for violation in violations] == ["departure"]


def test_probe_on_a_connection_that_just_closed_has_failed():
    """Guards against a soak that ends with an error of its HTTP client."""

    class ClosingClient:
        async def get(self, url):
            raise AttributeError("'NoneType' object has no attribute 'getpeername'")

    vm = SoakVm("vm-1", "zone-a", "127.0.0.1", 1, None, failed_probes=0)

    async def probe():
        with anyio.move_on_after(0.1):
            await SoakFleet.probe(SimpleNamespace(_client=ClosingClient()), vm)

    anyio.run(probe)
    assert vm.failed_probes == 1
