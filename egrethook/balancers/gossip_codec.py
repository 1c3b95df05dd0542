"""Messages by which balancers gossip, and their thrift encoding."""

from __future__ import annotations

import ipaddress
import zlib
from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

from thrift.protocol.TCompactProtocol import TCompactProtocolAcceleratedFactory
from thrift.Thrift import TException
from thrift.TSerialization import deserialize, serialize

from egrethook.addresses import Address
from egrethook.discovery.records import Changes, ItemKind, PublishedItem
from egrethook.exceptions import BadMessageError
from egrethook.upstreams.health import HealthObservation
from egrethook.wire.gossip import ttypes

DATAGRAM_LIMIT = 60_000
"""Longest message that is decoded, in bytes."""

MESSAGE_LIMIT = 4 * 2**20
"""Longest message once it has been decompressed, in bytes."""

PACK_BYTES = 1_024
"""Length from which a message is compressed, in bytes."""

NAME_LIMIT = 200
"""Longest name in a message, in characters."""

CONTAINER_LIMIT = 4_096
"""Most members or items in a message."""

_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=DATAGRAM_LIMIT, container_length_limit=CONTAINER_LIMIT
)

_LONG_FACTORY = TCompactProtocolAcceleratedFactory(
    string_length_limit=MESSAGE_LIMIT, container_length_limit=CONTAINER_LIMIT
)
"""Reads messages that were compressed."""

_ERRORS = (TException, EOFError, ValueError, TypeError, OverflowError, zlib.error)


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """What balancers tell each other of a member.

    Parameters
    ----------
    address : Address
        Where it takes gossip.
    incarnation : int
        Drawn at its start.
    beat : int
        Grows with each digest that it sends.
    """

    address: Address
    failure_domain: str
    incarnation: int
    beat: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Digest:
    """What a balancer holds, how old that is, and whom it knows.

    Parameters
    ----------
    asks : bool
        The sender wants what it lacks.
    """

    sender: MemberInfo
    revision: int
    age_s: float
    members: tuple[MemberInfo, ...]
    asks: bool = False


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes that were current so many seconds ago."""

    changes: Changes
    age_s: float


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """What openings have shown of an upstream, named by the token of its flows."""

    token: int
    verdict: HealthObservation


GossipMessage = Digest | Delta | UpstreamReport


def encode(message: GossipMessage) -> bytes:
    """Return a message as a datagram."""
    field, pack = _PACK[type(message)]
    body = serialize(ttypes.GossipMessage(**{field: pack(message)}), _FACTORY)
    if len(body) < PACK_BYTES:
        return body
    return serialize(ttypes.GossipMessage(packed=zlib.compress(body, 1)), _FACTORY)


def decode(datagram: bytes) -> GossipMessage:
    """Return the message of a datagram.

    Raises
    ------
    BadMessageError
        If the bytes are no message or a field is out of bounds.
    """
    try:
        body = deserialize(ttypes.GossipMessage(), datagram, _FACTORY)
        if body.packed is not None:
            inner = _inflate(body.packed)
            body = deserialize(ttypes.GossipMessage(), inner, _LONG_FACTORY)
        return _unpack(body)
    except _ERRORS as error:
        raise BadMessageError(str(error)[:200] or type(error).__name__) from None


def _inflate(packed: bytes) -> bytes:
    inflater = zlib.decompressobj()
    body = inflater.decompress(packed, MESSAGE_LIMIT)
    if not inflater.eof:
        raise ValueError("a message is cut off or too long")
    return body


def _unpack(body: ttypes.GossipMessage) -> GossipMessage:
    if body.digest is not None:
        return _unpack_digest(body.digest)
    if body.delta is not None:
        return _unpack_delta(body.delta)
    if body.report is not None:
        return _unpack_report(body.report)
    raise ValueError("a message without a body")


def _pack_member(member: MemberInfo) -> ttypes.MemberInfo:
    return ttypes.MemberInfo(
        host=member.address.host,
        port=member.address.port,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        beat=member.beat,
        leaving=member.leaving,
    )


def _unpack_member(packed: ttypes.MemberInfo | None) -> MemberInfo:
    if packed is None:
        raise ValueError("a digest without a sender")
    ipaddress.ip_address(packed.host)
    if not 0 < packed.port < 65536 or packed.beat < 0:
        raise ValueError("a member's port or beat is out of bounds")
    return MemberInfo(
        Address(packed.host, packed.port),
        _name(packed.failure_domain),
        packed.incarnation,
        packed.beat,
        bool(packed.leaving),
    )


def _pack_digest(digest: Digest) -> ttypes.Digest:
    return ttypes.Digest(
        sender=_pack_member(digest.sender),
        revision=digest.revision,
        age_ms=_milliseconds(digest.age_s),
        members=[_pack_member(member) for member in digest.members],
        asks=digest.asks,
    )


def _unpack_digest(packed: ttypes.Digest) -> Digest:
    return Digest(
        _unpack_member(packed.sender),
        _revision(packed.revision),
        _seconds(packed.age_ms),
        tuple(_unpack_member(member) for member in packed.members),
        bool(packed.asks),
    )


def _pack_item(item: PublishedItem) -> ttypes.Item:
    return ttypes.Item(int(item.kind), item.name, item.revision, item.value)


def _unpack_item(item: ttypes.Item) -> PublishedItem:
    kind, name = ItemKind(item.kind), _name(item.name)
    return PublishedItem(kind, name, _revision(item.revision), item.value)


def _pack_delta(delta: Delta) -> ttypes.Delta:
    changes = delta.changes
    return ttypes.Delta(
        after=changes.after,
        revision=changes.revision,
        age_ms=_milliseconds(delta.age_s),
        items=[_pack_item(item) for item in changes.items],
    )


def _unpack_delta(packed: ttypes.Delta) -> Delta:
    items = [_unpack_item(item) for item in packed.items]
    changes = Changes(_revision(packed.after), _revision(packed.revision), items)
    return Delta(changes, _seconds(packed.age_ms))


def _pack_report(report: UpstreamReport) -> ttypes.UpstreamReport:
    verdict = report.verdict
    return ttypes.UpstreamReport(
        token=report.token,
        answers=verdict.answers,
        silent_ms=_milliseconds(verdict.silent_s),
    )


def _unpack_report(packed: ttypes.UpstreamReport) -> UpstreamReport:
    if packed.silent_ms < 0:
        raise ValueError("a silence of negative length")
    verdict = HealthObservation(bool(packed.answers), _seconds(packed.silent_ms))
    return UpstreamReport(_token(packed.token), verdict)


_PACK: dict[type, tuple[str, Callable[[Any], Any]]] = {
    Digest: ("digest", _pack_digest),
    Delta: ("delta", _pack_delta),
    UpstreamReport: ("report", _pack_report),
}
"""The field of the union for each message, and how its body is made."""

_UNKNOWN_MS = -1


def _milliseconds(age_s: float) -> int:
    return int(age_s * 1000) if 0 <= age_s < 3600 else _UNKNOWN_MS


def _seconds(age_ms: int) -> float:
    return age_ms / 1000 if age_ms >= 0 else float("inf")


def _revision(number: int) -> int:
    if number < 0:
        raise ValueError("a revision is negative")
    return number


def _token(number: int) -> int:
    if not 0 < number < 2**32:
        raise ValueError("a token is out of bounds")
    return number


def _name(text: str) -> str:
    if len(text) > NAME_LIMIT:
        raise ValueError("a name is too long")
    return text
