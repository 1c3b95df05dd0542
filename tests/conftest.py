from __future__ import annotations

import functools
import sys
from pathlib import Path

import pytest
from hypothesis import settings

from egrethook.error_boundary import ErrorBoundary

sys.path.insert(0, str(Path(__file__).parent))

# Makes results reproducible: examples are derived from the tests' source code, and
# a slow machine does not fail a test by exceeding a deadline.
settings.register_profile("fixed", derandomize=True, deadline=None)
settings.load_profile("fixed")


@pytest.fixture(autouse=True)
def no_unexpected_errors(request):
    """Fail a test in which a loop survived an error that nothing expected."""
    before = ErrorBoundary.total()
    yield
    if request.node.get_closest_marker("expects_unexpected_errors") is None:
        assert ErrorBoundary.total() == before


KNOWN_FAILURES = Path(__file__).parents[1] / "KNOWN-RED.txt"


@functools.cache
def known_failures():
    """Return the expected failure text by test id, from lines of `TEST | TEXT`."""
    if not KNOWN_FAILURES.exists():
        return {}
    lines = KNOWN_FAILURES.read_text(encoding="utf-8").splitlines()
    entries = (line.split(" | ", 1) for line in lines if line.startswith("tests/"))
    return {test: text for test, text in entries}


def failure_texts(excinfo):
    """Return the violations of a failed soak test, or else the failure message.

    A soak test is recognised by its local variable `reports`.
    """
    for entry in excinfo.traceback:
        reports = entry.locals.get("reports")
        if isinstance(reports, dict):
            return [
                violation.what
                for report in reports.values()
                for violation in report.violations
            ]
    return [str(excinfo.value)]


@pytest.hookimpl(wrapper=True)
def pytest_runtest_makereport(item, call):
    """Report the failure of a listed test as an expected failure (xfail).

    It must be a failed assertion, and every failure text must contain the listed text,
    so that errors and other faults still fail the test.
    """
    report = yield
    known_text = known_failures().get(item.nodeid)
    asserted = call.excinfo is not None and call.excinfo.errisinstance(AssertionError)
    if known_text is not None and report.when == "call" and asserted:
        failures = failure_texts(call.excinfo)
        if failures and all(known_text in failure for failure in failures):
            report.outcome = "skipped"
            report.wasxfail = "listed in KNOWN-RED.txt"
    return report
