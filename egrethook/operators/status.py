"""The status of a balancer as JSON-ready data."""

from __future__ import annotations

import time
from typing import Any

from egrethook.balancer import Balancer
from egrethook.upstreams.pool import OwnedUpstream


def balancer_status(balancer: Balancer) -> dict[str, Any]:
    """Return the status of a balancer, the body of ``/status``."""
    store = balancer.store
    configuration = store.configuration
    executor = balancer.executor
    return {
        "name": balancer.identity.balancer,
        "incarnation": str(balancer.identity.incarnation),
        "failure_domain": balancer.settings.failure_domain,
        "ready": balancer.ready,
        "leaving": balancer.membership.leaving,
        "revision": configuration.complete_revision if configuration else 0,
        "preset": configuration.preset if configuration else None,
        "domains": (
            {name: d.in_service for name, d in configuration.domains.items()}
            if configuration
            else {}
        ),
        "platform_reachable": balancer.reader.reachable,
        "platform_calls": balancer.reader.calls,
        "platform_bytes": balancer.reader.bytes_read,
        "platform_failures": balancer.reader.failures,
        "refused_values": [f"{k.kind}/{k.name}" for k in store.refused],
        "address_conflicts": store.conflicts,
        "upstreams": [
            upstream_status(name, upstream)
            for name, upstream in sorted(executor.pool.items())
        ],
        "members": members_status(balancer),
        "requests": {
            **vars(executor.counts),
            "unfinished": executor.unfinished,
            "flows_opened": executor.issuer.flows_opened,
        },
        "passed_on": balancer.placement.passed_on,
        "relays_pending": balancer.hub.pending_relays,
        "tokens": len(executor.rights),
        "inherited": [e.balancer for e in executor.rights.inherited],
    }


def upstream_status(name: str, upstream: OwnedUpstream) -> dict[str, Any]:
    """Return the status of one upstream."""
    admission = upstream.admission
    return {
        "name": name,
        "service": admission.endpoint.service,
        "owned": upstream.owned,
        "connected": admission.connected,
        "state": admission.endpoint.state.value,
        "warmth": admission.warmth.value,
        "running": admission.running,
        "foreign": admission.foreign,
        "queued": len(upstream.backlog),
        "flows": admission.flows,
        "accepts_work": admission.accepts_work,
    }


def members_status(balancer: Balancer) -> list[dict[str, Any]]:
    """Return what a balancer knows about the other members of the fleet."""
    now = time.monotonic()
    return [
        {
            "name": name,
            "failure_domain": member.vm.domain,
            "alive": balancer.membership.is_alive(name, now),
            "state": member.state.name.lower(),
            "revision": member.revision,
        }
        for name, member in sorted(balancer.membership.members.items())
    ]
