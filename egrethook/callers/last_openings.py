"""Remembers each caller's last opening, to avoid upstreams that left it unanswered."""

from __future__ import annotations

from collections.abc import Container

from egrethook.callers.answer_times import AnswerTimes
from egrethook.callers.forwarded_flow import ForwardedFlow
from egrethook.callers.segments import IPv4Endpoint
from egrethook.upstreams.upstream import Upstream

CallerTarget = tuple[int, IPv4Endpoint]
"""A caller's address, and the address and port that it opens flows to."""


class LastOpenings:
    """The last opening of each caller to each target.

    An upstream whose process has ended resets the caller, which reconnects at once from
    another port. A balancer sees the reconnect but not the reset.

    Parameters
    ----------
    answer_times : AnswerTimes
        Tells how soon after an opening a reconnect shows that it failed.
    """

    def __init__(self, answer_times: AnswerTimes) -> None:
        self._answer_times = answer_times
        self._flows: dict[CallerTarget, ForwardedFlow] = {}

    def note(self, flow: ForwardedFlow, now: float) -> None:
        """Let a flow avoid the silent upstreams, and remember it as the last one."""
        caller = flow.segment.caller[0], flow.segment.target
        flow.avoided = self.avoided_by(caller, now)
        self._flows[caller] = flow

    def avoided_by(self, caller: CallerTarget, now: float) -> list[Upstream]:
        """Return what a caller now avoids; changes nothing."""
        previous = self._flows.get(caller)
        if previous is None or not previous.awaits_first_answer:
            return []
        if now - previous.sent_at < self._answer_times.min_reconnect_s:
            return []
        return [*previous.avoided, *previous.tried]

    def forget_others(self, known_flows: Container[bytes]) -> None:
        """Forget the openings of flows that are not known any more."""
        for caller, flow in list(self._flows.items()):
            if flow.segment.flow not in known_flows:
                del self._flows[caller]
