"""Gives the rights of a leaving executor to another balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio

from egrethook.balancers.ownership import rank
from egrethook.balancers.peer_packets import HandOver, HandOverAck, WindowState
from egrethook.exceptions import HandOverError
from egrethook.published.configuration import Vm
from egrethook.types import ExecutorId, new_incarnation

PART_MAX_NUMBERS = 400
"""Numbers of requests in one part of a hand-over at most."""

RESEND_INTERVAL_S = 0.1
"""Time after which parts that were not acknowledged are sent again, in seconds."""

HAND_OVER_TIMEOUT_S = 5.0
"""Time in which a hand-over is acknowledged, in seconds."""


@dataclass(frozen=True)
class TransferredRights:
    """What a leaving executor gives away.

    Parameters
    ----------
    executor : ExecutorId
        The leaving executor, which has stopped for good.
    windows : list of WindowState
        Its tokens.
    inherited : list of ExecutorId
        The executors whose rights it had been given.
    """

    executor: ExecutorId
    windows: list[WindowState]
    inherited: list[ExecutorId]


def split_into_parts(
    rights: TransferredRights, heir: ExecutorId, transfer_id: int
) -> list[HandOver]:
    """Return the parts of a hand-over, each small enough for a datagram."""
    groups: list[list[WindowState]] = [[]]
    size = 0
    for window in rights.windows:
        weight = len(window.seen) + 4
        if groups[-1] and size + weight > PART_MAX_NUMBERS:
            groups.append([])
            size = 0
        groups[-1].append(window)
        size += weight
    return [
        HandOver(
            executor=rights.executor,
            heir=heir,
            transfer_id=transfer_id,
            part=part,
            parts=len(groups),
            windows=group,
            inherited=rights.inherited,
        )
        for part, group in enumerate(groups)
    ]


def rank_heirs(executor: ExecutorId, eligible: Iterable[Vm]) -> list[str]:
    """Return the balancers that may take the rights over, the first choice first."""
    return rank(executor.balancer, ((vm.name, vm.weight) for vm in eligible))


class HandOverTransfer:
    """Sends the parts to one heir until each has been acknowledged.

    Another heir may be tried only after a refusal: one that stays silent may
    have received every part although none of its acknowledgements arrived.

    Parameters
    ----------
    rights : TransferredRights
        What is given away.
    heir : ExecutorId
        The process that takes it.
    send : callable
        Sends a message to the heir.
    """

    def __init__(
        self,
        rights: TransferredRights,
        heir: ExecutorId,
        send: Callable[[HandOver], None],
    ) -> None:
        self._transfer_id = new_incarnation()
        parts = split_into_parts(rights, heir, self._transfer_id)
        self._unacknowledged = {part.part: part for part in parts}
        self._send = send
        self._finished = anyio.Event()
        self._refused = False

    def acknowledge(self, ack: HandOverAck) -> None:
        """Note that a part arrived, or that the heir refuses."""
        if ack.transfer_id != self._transfer_id:
            return
        if ack.accepted:
            self._unacknowledged.pop(ack.part, None)
        else:
            self._refused = True
        if self._refused or not self._unacknowledged:
            self._finished.set()

    async def run(self) -> bool:
        """Send until all parts are acknowledged or the heir refuses.

        Returns
        -------
        bool
            Whether the heir holds the rights; False if it never will.

        Raises
        ------
        HandOverError
            If the heir stays silent; then nobody else may get the rights.
        """
        with anyio.move_on_after(HAND_OVER_TIMEOUT_S):
            while not self._finished.is_set():
                for part in list(self._unacknowledged.values()):
                    self._send(part)
                with anyio.move_on_after(RESEND_INTERVAL_S):
                    await self._finished.wait()
        if self._refused:
            return False
        if self._unacknowledged:
            raise HandOverError(
                f"{len(self._unacknowledged)} parts were not acknowledged"
            )
        return True
