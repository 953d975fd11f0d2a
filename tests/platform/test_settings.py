"""Decoding of the platform's settings file."""

import attrs
import pytest

from fescuerudder.cli import run
from fescuerudder.errors import SettingsError
from fescuerudder.jobs.policy import LatencyMargins, OverloadOrder, SchedulingPolicy
from fescuerudder.platform import run as platform_run
from fescuerudder.platform.settings import SETTINGS_FILE_ENV, load_node_settings
from standins.nodesettings import write_settings


def test_fields_are_decoded_with_their_units(tmp_path):
    """Guards against settings in the platform's units, such as a lease in milliseconds."""
    cfg = load_node_settings(
        write_settings(tmp_path / "s.toml", front_port=81, grace_s=7), metrics_port=9
    )
    assert (cfg.instance, cfg.callers, cfg.cores) == ("n1", "127.0.0.1:81", 1.0)
    assert (cfg.max_lease_s, cfg.grace_s) == (6.0, 7.0)


def test_path_comes_from_the_environment(tmp_path, monkeypatch):
    """Guards against a start that requires flags."""
    monkeypatch.setenv(SETTINGS_FILE_ENV, write_settings(tmp_path / "s.toml"))
    assert load_node_settings(metrics_port=9).instance == "n1"


@pytest.mark.parametrize(
    ("removed_prefixes", "problems"),
    [
        (["zone ="], ["zone is missing"]),
        (["zone =", "region =", "maxHoldMs"], ["zone is", "region is", "bounds.maxHoldMs"]),
        (["[platform]", "address"], ["platform.address is missing"]),
    ],
)
def test_error_lists_every_problem(tmp_path, removed_prefixes, problems):
    """Guards against an error that reports only the first problem, one at each start."""
    path = tmp_path / "s.toml"
    write_settings(path)
    lines = path.read_text().splitlines()
    path.write_text(
        "\n".join(line for line in lines if not line.startswith(tuple(removed_prefixes)))
    )
    with pytest.raises(SettingsError) as caught:
        load_node_settings(str(path), metrics_port=9)
    for problem in problems:
        assert problem in str(caught.value)


@pytest.mark.parametrize("text", ["node = [", "node = 3\nlimits = 4"])
def test_malformed_file_is_a_settings_error(tmp_path, text):
    """Guards against an uncaught exception instead of an error that names the problem."""
    path = tmp_path / "s.toml"
    path.write_text(text)
    with pytest.raises(SettingsError):
        load_node_settings(str(path), metrics_port=9)


@pytest.mark.parametrize(("removed_prefix", "code"), [("", 0), ("zone =", 2)])
def test_settings_are_checked_without_a_start(tmp_path, capsys, removed_prefix, code):
    """Guards against invalid settings that are noticed only when an instance is replaced."""
    path = tmp_path / "s.toml"
    write_settings(path)
    lines = path.read_text().splitlines()
    path.write_text(
        "\n".join(
            line for line in lines if not removed_prefix or not line.startswith(removed_prefix)
        )
    )
    assert run(["node", "--check", "--settings", str(path)]) == code
    shown = capsys.readouterr()
    assert ("valid" in shown.out) is (code == 0)
    assert ("zone is missing" in shown.err) is (code == 2)


@pytest.mark.parametrize(
    ("field", "choice"),
    [
        *(("overload_order", order) for order in OverloadOrder),
        *(("latency_margins", margins) for margins in LatencyMargins),
    ],
)
def test_the_policy_comes_from_the_command_line(tmp_path, monkeypatch, field, choice):
    """Guards against a flag that doesn't reach the instance, and against another default."""
    started = []
    monkeypatch.setattr(platform_run, "run_node", lambda cfg, *_, **__: started.append(cfg) or 0)
    args = ["node", "--settings", write_settings(tmp_path / "s.toml")]
    flag = f"--{field.replace('_', '-')}"
    assert run([*args, flag, choice.value]) == run(args) == 0
    default = SchedulingPolicy(
        overload_order=OverloadOrder.VALUE_DENSITY, latency_margins=LatencyMargins.ADAPTIVE
    )
    assert [cfg.policy for cfg in started] == [attrs.evolve(default, **{field: choice}), default]


@pytest.mark.parametrize("check", [["--check"], []])
@pytest.mark.parametrize(
    ("flag", "names"),
    [
        ("--overload-order", "value-density, late-last"),
        ("--latency-margins", "adaptive, at-target"),
    ],
)
def test_an_unknown_choice_stops_the_start(tmp_path, capsys, monkeypatch, check, flag, names):
    """Guards against an instance that starts with another policy than the operator wanted."""
    monkeypatch.setattr(platform_run, "run_node", lambda *_, **__: pytest.fail("it has started"))
    settings = write_settings(tmp_path / "s.toml")
    assert run(["node", "--settings", settings, flag, "late", *check]) == 2
    assert f"{flag} must be one of {names}, got 'late'" in capsys.readouterr().err
