"""Transfers the rights of a leaving executor to another balancer."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import anyio

from egrethook.balancers.ownership import rank
from egrethook.balancers.peer_packets import HandOver, HandOverAck, WindowState
from egrethook.exceptions import HandOverError
from egrethook.published.configuration import Vm
from egrethook.types import ExecutorId, new_random_id
from egrethook.upstreams.rights import HandOverStatus

PART_MAX_NUMBERS = 400
"""Maximum number of request numbers in one part of a hand-over.

Each window counts 4 more, for its fields other than `seen`.
"""

RESEND_INTERVAL_S = 0.1
"""Interval at which unacknowledged parts are sent again, in seconds."""

HAND_OVER_TIMEOUT_S = 5.0
"""Time in which all parts of a hand-over must be acknowledged, in seconds."""


@dataclass(frozen=True)
class TransferredRights:
    """The rights that a leaving executor transfers.

    Parameters
    ----------
    executor : ExecutorId
        The leaving executor, which runs no further requests.
    windows : list of WindowState
        The anti-replay windows of its tokens.
    inherited : list of ExecutorId
        Executors whose rights were transferred to it earlier.
    """

    executor: ExecutorId
    windows: list[WindowState]
    inherited: list[ExecutorId]


def split_into_parts(
    rights: TransferredRights, heir: ExecutorId, transfer_id: int
) -> list[HandOver]:
    """Split a hand-over into parts that each fit a datagram."""
    groups: list[list[WindowState]] = [[]]
    size = 0
    for window in rights.windows:
        numbers = len(window.seen) + 4
        if groups[-1] and size + numbers > PART_MAX_NUMBERS:
            groups.append([])
            size = 0
        groups[-1].append(window)
        size += numbers
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
    """Return the eligible balancers, in the order in which they should be tried."""
    return rank(executor.balancer, ((vm.name, vm.weight) for vm in eligible))


def answer_to_part(part: HandOver, status: HandOverStatus) -> HandOverAck | None:
    """Return the heir's answer to a part, or None if it must not answer.

    Parameters
    ----------
    status : HandOverStatus
        What receiving the part has led to.
    """
    if status is HandOverStatus.IGNORED:
        return None
    accepted = status is not HandOverStatus.REFUSED
    return HandOverAck(part.transfer_id, part.part, accepted)


class HandOverTransfer:
    """Sends the parts of a hand-over to one heir until all are acknowledged.

    Another heir may be tried only after a refusal: a silent heir may have received
    every part although its acknowledgements were lost, and two balancers must not
    hold the same rights.

    Parameters
    ----------
    rights : TransferredRights
        The rights to transfer.
    heir : ExecutorId
        The process that takes them over.
    send : callable
        Sends a message to the heir.
    """

    def __init__(
        self,
        rights: TransferredRights,
        heir: ExecutorId,
        send: Callable[[HandOver], None],
    ) -> None:
        self._transfer_id = new_random_id()
        parts = split_into_parts(rights, heir, self._transfer_id)
        self._unacknowledged = {part.part: part for part in parts}
        self._send = send
        self._finished = anyio.Event()
        self._refused = False

    def acknowledge(self, ack: HandOverAck) -> None:
        """Process an acknowledgement or refusal from the heir."""
        if ack.transfer_id != self._transfer_id:
            return
        if ack.accepted:
            self._unacknowledged.pop(ack.part, None)
        else:
            self._refused = True
        if self._refused or not self._unacknowledged:
            self._finished.set()

    async def run(self) -> bool:
        """Send parts until all are acknowledged or the heir refuses.

        Returns
        -------
        bool
            True if the heir holds the rights, False if it refused them.

        Raises
        ------
        HandOverError
            If the heir did not acknowledge all parts in time. The rights must
            not be transferred to another heir.
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
                f"{len(self._unacknowledged)} hand-over parts not acknowledged "
                f"within {HAND_OVER_TIMEOUT_S} s"
            )
        return True
