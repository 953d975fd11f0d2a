"""The demonstration: its verdict and its records."""

import contextlib
import types

import pytest

from bench import demo
from fescuerudder.trace import Outcomes, RequestEvent, Trace, TraceHeader, write_trace
from tests.fake_entry import KEY, FakeEntry


@contextlib.contextmanager
def _open_cluster(name):
    with FakeEntry(delay_s=0.6 if name == "slow" else 0.0) as fake:
        yield types.SimpleNamespace(
            addresses=[fake.address],
            operator_key=KEY,
            probes=None,
            violations=lambda: ["overlap"] if name == "broken" else [],
        )


@pytest.mark.parametrize(
    ("names", "held"),
    [
        (["one", "two"], True),
        (["one", "slow"], False),
        (["slow", "one"], False),
        (["one", "broken"], False),
    ],
)
def test_the_demo_holds_only_if_every_replay_does(monkeypatch, tmp_path, names, held):
    """Guards against a demo that succeeds although one of its replays failed."""
    for name in names:
        header = TraceHeader(name=name, outcomes=Outcomes(within_deadline={"proofs": 1.0}))
        event = RequestEvent(at_ms=0, service="proofs", path="p", deadline_ms=550)
        write_trace(tmp_path / f"{name}.jsonl", Trace(header=header, events=(event,)))
    monkeypatch.setattr(demo, "TRACES_DIR", tmp_path)
    monkeypatch.setattr(demo, "WORKLOADS", [types.SimpleNamespace(name=name) for name in names])
    assert demo.run_demo(open_cluster=_open_cluster, run_dir=tmp_path / "run") == held
    assert len(list((tmp_path / "run").iterdir())) == len(names)
