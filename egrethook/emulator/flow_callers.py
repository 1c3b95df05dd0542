"""The behaviour of callers in a simulation: attempts, requests, answers and retries.

An opening is the first packet of a flow. A caller repeats it until it is answered, then
sends its request; it retries on a new flow when it is reset or refused.
"""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Sequence
from functools import partial

from egrethook.callers.forwarded_flow import OPENING_SEND_OFFSETS_S, OPENING_TIMEOUT_S
from egrethook.emulator.flow_balancers import SimulatedVm
from egrethook.emulator.flow_events import EventQueue
from egrethook.emulator.flow_peers import Call, UpstreamRequest
from egrethook.emulator.flow_records import CALLER_HOST, TARGET, caller_packet
from egrethook.platform.packet_header import ACK, FIN, SYN

MAX_RETRIES = 2
CALLER_COUNT = 80
REQUEST_BYTES = 168
REQUEST_RETRANSMISSION_OFFSETS_S = (0.2, 0.6, 1.4)


class SimulatedCallers:
    """Sends the packets of all callers and handles what comes back.

    Parameters
    ----------
    vms : sequence of SimulatedVm
        The current balancers; may change.
    send_to_vm : callable
        Sends a packet of a call to its balancer.

    Attributes
    ----------
    draw_service_time_s : callable
        Returns the service time of a request for which none is given.
    resets : int
        Resets that callers got on flows of theirs.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        vms: Sequence[SimulatedVm],
        send_to_vm: Callable[[Call, bytes], None],
    ) -> None:
        self._events = events
        self._rng = rng
        self._vms = vms
        self._send_to_vm = send_to_vm
        self._calls: list[Call] = []
        self._calls_by_port: dict[int, Call] = {}
        self._upstreams_of_reset_flows: list[str] = []
        self._ports = itertools.count(1024)
        self.draw_service_time_s: Callable[[], float] = partial(
            rng.uniform, 0.012, 0.035
        )
        self.resets = 0

    @property
    def calls(self) -> list[Call]:
        """All requests, in the order in which they were started."""
        return self._calls

    @property
    def calls_by_port(self) -> dict[int, Call]:
        """The latest request of each source port that is in use."""
        return self._calls_by_port

    @property
    def upstreams_of_reset_flows(self) -> list[str]:
        """The upstream of each open flow that a balancer has reset."""
        return self._upstreams_of_reset_flows

    # Requests --------------------------------------------------------------------

    def new_call(
        self,
        vm: int,
        deadline_s: float,
        service_time_s: float | None,
        think_time_s: Callable[[], float] | None,
    ) -> Call:
        """Return a new request, of which nothing has been sent yet."""
        if service_time_s is None:
            service_time_s = self.draw_service_time_s()
        number = len(self._calls)
        host = CALLER_HOST + number % CALLER_COUNT
        now = self._events.now
        call = Call(number, vm, host, now, deadline_s, service_time_s, think_time_s)
        self._calls.append(call)
        self._events.after(deadline_s, lambda: self._on_deadline(call))
        return call

    def _on_deadline(self, call: Call) -> None:
        if not call.finished:
            call.failed = True
            self._calls_by_port.pop(call.port, None)

    def _send_next_request(self, previous: Call) -> None:
        """Send the next request on the open flow of an earlier one, or on a new one."""
        call = self.new_call(
            previous.vm, previous.deadline_s, None, previous.think_time_s
        )
        if previous.flow_reset:
            self.start_attempt(call)
            return
        call.port, call.token = previous.port, previous.token
        call.sent, call.received = previous.sent, previous.received
        self._calls_by_port[call.port] = call
        self._send_request(call)

    # Attempts --------------------------------------------------------------------

    def start_attempt(self, call: Call) -> None:
        """Open a new flow for a request."""
        call.port = next(self._ports)
        if call.domain is not None:
            vms = [n for n, vm in enumerate(self._vms) if vm.domain == call.domain]
            call.vm = self._rng.choice(vms)
        call.token = call.sent = call.received = 0
        self._calls_by_port[call.port] = call
        port = call.port
        self._send_opening(call, port, 0)
        for copy, delay_s in enumerate(OPENING_SEND_OFFSETS_S[1:], start=1):
            self._events.after(delay_s, partial(self._send_opening, call, port, copy))
        self._events.after(
            OPENING_TIMEOUT_S, lambda: self._on_opening_timeout(call, port)
        )

    def retry(self, call: Call) -> None:
        """Start another attempt, or let the request fail if there were too many."""
        self._calls_by_port.pop(call.port, None)
        call.attempt += 1
        if call.attempt > MAX_RETRIES:
            call.failed = True
            return
        self.start_attempt(call)

    def _send_opening(self, call: Call, port: int, copy: int) -> None:
        if call.port == port and not call.token and not call.finished:
            opening = caller_packet(
                port, SYN, call.target, src=call.host, acknowledged=copy
            )
            self._send_to_vm(call, opening)

    def _on_opening_timeout(self, call: Call, port: int) -> None:
        if call.port != port or call.token or call.finished:
            return
        self.retry(call)

    # Packets on open flows -------------------------------------------------------

    def send(self, call: Call, flags: int, data: bytes = b"") -> None:
        """Send a packet on an open flow."""
        packet = caller_packet(
            call.port,
            flags,
            call.target,
            src=call.host,
            sequence=call.sent,
            acknowledged=call.received,
            echo=call.token,
            data=data,
        )
        call.sent += len(data)
        self._send_to_vm(call, packet)

    def _send_request(self, call: Call) -> None:
        """Send a request; callers with open flows, or told to, retransmit it."""
        call.reached_upstream = False
        self.send(call, ACK, bytes(REQUEST_BYTES))
        if call.think_time_s is None and not call.retransmits:
            return
        for delay_s in REQUEST_RETRANSMISSION_OFFSETS_S:
            self._events.after(delay_s, partial(self._retransmit, call, call.port))

    def _retransmit(self, call: Call, port: int) -> None:
        if call.port == port and not call.finished:
            call.sent -= REQUEST_BYTES
            self.send(call, ACK, bytes(REQUEST_BYTES))

    # What comes back -------------------------------------------------------------

    def on_opened(self, port: int, echo: int) -> None:
        """Send the request on a flow that an upstream has accepted."""
        call = self._calls_by_port.get(port)
        if call is None or call.finished or call.token:
            return
        call.token = echo
        self._send_request(call)

    def on_answer(self, request: UpstreamRequest) -> None:
        """Take an answer; close the flow, or send the next request after a while."""
        call = request.call
        if call.port != request.port or call.finished:
            return
        call.answered_at = self._events.now
        call.received += call.answer_bytes
        if call.think_time_s is None:
            self._calls_by_port.pop(call.port, None)
            self.send(call, FIN | ACK)
            return
        self.send(call, ACK)
        self._events.after(call.think_time_s(), lambda: self._send_next_request(call))

    def on_error(self, request: UpstreamRequest, answer_bytes: int) -> None:
        """Close a flow after an error; only the default route allows a retry."""
        call = request.call
        if call.port != request.port or call.finished:
            return
        call.received += answer_bytes
        self.send(call, FIN | ACK)
        if call.target == TARGET:
            self.retry(call)
        else:
            call.failed = True

    def on_shed(self, request: UpstreamRequest) -> None:
        """Close a flow whose request was refused, and retry."""
        call = request.call
        if call.port == request.port and not call.finished:
            self.send(call, FIN | ACK)
            self.retry(call)

    def on_reset(self, port: int) -> None:
        """Handle a reset that arrives at the port of a caller."""
        call = self._calls_by_port.get(port)
        if call is None:
            return
        self.resets += 1
        if call.finished:
            call.flow_reset = True
        else:
            self.retry(call)

    def note_reset(self, port: int) -> None:
        """Record which upstream's flow a balancer resets, if it is open."""
        call = self._calls_by_port.get(port)
        if call is not None and call.token:
            upstream = self._vms[call.vm].view.upstreams.by_token[call.token]
            self._upstreams_of_reset_flows.append(upstream.name)
