"""The tasks of a forwarding process."""

from __future__ import annotations

import random
import secrets
import signal
import sys
import time

import anyio

from egrethook.addresses import Address
from egrethook.balancers.gossip import Gossip
from egrethook.balancers.gossip_codec import MemberInfo
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.follower import RegistryFollower
from egrethook.discovery.records import RecordSource
from egrethook.forwarder import Forwarder
from egrethook.logs import PartLog, log_fields, log_to
from egrethook.operators.probes import ProbeAnswer, serve_probes

TICK_S = 0.01
"""Time between two looks at what is due, in seconds."""

HOUSE_S = 0.2
"""Time between two looks at what has expired, in seconds."""

READ_ALONE_S = 2.0
"""Age of the replica at which each process reads for itself, in seconds."""

FREEZE_S = 0.7
"""Time suspended after which what is held is distrusted, in seconds."""

_LOG = PartLog("forwarder")


class ForwarderTasks:
    """Runs a forwarder until it is told to leave.

    Parameters
    ----------
    forwarder : Forwarder
        What is run.
    source : RecordSource
        Reads the registry.
    """

    def __init__(self, forwarder: Forwarder, source: RecordSource) -> None:
        settings = forwarder.settings
        self._forwarder = forwarder
        self._settings = settings
        self._clock = forwarder.clock
        self._leaving = False
        rng = random.Random()
        own = MemberInfo(
            Address.parse(settings.peers),
            settings.failure_domain,
            secrets.randbits(62),
            0,
        )
        self._members = GossipMembers(own, settings.seeds, rng)
        self._peer_socket = DatagramSocket(own.address)
        self._gossip = Gossip(
            self._peer_socket,
            self._members,
            forwarder.replica,
            self._clock,
            rng,
            self._awake,
        )
        forwarder.on_changes(self._gossip.pass_on)
        self._follower = RegistryFollower(
            source, forwarder.replica, self._must_read, self._clock, rng
        )
        self._suspended_s = _suspended_s()

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave."""
        log_to(sys.stdout)
        log_fields(process=self._settings.name)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._serve_packets)
            tasks.start_soon(self._tick)
            tasks.start_soon(self._keep_house)
            tasks.start_soon(self._follower.run)
            tasks.start_soon(self._gossip.beat)
            tasks.start_soon(self._gossip.receive)
            tasks.start_soon(
                serve_probes,
                Address.parse(self._settings.probes),
                {"/readyz": self._readiness},
            )
            await self._wait_for_leave()
            self._leaving = True
            self._gossip.leave()
            await anyio.sleep(self._settings.leave_s)
            tasks.cancel_scope.cancel()
        self._peer_socket.close()
        _LOG.info(
            "the process stops.", open_flows=self._forwarder.dispatcher.open_flows
        )

    async def _wait_for_leave(self) -> None:
        with anyio.open_signal_receiver(
            signal.SIGTERM, signal.SIGINT, signal.SIGHUP
        ) as signals:
            async for number in signals:
                _LOG.info("a signal has arrived.", signal=signal.Signals(number).name)
                if number != signal.SIGHUP:
                    return

    def _must_read(self) -> bool:
        now = self._clock.now()
        return (
            self._members.is_reader(now)
            or self._forwarder.replica.age(now) > READ_ALONE_S
        )

    def _readiness(self) -> ProbeAnswer:
        ready = self._forwarder.ready and not self._leaving
        return ProbeAnswer(200 if ready else 503)

    async def _serve_packets(self) -> None:
        socket = self._forwarder.socket
        serve = self._forwarder.serve_ready
        while True:
            await anyio.wait_readable(socket.fileno())
            serve()

    async def _tick(self) -> None:
        dispatcher = self._forwarder.dispatcher
        while True:
            await anyio.sleep(TICK_S)
            due = dispatcher.next_due()
            if dispatcher.waiting or (due is not None and due <= self._clock.now()):
                self._forwarder.serve_ready()

    async def _keep_house(self) -> None:
        while True:
            await anyio.sleep(HOUSE_S)
            await self._awake()
            self._forwarder.housekeep()
            self._forwarder.dispatcher.tick(self._clock.now())

    async def _awake(self) -> None:
        """Distrust what is held if this process has been suspended."""
        suspended_s = _suspended_s()
        pause_s = suspended_s - self._suspended_s
        self._suspended_s = suspended_s
        if pause_s < FREEZE_S:
            return
        _LOG.warning("the process was suspended.", seconds=round(pause_s, 3))
        self._forwarder.replica.distrust()


def _suspended_s() -> float:
    """Return how long the machine has been suspended since its start."""
    boot_s = time.clock_gettime(time.CLOCK_BOOTTIME)
    return boot_s - time.clock_gettime(time.CLOCK_MONOTONIC)
