"""Command line: validation, exit statuses, coded errors and changed values.

Guards against tracebacks or unclear errors for wrong input, and against a command
that prints an index which the fleet would refuse. The last test guards against
traces that miss a process on the path of a request.
"""

from __future__ import annotations

import json
import socket
import sys

import pytest
import yaml
from helpers import index_value
from opentelemetry.sdk.trace.export.in_memory_span_exporter import InMemorySpanExporter
from proofs import SMALL_LAYOUT

from egrethook.emulator.layouts import LAYOUTS, EmulatedFleet
from egrethook.emulator.virtual import VirtualFleet, run_virtual
from egrethook.exceptions import error_classes
from egrethook.operators.commands import main
from egrethook.tracing import Tracer


@pytest.fixture
def run(monkeypatch, capfd):
    def run_command(*words: str) -> tuple[int, str, str]:
        monkeypatch.setattr(sys, "argv", ["egrethook", *words])
        status = main()
        captured = capfd.readouterr()
        return status, captured.out, captured.err

    return run_command


@pytest.fixture
def settings() -> dict:
    return EmulatedFleet(LAYOUTS["cantabrico"]).balancer_settings("bilbao-1")


def write(path, value) -> str:
    path.write_text(value if isinstance(value, str) else yaml.safe_dump(value))
    return str(path)


@pytest.mark.parametrize("value", ["inf", "nan", "many"])
@pytest.mark.parametrize("option", ["--seed", "--minutes"])
def test_option_that_is_no_finite_number_is_a_coded_error(run, option, value):
    """Guards against a traceback, and a run that never ends."""
    status, _, err = run("soak", option, value)
    assert (status, err.startswith("egrethook: E10")) == (2, True)
    assert f"{option}: {value!r} is not a number" in err


def test_check_of_valid_settings_or_value_succeeds(run, tmp_path, settings):
    status, out, _ = run("check", write(tmp_path / "a.yaml", settings))
    assert (status, "bilbao-1" in out) == (0, True)
    status, out, _ = run("check", write(tmp_path / "b.yaml", index_value(3)))
    assert (status, "kind index" in out) == (0, True)


@pytest.mark.parametrize(
    ("change", "path"),
    [
        ({"surprise": 1}, "surprise"),
        ({"callers": "nowhere"}, "callers"),
        ({"peers": "127.0.0.1:99999"}, "peers"),
        ({"fleet_secrets": ["short"]}, "fleet_secrets.0"),
        ({"leave_s": -1}, "leave_s"),
        ({"platform": "ftp://x"}, "platform"),
        ({"name": ""}, "name"),
    ],
)
def test_invalid_setting_gives_e101_with_its_path_and_no_traceback(
    run, tmp_path, settings, change, path
):
    file = write(tmp_path / "bad.yaml", {**settings, **change})
    for command in (("check", file), ("serve", "--settings", file)):
        status, _, err = run(*command)
        assert status == 2
        assert err.startswith("egrethook: E101:")
        assert path in err
        assert "Traceback" not in err


@pytest.mark.parametrize("text", ["a: [", "- 1", "a: 1\na: 2", "\x00", ""])
def test_check_of_a_file_without_valid_settings_gives_a_coded_error(
    run, tmp_path, text
):
    status, _, err = run("check", write(tmp_path / "bad.yaml", text))
    assert (status, err.startswith("egrethook: E10")) == (2, True)


def test_check_of_a_missing_file_fails(run, tmp_path):
    status, _, err = run("check", str(tmp_path / "none.yaml"))
    assert (status, "No such file" in err) == (2, True)


def test_serve_with_a_port_in_use_gives_e103_with_the_address(run, tmp_path, settings):
    with socket.socket() as holder:
        holder.bind(("127.0.0.1", 0))
        holder.listen()
        address = f"127.0.0.1:{holder.getsockname()[1]}"
        file = write(tmp_path / "a.yaml", {**settings, "admin": address})
        status, _, err = run("serve", "--settings", file)
    assert (status, f"E103: {address}" in err) == (3, True)


