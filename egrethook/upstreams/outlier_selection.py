"""Keeps openings from upstreams that fail requests, whichever selector is in use."""

from __future__ import annotations

from collections.abc import Sequence
from typing import NamedTuple

from egrethook.upstreams.outliers import OutlierDetector
from egrethook.upstreams.selection import Opening, UpstreamSelector
from egrethook.upstreams.upstream import Upstream


class _Admitted(NamedTuple):
    """The candidates that may get ordinary openings.

    Parameters
    ----------
    version : int
        The version of the detector's decisions.
    valid_until : float
        When the first pause among them ends, in seconds.
    """

    candidates: Sequence[Upstream]
    upstreams: Sequence[Upstream]
    version: int
    valid_until: float


class OutlierSelector:
    """Keeps openings from outliers but for trials; another selector does the rest.

    Parameters
    ----------
    selector : UpstreamSelector
        Chooses among the other upstreams.
    outliers : OutlierDetector
        Knows which upstreams are left out.
    """

    def __init__(self, selector: UpstreamSelector, outliers: OutlierDetector) -> None:
        self._selector = selector
        self._outliers = outliers
        self._admitted: dict[str, _Admitted] = {}

    def choose(
        self, candidates: Sequence[Upstream], opening: Opening
    ) -> Upstream | None:
        """Return the best candidate with room, or None if none has room.

        If all that are left were tried before, outliers are chosen as well.
        """
        outliers = self._outliers
        if outliers.is_idle or not candidates:
            return self._selector.choose(candidates, opening)
        trial = outliers.trial_for(candidates, opening)
        if trial is not None:
            return trial
        admitted = self._admitted_of(candidates, opening.now)
        if all(one in opening.tried for one in admitted):
            admitted = candidates
        return self._selector.choose(admitted, opening)

    def _admitted_of(
        self, candidates: Sequence[Upstream], now: float
    ) -> Sequence[Upstream]:
        """Return the admitted ones, cached for each service while nothing changes."""
        service = candidates[0].service
        known = self._admitted.get(service)
        if (
            known is None
            or known.candidates is not candidates
            or known.version != self._outliers.version
            or now >= known.valid_until
        ):
            known = self._admitted[service] = _Admitted(
                candidates,
                [one for one in candidates if self._outliers.admits(one, now)],
                self._outliers.version,
                self._outliers.pause_ends_at(now),
            )
        return known.upstreams
