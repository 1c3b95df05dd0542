"""Gossip messages and their thrift encoding."""

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
from egrethook.discovery.records import (
    Changes,
    ItemKind,
    PublishedItem,
    StateVersion,
)
from egrethook.exceptions import BadMessageError
from egrethook.upstreams.health import HealthObservation
from egrethook.upstreams.speeds import SpeedEstimate
from egrethook.wire.gossip import ttypes

DATAGRAM_MAX_BYTES = 60_000
"""Maximum size of an encoded message, in bytes."""

MESSAGE_MAX_BYTES = 4 * 2**20
"""Maximum size of a message after decompression, in bytes."""

COMPRESSION_MIN_BYTES = 1_024
"""Size from which messages are compressed, in bytes."""

NAME_MAX_CHARS = 200
"""Maximum length of a name in a message, in characters."""

CONTAINER_MAX_ITEMS = 16_384
"""Maximum number of members or items in a message.

More than all items and tombstones, which may have one revision.
"""

DELTA_MAX_PARTS = 256
"""Maximum number of the parts of a delta."""

_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=DATAGRAM_MAX_BYTES, container_length_limit=CONTAINER_MAX_ITEMS
)

_DECOMPRESSED_PROTOCOL = TCompactProtocolAcceleratedFactory(
    string_length_limit=MESSAGE_MAX_BYTES, container_length_limit=CONTAINER_MAX_ITEMS
)
"""Decodes messages after decompression, which may exceed `DATAGRAM_MAX_BYTES`."""

_DECODE_ERRORS = (
    TException,
    EOFError,
    ValueError,
    TypeError,
    OverflowError,
    zlib.error,
)


@dataclass(frozen=True, slots=True)
class MemberInfo:
    """A member record as gossiped between balancers.

    Parameters
    ----------
    address : Address
        The address at which the member receives gossip.
    incarnation : int
        Random number drawn when the process started.
    beat : int
        Heartbeat counter, incremented with each round of digests.
    leaving : bool
        Whether the member is leaving the fleet.
    """

    address: Address
    failure_domain: str
    incarnation: int
    beat: int
    leaving: bool = False


@dataclass(frozen=True, slots=True)
class Digest:
    """Summary of what a balancer holds, with a sample of the members it knows.

    Parameters
    ----------
    revision : int
        The revision up to which the sender holds every change.
    age_s : float
        Time since that revision was known to be current, in seconds.
    asks : bool
        Whether the sender requests the changes after its revision.
    era : int
        The registry's era to which the revision belongs.
    """

    sender: MemberInfo
    revision: int
    age_s: float
    members: tuple[MemberInfo, ...]
    asks: bool = False
    era: int = 0

    @property
    def version(self) -> StateVersion:
        """The state that the sender holds."""
        return StateVersion(self.era, self.revision)


@dataclass(frozen=True, slots=True)
class Delta:
    """Changes, or one part of them.

    Parameters
    ----------
    age_s : float
        Time since they were known to be current, in seconds.
    part, parts : int
        Number of this part, from 0, and of all parts.
    era_age_s : float
        Time since any balancer is known to have read the registry's era first, in
        seconds.
    """

    changes: Changes
    age_s: float
    part: int = 0
    parts: int = 1
    era_age_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class UpstreamReport:
    """A health observation of an upstream.

    Parameters
    ----------
    token : int
        The token that packets of the upstream's flows carry.
    """

    token: int
    observation: HealthObservation


@dataclass(frozen=True, slots=True)
class OutlierReport:
    """What one request showed about an upstream: a suspicious or plausible answer.

    Parameters
    ----------
    token : int
        The token that packets of the upstream's flows carry.
    is_outlier : bool
        Whether the answer was suspicious; False for a plausible one.
    """

    token: int
    is_outlier: bool


@dataclass(frozen=True, slots=True)
class SpeedReport:
    """Estimates of how fast upstreams are.

    Parameters
    ----------
    estimates : tuple of SpeedEstimate
        The sender's own; in an answer also those that others have reported to it.
    asks : bool
        Whether the sender requests the receiver's estimates.
    """

    estimates: tuple[SpeedEstimate, ...]
    asks: bool = False


@dataclass(frozen=True, slots=True)
class ReachReport:
    """Whether a balancer reaches any upstream that may get new flows.

    Parameters
    ----------
    age_s : float
        Age of the newest evidence for it, in seconds.
    """

    sender: MemberInfo
    reaches_upstreams: bool
    age_s: float


GossipMessage = (
    Digest | Delta | UpstreamReport | OutlierReport | SpeedReport | ReachReport
)


