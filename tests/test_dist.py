"""The one file that ships runs every command as one process and writes nothing."""

import os
import subprocess
import sys
import time
from pathlib import Path

import psutil
import pytest
import urllib3

from bench.deployment import Deployment, Zone
from bench.dist import build
from bench.launcher import Launcher
from fescuerudder import __version__

READY_S = 30.0


@pytest.fixture(scope="module")
def archive(tmp_path_factory):
    return build(target=tmp_path_factory.mktemp("dist") / "fescuerudder.pyz")


@pytest.fixture
def bare_env(tmp_path):
    home = tmp_path / "home"
    home.mkdir()
    return {"PATH": os.environ["PATH"], "HOME": str(home), "TMPDIR": str(home)}


@pytest.mark.parametrize(
    ("args", "code", "text"),
    [
        (["--version"], 0, __version__),
        (["--help"], 0, "entry"),
        (["entry", "--help"], 0, "--zone"),
        (["entry"], 2, "FESCUERUDDER_ZONE"),
        (["unknown-command"], 2, "unknown-command"),
    ],
)
def test_commands_run_from_the_archive(archive, bare_env, args, code, text):
    """Guards against a module or a file that is missing in the archive."""
    done = subprocess.run(
        [sys.executable, "-I", str(archive), *args], env=bare_env, capture_output=True, text=True
    )
    assert done.returncode == code
    assert text in done.stdout + done.stderr
    assert "Traceback" not in done.stderr


def test_an_entry_instance_serves_from_the_archive(archive, bare_env, tmp_path):
    """Guards against child processes, unpacked files and other writes to the disk."""
    deployment = Deployment(zones=(Zone(name="a", region="r", racks=0, entries=0),))
    with Launcher(directory=tmp_path, deployment=deployment, start_entries=False) as launcher:
        http, peer = launcher.new_address(), launcher.new_address()
        flags = {
            "zone": "a",
            "region": "r",
            "store": launcher.table,
            "members": launcher.member_list,
            "peer_key": deployment.peer_key,
            "operator_key": deployment.operator_key,
            "http": http,
            "peer": peer,
        }
        env = {**bare_env, **{f"FESCUERUDDER_{k.upper()}": v for k, v in flags.items()}}
        process = subprocess.Popen(
            [sys.executable, "-I", str(archive), "entry"],
            env=env,
            cwd=bare_env["HOME"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        try:
            _wait_for_health(http)
            view = psutil.Process(process.pid)
            assert view.children(recursive=True) == []
            assert [f for f in view.open_files() if "w" in f.mode or "a" in f.mode] == []
            # Code that was unpacked would show among the mapped files.
            mapped = [Path(m.path) for m in view.memory_maps() if m.path.startswith("/")]
            assert not [p for p in mapped if p.is_relative_to(bare_env["HOME"])]
            process.terminate()
            assert process.wait(READY_S) == 0
        finally:
            process.kill()
            process.wait()
    assert list(Path(bare_env["HOME"]).iterdir()) == []


def _wait_for_health(address):
    http = urllib3.PoolManager(retries=False, timeout=1.0)
    deadline_s = time.monotonic() + READY_S
    while time.monotonic() < deadline_s:
        try:
            if http.request("GET", f"http://{address}/health").status == 200:
                return
        except urllib3.exceptions.HTTPError:
            time.sleep(0.05)
    raise AssertionError("the instance did not serve")
