"""The build of the deployment, with stand-ins for pip and for the interpreter.

Guards against a folder of libraries that was built on another kind of machine, with
which no process starts.
"""

from __future__ import annotations

import os
import shutil
import subprocess
import sys
import time
from pathlib import Path

import pytest

FAKE_PYTHON = """#!/bin/sh
case "$*" in
    *pip*) mkdir -p target/deps; echo installed >> pip.log ;;
    *-c*) cat kind ;;
esac
"""


@pytest.fixture
def checkout(tmp_path):
    """Return a folder with what the build reads, and a fake interpreter."""
    for folder in ("deploy", "egrethook", "bin"):
        (tmp_path / folder).mkdir()
    for name in ("build.sh", "requirements.txt"):
        shutil.copy(Path("deploy") / name, tmp_path / "deploy" / name)
    (tmp_path / "egrethook" / "module.py").write_text("")
    (tmp_path / "bin" / "python3").write_text(FAKE_PYTHON)
    (tmp_path / "bin" / "python3").chmod(0o755)
    an_hour_ago = time.time() - 3600
    os.utime(tmp_path / "deploy" / "requirements.txt", (an_hour_ago, an_hour_ago))
    return tmp_path


def build(checkout, kind):
    """Build on one kind of machine; return how often libraries were installed."""
    (checkout / "kind").write_text(kind + "\n")
    path = f"{checkout / 'bin'}{os.pathsep}{os.environ['PATH']}"
    subprocess.run(
        ["sh", "deploy/build.sh"],
        cwd=checkout,
        env={**os.environ, "PATH": path},
        check=True,
    )
    assert (checkout / "target" / "deps" / "egrethook" / "module.py").exists()
    return (checkout / "pip.log").read_text().count("installed")


def test_libraries_are_installed_again_on_another_kind_of_machine(checkout):
    """Guards against native libraries of x86-64 on arm64: no process started."""
    assert build(checkout, "3.11 linux-x86_64") == 1
    assert build(checkout, "3.11 linux-x86_64") == 1
    assert build(checkout, "3.11 linux-aarch64") == 2
    assert build(checkout, "3.12 linux-aarch64") == 3


def test_libraries_without_a_recorded_kind_are_installed_again(checkout):
    """Guards against folders that an earlier build script left."""
    deps = checkout / "target" / "deps"
    deps.mkdir(parents=True)
    (deps / ".installed").touch()
    assert build(checkout, "3.11 linux-aarch64") == 1


def test_changed_requirements_are_installed(checkout):
    assert build(checkout, "3.11 linux-aarch64") == 1
    soon = time.time() + 60
    os.utime(checkout / "deploy" / "requirements.txt", (soon, soon))
    assert build(checkout, "3.11 linux-aarch64") == 2


def test_kind_names_interpreter_and_platform():
    command = next(
        line
        for line in Path("deploy/build.sh").read_text().splitlines()
        if "kind=" in line
    )
    code = command.partition("'")[2].partition("'")[0]
    run = subprocess.run(
        [sys.executable, "-c", code], capture_output=True, text=True, check=True
    )
    assert sys.version.split()[0] in run.stdout
    assert os.uname().machine in run.stdout