def encode(message: GossipMessage) -> bytes:
    """Encode a message as a datagram, compressed if it is large."""
    field, encode_body = _ENCODERS[type(message)]
    body = serialize(ttypes.GossipMessage(**{field: encode_body(message)}), _PROTOCOL)
    if len(body) < COMPRESSION_MIN_BYTES:
        return body
    return serialize(ttypes.GossipMessage(packed=zlib.compress(body, 1)), _PROTOCOL)


def decode(datagram: bytes) -> GossipMessage:
    """Decode a datagram.

    Raises
    ------
    BadMessageError
        If the datagram is malformed or a field is out of range.
    """
    try:
        body = deserialize(ttypes.GossipMessage(), datagram, _PROTOCOL)
        if body.packed is not None:
            inner = _decompress(body.packed)
            body = deserialize(ttypes.GossipMessage(), inner, _DECOMPRESSED_PROTOCOL)
        return _decode_body(body)
    except _DECODE_ERRORS as error:
        raise BadMessageError(str(error)[:200] or type(error).__name__) from None


def _decompress(packed: bytes) -> bytes:
    decompressor = zlib.decompressobj()
    body = decompressor.decompress(packed, MESSAGE_MAX_BYTES)
    if not decompressor.eof:
        raise ValueError(
            f"compressed message is truncated or exceeds {MESSAGE_MAX_BYTES} bytes"
        )
    return body


def _decode_body(body: ttypes.GossipMessage) -> GossipMessage:
    for field, decode_body in _DECODERS.items():
        encoded = getattr(body, field)
        if encoded is not None:
            return decode_body(encoded)
    raise ValueError("message has no known field")


def _encode_member(member: MemberInfo) -> ttypes.MemberInfo:
    return ttypes.MemberInfo(
        host=member.address.host,
        port=member.address.port,
        failure_domain=member.failure_domain,
        incarnation=member.incarnation,
        beat=member.beat,
        leaving=member.leaving,
    )


def _decode_member(encoded: ttypes.MemberInfo | None) -> MemberInfo:
    if encoded is None:
        raise ValueError("digest has no sender")
    ipaddress.ip_address(encoded.host)
    if not 0 < encoded.port < 65536 or encoded.beat < 0:
        raise ValueError(
            f"member port {encoded.port} or heartbeat {encoded.beat} out of range: "
            "expected 1-65535 and at least 0"
        )
    return MemberInfo(
        Address(encoded.host, encoded.port),
        _checked_name(encoded.failure_domain),
        encoded.incarnation,
        encoded.beat,
        bool(encoded.leaving),
    )


def _encode_digest(digest: Digest) -> ttypes.Digest:
    return ttypes.Digest(
        sender=_encode_member(digest.sender),
        revision=digest.revision,
        age_ms=_encode_age(digest.age_s),
        members=[_encode_member(member) for member in digest.members],
        asks=digest.asks,
        era=digest.era,
    )


def _decode_digest(encoded: ttypes.Digest) -> Digest:
    return Digest(
        _decode_member(encoded.sender),
        _checked_revision(encoded.revision),
        _decode_age(encoded.age_ms),
        tuple(_decode_member(member) for member in encoded.members),
        bool(encoded.asks),
        _checked_era(encoded.era),
    )


def _encode_item(item: PublishedItem) -> ttypes.Item:
    return ttypes.Item(int(item.kind), item.name, item.revision, item.value)


def _decode_item(item: ttypes.Item) -> PublishedItem:
    kind, name = ItemKind(item.kind), _checked_name(item.name)
    return PublishedItem(kind, name, _checked_revision(item.revision), item.value)


def _encode_delta(delta: Delta) -> ttypes.Delta:
    changes = delta.changes
    return ttypes.Delta(
        after=changes.after,
        revision=changes.revision,
        age_ms=_encode_age(delta.age_s),
        items=[_encode_item(item) for item in changes.items],
        replaces=changes.replaces,
        part=delta.part,
        parts=delta.parts,
        era=changes.era,
        era_age_ms=_encode_age(delta.era_age_s),
    )


def _decode_delta(encoded: ttypes.Delta) -> Delta:
    items = [_decode_item(item) for item in encoded.items]
    changes = Changes(
        _checked_revision(encoded.after),
        _checked_revision(encoded.revision),
        items,
        bool(encoded.replaces),
        _checked_era(encoded.era),
    )
    part, parts = encoded.part, encoded.parts
    if not 0 <= part < parts <= DELTA_MAX_PARTS:
        raise ValueError(
            f"part {part} of {parts} out of range: expected up to {DELTA_MAX_PARTS}"
        )
    return Delta(
        changes,
        _decode_age(encoded.age_ms),
        part,
        parts,
        _decode_age(encoded.era_age_ms),
    )


