"""Start of a forwarding process: early imports, probes and signals.

Guards against a slow start, where a slow library is imported before the first packet
or packets wait while libraries are imported, and against signals lost during the start.
"""

from __future__ import annotations

import os
import select
import signal
import socket
import subprocess
import sys
import sysconfig
import time
from importlib import import_module
from types import ModuleType

import pytest
from process_harness import forwarding_process, free_port, read_until

from egrethook.addresses import Address
from egrethook.datagrams import DatagramSocket
from egrethook.fast_import import import_with_stand_ins
from egrethook.forwarding.interleaving import ImportInterleaver
from egrethook.operators.early_probes import EarlyProbes

SLOW_LIBRARIES = {
    "anyio",
    "asyncio",
    "uvloop",
    "pydantic",
    "httpx",
    "eliot",
    "thrift",
    "prometheus_client",
    "opentelemetry",
    "numpy",
    "typing_extensions",
    "dataclasses",
    "random",
    "json",
    "urllib",
    "ipaddress",
    "logging",
    "socket",
    "signal",
    "selectors",
    "platform",
    "textwrap",
}


def test_import_of_the_daemon_loads_no_slow_library():
    paths = [os.getcwd(), sysconfig.get_paths()["purelib"]]
    run = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            "import sys\nimport egrethook.platform.daemon\n"
            "print('\\n'.join(sys.modules))",
        ],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in run.stdout.split()}
    assert loaded & SLOW_LIBRARIES == set()


OPTIONAL_MODULES = {
    "egrethook.callers.fair_queueing",
    "egrethook.balancers.speed_exchange",
    "egrethook.forwarding.domain_departure",
    "egrethook.forwarding.feature_path",
    "egrethook.upstreams.explanation",
    "egrethook.upstreams.outliers",
    "egrethook.upstreams.placement",
    "egrethook.upstreams.subsets",
}


def test_modules_of_features_that_are_off_are_not_imported():
    """Guards against a later start where no optional feature is switched on."""
    code = "import sys\nimport egrethook.platform.daemon, egrethook.forwarding.tasks\n"
    run = subprocess.run(
        [sys.executable, "-c", code + "print('\\n'.join(sys.modules))"],
        capture_output=True,
        text=True,
        check=True,
    )
    assert OPTIONAL_MODULES & set(run.stdout.split()) == set()


def test_replaced_modules_are_as_usual_after_the_import(tmp_path, monkeypatch):
    (tmp_path / "slow_part.py").write_text("value = 'real'\n")
    (tmp_path / "library.py").write_text("from slow_part import value\n")
    monkeypatch.syspath_prepend(str(tmp_path))
    stand_in = ModuleType("slow_part")
    stand_in.value = "stand-in"
    import_with_stand_ins("library", {"slow_part": stand_in})
    assert import_module("library").value == "stand-in"
    assert import_module("slow_part").value == "real"


def test_step_runs_between_nested_imports_and_finder_is_removed(tmp_path, monkeypatch):
    for number in range(5):
        following = f"import slow_{number + 1}\n" if number < 4 else ""
        text = f"import time\ntime.sleep(0.01)\n{following}"
        (tmp_path / f"slow_{number}.py").write_text(text)
    monkeypatch.syspath_prepend(str(tmp_path))
    steps = []
    with ImportInterleaver(lambda: steps.append(1)):
        __import__("slow_0")
    assert len(steps) >= 4
    assert not any(type(finder) is ImportInterleaver for finder in sys.meta_path)


def test_step_that_imports_a_module_is_not_run_within_itself(tmp_path, monkeypatch):
    """Guards against a step that starts anew while it waits for its own import."""
    slow = "import time\ntime.sleep(0.01)\n"
    (tmp_path / "outer_part.py").write_text(slow)
    (tmp_path / "outer.py").write_text(slow + "import outer_part\n")
    (tmp_path / "needed_part.py").write_text("")
    (tmp_path / "needed.py").write_text(slow + "import needed_part\n")
    monkeypatch.syspath_prepend(str(tmp_path))
    running, depths = [], []

    def step():
        running.append("step")
        depths.append(len(running))
        import_module("needed")
        running.pop()

    with ImportInterleaver(step):
        import_module("outer")
    assert depths
    assert max(depths) == 1


