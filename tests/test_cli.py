"""The command line: exit codes, one-line errors, strict flags, and the settings page."""

import json
import re
import subprocess
import sys
import tomllib
import types
from pathlib import Path

import attrs
import pytest

from fescuerudder import cli
from fescuerudder._settingsdoc import settings_page
from fescuerudder.burn import BurnRecorder, dump_data
from fescuerudder.commandline import EXIT_DONE, EXIT_FAILED, EXIT_USAGE
from fescuerudder.document import ServiceDocument, parse_document
from fescuerudder.settings import Settings
from tests.fake_entry import KEY, PROBLEM, FakeEntry

DOCUMENT = 'name = "draw"\nteam = "press"\nkind = "batch"\n[size]\nprocessors = 2\n'
UNKNOWN_ANSWER = (504, PROBLEM, b'{"title": "no answer", "outcome": "unknown"}')


@pytest.fixture
def fake(monkeypatch):
    with FakeEntry() as entry:
        monkeypatch.setenv(cli.SERVER_ENV, entry.address)
        monkeypatch.setenv(cli.KEY_ENV, KEY)
        yield entry


@pytest.fixture
def document(tmp_path):
    path = tmp_path / "draw.toml"
    path.write_text(DOCUMENT)
    return str(path)


@pytest.mark.parametrize(
    ("line", "said"),
    [
        ("zone out a --forse", "unknown flag '--forse'"),
        ("apply f --forc", "did you mean --force?"),
        ("zone out", "missing ZONE"),
        ("zone in a", "unknown command 'in'"),
        ("zones extra", "unexpected argument 'extra'"),
        ("get -k x", "unknown flag '-k'"),
        ("get -- --interactive", "unknown flag '--'"),
        ("submit draw --payload x", "missing --key"),
        ("submit draw --payload --key k", "--payload needs a value"),
        ("submit draw --payload a --payload b --key k", "given twice"),
        ("apply f --force=perhaps", "expected true or false"),
        ("apply f --force --revision 3", "exclude each other"),
        ("report burn --json --html f", "exclude each other"),
        ("status --server http://127.0.0.1:80", "form ip:port"),
        ("statuss", "did you mean status?"),
        ("entry --zon a", "did you mean --zone?"),
    ],
)
def test_a_wrong_command_line_runs_nothing(fake, capsys, line, said):
    """Guards against fire's way of running a command before it finds a wrong flag."""
    assert cli.run(line.split()) == EXIT_USAGE
    err = capsys.readouterr().err
    assert said in err and err.count("\n") == 1
    assert fake.seen == []


@pytest.mark.parametrize("key", ["1e5", "007", "[1]", "a=b", "'q'", "True", "{'a': 1}", "\\n x"])
def test_values_reach_the_server_as_typed(fake, key):
    """Guards against fire's reading of values as Python literals, which changes a key."""
    assert cli.run(["submit", "draw", "--payload", key, f"--key={key}"]) == 0
    _, _, headers, body = fake.seen[0]
    assert headers["Idempotency-Key"] == key
    assert json.loads(body)["payload"] == key


@pytest.mark.parametrize(
    ("line", "call"),
    [
        ("get", ("GET", "/v1/services")),
        ("zone out a", ("PUT", "/v1/zones/a")),
        ("zone return a/b", ("PUT", "/v1/zones/a%2Fb")),
        ("zones", ("GET", "/v1/zones")),
        ("status", ("GET", "/v1/status")),
        ("request proofs p/1?x=2 --method=post --body hi --key k", ("POST", "/s/proofs/p/1?x=2")),
    ],
)
def test_commands_make_the_calls_of_the_interface(fake, line, call):
    """Guards against a command that calls another path than the page states."""
    assert cli.run(line.split()) == EXIT_DONE
    assert fake.seen[0][:2] == call


def test_apply_names_the_revision_it_replaces(fake, document, capsys):
    """Guards against one operator silently overwriting another's change."""
    assert cli.run(["apply", document]) == 0
    assert cli.run(["apply", document, "--revision", "0"]) == EXIT_FAILED
    assert "revision is 1" in capsys.readouterr().err
    assert cli.run(["apply", document, "--force"]) == 0
    matches = [headers.get("If-Match") for m, _, headers, _ in fake.seen if m == "PUT"]
    assert matches == ['"0"', '"0"', None]


@pytest.mark.parametrize(
    ("line", "answer", "code", "said"),
    [
        ("zone out a", (503, PROBLEM, b'{"title": "store down", "outcome": "not_run"}'), 1, "not"),
        ("zone out a", None, 3, "outcome unknown"),
        ("zone out a", (202, "application/json", b'{"provisional": true}'), 3, "provisionally"),
        ("zones", None, 1, "no complete answer"),
        ("zones", (200, "application/json", b"<html>"), 1, "not JSON"),
        ("zone out a", (500, "text/html", b"<html>"), 3, "answer 500"),
        ("zone out a", (200, "text/html", b"<html>"), 3, "not JSON"),
        ("zones", (500, "text/html", b"<html>"), 1, "answer 500"),
        ("submit draw --payload x --key k", UNKNOWN_ANSWER, 3, "no answer"),
        ("request a b --method POST", UNKNOWN_ANSWER, 3, "outcome unknown"),
        ("request a b", (404, "text/plain", b"none"), 1, "answered 404"),
        ("submit draw --payload x --key=é", None, 1, "ASCII"),
        ("zones --key wrong", (401, PROBLEM, b'{"title": "wrong key"}'), 1, "wrong key"),
    ],
)
def test_failures_have_their_code_and_one_line(fake, capsys, line, answer, code, said):
    """Guards against scripts that take an unknown outcome for a plain failure."""
    fake.scripted.append(answer)
    assert cli.run(line.split()) == code
    err = capsys.readouterr().err
    assert said in err and err.count("\n") == 1


