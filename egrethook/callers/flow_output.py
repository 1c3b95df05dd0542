"""What a dispatcher does with a packet: forward, refuse or drop it."""

from __future__ import annotations

from egrethook.callers.forwarded_flow import DispatcherCounts
from egrethook.callers.segments import PacketPort, Segment, SegmentCodec
from egrethook.logs import PartLog
from egrethook.upstreams.upstream import Upstream

_LOG = PartLog("flows")


class FlowOutput:
    """Sends packets, and counts those that are refused or dropped.

    Parameters
    ----------
    codec : SegmentCodec
        Writes packet headers.
    port : PacketPort
        Sends packets to upstreams and callers.
    counts : DispatcherCounts
        Counts resets and drops by reason.
    """

    def __init__(
        self, codec: SegmentCodec, port: PacketPort, counts: DispatcherCounts
    ) -> None:
        self._codec = codec
        self._port = port
        self._counts = counts

    def forward(self, upstream: Upstream, datagram: bytes) -> None:
        """Send a caller's packet to an upstream."""
        packet = self._codec.forward(datagram, upstream.instance, upstream.token)
        self._port.to_upstream(upstream.address, packet)

    def reset(self, segment: Segment, reason: str, **fields: object) -> None:
        """Refuse an opening and log the reason, with the fields that decided it."""
        self._send_reset(segment, reason)
        self._log("an opening is refused.", segment, reason, fields)

    def abort(self, segment: Segment, reason: str, **fields: object) -> None:
        """Reset an open flow, given its caller's latest packet, and log the reason."""
        self._send_reset(segment, reason)
        self._log("an open flow is reset.", segment, reason, fields)

    def _send_reset(self, segment: Segment, reason: str) -> None:
        counts = self._counts.reset
        counts[reason] = counts.get(reason, 0) + 1
        self._port.to_caller(segment.caller, self._codec.reset(segment))

    def _log(
        self, sentence: str, segment: Segment, reason: str, fields: dict[str, object]
    ) -> None:
        flow = self._codec.describe(segment)
        _LOG.decision(sentence, flow=flow, reason=reason, **fields)

    def drop(self, reason: str) -> None:
        """Count a packet that is dropped."""
        counts = self._counts.dropped
        counts[reason] = counts.get(reason, 0) + 1
