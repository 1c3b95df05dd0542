"""Unexpected errors in one step of a running loop.

Guards against one malformed message or unexpected error that ends a whole process, or
keeps it from following the registry.
"""

from __future__ import annotations

import json
import random
import socket

import anyio
import pytest
from helpers import published_item
from test_border import FrontRig
from test_discovery import FakeSource, follow

from egrethook.addresses import Address
from egrethook.balancers.gossip import Gossip
from egrethook.balancers.gossip_codec import MemberInfo, UpstreamReport, encode
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.balancers.hub import PeerHub
from egrethook.clock import MonotonicClock
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.records import Changes, Snapshot
from egrethook.discovery.replica import Replica
from egrethook.discovery.view import ForwardingView
from egrethook.emulator.flow_records import InMemoryDecoder, upstream_record
from egrethook.error_boundary import ErrorBoundary
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.forwarding.start import StartupLoop
from egrethook.logs import PartLog, set_destination
from egrethook.metrics import Metrics
from egrethook.platform.packet_header import PacketHeader
from egrethook.upstreams.health import HealthObservation

pytestmark = pytest.mark.expects_unexpected_errors


class RecordingLog:
    def __init__(self):
        self.lines = []

    def write(self, level, part, sentence, fields):
        self.lines.append((level, part, sentence, fields))


@pytest.fixture
def errors():
    """Return the fields of each unexpected error that is logged."""
    log = RecordingLog()
    previous = set_destination(log)
    yield lambda: [
        fields for level, _, text, fields in log.lines if "unexpected error" in text
    ]
    set_destination(previous)


def fail(*args, **kwargs):
    raise KeyError("no such name")


def free_port():
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


@pytest.fixture
def forwarder():
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
    with Forwarder(settings, PacketHeader(), InMemoryDecoder(), packets) as forwarder:
        yield forwarder


def test_boundary_logs_counts_and_names_where_an_error_was_raised(errors):
    before = ErrorBoundary.total()
    with ErrorBoundary(PartLog("part"), "a step"):
        fail()
    (fields,) = errors()
    assert fields["step"] == "a step"
    assert fields["error"] == "KeyError: 'no such name'"
    assert fields["raised_at"].startswith("test_error_boundary.py:")
    assert ErrorBoundary.total() == before + 1


@pytest.mark.parametrize("error", [KeyboardInterrupt, SystemExit])
def test_boundary_lets_an_ordered_end_through(error):
    with pytest.raises(error), ErrorBoundary(PartLog("part"), "a step"):
        raise error


def test_failing_packet_does_not_keep_the_next_ones_from_being_handled(
    forwarder, monkeypatch, errors
):
    """Guards against a packet whose handling raises and ends the process."""
    handled = []

    def handle(datagram, now):
        handled.append(datagram)
        if datagram == b"bad":
            fail()

    monkeypatch.setattr(forwarder.dispatcher, "handle", handle)
    with DatagramSocket(Address("127.0.0.1", 0)) as caller:
        for datagram in (b"one", b"bad", b"two"):
            caller.send(forwarder.socket.address, datagram)
    forwarder.handle_ready_packets()
    assert handled == [b"one", b"bad", b"two"]
    assert [fields["step"] for fields in errors()] == ["packet"]


def test_failing_timers_do_not_end_the_process(forwarder, monkeypatch, errors):
    """Guards against an error in due work or housekeeping, as in review case 4."""
    monkeypatch.setattr(forwarder.dispatcher, "tick", fail)
    monkeypatch.setattr(forwarder.view.upstreams, "expire", fail)
    trusted = []
    monkeypatch.setattr(forwarder, "_update_view_trust", trusted.append)
    forwarder.handle_ready_packets()
    forwarder.housekeep()
    assert [fields["step"] for fields in errors()] == ["due work", "housekeeping"]
    assert len(trusted) == 1


def test_failing_item_does_not_keep_the_next_ones_from_the_view(errors):
    """Guards against a decoder error of any other kind."""
    decoder = InMemoryDecoder()
    good = decoder.encode(upstream_record("b", "zone-b"))
    upstream = decoder.upstream
    decoder.upstream = lambda name, value: (fail if value == b"?" else upstream)(
        name, value
    )
    view = ForwardingView(decoder, flow_life_s=60.0)
    view.update([published_item("a", 1, b"?"), published_item("b", 2, good)], 0.0)
    assert [upstream.name for upstream in view.upstreams.all()] == ["b"]
    assert [fields["item"] for fields in errors()] == ["a"]


def test_failing_listener_does_not_keep_changes_from_the_others(forwarder, errors):
    """Guards against gossip that fails on a change which the registry has sent."""
    heard = []
    forwarder.add_change_listener(fail)
    forwarder.add_change_listener(lambda items, revision: heard.append(items))
    forwarder.replica.apply_snapshot(Snapshot([published_item("a", 1)], 1), 0.0)
    assert len(heard) == 1
    assert [fields["step"] for fields in errors()] == ["change listener"]


