"""The tasks that a forwarding process runs on its event loop."""

from __future__ import annotations

import random
import secrets
import signal
from typing import TYPE_CHECKING

import anyio

from egrethook.addresses import Address
from egrethook.balancers.gossip import Gossip
from egrethook.balancers.gossip_codec import (
    MemberInfo,
    OutlierReport,
    ReachReport,
    SpeedReport,
)
from egrethook.balancers.gossip_members import GossipMembers
from egrethook.clock import SuspensionDetector
from egrethook.datagrams import bind_when_free
from egrethook.discovery.follower import RegistryFollower
from egrethook.discovery.records import RecordSource
from egrethook.error_boundary import ErrorBoundary
from egrethook.forwarding.features import Feature
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.interleaving import ImportInterleaver
from egrethook.forwarding.settings import SettingsFile
from egrethook.line_log import LineLog
from egrethook.logs import PartLog
from egrethook.operators.probes import ProbeAnswer, ProbeServer
from egrethook.signals import SignalReceiver
from egrethook.upstreams.cold_limit import SENDERS_PER_UPSTREAM
from egrethook.upstreams.reachability import HeardDomains

if TYPE_CHECKING:
    from egrethook.balancers.speed_exchange import SpeedExchange
    from egrethook.forwarding.domain_departure import DomainDeparture
    from egrethook.upstreams.outliers import OutlierDetector

DUE_WORK_INTERVAL_S = 0.01
"""Interval between checks for due work, in seconds."""

HOUSEKEEPING_INTERVAL_S = 0.2
"""Interval between housekeeping rounds, in seconds."""

SETTINGS_CHECK_INTERVAL_S = 1.0
"""Interval between checks of the settings file, in seconds."""

INDEPENDENT_READ_AGE_S = 2.0
"""Age of the replica above which a process reads the registry itself, in seconds.

Below it, only the reader of each failure domain does; the others get its changes by
gossip.
"""

_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGHUP)

_LOG = PartLog("forwarder")


