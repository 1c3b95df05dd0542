"""What a forwarding process loads before its first packet, and how it starts."""

from __future__ import annotations

import os
import subprocess
import sys
import sysconfig

from egrethook.interleaving import Interleaved

NOT_EARLY = {
    "anyio",
    "asyncio",
    "uvloop",
    "pydantic",
    "httpx",
    "eliot",
    "thrift",
    "prometheus_client",
    "opentelemetry",
    "numpy",
    "typing_extensions",
    "dataclasses",
    "random",
    "json",
    "urllib",
    "ipaddress",
    "logging",
}


def test_early_imports_are_lean():
    paths = [os.getcwd(), sysconfig.get_paths()["purelib"]]
    run = subprocess.run(
        [
            sys.executable,
            "-S",
            "-c",
            "import sys\nimport egrethook.platform.daemon\n"
            "print('\\n'.join(sys.modules))",
        ],
        env={**os.environ, "PYTHONPATH": os.pathsep.join(paths)},
        capture_output=True,
        text=True,
        check=True,
    )
    loaded = {name.partition(".")[0] for name in run.stdout.split()}
    assert loaded & NOT_EARLY == set()


def test_work_goes_on_between_the_modules_of_an_import(tmp_path, monkeypatch):
    for number in range(5):
        following = f"import slow_{number + 1}\n" if number < 4 else ""
        text = f"import time\ntime.sleep(0.01)\n{following}"
        (tmp_path / f"slow_{number}.py").write_text(text)
    monkeypatch.syspath_prepend(str(tmp_path))
    steps = []
    with Interleaved(lambda: steps.append(1)):
        __import__("slow_0")
    assert len(steps) >= 4
    assert not any(type(one) is Interleaved for one in sys.meta_path)