def test_follower_reads_a_snapshot_after_an_unexpected_error(errors):
    """Guards against a reader that ends, or stops following the registry."""
    replica = Replica(lambda items, previous_revision: None)
    source = FakeSource(
        Snapshot([published_item("a", 3)], 3),
        KeyError("unexpected"),
        Snapshot([published_item("a", 3), published_item("b", 9)], 9),
        Changes(9, 9, []),
    )
    follow(source, replica, 5.0)
    assert replica.revision == 9
    assert source.calls[:3] == [("snapshot",), ("changes", 3), ("snapshot",)]
    assert len(errors()) == 1


class FailingReading:
    path = "/read"
    complete = False

    def query(self):
        return {}

    take = fail


def test_startup_survives_an_unexpected_error_of_its_first_read(
    forwarder, monkeypatch, errors
):
    """Guards against a process that never starts because of what it reads."""
    monkeypatch.setattr("egrethook.forwarding.start.FIRST_READ_WAIT_S", 0.0)
    loop = StartupLoop(forwarder, FailingReading, lambda: None)
    with socket.create_server(("127.0.0.1", 0)) as registry:
        loop._registry = Address(*registry.getsockname())
        with loop._probes:
            loop._poll_once(1)
            connection, _ = registry.accept()
            with connection:
                loop._poll_once(100)
                assert connection.recv(1_000).startswith(b"GET /read ")
                connection.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
                loop._poll_once(100)
    assert [fields["step"] for fields in errors()] == ["first registry read"]
    assert loop._registry_read is None


def test_startup_survives_the_lack_of_a_socket(forwarder, monkeypatch):
    """Guards against OSError when no file descriptor is left for the first read."""

    def no_descriptor(*args):
        raise OSError(24, "Too many open files")

    loop = StartupLoop(forwarder, FailingReading, lambda: None)
    monkeypatch.setattr("egrethook.forwarding.start._RegistryRead", no_descriptor)
    with loop._probes:
        loop._poll_once(1)
    assert loop._retry_at > 0.0


class OneBatchSocket:
    """Returns one batch of datagrams, then waits for ever."""

    def __init__(self, *datagrams):
        self.batches = [[(data, ("10.0.0.2", 7000)) for data in datagrams]]

    async def receive(self):
        if not self.batches:
            await anyio.sleep_forever()
        return self.batches.pop()

    def send(self, address, data):
        pass


async def no_pause():
    pass


def run_briefly(function, *args):
    async def run():
        with anyio.move_on_after(0.1):
            await function(*args)

    anyio.run(run)


def test_failing_gossip_message_does_not_end_the_receiver(errors):
    """Guards against a message of a peer whose handling raises."""
    heard = []

    def on_report(token, observation):
        heard.append(token)
        if token == 1:
            fail()

    own = MemberInfo(Address("10.0.0.1", 7000), "zone-a", 1, 0)
    members = GossipMembers(own, [], random.Random(1))
    reports = [UpstreamReport(token, HealthObservation(True)) for token in (1, 2)]
    gossip = Gossip(
        OneBatchSocket(*(encode(report) for report in reports)),
        members,
        Replica(lambda items, previous_revision: None),
        MonotonicClock(),
        random.Random(1),
        no_pause,
        on_report,
    )
    run_briefly(gossip.receive)
    assert heard == [1, 2]
    assert [fields["step"] for fields in errors()] == ["message"]
    members.sample = fail
    run_briefly(gossip.send_digests)
    assert errors()[-1]["step"] == "round of digests"


def test_failing_packet_does_not_end_the_front_of_a_balancer(monkeypatch, errors):
    """Guards against a caller's packet whose handling raises."""
    rig = FrontRig()
    monkeypatch.setattr("egrethook.callers.front.read_flow_head", fail)
    rig.front.handle(b"packet")
    assert rig.dropped("unexpected-error") == 1
    assert len(errors()) == 1


def test_failing_message_does_not_end_the_hub_of_a_balancer(errors):
    """Guards against a peer's message whose handling raises."""

    class Codec:
        def decode(self, data):
            return data.decode()

    hub = PeerHub(
        OneBatchSocket(b"bad", b"good"),
        Codec(),
        None,
        Metrics(),
        MonotonicClock(),
        None,
    )
    heard = []
    hub.add_handler(
        str, lambda text, sender: fail() if text == "bad" else heard.append(text)
    )
    run_briefly(hub.receive, no_pause)
    assert heard == ["good"]
    assert len(errors()) == 1


def test_reload_survives_an_unexpected_error(forwarder, tmp_path, monkeypatch, errors):
    """Guards against a settings file that ends the process which reads it again."""
    from egrethook.forwarding.tasks import ForwarderTasks
    from egrethook.line_log import LineLog

    path = tmp_path / "node"
    path.write_text(json.dumps({"name": "vm-1"}))
    with open(tmp_path / "log", "w") as log:
        tasks = ForwarderTasks(
            forwarder, FakeSource(None), str(path), LineLog(log.fileno(), "vm-1")
        )
        monkeypatch.setattr(tasks._settings_file, "reload", fail)
        tasks._reload()
        tasks._peer_socket.close()
    assert [fields["step"] for fields in errors()] == ["settings reload"]
