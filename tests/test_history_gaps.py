"""Gaps in the history of a copy of the registry.

Guards against copies that answer for revisions that they have jumped over, also once
there are too many gaps to remember each.
"""

from __future__ import annotations

from hypothesis import given
from hypothesis import strategies as st

from egrethook.discovery.history_gaps import MAX_GAPS, HistoryGaps

MAX_REVISION = 200

STRETCHES = st.lists(
    st.tuples(st.integers(0, MAX_REVISION), st.integers(0, MAX_REVISION)),
    max_size=3 * MAX_GAPS,
)


@given(STRETCHES)
def test_no_revision_inside_a_gap_counts_as_complete(stretches):
    gaps = HistoryGaps()
    for start, end in stretches:
        gaps.add(start, end)
    inside = {one for start, end in stretches for one in range(start + 1, end)}
    for revision in range(MAX_REVISION + 1):
        complete = gaps.last_complete(revision)
        assert complete <= revision
        assert complete not in inside
        if revision in inside:
            assert gaps.between(complete, revision)


def test_ends_of_a_gap_are_complete():
    gaps = HistoryGaps()
    gaps.add(90, 100)
    gaps.add(100, 110)
    assert [gaps.last_complete(n) for n in (89, 90, 95, 100, 105, 110)] == [
        *(89, 90, 90, 100, 100, 110),
    ]
    assert not gaps.between(0, 90)
    assert gaps.between(90, 91)
    assert not gaps.between(110, 200)