def test_serve_with_unreachable_platform_gives_e104_with_its_url(
    run, tmp_path, settings
):
    file = write(tmp_path / "a.yaml", {**settings, "start_timeout_s": 0.2})
    status, _, err = run("serve", "--settings", file)
    assert (status, f"E104: {settings['platform']}" in err) == (4, True)


def test_preset_prints_the_changed_index_and_the_differences(run, tmp_path):
    file = write(tmp_path / "index.yaml", index_value(3))
    status, out, err = run("preset", "peak", "--config", file)
    changed = json.loads(out)
    assert (status, changed["preset"], changed["revision"]) == (0, "peak", 4)
    assert "preset: ordinary -> peak" in err
    assert "limit in force, queue_per_slot: 8 -> 16" in err


def test_preset_with_unknown_name_gives_e102_and_no_output(run, tmp_path):
    file = write(tmp_path / "index.yaml", index_value(3))
    status, out, err = run("preset", "carnival", "--config", file)
    assert (status, out, "E102" in err) == (2, "", True)


def test_taking_the_only_domain_in_service_out_fails(run, tmp_path):
    file = write(tmp_path / "index.yaml", index_value(3))
    status, _, err = run("domain", "domain-1", "out", "--config", file)
    assert (status, "no failure domain is in service" in err) == (2, True)


def test_domain_out_prints_the_changed_index_and_the_difference(run, tmp_path):
    domains = {"a": {"region": "r"}, "b": {"region": "r"}}
    file = write(tmp_path / "i.yaml", index_value(3, failure_domains=domains))
    status, out, err = run("domain", "a", "out", "--config", file)
    assert status == 0
    assert not json.loads(out)["failure_domains"]["a"]["in_service"]
    assert "failure_domains.a.in_service: True -> False" in err


def test_status_and_drain_of_unreachable_balancer_exit_with_4(run, monkeypatch):
    status, out, _ = run("status", "--admin", "127.0.0.1:1", "--json")
    assert (status, json.loads(out)[0]["status"]) == (4, None)
    monkeypatch.setenv("EGRETHOOK_SECRET", "a-secret-of-sixteen")
    status, _, err = run("drain", "127.0.0.1:1")
    assert (status, "E105" in err) == (4, True)


@pytest.mark.parametrize(
    "words", [("bogus",), ("call", "x"), ("demo", "--layout", "x"), ("status",)]
)
def test_wrong_command_line_gives_a_coded_error(run, words):
    status, _, err = run(*words)
    assert (status, err.startswith("egrethook: E10")) == (2, True)


def test_error_codes_are_unique():
    codes = [cls.code for cls in error_classes()]
    assert len(codes) == len(set(codes))


def test_trace_of_a_request_has_caller_entry_owner_and_upstream_spans():
    exporter = InMemorySpanExporter()

    async def trace() -> None:
        fleet = VirtualFleet(SMALL_LAYOUT, 1)
        async with fleet.running(), fleet.caller() as caller:
            tracer = Tracer("test", sample_share=1.0, exporter=exporter)
            caller._tracer = tracer
            for balancer in fleet.balancers.values():
                balancer._tracer = balancer._front._tracer = tracer
            for upstream in fleet.upstreams.values():
                upstream._tracer = tracer
            for _ in range(6):
                await caller.request("cartera")

    run_virtual(trace, seed=1)
    traces: dict[int, list[str]] = {}
    spans = sorted(exporter.get_finished_spans(), key=lambda span: span.start_time)
    for span in spans:
        traces.setdefault(span.context.trace_id, []).append(span.name)
    assert len(traces) == 6
    assert ["caller", "entry", "owner", "upstream"] in traces.values()
    ids = {span.context.span_id for span in spans}
    assert all(span.parent.span_id in ids for span in spans if span.parent)
