"""A forwarding process that learns late of a removal, with its own clock.

Guards against delays that are counted from when a process learns of a change.
"""

from __future__ import annotations

from contextlib import contextmanager

import pytest
from helpers import published_item as item
from registry_harness import manual_forwarder

from egrethook.discovery.records import Changes, Snapshot
from egrethook.emulator.flow_records import InMemoryDecoder, upstream_record

DRAIN_BOUND_S = 3.0
"""Time after a removal in which openings may still reach the upstream, in seconds."""


@contextmanager
def forwarder_in_touch(confirmed_at):
    """A process whose copy holds an upstream and was last confirmed at a given time."""
    decoder = InMemoryDecoder()
    with manual_forwarder(decoder, confirmed_at) as forwarder:
        record = item("a", 1, decoder.encode(upstream_record("a", "zone-a")))
        forwarder.replica.apply_snapshot(Snapshot([record], 1), confirmed_at)
        yield forwarder


def learn_of_removal(forwarder, after_s, by_snapshot):
    """Learn of the removal while the upstream still answers."""
    forwarder.clock.advance(after_s)
    now = forwarder.clock.now()
    forwarder.view.upstreams.get("a").answered_at = now - 0.05
    if by_snapshot:
        forwarder.replica.apply_snapshot(Snapshot([], 2), now)
    else:
        forwarder.replica.apply_changes(Changes(1, 2, [item("a", 2, None)]), now)


@pytest.mark.parametrize("by_snapshot", [False, True])
@pytest.mark.parametrize("learned_after_s", [0.1, 1.0, 2.12])
def test_removal_learned_late_ends_openings_within_the_bound(
    learned_after_s, by_snapshot
):
    """Guards against openings to an upstream 4.3 s after its removal.

    The VMs that read the registry lose power just before it.
    """
    with forwarder_in_touch(confirmed_at=10.0) as forwarder:
        learn_of_removal(forwarder, learned_after_s, by_snapshot)
        while forwarder.clock.now() < 10.0 + DRAIN_BOUND_S:
            forwarder.clock.advance(0.2)
            forwarder.housekeep()
        assert forwarder.view.upstreams.get("a") is None


@pytest.mark.parametrize("outage_s", [3.0, 20.0])
def test_record_that_expired_in_an_outage_has_2_s_to_return(outage_s):
    """Guards against processes that drop all upstreams when the registry is back."""
    with forwarder_in_touch(confirmed_at=10.0) as forwarder:
        learn_of_removal(forwarder, outage_s, by_snapshot=False)
        forwarder.clock.advance(2.0)
        forwarder.housekeep()
        assert forwarder.view.upstreams.get("a").accepts_flows
