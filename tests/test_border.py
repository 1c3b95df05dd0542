"""Malformed input from callers, peers, upstreams and the platform.

Guards against a decoder or the caller front raising an unexpected error, which would
end the receiving task, and against invalid packets that are forwarded or acted on.

Hypothesis seeds the tests with `given` from their source: a changed name changes their
examples.
"""

from __future__ import annotations

import random
from typing import Any

import pytest
from helpers import CALLER, make_run, make_token
from hypothesis import given
from hypothesis import strategies as st

from egrethook.balancers.messages import PeerCodec
from egrethook.callers import packets
from egrethook.callers.answers import AnswerAssembly
from egrethook.callers.front import CallerFront
from egrethook.callers.messages import CALLER_CODEC
from egrethook.emulator.builders import FixedConfigurationSource, make_configuration
from egrethook.exceptions import BadMessageError, DocumentError, TokenError
from egrethook.metrics import Metrics
from egrethook.published.documents import load_yaml, parse_value
from egrethook.tracing import Tracer
from egrethook.upstreams import messages as upstream_messages
from egrethook.upstreams.frames import Execute
from egrethook.upstreams.messages import encode_frame

SECRET = "a-secret-of-sixteen"


class RecordingDatagrams:
    """Records sent datagrams."""

    def __init__(self) -> None:
        self.sent: list[tuple[Any, bytes]] = []

    def send(self, address, data) -> None:
        self.sent.append((address, data))


class RecordingPlacement:
    """Records the packets that pass the checks of the front."""

    def __init__(self) -> None:
        self.packets: list[Any] = []

    def send_to_first_owner(self, packet, raw) -> None:
        self.packets.append(packet)

    def route_to_executor(self, packet, raw, token, hops=0) -> None:
        self.packets.append(packet)


class FrontRig:
    """A `CallerFront` with recording fakes."""

    def __init__(self) -> None:
        self.configuration = make_configuration()
        self.datagrams = RecordingDatagrams()
        self.placement = RecordingPlacement()
        self.metrics = Metrics()
        self.front = CallerFront(
            self.datagrams,
            FixedConfigurationSource(self.configuration),
            self.placement,
            self.placement,
            self.metrics,
            Tracer("test"),
            refresh_after_pause=None,
        )
        self.token = self.configuration.keys.seal(make_token(self.configuration))

    def handle(self, packet: Any) -> None:
        self.front.handle(CALLER_CODEC.encode(packet))

    def dropped(self, reason: str) -> float:
        return self.metrics.registry.get_sample_value(
            "egrethook_dropped_total", {"reason": reason}
        )


def every_packet(token: bytes) -> list[Any]:
    host, port = CALLER
    return [
        packets.Open("orders", 1, 2, host, port),
        packets.Grant("orders", 1, 2, host, port, trace="t" * 55),
        packets.Data(token, 2, 3, b"payload"),
        packets.Close(token, 2),
        make_run(token=token),
        packets.Fetch(token, 1, 2, 1, 5, [1, 2, 3]),
        packets.Done(token, 1, 2, 1),
        packets.Cancel(token, 1, 2, 1),
        packets.Accepted(2, 1, token, 5),
        packets.Chunk(2, 1, 5, 0, 1, b"answer"),
    ]


@given(st.binary(max_size=300))
def test_random_bytes_raise_only_the_coded_error(data):
    for decode in (
        CALLER_CODEC.decode,
        PeerCodec([SECRET]).decode,
        upstream_messages._CODEC.decode,
    ):
        with pytest.raises(BadMessageError):
            decode(data)
    with pytest.raises(TokenError):
        make_configuration().keys.unseal(data)
    with pytest.raises(DocumentError):
        parse_value(data)


@given(st.text(max_size=60))
def test_random_text_is_yaml_or_a_coded_error(text):
    try:
        load_yaml(text)
    except DocumentError as error:
        assert str(error).startswith("E102")


@given(st.integers(0, 9), st.integers(0, 2**32))
def test_mutated_packets_never_raise_out_of_the_front(position, seed):
    rig = FrontRig()
    data = bytearray(CALLER_CODEC.encode(every_packet(rig.token)[position]))
    rng = random.Random(seed)
    for _ in range(rng.randint(1, 6)):
        data[rng.randrange(len(data))] = rng.randrange(256)
    rig.front.handle(bytes(data[: rng.randint(1, len(data))]))


@given(st.integers(0, 2**32))
def test_mutated_peer_messages_are_refused(seed):
    rng = random.Random(seed)
    codec = PeerCodec([SECRET])
    from egrethook.balancers.peer_packets import RelayAck

    data = bytearray(codec.encode(RelayAck(7)))
    data[rng.randrange(len(data))] ^= rng.randint(1, 255)
    with pytest.raises(BadMessageError):
        codec.decode(bytes(data))


def test_each_caller_packet_decodes_to_what_was_encoded():
    for packet in every_packet(b"token"):
        assert CALLER_CODEC.decode(CALLER_CODEC.encode(packet)) == packet


def test_upstream_frame_decodes_to_the_encoded_payload():
    frame = encode_frame(Execute(1, 500, 7, 3, 1, b"payload", "trace"))
    assert upstream_messages._CODEC.decode(frame[4:]).payload == b"payload"


@pytest.mark.parametrize(
    ("packet", "reason"),
    [
        (lambda token: packets.Data(b"x" * 40, 1, 1, b""), "token"),
        (lambda token: make_run(token=token, service_name="charts"), "wrong-service"),
        (lambda token: make_run(token=b""), "no-token"),
        (lambda token: packets.Reset(1, "full"), "unexpected"),
        (lambda token: packets.Data(token, 1, 1, b"x" * 9000), "malformed"),
        (lambda token: make_run(token=token, deadline_ms=0), "malformed"),
        (lambda token: make_run(token=token, caller_port=0), "malformed"),
    ],
)
def test_invalid_packet_is_dropped_and_counted_by_reason(packet, reason):
    rig = FrontRig()
    rig.handle(packet(rig.token))
    assert rig.dropped(reason) == 1
    assert rig.datagrams.sent == []
    assert rig.placement.packets == []


def test_oversized_datagram_is_dropped_as_malformed():
    rig = FrontRig()
    rig.front.handle(b"\x00" * 65_000)
    assert rig.dropped("malformed") == 1


def test_flow_packet_is_forwarded_unchanged():
    rig = FrontRig()
    raw = CALLER_CODEC.encode(packets.Data(rig.token, 2, 3, b"payload"))
    rig.front.handle(raw)
    endpoint = next(rig.configuration.endpoints())
    assert rig.datagrams.sent == [(endpoint.flow_address, raw)]


def test_chunks_with_wrong_index_or_count_are_ignored():
    assembly = AnswerAssembly()
    assert assembly.add(packets.Chunk(1, 1, 9, 0, 2, b"a")) is None
    assert assembly.add(packets.Chunk(1, 1, 9, 5, 2, b"x")) is None
    assert assembly.add(packets.Chunk(1, 1, 9, 0, 1, b"x")) is None
    assert assembly.add(packets.Chunk(1, 1, 9, 1, 2, b"b")).join() == b"ab"