def test_probes_need_no_event_loop_and_release_their_address_on_exit():
    ready = []
    address = Address("127.0.0.1", free_port())
    with EarlyProbes(address, lambda: bool(ready)) as probes:
        client = socket.create_connection(address)
        client.settimeout(2.0)

        def probe():
            client.sendall(b"GET /readyz HTTP/1.1\r\nHost: vm\r\n\r\n")
            for _ in range(5):
                poll = select.poll()
                probes.register(poll)
                probes.handle(dict(poll.poll(100)))
            return client.recv(100)

        assert b" 503 " in probe()
        ready.append(True)
        assert b" 200 " in probe()
        client.close()
        for _ in range(3):
            poll = select.poll()
            probes.register(poll)
            probes.handle(dict(poll.poll(50)))
    with socket.socket() as sock:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind(address)


def bound_socket():
    sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
    sock.bind(("127.0.0.1", 0))
    return sock


def test_socket_that_was_bound_early_keeps_the_packets_queued_in_it():
    early = bound_socket()
    address = Address(*early.getsockname())
    with bound_socket() as sender:
        sender.sendto(b"opening", address)
    with DatagramSocket(address, early.detach()) as packets:
        assert [data for data, _ in packets.receive_ready()] == [b"opening"]


def test_socket_that_was_bound_to_another_address_is_not_used():
    early, address = bound_socket(), Address("127.0.0.1", free_port())
    with DatagramSocket(address, early.detach()) as packets:
        assert packets.address == address


FAKE_DAEMON = """
import socket


def main(packet_socket):
    if packet_socket is None:
        print("not bound")
    else:
        print("%s:%d" % socket.socket(fileno=packet_socket).getsockname())
"""


@pytest.mark.parametrize(
    "argument", [None, "127.0.0.1:{port}", "nonsense", "1.2.3.4:x"]
)
def test_packet_socket_is_bound_before_the_package_is_imported(tmp_path, argument):
    (tmp_path / "egrethook" / "platform").mkdir(parents=True)
    (tmp_path / "egrethook" / "platform" / "daemon.py").write_text(FAKE_DAEMON)
    arguments = [] if argument is None else [argument.format(port=free_port())]
    run = subprocess.run(
        [sys.executable, "-P", "deploy/forwarder.py", *arguments],
        env={**os.environ, "PYTHONPATH": str(tmp_path)},
        capture_output=True,
        text=True,
        check=True,
    )
    bound = argument is not None and "{port}" in argument
    assert run.stdout.strip() == (arguments[0] if bound else "not bound")


@pytest.mark.end_to_end
@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
def test_sigterm_while_libraries_load_stops_and_sighup_does_not(
    tmp_path, signal_number
):
    with forwarding_process(tmp_path, leave_s=0.1) as forwarder:
        process = forwarder.process
        process.send_signal(signal_number)
        if signal_number == signal.SIGHUP:
            with pytest.raises(subprocess.TimeoutExpired):
                process.wait(timeout=2.0)
            process.terminate()
        assert process.wait(timeout=10.0) == 0


@pytest.mark.end_to_end
@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP])
def test_signals_during_a_leave_do_not_cut_it_short(tmp_path, signal_number):
    """Signals come in series; a process that leaves forwards until it has left."""
    leave_s = 0.6
    with forwarding_process(tmp_path, leave_s=leave_s) as forwarder:
        process = forwarder.process
        read_until(process, b"libraries loaded")
        process.terminate()
        read_until(process, b"process leaving")
        left_at = time.monotonic() + leave_s
        while process.poll() is None:
            process.send_signal(signal_number)
            time.sleep(0.005)
        assert process.returncode == 0
        assert time.monotonic() >= left_at - 0.05
