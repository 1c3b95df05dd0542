"""Graceful leave of a balancer from the fleet."""

from __future__ import annotations

import functools

import anyio

from egrethook.balancers.executors import ExecutorRouter
from egrethook.balancers.handover import (
    HandOverTransfer,
    TransferredRights,
    answer_to_part,
    rank_heirs,
)
from egrethook.balancers.hub import PeerHub
from egrethook.balancers.membership import Membership
from egrethook.balancers.ownership import Ownership, nearest_domains
from egrethook.balancers.peer_packets import HandOver, HandOverAck
from egrethook.clock import Clock
from egrethook.exceptions import HandOverError
from egrethook.logs import PartLog
from egrethook.types import ExecutorId
from egrethook.upstreams.executor import Executor
from egrethook.upstreams.interfaces import ConfigurationSource
from egrethook.upstreams.rights import HandOverStatus

FINISH_POLL_S = 0.05
"""Interval between checks for unfinished requests, in seconds."""

_LOG = PartLog("leave")


class GracefulLeave:
    """Hands over rights, finishes requests in flight and relays late packets.

    The rights are those to run non-idempotent requests; see `upstreams.rights`. The
    balancer that takes them over is the heir.

    Parameters
    ----------
    identity : ExecutorId
        This balancer.
    domain : str
        Its failure domain.
    source : ConfigurationSource
        Provides the active configuration.
    membership : Membership
        The view of the other balancers.
    ownership : Ownership
        Determines owners; this balancer is excluded on leaving.
    router : ExecutorRouter
        Relays late packets to the heir.
    executor : Executor
        Finishes the requests in flight.
    hub : PeerHub
        Sends the hand-over messages.
    clock : Clock
        Source of the current time.
    """

    def __init__(
        self,
        identity: ExecutorId,
        domain: str,
        source: ConfigurationSource,
        membership: Membership,
        ownership: Ownership,
        router: ExecutorRouter,
        executor: Executor,
        hub: PeerHub,
        clock: Clock,
    ) -> None:
        self._identity = identity
        self._domain = domain
        self._source = source
        self._membership = membership
        self._ownership = ownership
        self._router = router
        self._executor = executor
        self._hub = hub
        self._clock = clock
        self._transfer: HandOverTransfer | None = None
        hub.add_handler(HandOver, self._on_hand_over)
        hub.add_handler(HandOverAck, self._on_ack)

    async def run(self, linger_s: float, timeout_s: float) -> None:
        """Leave the fleet gracefully.

        Parameters
        ----------
        linger_s : float
            Time to go on relaying after the last request has finished, in
            seconds.
        timeout_s : float
            Time limit of the whole leave, in seconds.
        """
        _LOG.info("graceful leave started.", balancer=self._identity.balancer)
        self._membership.leave()
        self._ownership.resign()
        self._hub.announce(urgent=True)
        with anyio.move_on_after(timeout_s):
            await self._hand_over()
            while self._executor.unfinished:
                await anyio.sleep(FINISH_POLL_S)
            await anyio.sleep(linger_s)
        unfinished = self._executor.unfinished
        _LOG.info("graceful leave finished.", unfinished=unfinished)

    async def _hand_over(self) -> None:
        """Transfer the rights to the first candidate that accepts them."""
        heirs = self._possible_heirs()
        if not heirs:
            _LOG.warning("no other balancer is available to take over the rights.")
            return
        rights = self._executor.rights
        inherited = rights.inherited
        windows = rights.stop_and_export(self._clock.now())
        transferred = TransferredRights(self._identity, windows, inherited)
        self._router.begin_hand_over()
        self._router.end_hand_over(
            await self._transfer_to_first_heir(transferred, heirs)
        )

    def _possible_heirs(self) -> list[ExecutorId]:
        """Return the candidates for a hand-over, nearest failure domain first.

        Only members that have sent a heartbeat qualify, since a hand-over names
        the incarnation of the heir.
        """
        configuration = self._source.configuration
        if configuration is None:
            return []
        now = self._clock.now()
        names = [
            name
            for domain in nearest_domains(self._domain, configuration)
            for name in rank_heirs(
                self._identity, self._membership.eligible(domain, now)
            )
        ]
        members = self._membership.members
        return [
            ExecutorId(name, members[name].incarnation)
            for name in names
            if members[name].incarnation
        ]

    async def _transfer_to_first_heir(
        self, transferred: TransferredRights, heirs: list[ExecutorId]
    ) -> str | None:
        for heir in heirs:
            send = functools.partial(self._hub.send, heir.balancer)
            self._transfer = HandOverTransfer(transferred, heir, send)
            try:
                accepted = await self._transfer.run()
            except HandOverError as error:
                _LOG.alarm("hand-over failed.", heir=heir.balancer, error=str(error))
                return None
            if accepted:
                _LOG.info("rights handed over.", heir=heir.balancer)
                return heir.balancer
        _LOG.alarm("hand-over refused by every candidate.")
        return None

    def _on_hand_over(self, part: HandOver, _: str) -> None:
        status = self._executor.rights.receive(part, self._clock.now())
        ack = answer_to_part(part, status)
        if ack is None:
            return
        self._hub.send(part.executor.balancer, ack)
        if status is HandOverStatus.COMPLETE:
            # Heartbeats tell the other balancers which executors this one replaces.
            self._hub.announce(urgent=True)

    def _on_ack(self, ack: HandOverAck, _: str) -> None:
        if self._transfer is not None:
            self._transfer.acknowledge(ack)
