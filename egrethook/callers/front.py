"""Receives the callers' packets and dispatches them by type."""

from __future__ import annotations

import random
from collections.abc import Awaitable, Callable
from dataclasses import replace
from typing import Any, Protocol

from egrethook.addresses import Address
from egrethook.callers.messages import CALLER_CODEC, read_flow_head
from egrethook.callers.packets import (
    Cancel,
    Done,
    ExecutorPacket,
    Fetch,
    Grant,
    Open,
    Reset,
    Run,
)
from egrethook.callers.routing import Action, route_flow
from egrethook.callers.tokens import Token
from egrethook.error_boundary import ErrorBoundary
from egrethook.exceptions import BadMessageError, TokenError
from egrethook.logs import PartLog
from egrethook.metrics import Metrics
from egrethook.network import Datagrams
from egrethook.published.configuration import Configuration
from egrethook.tracing import Tracer
from egrethook.upstreams.interfaces import ConfigurationSource
from egrethook.wire.callers.ttypes import FlowHead

_LOG = PartLog("front")


class OwnerPlacement(Protocol):
    """Sends packets to the owners of upstreams.

    The owner of an upstream is the balancer that admits flows and requests to it.
    """

    def send_to_first_owner(self, packet: Open | Grant | Run, raw: bytes) -> None:
        """Send a new packet to the owner of the first upstream chosen."""
        ...


class ExecutorRouting(Protocol):
    """Routes packets to executors.

    The executor of a request is the balancer process that runs it on an upstream.
    """

    def route_to_executor(
        self, packet: ExecutorPacket, raw: bytes, token: Token, hops: int = 0
    ) -> None:
        """Handle a packet here or relay it to the executor named in its token.

        Parameters
        ----------
        hops : int
            Number of times that balancers have relayed the packet so far.
        """
        ...


class CallerSender:
    """Sends packets to callers from the socket that receives theirs."""

    def __init__(self, datagrams: Datagrams) -> None:
        self._datagrams = datagrams

    def send(self, address: Address, packet: Any) -> None:
        """Send a packet to a caller's address."""
        self._datagrams.send(address, CALLER_CODEC.encode(packet))


class CallerFront:
    """Receives the packets that the fabric delivers to this balancer.

    Parameters
    ----------
    datagrams : Datagrams
        The socket that receives packets from the fabric.
    source : ConfigurationSource
        Provides the current configuration.
    owners : OwnerPlacement
        Sends new openings and requests to owners.
    executors : ExecutorRouting
        Routes packets with a token to executors.
    metrics : Metrics
        Counts received and dropped packets.
    tracer : Tracer
        Records a span for each traced packet.
    refresh_after_pause : callable
        Waits, if this process has just been paused, until its configuration is
        refreshed.
    """

    def __init__(
        self,
        datagrams: Datagrams,
        source: ConfigurationSource,
        owners: OwnerPlacement,
        executors: ExecutorRouting,
        metrics: Metrics,
        tracer: Tracer,
        refresh_after_pause: Callable[[], Awaitable[None]],
    ) -> None:
        self._datagrams = datagrams
        self._source = source
        self._owners = owners
        self._executors = executors
        self._metrics = metrics
        self._tracer = tracer
        self._refresh_after_pause = refresh_after_pause
        self._packet_errors = ErrorBoundary(_LOG, "packet")
        self._counters = {
            kind: metrics.packets.labels(kind=kind.__name__.lower())
            for kind in (Open, Grant, Run, Fetch, Done, Cancel)
        }
        self._flow_counter = metrics.packets.labels(kind="flow")
        self._flow_packets = 0
        self._handlers: dict[type, Callable[[Any, bytes], None]] = {
            Open: self._on_placement_packet,
            Grant: self._on_placement_packet,
            Run: self._on_run,
            Fetch: self._on_executor_packet,
            Done: self._on_executor_packet,
            Cancel: self._on_executor_packet,
        }

    async def run(self) -> None:
        """Receive and handle packets until cancelled."""
        while True:
            batch = await self._datagrams.receive()
            await self._refresh_after_pause()
            for raw, _ in batch:
                self.handle(raw)
            self._flow_counter.inc(self._flow_packets)
            self._flow_packets = 0

    def handle(self, raw: bytes) -> None:
        """Handle one datagram; invalid ones are counted and dropped."""
        try:
            head = read_flow_head(raw)
            if head is not None:
                self._on_flow(head, raw)
                return
            packet = CALLER_CODEC.decode(raw)
            handler = self._handlers.get(type(packet))
            if handler is None:
                self._drop("unexpected")
                return
            self._counters[type(packet)].inc()
            handler(packet, raw)
        except BadMessageError:
            self._drop("malformed")
        except TokenError:
            self._drop("token")
        except Exception as error:
            self._drop("unexpected-error")
            self._packet_errors.note(error)

    def _drop(self, reason: str) -> None:
        self._metrics.dropped.labels(reason=reason).inc()

    def _configuration(self) -> Configuration | None:
        configuration = self._source.configuration
        if configuration is None:
            self._drop("no-configuration")
        return configuration

    def _on_flow(self, head: FlowHead, raw: bytes) -> None:
        self._flow_packets += 1
        configuration = self._configuration()
        if configuration is None:
            return
        token = configuration.keys.unseal(head.token)
        route = route_flow(token, configuration)
        if route.action is Action.FORWARD:
            self._datagrams.send(route.address, raw)
            return
        assert route.code is not None
        self._metrics.resets.labels(code=route.code.value).inc()
        reset = CALLER_CODEC.encode(Reset(head.number, route.code))
        self._datagrams.send(route.address, reset)

    def _on_placement_packet(self, packet: Open | Grant | Run, raw: bytes) -> None:
        packet, raw = self._record_hop(packet, raw)
        self._owners.send_to_first_owner(packet, raw)

    def _on_run(self, packet: Run, raw: bytes) -> None:
        if not packet.token:
            if packet.idempotent:
                self._on_placement_packet(packet, raw)
            else:
                # Only the executor named in a token may run a non-idempotent request.
                self._drop("no-token")
            return
        configuration = self._configuration()
        if configuration is None:
            return
        token = configuration.keys.unseal(packet.token)
        if token.service_name != packet.service_name:
            self._drop("wrong-service")
            return
        packet, raw = self._record_hop(packet, raw)
        self._executors.route_to_executor(packet, raw, token)

    def _on_executor_packet(self, packet: Fetch | Done | Cancel, raw: bytes) -> None:
        configuration = self._configuration()
        if configuration is not None:
            token = configuration.keys.unseal(packet.token)
            self._executors.route_to_executor(packet, raw, token)

    def _record_hop(self, packet: Any, raw: bytes) -> tuple[Any, bytes]:
        """Record a span for this hop and add its context to the packet."""
        if not packet.trace:
            packet = self._maybe_start_trace(packet)
            if not packet.trace:
                return packet, raw
        context = self._tracer.hop("entry", packet.trace)
        traced = replace(packet, trace=context)
        return traced, CALLER_CODEC.encode(traced)

    def _maybe_start_trace(self, packet: Any) -> Any:
        """Start a trace for the preset's share of the packets without one."""
        configuration = self._source.configuration
        share = configuration.limits.trace_share if configuration else 0.0
        if share <= 0.0 or random.random() >= share:
            return packet
        return replace(packet, trace=self._tracer.start("arrival"))
