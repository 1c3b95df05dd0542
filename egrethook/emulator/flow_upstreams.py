"""The behaviour of upstreams in a simulation: slots, queue, refusals and faults."""

from __future__ import annotations

import random
from collections.abc import Callable

from egrethook.emulator.flow_callers import SimulatedCallers
from egrethook.emulator.flow_events import EventQueue
from egrethook.emulator.flow_links import Links
from egrethook.emulator.flow_peers import (
    AnswerFault,
    SimulatedUpstream,
    UpstreamRequest,
)
from egrethook.emulator.flow_records import upstream_record
from egrethook.emulator.packets import Packet
from egrethook.platform.packet_header import FIN, INSTANCE_PREFIX, RST, SYN


class SimulatedUpstreams:
    """Handles the packets that reach upstreams and answers the callers.

    Parameters
    ----------
    on_shed : callable
        Called when a caller learns that its request was refused.
    queue_limit : int
        Requests that an upstream queues before it refuses more.
    """

    def __init__(
        self,
        events: EventQueue,
        rng: random.Random,
        links: Links,
        callers: SimulatedCallers,
        on_shed: Callable[[UpstreamRequest], None],
        queue_limit: int,
    ) -> None:
        self._events = events
        self._rng = rng
        self._links = links
        self._callers = callers
        self._on_shed = on_shed
        self._queue_limit = queue_limit
        self._by_name: dict[str, SimulatedUpstream] = {}

    @property
    def by_name(self) -> dict[str, SimulatedUpstream]:
        """All upstreams, in the order in which they were added."""
        return self._by_name

    def add(
        self, name: str, domain: str, slots: int, service: str
    ) -> SimulatedUpstream:
        """Add an upstream."""
        record = upstream_record(name, domain, slots=slots, service=service)
        self._by_name[name] = SimulatedUpstream(record)
        return self._by_name[name]

    def receive(self, upstream: SimulatedUpstream, packet: bytes) -> None:
        """Handle a packet of a caller that a balancer has forwarded."""
        if upstream.unresponsive:
            return
        instance = INSTANCE_PREFIX.unpack_from(packet)[0]
        if instance not in (0, upstream.record.instance):
            return
        received = Packet.decode(packet, INSTANCE_PREFIX.size)
        port, echo = received.sport, received.echo
        if upstream.port_closed:
            self._links.after_caller_delay(lambda: self._callers.on_reset(port))
        elif received.flags & SYN:
            upstream.openings += 1
            self._links.after_caller_delay(lambda: self._callers.on_opened(port, echo))
        elif received.data and not received.flags & (FIN | RST):
            self._on_data(upstream, port)

    def _on_data(self, upstream: SimulatedUpstream, port: int) -> None:
        """Handle a request, unless it is the repetition of one that has arrived."""
        call = self._callers.calls_by_port.get(port)
        if call is not None and not call.reached_upstream:
            call.reached_upstream = True
            self._on_request(upstream, UpstreamRequest(call, port))

    def _on_request(
        self, upstream: SimulatedUpstream, request: UpstreamRequest
    ) -> None:
        fault = upstream.fault
        if fault is not None and self._rng.random() < fault.share:
            self._fail_request(upstream, fault, request)
        elif upstream.busy_slots < upstream.record.slots:
            self._start_request(upstream, request)
        elif len(upstream.queue) < self._queue_limit:
            upstream.queue.append(request)
        else:
            upstream.shed += 1
            self._links.after_caller_delay(lambda: self._on_shed(request))

    def _fail_request(
        self, upstream: SimulatedUpstream, fault: AnswerFault, request: UpstreamRequest
    ) -> None:
        """Answer a request with a short error, or not at all."""
        request.call.faults.append(upstream.record.name)
        if not fault.hangs:
            self._links.after_caller_delay(
                lambda: self._callers.on_error(request, fault.answer_bytes),
                fault.service_s,
            )

    def _start_request(
        self, upstream: SimulatedUpstream, request: UpstreamRequest
    ) -> None:
        upstream.busy_slots += 1
        upstream.started += 1
        duration_s = request.call.service_time_s * upstream.slow_factor
        self._events.after(duration_s, lambda: self._finish_request(upstream, request))

    def _finish_request(
        self, upstream: SimulatedUpstream, request: UpstreamRequest
    ) -> None:
        upstream.busy_slots -= 1
        if upstream.queue:
            self._start_request(upstream, upstream.queue.pop(0))
        if not upstream.unresponsive:
            self._links.after_caller_delay(lambda: self._callers.on_answer(request))
