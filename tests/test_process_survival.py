"""Real forwarding processes that must start, and must not end by themselves.

Guards against what another program at one of its addresses can do to a process: odd
requests, connections that are reset, and addresses or descriptors that are taken.
"""

from __future__ import annotations

import json
import os
import socket
import struct
import subprocess
import sys
import time

import pytest
from process_harness import (
    HOST,
    ROUTES,
    UPSTREAM,
    closing_registry,
    forwarder_settings,
    forwarding_process,
    free_port,
    http_status,
    read_until,
    wait_for_status,
)

from egrethook.operators.early_probes import MAX_CONNECTIONS

pytestmark = pytest.mark.end_to_end

UPGRADE_REQUEST = (
    b"GET /readyz HTTP/1.1\r\nHost: vm\r\nConnection: Upgrade, HTTP2-Settings\r\n"
    b"Upgrade: h2c\r\nHTTP2-Settings: AAMAAABk\r\n\r\n"
)
"""A probe of an HTTP client that offers HTTP/2, as some do by default."""

CONNECT_REQUEST = b"CONNECT vm:1 HTTP/1.1\r\nHost: vm\r\n\r\n"


def reset_connection(address, data=b""):
    """Open a connection, send data and close it with a reset."""
    connection = socket.create_connection(address, timeout=5.0)
    connection.sendall(data)
    linger = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
    connection.close()


def listening_socket(port):
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    sock.bind((HOST, port))
    sock.listen()
    return sock


@pytest.mark.parametrize(
    ("request_bytes", "status"), [(UPGRADE_REQUEST, 503), (CONNECT_REQUEST, 404)]
)
def test_probe_that_asks_for_another_protocol_is_answered(
    tmp_path, request_bytes, status
):
    """Guards against HttpParserUpgrade, with which one probe ended the process."""
    with forwarding_process(tmp_path) as forwarder:
        read_until(forwarder.process, b"libraries loaded")
        for address in (forwarder.probes, forwarder.metrics):
            wait_for_status(address, 503 if address == forwarder.probes else 404)
            answered = http_status(address, request_bytes)
            assert answered == (status if address == forwarder.probes else 404)
            reset_connection(address, request_bytes)
        time.sleep(0.3)
        assert forwarder.is_running()
        assert http_status(forwarder.probes) == 503


def test_probes_that_are_reset_leave_the_process_running(tmp_path):
    """Guards against errors of accepted connections that end the listener."""
    with forwarding_process(tmp_path) as forwarder:
        read_until(forwarder.process, b"libraries loaded")
        wait_for_status(forwarder.probes, 503)
        for number in range(200):
            reset_connection(forwarder.probes, b"GET /ready"[: number % 11])
        assert http_status(forwarder.probes) == 503
        assert forwarder.is_running()


@pytest.mark.parametrize("kind", ["probes", "metrics"])
def test_tcp_address_that_is_in_use_is_bound_once_it_is_free(tmp_path, kind):
    """Guards against a process that ends as another program holds an address."""
    port = free_port()
    changes = (
        {"metrics_port": port} if kind == "metrics" else {"probes": f"{HOST}:{port}"}
    )
    with (
        listening_socket(port) as other,
        forwarding_process(tmp_path, **changes) as forwarder,
    ):
        read_until(forwarder.process, b"libraries loaded")
        time.sleep(0.5)
        assert forwarder.is_running()
        other.close()
        wait_for_status((HOST, port), 404 if kind == "metrics" else 503)


@pytest.mark.parametrize("kind", ["packets", "peers"])
def test_udp_address_that_is_in_use_is_bound_once_it_is_free(tmp_path, kind):
    """Guards against a process that ends while its predecessor still leaves."""
    settings = forwarder_settings()
    port = int(settings[kind].rpartition(":")[2])
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as predecessor:
        predecessor.bind((HOST, port))
        delayed = {"packets": b"the address is in use", "peers": b"the process starts"}
        with forwarding_process(
            tmp_path, first_line=delayed[kind], **settings
        ) as forwarder:
            if kind == "peers":
                read_until(forwarder.process, b"the address is in use")
            time.sleep(0.3)
            assert forwarder.is_running()
            predecessor.close()
            wait_for_status(forwarder.probes, 503)


@pytest.mark.parametrize("found", [None, b"", b'{"name": "vm', b"\0"])
def test_settings_that_are_being_replaced_are_read_once_they_are_valid(tmp_path, found):
    """Guards against a process that ends since its settings file is cut off."""
    path = tmp_path / "node"
    if found is not None:
        path.write_bytes(found)
    process = subprocess.Popen(
        [sys.executable, "deploy/forwarder.py"],
        env={**os.environ, "EGRETHOOK_CONFIG": str(path), "PYTHONPATH": os.getcwd()},
        stdout=subprocess.PIPE,
    )
    try:
        read_until(process, b"settings file is not valid")
        path.write_text(json.dumps(forwarder_settings(leave_s=0.0)))
        read_until(process, b"the process starts")
        process.terminate()
        assert process.wait(timeout=10.0) == 0
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def test_settings_that_stay_invalid_end_the_process_with_the_coded_error(tmp_path):
    path = tmp_path / "node"
    path.write_text("{")
    run = subprocess.run(
        [sys.executable, "deploy/forwarder.py"],
        env={**os.environ, "EGRETHOOK_CONFIG": str(path), "PYTHONPATH": os.getcwd()},
        capture_output=True,
        timeout=30.0,
    )
    assert run.returncode == 2
    assert run.stderr.startswith(b"E101: ")


def test_process_without_file_descriptors_serves_when_it_has_some_again(tmp_path):
    """Guards against OSError of `accept`, which ended the listener and the process."""
    with forwarding_process(tmp_path, max_files=64) as forwarder:
        read_until(forwarder.process, b"libraries loaded")
        wait_for_status(forwarder.probes, 503)
        clients = [socket.create_connection(forwarder.probes) for _ in range(90)]
        read_until(forwarder.process, b"can't accept a connection")
        for client in clients:
            client.close()
        wait_for_status(forwarder.probes, 503)
        assert forwarder.is_running()


def test_connections_during_the_start_leave_descriptors_for_the_imports(tmp_path):
    """Guards against an import that fails as probes hold all descriptors."""
    with forwarding_process(tmp_path, max_files=64) as forwarder:
        clients = []
        try:
            for _ in range(3 * MAX_CONNECTIONS):
                clients.append(socket.create_connection(forwarder.probes, timeout=5.0))
        finally:
            read_until(forwarder.process, b"libraries loaded")
            for client in clients:
                client.close()
        wait_for_status(forwarder.probes, 503)
        assert forwarder.is_running()


@pytest.mark.parametrize("version", ["HTTP/1.0", "HTTP/1.1"])
def test_registry_that_closes_each_connection_is_read(tmp_path, version):
    """Guards against a process that never gets ready beside such a registry."""
    with (
        closing_registry([ROUTES, UPSTREAM], version) as address,
        forwarding_process(tmp_path, registry=address) as forwarder,
    ):
        wait_for_status(forwarder.probes, 200)
        read_until(forwarder.process, b"libraries loaded")
        read_until(forwarder.process, b"registry reachable")
        wait_for_status(forwarder.probes, 200)
