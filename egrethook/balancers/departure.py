"""The graceful leave of a balancer."""

from __future__ import annotations

import functools

import anyio

from egrethook.balancers.executors import ExecutorRouter
from egrethook.balancers.handover import HandOverTransfer, TransferredRights, rank_heirs
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
"""Time between two looks whether all work has ended, in seconds."""

_LOG = PartLog("leave")


class Departure:
    """Hands over, finishes what is in flight and relays what still arrives.

    Parameters
    ----------
    identity : ExecutorId
        This balancer.
    domain : str
        Its failure domain.
    source : ConfigurationSource
        The configuration in force.
    membership : Membership
        The view of the other balancers.
    ownership : Ownership
        Finds owners; this balancer resigns.
    router : ExecutorRouter
        Relays packets to the heir.
    executor : Executor
        Finishes its work.
    hub : PeerHub
        Sends the messages of the hand-over.
    clock : Clock
        The time.
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
        """Leave.

        Parameters
        ----------
        linger_s : float
            How long to relay after the last work has ended, in seconds.
        timeout_s : float
            Longest time for all of it, in seconds.
        """
        _LOG.info("the balancer leaves.", balancer=self._identity.balancer)
        self._membership.leave()
        self._ownership.resign()
        self._hub.announce(urgent=True)
        with anyio.move_on_after(timeout_s):
            await self._hand_over()
            while self._executor.unfinished:
                await anyio.sleep(FINISH_POLL_S)
            await anyio.sleep(linger_s)
        unfinished = self._executor.unfinished
        _LOG.info("the balancer ends.", unfinished=unfinished)

    async def _hand_over(self) -> None:
        """Give the rights to the first heir that takes them."""
        heirs = self._possible_heirs()
        if not heirs:
            _LOG.warning("no other balancer can take the rights over.")
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
        """Return who may take the rights, those in this domain first.

        Only members that have been heard qualify: a hand-over names the
        incarnation that takes it.
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
                _LOG.alarm("the hand-over broke.", heir=heir.balancer, error=str(error))
                return None
            if accepted:
                _LOG.info("the rights are handed over.", heir=heir.balancer)
                return heir.balancer
        _LOG.alarm("every heir refused the rights.")
        return None

    def _on_hand_over(self, part: HandOver, _: str) -> None:
        receipt = self._executor.rights.receive(part, self._clock.now())
        if receipt is HandOverStatus.IGNORED:
            return
        accepted = receipt is not HandOverStatus.REFUSED
        ack = HandOverAck(part.transfer_id, part.part, accepted)
        self._hub.send(part.executor.balancer, ack)
        if receipt is HandOverStatus.COMPLETE:
            self._hub.announce(urgent=True)

    def _on_ack(self, ack: HandOverAck, _: str) -> None:
        if self._transfer is not None:
            self._transfer.acknowledge(ack)
