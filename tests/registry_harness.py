"""A registry in memory that can come back from a copy, and a clock to follow it by."""

from __future__ import annotations

import random
from contextlib import contextmanager

import anyio

from egrethook.addresses import Address
from egrethook.datagrams import DatagramSocket
from egrethook.discovery.follower import RegistryFollower
from egrethook.discovery.records import Changes, ItemKind, PublishedItem, Snapshot
from egrethook.emulator.builders import ManualClock
from egrethook.exceptions import HistoryLostError, SourceUnavailableError
from egrethook.forwarding.forwarder import Forwarder
from egrethook.forwarding.settings import ForwarderSettings
from egrethook.platform.packet_header import PacketHeader

ANSWER_S = 0.004
"""Time that a call takes, in seconds."""

WATCH_POLL_S = 0.01
"""Time between two looks for changes during a watch, in seconds."""


class EventLoopClock:
    def now(self):
        return anyio.current_time()


def follow(source, replica, seconds, must_read=lambda: True, script=None):
    """Run a follower in virtual time, beside a script of what happens meanwhile."""

    async def run():
        follower = RegistryFollower(
            source, replica, must_read, EventLoopClock(), random.Random(1)
        )
        with anyio.move_on_after(seconds):
            async with anyio.create_task_group() as tasks:
                if script is not None:
                    tasks.start_soon(script)
                await follower.run()

    from trio.testing import MockClock

    options = {"clock": MockClock(autojump_threshold=0.0)}
    anyio.run(run, backend="trio", backend_options=options)


@contextmanager
def manual_forwarder(decoder, starts_at):
    """Yield a forwarding process whose clock stands still until it is advanced."""
    packets = DatagramSocket(Address("127.0.0.1", 0))
    address = str(packets.address)
    settings = ForwarderSettings(
        name="vm-1",
        failure_domain="zone-a",
        packets=address,
        peers=address,
        probes=address,
        registry=address,
    )
    with Forwarder(settings, PacketHeader(), decoder, packets) as forwarder:
        forwarder._clock = ManualClock()
        forwarder._clock.advance(starts_at - forwarder.clock.now())
        yield forwarder


class EraRegistry:
    """Holds items under one revision counter; it is its own client.

    Parameters
    ----------
    era : int
        The first era; 0 for a registry without eras, which then names none.
    """

    def __init__(self, era=1):
        self.era = era
        self.revision = 0
        self.items = {}
        self.events = []
        self.is_up = True
        self.calls = 0

    def put(self, kind, name, value):
        """Write an item; None deletes it. Return the revision."""
        self.revision += 1
        change = PublishedItem(kind, name, self.revision, value)
        self.events.append(change)
        self.items.pop((kind, name), None)
        if value is not None:
            self.items[kind, name] = change
        return self.revision

    def configure(self, value):
        return self.put(ItemKind.ROUTES, "", value)

    def register(self, name, value):
        return self.put(ItemKind.UPSTREAM, name, value)

    def evacuate(self, domain, value=b"{}"):
        return self.put(ItemKind.DOMAIN_OUT, domain, value)

    def copy(self):
        return dict(self.items), list(self.events), self.revision

    def come_back(self, copy):
        """Return to an older state, in a new era."""
        items, events, self.revision = copy
        self.items, self.events = dict(items), list(events)
        self.era += bool(self.era)
        self.is_up = True

    def read(self):
        """Return all items, without a call."""
        return Snapshot(list(self.items.values()), self.revision, self.era)

    def read_changes(self, after):
        """Return the changes after a revision, without a call."""
        newer = [event for event in self.events if event.revision > after]
        newest = max((event.revision for event in newer), default=after)
        return Changes(after, newest, newer, era=self.era)

    async def _answer(self):
        self.calls += 1
        await anyio.sleep(ANSWER_S)
        if not self.is_up:
            raise SourceUnavailableError("connection refused")

    async def snapshot(self):
        await self._answer()
        return self.read()

    async def changes(self, after, wait_s):
        await self._answer()
        ends_at = anyio.current_time() + wait_s
        while True:
            if not self.is_up:
                raise SourceUnavailableError("connection reset")
            if after > self.revision:
                raise HistoryLostError("the registry has no such revision")
            changes = self.read_changes(after)
            if changes.items or anyio.current_time() >= ends_at:
                return changes
            await anyio.sleep(WATCH_POLL_S)

    async def aclose(self):
        """Do nothing; there is no connection."""
