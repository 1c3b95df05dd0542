"""The metrics of a forwarding process in Prometheus's text format."""

from __future__ import annotations

from collections.abc import Callable, Iterator

from prometheus_client import CollectorRegistry, generate_latest
from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    HistogramMetricFamily,
)
from prometheus_client.metrics_core import Metric

from egrethook.forwarding.data_path import CostAwarePlacement
from egrethook.forwarding.forwarder import Forwarder

ProcessCounts = Callable[[], dict[str, float]]
"""Returns the counters of the tasks, by metric name without the prefix."""

_HELP = {
    "registry_calls": "Calls to the service registry.",
    "gossip_bytes": "Bytes sent to other balancers.",
    "gossip_refused": "Datagrams from other balancers that were refused.",
    "speed_report_bytes": "Bytes sent in reports of upstreams' speeds.",
    "speed_reports_received": "Reports of upstreams' speeds from live balancers.",
    "speed_reports_ignored": "Reports of upstreams' speeds from others.",
    "log_lines_left_out": "Log lines that were not written.",
    "unexpected_errors": "Steps of a loop that an unexpected error ended.",
    "pauses": "Times that this process was suspended.",
}


class ForwarderCollector:
    """Collects the metrics of the data path and of the tasks.

    Parameters
    ----------
    forwarder : Forwarder
        The data path.
    process_counts : callable
        Returns the counters of the tasks.
    """

    def __init__(self, forwarder: Forwarder, process_counts: ProcessCounts) -> None:
        self._forwarder = forwarder
        self._process_counts = process_counts

    def collect(self) -> Iterator[Metric]:
        """Yield all metrics."""
        yield from self._flow_metrics()
        yield from self._view_metrics()
        yield from self._outlier_metrics()
        if self._forwarder.cost_aware is not None:
            yield from cost_metrics(self._forwarder.cost_aware)
        for name, value in self._process_counts().items():
            yield CounterMetricFamily(f"egrethook_{name}", _HELP[name], value=value)

    def _flow_metrics(self) -> Iterator[Metric]:
        dispatcher = self._forwarder.dispatcher
        counts = dispatcher.counts
        for name, text, value in (
            ("packets", "Packets from callers.", counts.packets),
            ("openings", "Openings of flows.", counts.openings),
            ("answered", "Openings that an upstream answered.", counts.answered),
            ("resent", "Openings sent to a further upstream.", counts.resent),
            ("waited", "Openings that waited for room.", counts.waited),
        ):
            yield CounterMetricFamily(f"egrethook_flow_{name}", text, value=value)
        yield _by_reason(
            "resets", "Openings refused and open flows reset, by reason.", counts.reset
        )
        yield _by_reason("dropped", "Packets dropped by reason.", counts.dropped)
        for name, text, labels in (
            ("waited_by_route", "Openings that waited.", counts.waited_by_route),
            ("refused_by_route", "Openings refused.", counts.refused_by_route),
        ):
            yield _by_label(name, text, "route", labels.by_label())
        yield GaugeMetricFamily(
            "egrethook_flows",
            "Flows that are opening or open.",
            value=dispatcher.known_flows,
        )
        yield GaugeMetricFamily(
            "egrethook_flows_waiting", "Openings that wait.", value=dispatcher.waiting
        )
        for name, text, histogram in (
            ("opening", "From an opening to its answer.", counts.answer_times),
            ("request", "From a request to its answer.", counts.request_times),
            ("wait", "Wait of an opening for room.", counts.wait_times),
        ):
            yield HistogramMetricFamily(
                f"egrethook_{name}_seconds",
                text,
                buckets=histogram.buckets(),
                sum_value=histogram.sum_s,
            )

    def _view_metrics(self) -> Iterator[Metric]:
        forwarder = self._forwarder
        replica = forwarder.replica
        now = forwarder.clock.now()
        table = forwarder.view.table
        upstreams = forwarder.view.upstreams.all()
        subsets = forwarder.subsets
        ejected = sum(upstream.is_ejected(now) for upstream in upstreams)
        for name, text, value in (
            ("registry_era", "Era of the revision held.", replica.version.era),
            ("registry_revision", "Revision held.", replica.revision),
            (
                "registry_awaited",
                "Items that the registry has lost and that may be written again.",
                forwarder.view.awaited_items,
            ),
            ("registry_age_seconds", "Age of what is held.", replica.age(now)),
            ("configuration_version", "In force.", table.version if table else 0),
            ("upstreams", "Upstreams that are known.", len(upstreams)),
            ("upstreams_distrusted", "Upstreams left out as silent.", ejected),
            (
                "balancers_placed",
                "Live balancers among which upstreams are preferred.",
                subsets.members if subsets else 0,
            ),
            ("domains_out", "Domains out.", len(forwarder.view.domains_out)),
        ):
            yield GaugeMetricFamily(f"egrethook_{name}", text, value=value)
        if forwarder.departure is not None:
            yield GaugeMetricFamily(
                "egrethook_domain_departed",
                "Whether this failure domain reaches no upstream and has left.",
                value=float(forwarder.departure.departed),
            )
            yield CounterMetricFamily(
                "egrethook_domain_departures",
                "Times that this failure domain has left the rotation.",
                value=forwarder.departure.departures,
            )

    def _outlier_metrics(self) -> Iterator[Metric]:
        outliers = self._forwarder.outliers
        if outliers is None:
            return
        yield GaugeMetricFamily(
            "egrethook_upstreams_outliers",
            "Upstreams that get trials only, since their answers differ.",
            value=outliers.left_out,
        )
        counts = outliers.counts
        for name, text, value in (
            ("suspicious", "Requests failed at once or hanging.", counts.suspicious),
            ("ejections", "Times an upstream was left out.", counts.ejections),
            ("trials", "Openings sent to outliers as trials.", counts.trials),
            (
                "reports_held_back",
                "Reports over the rate limit.",
                counts.reports_held_back,
            ),
        ):
            yield CounterMetricFamily(f"egrethook_outlier_{name}", text, value=value)


def cost_metrics(cost_aware: CostAwarePlacement) -> Iterator[Metric]:
    """Yield the metrics of cost-aware placement."""
    costs = GaugeMetricFamily(
        "egrethook_route_cost_seconds",
        "Mean cost of a request at a typical upstream.",
        labels=["route"],
    )
    for route in cost_aware.costs.by_route():
        costs.add_metric([route.route], route.mean_s)
    yield costs
    spread = cost_aware.speeds.spread()
    factors = GaugeMetricFamily(
        "egrethook_upstream_time_factor",
        "Time that the fastest and the slowest upstream take, over the typical one.",
        labels=["upstream"],
    )
    factors.add_metric(["fastest"], spread.smallest)
    factors.add_metric(["slowest"], spread.largest)
    yield factors
    yield GaugeMetricFamily(
        "egrethook_upstreams_measured",
        "Upstreams with an estimate of their speed.",
        value=spread.upstreams,
    )


def _by_reason(name: str, text: str, counts: dict[str, int]) -> Metric:
    return _by_label(name, text, "reason", counts)


def _by_label(name: str, text: str, label: str, counts: dict[str, int]) -> Metric:
    family = CounterMetricFamily(f"egrethook_{name}", text, labels=[label])
    for value, count in counts.items():
        family.add_metric([value], count)
    return family


def render_metrics(forwarder: Forwarder, process_counts: ProcessCounts) -> bytes:
    """Return all metrics as text."""
    registry = CollectorRegistry()
    registry.register(ForwarderCollector(forwarder, process_counts))
    return generate_latest(registry)
