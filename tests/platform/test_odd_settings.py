"""Odd settings files."""

import pytest

from fescuerudder.errors import (
    SettingsError,
)
from fescuerudder.platform.settings import load_node_settings
from standins.nodesettings import write_settings


@pytest.mark.parametrize(
    "lines",
    [
        "x = " + "[" * 5000 + "]" * 5000,
        "internalPorts = []",
        "internalPorts = [inf]",
        "internalPorts = [99999]",
        "internalPorts = 5",
        "node = 3",
        'node = ""',
        'ip = "x"',
        "[limits]\ncpuShare = 0.5",
        "[limits]\ncpuShare = 0\ncpuCores = 2",
        "[limits]\ncpuShare = nan\ncpuCores = 2",
        '[limits]\ncpuShare = "a"\ncpuCores = 2',
        "[bounds]\ngraceS = inf\nmaxHoldMs = 6000",
        "[bounds]\ngraceS = 5\nmaxHoldMs = -1",
        '[platform]\naddress = "127.0.0.1"',
        '[platform]\naddress = "127.0.0.1:99999"',
        '[listenAddrs]\nfront = "127.0.0.1:x"\nreadyAddr = "127.0.0.1:1"',
    ],
)
def test_odd_settings_are_a_settings_error(tmp_path, lines):
    """Guards against an instance that ends when its settings file is written anew."""
    path = tmp_path / "s.toml"
    write_settings(path)
    name = lines.partition(" ")[0] if not lines.startswith("[") else lines.partition("\n")[0]
    kept, is_kept = [], True
    for line in path.read_text().splitlines():
        if line.startswith("["):
            is_kept = line != name
        if is_kept and not line.startswith(f"{name} ="):
            kept.append(line)
    changed = [*kept, lines] if lines.startswith("[") else [lines, *kept]
    path.write_text("\n".join(changed))
    with pytest.raises(SettingsError):
        load_node_settings(str(path), metrics_port=9)
