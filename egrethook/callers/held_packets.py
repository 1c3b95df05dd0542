"""Packets that can't be routed while the view of the registry is out of date."""

from __future__ import annotations

from typing import NamedTuple

from egrethook.callers.forwarded_flow import OPENING_SEND_OFFSETS_S, OPENING_TIMEOUT_S
from egrethook.callers.segments import Segment

HELD_PACKETS_LIMIT = 2_000
"""Maximum number of packets held until the view is fresh."""


MAX_EARLIER_COPIES = len(OPENING_SEND_OFFSETS_S) - 1
"""Maximum number of earlier copies that are remembered with an opening."""


class ReceivedPacket(NamedTuple):
    """A packet as it was received, and its time of arrival in seconds.

    `earlier_copies` holds the copies of an opening that came before it and were held.
    """

    segment: Segment
    datagram: bytes
    arrived_at: float
    earlier_copies: tuple[Segment, ...] = ()

    def is_current(self, now: float) -> bool:
        """Return whether its sender may still be waiting for the answer."""
        return now - self.arrived_at <= OPENING_TIMEOUT_S

    def follows(self, other: ReceivedPacket) -> bool:
        """Return whether this is a later copy of the same opening."""
        return (
            self.segment.sequence == other.segment.sequence
            and self.segment.copy_index > other.segment.copy_index
        )

    def may_have_copies(self, now: float) -> bool:
        """Return whether another copy of an opening may have been sent by now."""
        first_offset_s = OPENING_SEND_OFFSETS_S[1]
        return self.segment.copy_index > 0 or now - self.arrived_at >= first_offset_s


class HeldPackets:
    """Holds packets with an unknown route or token, until the view may have it.

    Of an opening, the latest copy is held, with what is known of the earlier ones: an
    opening whose copies all came here can be open nowhere else.
    """

    def __init__(self) -> None:
        self._openings: dict[bytes, ReceivedPacket] = {}
        self._of_open_flows: list[ReceivedPacket] = []

    def __len__(self) -> int:
        return len(self._openings) + len(self._of_open_flows)

    def add(self, packet: ReceivedPacket) -> bool:
        """Hold a packet; return False if the limit is reached."""
        if len(self) >= HELD_PACKETS_LIMIT:
            return False
        if packet.segment.opens:
            self._add_opening(packet)
        else:
            self._of_open_flows.append(packet)
        return True

    def _add_opening(self, packet: ReceivedPacket) -> None:
        flow = packet.segment.flow
        held = self._openings.get(flow)
        if held is not None and packet.follows(held):
            earlier = (*held.earlier_copies, held.segment)[-MAX_EARLIER_COPIES:]
            packet = packet._replace(earlier_copies=earlier)
        self._openings[flow] = packet

    def take_all(self) -> list[ReceivedPacket]:
        """Remove all packets and return them in the order in which to forward them.

        Packets of open flows come first, in the order of their arrival, and then
        openings, those that were sent for the first time before retransmissions.
        """
        openings = sorted(
            self._openings.values(), key=lambda packet: packet.segment.copy_index
        )
        packets = [*self._of_open_flows, *openings]
        self._openings, self._of_open_flows = {}, []
        return packets