class ForwarderTasks:
    """Runs a forwarder until it is told to leave.

    Parameters
    ----------
    forwarder : Forwarder
        The data path.
    source : RecordSource
        Reads the registry.
    settings_path : str
        The settings file, which is reloaded when it changes.
    log : LineLog
        The log of this process.
    """

    def __init__(
        self,
        forwarder: Forwarder,
        source: RecordSource,
        settings_path: str,
        log: LineLog,
    ) -> None:
        settings = forwarder.settings
        self._forwarder = forwarder
        self._source = source
        self._settings = settings
        self._settings_file = SettingsFile(settings_path, settings)
        self._log = log
        self._clock = forwarder.clock
        rng = random.Random()
        # Starts with a random incarnation number and a heartbeat counter of 0.
        own_member = MemberInfo(
            Address.parse(settings.peers),
            settings.failure_domain,
            secrets.randbits(62),
            0,
        )
        self._members = GossipMembers(own_member, settings.seeds, rng)
        self._peer_socket = bind_when_free(
            own_member.address, meanwhile=forwarder.handle_ready_packets
        )
        self._gossip = Gossip(
            self._peer_socket,
            self._members,
            forwarder.replica,
            self._clock,
            rng,
            self._check_for_suspension,
            forwarder.apply_health_report,
        )
        forwarder.add_change_listener(self._gossip.propagate)
        forwarder.set_health_listener(
            lambda upstream, verdict: self._gossip.report(upstream.token, verdict)
        )
        if forwarder.outliers is not None:
            self._connect_outliers(forwarder.outliers)
        forwarder.set_cold_sender_check(self._is_cold_sender)
        forwarder.set_heard_domains(self._heard_domains)
        forwarder.set_gossip_age(self._gossip_age)
        self._departure = self._new_departure()
        forwarder.set_live_balancers(self._live_balancers)
        self._follower = RegistryFollower(
            source, forwarder.replica, self._should_read_registry, self._clock, rng
        )
        self._speed_exchange = self._new_speed_exchange(rng)
        self._suspension_detector = SuspensionDetector()
        self._departure_errors = ErrorBoundary(_LOG, "domain departure")
        self._member_errors = ErrorBoundary(_LOG, "live members")
        self._reload_errors = ErrorBoundary(_LOG, "settings reload")

    def _new_departure(self) -> DomainDeparture | None:
        """Return the decision of the failure domain, or None if it is switched off."""
        settings, forwarder = self._settings, self._forwarder
        if Feature.DOMAIN_DEPARTURE not in settings.enabled_features:
            return None
        from egrethook.forwarding.domain_departure import DomainDeparture

        departure = DomainDeparture(
            settings.failure_domain,
            forwarder.reach_evidence,
            forwarder.view.domains_with_upstreams,
            self._members,
            self._send_reach_report,
        )
        forwarder.set_departure(departure)
        self._gossip.set_handler(
            ReachReport,
            lambda report, source: departure.note_report(report, self._clock.now()),
        )
        return departure

    def _connect_outliers(self, outliers: OutlierDetector) -> None:
        """Exchange what is seen of upstreams with the other balancers."""
        outliers.set_listener(
            lambda upstream, is_outlier: self._gossip.send_to_domain(
                OutlierReport(upstream.token, is_outlier)
            )
        )
        self._gossip.set_handler(
            OutlierReport,
            lambda report, source: self._forwarder.apply_outlier_report(
                report.token, report.is_outlier, str(source)
            ),
        )

    def _new_speed_exchange(self, rng: random.Random) -> SpeedExchange | None:
        """Return the exchange of speeds, or None if it is switched off."""
        forwarder = self._forwarder
        if forwarder.speeds is None:
            return None
        from egrethook.balancers.speed_exchange import SpeedExchange

        exchange = SpeedExchange(
            self._gossip,
            self._members,
            forwarder.speeds,
            forwarder.upstream_name,
            self._clock,
            rng,
        )
        self._gossip.set_handler(SpeedReport, exchange.handle)
        return exchange

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then leave.

        Signals during the leave change nothing.
        """
        with self._peer_socket, SignalReceiver(*_SIGNALS) as signals:
            async with anyio.create_task_group() as tasks:
                for task in (
                    self._serve_packets,
                    self._run_due_work,
                    self._run_housekeeping,
                    self._run_departure,
                    self._watch_settings,
                    self._follower.run,
                    self._gossip.send_digests,
                    self._gossip.receive,
                    self._serve_readiness,
                    self._serve_metrics,
                ):
                    tasks.start_soon(task)
                if self._speed_exchange is not None:
                    tasks.start_soon(self._speed_exchange.run)
                await self._wait_for_leave(signals)
                self._forwarder.request_leave()
                _LOG.info("process leaving.", leave_s=self._settings.leave_s)
                self._gossip.leave()
                await anyio.sleep(self._settings.leave_s)
                tasks.cancel_scope.cancel()
        self._forwarder.finish_leave()
        flows = self._forwarder.dispatcher.known_flows
        _LOG.info("process stopping.", open_flows=flows)

    async def _wait_for_leave(self, signals: SignalReceiver) -> None:
        # A signal may have arrived before the event loop ran.
        if self._forwarder.leave_requested:
            return
        async for number in signals:
            _LOG.info("signal received.", signal=number.name)
            if number != signal.SIGHUP:
                return
            self._reload()

    async def _watch_settings(self) -> None:
        """Reload the settings when the file changes without a signal."""
        while True:
            await anyio.sleep(SETTINGS_CHECK_INTERVAL_S)
            if self._settings_file.has_changed():
                self._reload()

    def _reload(self) -> None:
        with self._reload_errors:
            settings = self._settings_file.reload()
            if settings is None:
                return
            self._members.set_seeds(settings.seeds)
            self._forwarder.apply_settings(settings)
            self._settings = settings

    def _should_read_registry(self) -> bool:
        now = self._clock.now()
        return (
            self._members.is_reader(now)
            or self._forwarder.replica.age(now) > INDEPENDENT_READ_AGE_S
        )

    def _heard_domains(self) -> HeardDomains:
        members = self._members
        now = self._clock.now()
        return HeardDomains(members.live_domains(now), members.known_domains(now))

    def _gossip_age(self, domain: str) -> float | None:
        """Return the time since gossip came from a domain, if it tells of a cut.

        It tells nothing of this VM's own failure domain, of one whose balancers have
        all left, or while this VM hears no gossip at all.
        """
        if domain == self._settings.failure_domain:
            return None
        return self._members.unexpected_silence(domain, self._clock.now())

    def _live_balancers(self) -> int:
        """Return the number of live balancers, or 0 before any other is heard."""
        others = len(self._members.live(self._clock.now()))
        return others + 1 if others else 0

    # Domain departure ------------------------------------------------------------

    async def _run_departure(self) -> None:
        """Decide with the other balancers whether the failure domain departs."""
        departure = self._departure
        while departure is not None:
            await anyio.sleep(departure.check_interval_s)
            with self._departure_errors:
                departure.step(self._clock.now())

    def _send_reach_report(self, report: ReachReport, limit: int | None) -> None:
        targets = self._members.report_targets(self._clock.now())
        self._gossip.send_to(report, targets[:limit])

    # Members -------------------------------------------------------------------

    def _share_live_members(self) -> None:
        """Tell the forwarder which balancers live, except those that leave."""
        from egrethook.upstreams.subsets import FleetMember

        others = [
            FleetMember(str(member.address), member.failure_domain)
            for member in self._members.live(self._clock.now())
            if not member.leaving
        ]
        self._forwarder.set_live_members(str(self._members.own.address), others)

    def _is_cold_sender(self, upstream: str) -> bool:
        return self._members.is_among_first(
            upstream, SENDERS_PER_UPSTREAM, self._clock.now()
        )

    # Probes --------------------------------------------------------------------

    async def _serve_readiness(self) -> None:
        address = Address.parse(self._settings.probes)
        await ProbeServer(address, {"/readyz": self._readiness_response}).run()

    def _readiness_response(self) -> ProbeAnswer:
        return ProbeAnswer(200 if self._forwarder.ready else 503)

    async def _serve_metrics(self) -> None:
        host = Address.parse(self._settings.packets).host
        address = Address(host, self._settings.metrics_port)
        await ProbeServer(
            address,
            {"/metrics": self._metrics_response},
            {"/where": self._where_response},
        ).run()

    def _where_response(self, query: str) -> ProbeAnswer:
        # Few processes are ever asked, so it is imported on the first request.
        with ImportInterleaver(self._forwarder.handle_ready_packets):
            from egrethook.forwarding.where import answer_where

        forwarder = self._forwarder
        return answer_where(
            query,
            forwarder.view,
            forwarder.dispatcher,
            forwarder.explainer,
            self._clock.now(),
        )

    def _metrics_response(self) -> ProbeAnswer:
        # The metrics library loads slowly, so it is imported on the first request.
        with ImportInterleaver(self._forwarder.handle_ready_packets):
            from egrethook.forwarding.metrics import render_metrics

        return ProbeAnswer(200, render_metrics(self._forwarder, self._process_counts))

    def _process_counts(self) -> dict[str, float]:
        return self._speed_counts() | {
            "registry_calls": self._source.calls,
            "gossip_bytes": self._gossip.bytes_sent,
            "gossip_refused": self._gossip.refused,
            "log_lines_left_out": self._log.left_out,
            "pauses": self._suspension_detector.count,
            "unexpected_errors": ErrorBoundary.total(),
        }

    def _speed_counts(self) -> dict[str, float]:
        exchange = self._speed_exchange
        if exchange is None:
            return {}
        return {
            "speed_report_bytes": exchange.bytes_sent,
            "speed_reports_received": exchange.received,
            "speed_reports_ignored": exchange.ignored,
        }

    # Packets and time ------------------------------------------------------------

    async def _serve_packets(self) -> None:
        socket = self._forwarder.socket
        handle_ready_packets = self._forwarder.handle_ready_packets
        while True:
            await anyio.wait_readable(socket.fileno())
            handle_ready_packets()

    async def _run_due_work(self) -> None:
        dispatcher = self._forwarder.dispatcher
        while True:
            await anyio.sleep(DUE_WORK_INTERVAL_S)
            due = dispatcher.next_due()
            if dispatcher.waiting or (due is not None and due <= self._clock.now()):
                self._forwarder.handle_ready_packets()

    async def _run_housekeeping(self) -> None:
        while True:
            await anyio.sleep(HOUSEKEEPING_INTERVAL_S)
            await self._check_for_suspension()
            if self._forwarder.subsets is not None:
                with self._member_errors:
                    self._share_live_members()
            self._forwarder.housekeep()
            self._forwarder.handle_ready_packets()
            self._log.flush()

    async def _check_for_suspension(self) -> None:
        """Stop trusting the replica if this machine has been suspended."""
        pause_s = self._suspension_detector.check()
        if pause_s:
            _LOG.warning("machine was suspended.", seconds=round(pause_s, 3))
            self._forwarder.note_suspension()
            if self._speed_exchange is not None:
                self._speed_exchange.ask_again()
