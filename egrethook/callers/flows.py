"""An open flow, on the caller's side."""

from __future__ import annotations

from typing import Any

import anyio
from anyio.streams.memory import MemoryObjectReceiveStream

from egrethook.callers import packets
from egrethook.callers.port import CallerPort
from egrethook.callers.resend import resend_delays
from egrethook.exceptions import FlowError
from egrethook.verdicts import Refusal


class Flow:
    """An open flow to one upstream.

    Parameters
    ----------
    caller : CallerPort
        The caller that opened it.
    inbox : MemoryObjectReceiveStream
        The received packets of the flow.
    number : int
        The number that the caller gave the flow.
    token : bytes
        The token that routes the flow to its upstream.
    """

    def __init__(
        self,
        caller: CallerPort,
        inbox: MemoryObjectReceiveStream[Any],
        number: int,
        token: bytes,
    ) -> None:
        self._caller = caller
        self._inbox = inbox
        self._number = number
        self._token = token
        self._sequence = 0
        self._boot: int | None = None

    def send(self, payload: bytes) -> int:
        """Send a packet and return its sequence number within the flow."""
        self._sequence += 1
        packet = packets.Data(self._token, self._number, self._sequence, payload)
        self._caller.send(packet)
        return self._sequence

    async def receive(self) -> packets.Reply:
        """Return the next packet from the upstream.

        Raises
        ------
        FlowError
            If the flow is reset or the upstream process has restarted.
        """
        while True:
            packet = await self._inbox.receive()
            if isinstance(packet, packets.Reset):
                raise FlowError(packet.code.value)
            if isinstance(packet, packets.Opened):
                self._close_duplicate(packet)
            if isinstance(packet, packets.Reply):
                self._check_boot(packet.boot)
                return packet

    async def exchange(self, payload: bytes, timeout_s: float = 3.0) -> packets.Reply:
        """Send a packet, resend it while there is no reply, and return the reply.

        Raises
        ------
        FlowError
            If the flow is reset, or no reply arrives before the timeout.
        """
        sent: set[int] = set()
        with anyio.move_on_after(timeout_s):
            for resend_delay_s in resend_delays():
                sent.add(self.send(payload))
                with anyio.move_on_after(resend_delay_s):
                    while True:
                        reply = await self.receive()
                        if reply.sequence in sent:
                            return reply
        raise FlowError(Refusal.NO_ANSWER.value)

    def close(self) -> None:
        """Tell the upstream that the flow has ended."""
        self._caller.send(packets.Close(self._token, self._number))

    def _close_duplicate(self, opened: packets.Opened) -> None:
        """Close a second flow that a duplicated opening packet has opened."""
        if opened.token != self._token:
            self._caller.send(packets.Close(opened.token, self._number))

    def _check_boot(self, boot: int) -> None:
        """Raise `FlowError` if the upstream process has restarted."""
        if self._boot is None:
            self._boot = boot
        elif boot != self._boot:
            raise FlowError(Refusal.UPSTREAM_GONE.value)
