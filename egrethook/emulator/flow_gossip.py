"""Gossip between the balancers of one failure domain in a simulation."""

from __future__ import annotations

from collections.abc import Callable, Sequence

from egrethook.emulator.flow_balancers import SimulatedVm
from egrethook.emulator.flow_events import EventQueue
from egrethook.emulator.flow_links import INTRA_DOMAIN_DELAY_S
from egrethook.upstreams.health import HealthObservation
from egrethook.upstreams.upstream import Upstream


class DomainGossip:
    """Reports what a balancer observes to the others of its failure domain.

    Parameters
    ----------
    vms : sequence of SimulatedVm
        The current balancers; may change.
    """

    def __init__(self, events: EventQueue, vms: Sequence[SimulatedVm]) -> None:
        self._events = events
        self._vms = vms

    def share_health(
        self, sender: SimulatedVm, upstream: Upstream, observation: HealthObservation
    ) -> None:
        """Report a health observation to the other balancers of the domain."""

        def note(vm: SimulatedVm, known: Upstream) -> None:
            vm.health.note_report(known, observation, self._events.now)

        self._report(sender, upstream, note)

    def share_outlier(
        self, sender: SimulatedVm, upstream: Upstream, is_outlier: bool
    ) -> None:
        """Report what a balancer sees of an upstream's answers to its domain."""

        def note(vm: SimulatedVm, known: Upstream) -> None:
            if vm.outliers is not None:
                now = self._events.now
                vm.outliers.note_report(known, is_outlier, sender.name, now)

        self._report(sender, upstream, note)

    def _report(
        self,
        sender: SimulatedVm,
        upstream: Upstream,
        note: Callable[[SimulatedVm, Upstream], None],
    ) -> None:
        """Call `note` for each receiver that knows the upstream, after the delay."""

        def arrive() -> None:
            for vm in self._vms:
                if vm is sender or vm.domain != sender.domain:
                    continue
                known = vm.view.upstreams.get(upstream.name)
                if known is not None:
                    note(vm, known)

        self._events.after(INTRA_DOMAIN_DELAY_S, arrive)
