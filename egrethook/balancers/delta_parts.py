"""Changes that are larger than a datagram, sent and received in parts."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterable, Iterator, Sequence
from typing import NamedTuple

from egrethook.addresses import Address
from egrethook.balancers.gossip_codec import Delta
from egrethook.discovery.catalog import item_size
from egrethook.discovery.records import Changes, PublishedItem

DELTA_MAX_BYTES = 48_000
"""Maximum size of the items in one delta before compression, in bytes.

A delta of this size fits a datagram even if its items do not compress. A single
item that is larger is still sent.
"""

MAX_SENDERS = 4
"""Number of senders whose parts are kept; the oldest are dropped."""


def split_delta(
    changes: Changes, age_s: float, era_age_s: float = float("inf")
) -> list[Delta]:
    """Return the deltas that carry the changes, each of which fits a datagram.

    Parameters
    ----------
    age_s : float
        Time since the changes were known to be current, in seconds.
    era_age_s : float
        Time since any balancer is known to have read their era first, in seconds.
    """
    groups = list(_groups(changes.items)) or [()]
    return [
        Delta(changes._replace(items=group), age_s, part, len(groups), era_age_s)
        for part, group in enumerate(groups)
    ]


def _groups(items: Iterable[PublishedItem]) -> Iterator[Sequence[PublishedItem]]:
    """Yield the items in groups of at most `DELTA_MAX_BYTES`."""
    group: list[PublishedItem] = []
    size = 0
    for item in items:
        size += item_size(item)
        if group and size > DELTA_MAX_BYTES:
            yield group
            group, size = [], item_size(item)
        group.append(item)
    if group:
        yield group


class _Transfer(NamedTuple):
    """The parts that have come from one sender, and when they were current."""

    parts: dict[int, Delta]
    known_at: float

    def continues_with(self, delta: Delta) -> bool:
        """Return whether another part belongs to the same changes."""
        other = next(iter(self.parts.values()))
        return (delta.parts, delta.changes._replace(items=())) == (
            other.parts,
            other.changes._replace(items=()),
        )


class DeltaAssembly:
    """Collects the parts of changes until all of one sender's have arrived."""

    def __init__(self) -> None:
        self._transfers: OrderedDict[Address, _Transfer] = OrderedDict()

    def add(self, source: Address, delta: Delta, now: float) -> Delta | None:
        """Return the whole delta, or None while parts of it are missing.

        Its age counts from the oldest part.
        """
        if delta.parts == 1:
            return delta
        known_at = now - delta.age_s
        transfer = self._transfers.pop(source, None)
        if transfer is None or not transfer.continues_with(delta):
            transfer = _Transfer({}, known_at)
        transfer = _Transfer(
            {**transfer.parts, delta.part: delta}, min(known_at, transfer.known_at)
        )
        if len(transfer.parts) == delta.parts:
            items = [
                item
                for _, part in sorted(transfer.parts.items())
                for item in part.changes.items
            ]
            whole = delta.changes._replace(items=items)
            return Delta(whole, now - transfer.known_at, era_age_s=delta.era_age_s)
        self._transfers[source] = transfer
        if len(self._transfers) > MAX_SENDERS:
            self._transfers.popitem(last=False)
        return None