def _encode_report(report: UpstreamReport) -> ttypes.UpstreamReport:
    observation = report.observation
    return ttypes.UpstreamReport(
        token=report.token,
        answers=observation.answers,
        silent_ms=_encode_age(observation.silent_s),
    )


def _decode_report(encoded: ttypes.UpstreamReport) -> UpstreamReport:
    if encoded.silent_ms < 0:
        raise ValueError(f"silence of {encoded.silent_ms} ms is negative")
    observation = HealthObservation(
        bool(encoded.answers), _decode_age(encoded.silent_ms)
    )
    return UpstreamReport(_checked_token(encoded.token), observation)


def _encode_outlier(report: OutlierReport) -> ttypes.OutlierReport:
    return ttypes.OutlierReport(token=report.token, is_outlier=report.is_outlier)


def _decode_outlier(encoded: ttypes.OutlierReport) -> OutlierReport:
    return OutlierReport(_checked_token(encoded.token), bool(encoded.is_outlier))


def _encode_speeds(report: SpeedReport) -> ttypes.SpeedReport:
    estimates = [
        ttypes.SpeedEstimate(
            token=estimate.token,
            time_permille=round(estimate.time_factor * 1000),
            weight_permille=round(estimate.weight * 1000),
        )
        for estimate in report.estimates
    ]
    return ttypes.SpeedReport(estimates=estimates, asks=report.asks)


def _decode_speeds(encoded: ttypes.SpeedReport) -> SpeedReport:
    estimates = tuple(_decode_speed(estimate) for estimate in encoded.estimates)
    return SpeedReport(estimates, bool(encoded.asks))


def _decode_speed(encoded: ttypes.SpeedEstimate) -> SpeedEstimate:
    if encoded.time_permille <= 0 or encoded.weight_permille < 0:
        raise ValueError(
            f"time factor {encoded.time_permille} or weight "
            f"{encoded.weight_permille} out of range"
        )
    return SpeedEstimate(
        _checked_token(encoded.token),
        encoded.time_permille / 1000,
        encoded.weight_permille / 1000,
    )


def _encode_reach(report: ReachReport) -> ttypes.ReachReport:
    return ttypes.ReachReport(
        sender=_encode_member(report.sender),
        reaches_upstreams=report.reaches_upstreams,
        age_ms=_encode_age(report.age_s),
    )


def _decode_reach(encoded: ttypes.ReachReport) -> ReachReport:
    return ReachReport(
        _decode_member(encoded.sender),
        bool(encoded.reaches_upstreams),
        _decode_age(encoded.age_ms),
    )


_VARIANTS: tuple[
    tuple[str, type, Callable[[Any], Any], Callable[[Any], GossipMessage]], ...
] = (
    ("digest", Digest, _encode_digest, _decode_digest),
    ("delta", Delta, _encode_delta, _decode_delta),
    ("report", UpstreamReport, _encode_report, _decode_report),
    ("outlier", OutlierReport, _encode_outlier, _decode_outlier),
    ("speeds", SpeedReport, _encode_speeds, _decode_speeds),
    ("reach", ReachReport, _encode_reach, _decode_reach),
)
"""Union field, message type, body encoder and body decoder of each variant."""

_ENCODERS = {
    message_type: (field, encode_body)
    for field, message_type, encode_body, _ in _VARIANTS
}
_DECODERS = {field: decode_body for field, _, _, decode_body in _VARIANTS}

_UNKNOWN_AGE_MS = -1


def _encode_age(age_s: float) -> int:
    """Return an age in milliseconds; ages of an hour or more count as unknown."""
    return int(age_s * 1000) if 0 <= age_s < 3600 else _UNKNOWN_AGE_MS


def _decode_age(age_ms: int) -> float:
    return age_ms / 1000 if age_ms >= 0 else float("inf")


def _checked_revision(number: int) -> int:
    if number < 0:
        raise ValueError(f"revision {number} is negative")
    return number


def _checked_era(number: int) -> int:
    if number < 0:
        raise ValueError(f"era {number} is negative")
    return number


def _checked_token(number: int) -> int:
    if not 0 < number < 2**32:
        raise ValueError(f"token {number} out of range: expected 1 to 2**32 - 1")
    return number


def _checked_name(text: str) -> str:
    if len(text) > NAME_MAX_CHARS:
        raise ValueError(f"name exceeds {NAME_MAX_CHARS} characters")
    return text
