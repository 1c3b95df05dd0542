"""A real forwarding process without a registry, shared by tests."""

from __future__ import annotations

import base64
import json
import os
import resource
import socket
import subprocess
import sys
import time
from contextlib import contextmanager
from dataclasses import dataclass
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread
from typing import Any

import pytest

from egrethook.addresses import Address

HOST = "127.0.0.1"

ROUTES = {
    "key": "op/config",
    "revision": 3,
    "value": base64.b64encode(
        b'{"version": 1, "services": [], "routes": [{"name": "r", "service": "s",'
        b' "host": "198.18.0.1", "prefix": "/443/"}]}'
    ).decode(),
}

UPSTREAM = {
    "key": "servers/i-0a",
    "revision": 4,
    "value": base64.b64encode(
        b'{"service": "s", "address": "127.0.0.1:9", "zone": "zone-a", "version": "v",'
        b' "concurrency": 2, "state": "ready", "warmupLeftMs": 0, "sequence": 1}'
    ).decode(),
}


@contextmanager
def closing_registry(entries, version="HTTP/1.1"):
    """Serve entries as a registry that closes each connection; yield its address."""

    class Registry(BaseHTTPRequestHandler):
        protocol_version = version

        def do_GET(self):
            later_page = "after=servers" in self.path
            items = [] if later_page else entries
            body = {"items": items, "events": [], "currentRev": 9}
            body["hasMore"] = not later_page
            self.send_response(200)
            self.send_header("Connection", "close")
            self.end_headers()
            self.wfile.write(json.dumps(body).encode())

        def log_message(self, *args):
            pass

    with ThreadingHTTPServer((HOST, 0), Registry) as registry:
        Thread(target=registry.serve_forever).start()
        try:
            yield f"{HOST}:{registry.server_port}"
        finally:
            registry.shutdown()


def free_port():
    with socket.socket() as sock:
        sock.bind((HOST, 0))
        return sock.getsockname()[1]


def read_until(process, text):
    for line in process.stdout:
        if text in line:
            return
    pytest.fail(f"the process ended before it logged {text}")


@dataclass
class RunningForwarder:
    """A started process and its settings."""

    process: subprocess.Popen[bytes]
    settings: dict[str, Any]

    @property
    def probes(self):
        return Address.parse(self.settings["probes"])

    @property
    def metrics(self):
        return Address(HOST, self.settings["metrics_port"])

    def is_running(self):
        return self.process.poll() is None


def forwarder_settings(**changes):
    return {
        "name": "vm-1",
        "failure_domain": "zone-a",
        "packets": f"{HOST}:{free_port()}",
        "peers": f"{HOST}:{free_port()}",
        "probes": f"{HOST}:{free_port()}",
        "registry": f"{HOST}:1",
        "metrics_port": free_port(),
        **changes,
    }


@contextmanager
def forwarding_process(
    tmp_path, max_files=None, first_line=b"the process starts", **changes
):
    """Start a process; yield it after a line of its log, and end it."""
    settings = forwarder_settings(**changes)
    path = tmp_path / "node"
    path.write_text(json.dumps(settings))

    process = subprocess.Popen(
        [sys.executable, "deploy/forwarder.py"],
        env={**os.environ, "EGRETHOOK_CONFIG": str(path), "PYTHONPATH": os.getcwd()},
        stdout=subprocess.PIPE,
    )
    try:
        if max_files:
            limits = max_files, max_files
            resource.prlimit(process.pid, resource.RLIMIT_NOFILE, limits)
        read_until(process, first_line)
        yield RunningForwarder(process, settings)
    finally:
        process.kill()
        process.wait()
        process.stdout.close()


def http_status(address, request=b"GET /readyz HTTP/1.1\r\nHost: vm\r\n\r\n"):
    """Return the status code of the first answer; raise OSError if there is none."""
    with socket.create_connection(address, timeout=5.0) as connection:
        connection.sendall(request)
        answer = connection.recv(4_096)
    if not answer:
        raise ConnectionError("closed without an answer")
    return int(answer.split()[1])


def wait_for_status(address, status, timeout_s=15.0):
    """Wait until a probe is answered with a status."""
    deadline = time.monotonic() + timeout_s
    answered = None
    while answered != status:
        assert time.monotonic() < deadline, f"last answer: {answered}"
        try:
            answered = http_status(address)
        except OSError as error:
            answered = error
        time.sleep(0.05)
