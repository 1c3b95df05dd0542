"""Optional parts of a forwarding process, and what switches them on."""

from __future__ import annotations

import enum
from collections.abc import Iterable


class Feature(enum.Enum):
    """An optional part of a forwarding process."""

    OUTLIER_EJECTION = "outlier-ejection"
    """Upstreams that fail requests at once, or let them hang, get trials only."""

    COST_AWARE_PLACEMENT = "cost-aware-placement"
    """Openings go where they are expected to be answered first."""

    SHARED_SPEEDS = "shared-speeds"
    """Balancers prefer different upstreams; with costs, they also exchange speeds."""

    DOMAIN_DEPARTURE = "domain-departure"
    """Balancers of a failure domain that reaches no upstream leave the rotation."""

    FAIR_QUEUEING = "fair-queueing"
    """Routes and callers share the capacity that others leave unused."""


FEATURES_BY_GUARANTEE = {"health": frozenset(Feature)}
"""The features that a guarantee of a deployment calls for.

`health`: callers don't notice upstreams that are slow, unhealthy or unevenly loaded.
"""


def features_for(guarantees: Iterable[str]) -> frozenset[Feature]:
    """Return the features that the guarantees of a deployment call for.

    A guarantee that calls for no feature is ignored.
    """
    features: frozenset[Feature] = frozenset()
    for guarantee in guarantees:
        features |= FEATURES_BY_GUARANTEE.get(guarantee, frozenset())
    return features
