"""Writes settings files in the platform's format."""

SETTINGS = """
node = "{node}"
role = "node"
ip = "127.0.0.1"
zone = "z1"
region = "r1"
internalPorts = [{peer_port}, {peer_port}]
unknownField = 3
[listenAddrs]
front = "127.0.0.1:{front_port}"
readyAddr = "127.0.0.1:{ready_port}"
[limits]
cpuShare = 0.5
cpuCores = 2
[bounds]
graceS = {grace_s}
maxHoldMs = {max_hold_ms}
[platform]
address = "127.0.0.1:{store_port}"
"""


def write_settings(path, **changes) -> str:
    """Writes a settings file and returns its path."""
    fields = {
        "node": "n1",
        "peer_port": 1,
        "front_port": 2,
        "ready_port": 3,
        "store_port": 4,
        "grace_s": 6,
        "max_hold_ms": 6000,
    }
    path.write_text(SETTINGS.format(**{**fields, **changes}))
    return str(path)