@pytest.mark.parametrize(("end", "code"), [("finished", 0), ("failed", 1), ("cancelled", 1)])
def test_task_watch_ends_with_the_task(fake, monkeypatch, end, code):
    """Guards against a watch that never ends or hides a failed task."""
    monkeypatch.setattr(cli, "WATCH_S", 0.0)
    fake.task_end = end
    fake.tasks["t1"] = {"task": "t1", "state": "queued"}
    assert cli.run(["task", "t1", "--watch"]) == code


@pytest.mark.parametrize("flags", [[], ["--json"], ["--html"]])
def test_burn_report_merges_and_names_missing_instances(fake, capsys, tmp_path, flags):
    """Guards against a report that hides that an instance did not answer."""
    fake.burn = dump_data(BurnRecorder(instance="entry-1", read_time_s=lambda: 1e9).snapshot())
    page = tmp_path / "burn.html"
    servers = f"{fake.address},127.0.0.1:1"
    extra = [str(page)] if flags == ["--html"] else []
    assert cli.run(["report", "burn", "--server", servers, *flags, *extra]) == 0
    text = page.read_text() if extra else capsys.readouterr().out
    assert "127.0.0.1:1" in text


@pytest.mark.parametrize(
    ("change", "code", "said"),
    [("", 0, "valid"), ("\nfoo = 1", 1, "foo"), ("\n[quota]\nprocessors = -1", 1, "$.quota")],
)
def test_check_needs_no_server(document, capsys, change, code, said):
    """Guards against a check that passes a document which the server refuses."""
    Path(document).write_text(DOCUMENT + change)
    assert cli.run(["check", document]) == code
    out = capsys.readouterr()
    assert said in out.out + out.err


def test_every_command_has_help_without_flags_that_are_refused(capsys):
    """Guards against help that shows fire's short flags, which are refused."""
    for path in (["zone", "out"], ["entry"], ["report", "burn"], ["apply"]):
        assert cli.run([*path, "--help"]) == 0
        text = capsys.readouterr().out
        assert "--" in text and ", --" not in text and "FIRE" not in text


def test_entry_reports_all_faulty_settings_at_once(capsys, monkeypatch):
    """Guards against starting with half-checked settings."""
    for field in attrs.fields(Settings):
        monkeypatch.delenv(f"FESCUERUDDER_{field.name.upper()}", raising=False)
    assert cli.run(["entry", "--zone", "a", "--threads", "many"]) == EXIT_USAGE
    err = capsys.readouterr().err
    assert "region is required" in err and "threads" in err


def test_entry_runs_with_checked_settings_and_returns_its_code(monkeypatch):
    """Guards against flags that do not reach the instance, or a lost exit code."""
    seen = []
    module = types.SimpleNamespace(run_entry=lambda cfg: seen.append(cfg) or 7)
    monkeypatch.setitem(sys.modules, "fescuerudder.entry", module)
    monkeypatch.setenv("FESCUERUDDER_PEER_KEY", "peer-key-0123456789")
    flags = "--zone a --region r --store h:1 --members h:2 --threads 3 --drain-s 1.5"
    assert cli.run(["entry", *flags.split(), f"--operator-key={KEY}"]) == 7
    assert (seen[0].threads, seen[0].drain_s, seen[0].peer_key) == (3, 1.5, "peer-key-0123456789")


def test_the_settings_page_is_current():
    """Guards against a settings page that lags behind the code."""
    page = Path(__file__).parent.parent / "docs" / "settings.md"
    assert page.read_text(encoding="utf-8") == settings_page()


def test_the_module_runs_as_a_program():
    """Guards against a broken `python -m fescuerudder`."""
    done = subprocess.run(
        [sys.executable, "-m", "fescuerudder", "nothing"], capture_output=True, text=True
    )
    assert done.returncode == EXIT_USAGE and "Traceback" not in done.stderr


@pytest.mark.parametrize("page", ["README.md", "docs/documents.md"])
def test_documents_in_the_pages_are_valid(page):
    """Guards against examples that the code refuses."""
    text = (Path(__file__).parent.parent / page).read_text(encoding="utf-8")
    examples = re.findall(r"^( *)```toml\n(.*?)^\1```", text, flags=re.DOTALL | re.MULTILINE)
    assert examples
    for _, example in examples:
        parse_document(tomllib.loads(example))


def test_the_documents_page_names_every_key():
    """Guards against a reference that misses a key of the service document."""
    page = (Path(__file__).parent.parent / "docs" / "documents.md").read_text(encoding="utf-8")
    for field in attrs.fields(ServiceDocument):
        assert f"`{field.name}`" in page or f"`{field.name}." in page, field.name
