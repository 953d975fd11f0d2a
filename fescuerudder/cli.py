"""Command line: the entry instance, the client commands and the reports."""

import inspect
import json
import os
import re
import sys
import time
import tomllib
from collections.abc import Callable
from pathlib import Path
from typing import Any

import attrs

from fescuerudder._burnfetch import fetch_report
from fescuerudder._burnpage import render_page
from fescuerudder._burntext import render_json, render_text
from fescuerudder._settingsdoc import describe_setting, settings_page
from fescuerudder._usage import UsageError
from fescuerudder.client import (
    SAFE_METHODS,
    Answer,
    Client,
    ClientError,
    OutcomeUnknownError,
    outcome_of,
    refusal_of,
)
from fescuerudder.commandline import EXIT_DONE, EXIT_FAILED, run_command_line
from fescuerudder.document import ServiceDocument, dump_document, parse_document
from fescuerudder.errors import FescuerudderError
from fescuerudder.explain import read_lines, render, tell
from fescuerudder.previewcall import fetch_preview, read_job, render_preview
from fescuerudder.settings import Settings, load_settings

SERVER_ENV = "FESCUERUDDER_SERVER"
KEY_ENV = "FESCUERUDDER_OPERATOR_KEY"
CALLER_KEY_ENV = "FESCUERUDDER_CALLER_KEY"
ADDRESS_PATTERN = re.compile(r"[^\s/:@]+:\d{1,5}")
WATCH_S = 1.0
FINAL_STATES = ("finished", "failed", "cancelled")


def check(file: str) -> int:
    """Checks a service document without a server.

    Args:
        file: TOML or JSON file with the document.
    """
    doc = _read_document(file)
    print(f"{file}: service {doc.name!r} is valid")
    return EXIT_DONE


def apply(
    file: str, *, force: bool = False, revision: str = "", server: str = "", key: str = ""
) -> int:
    """Applies a service document; it replaces the revision that is in force now.

    Args:
        file: TOML or JSON file with the document.
        force: replaces any revision, also one that another operator applied meanwhile.
        revision: replaces only this revision, as printed by `get`.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    if force and revision:
        raise UsageError("--force and --revision exclude each other")
    if revision and not revision.isdigit():
        raise UsageError(f"--revision must be a whole number, got {revision!r}")
    doc = _read_document(file)
    client = _operator_client(server, key)
    expected = int(revision) if revision else _current_revision(client, doc.name)
    answer = client.put_service(doc.name, dump_document(doc), revision=None if force else expected)
    _print_json(answer)
    return EXIT_DONE


def get(name: str = "", *, server: str = "", key: str = "") -> int:
    """Prints one service document with its revision, or all of them.

    Args:
        name: service; all services if left out.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    client = _operator_client(server, key)
    _print_json(client.get_service(name) if name else client.list_services())
    return EXIT_DONE


def zone_out(zone: str, *, server: str = "", key: str = "") -> int:
    """Takes an availability zone out of service.

    Exits with 3 if the store is down and the change is only provisional.

    Args:
        zone: availability zone.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    return _change_zone(zone, "out", server, key)


def zone_return(zone: str, *, server: str = "", key: str = "") -> int:
    """Returns an availability zone to service.

    Args:
        zone: availability zone.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    return _change_zone(zone, "in", server, key)


def zones(*, server: str = "", key: str = "") -> int:
    """Prints the availability zones and their states.

    Args:
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    client = _operator_client(server, key)
    _print_json(client.list_zones())
    return EXIT_DONE


def status(*, server: str = "", key: str = "") -> int:
    """Prints the status as one entry instance sees it.

    Args:
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    client = _operator_client(server, key)
    _print_json(client.read_status())
    return EXIT_DONE


def request(
    service: str,
    path: str,
    *,
    method: str = "GET",
    body: str = "",
    key: str = "",
    server: str = "",
) -> int:
    """Sends a request to a service and prints the body of its answer.

    Args:
        service: service to ask.
        path: path below the service, with its query.
        method: HTTP method.
        body: body of the request.
        key: idempotency key; repeat a request with the same key.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
    """
    client = _client(server)
    answer = client.send(
        service=service, path=path, method=method.upper(), body=body.encode(), key=key
    )
    if outcome_of(answer):
        raise refusal_of(answer, is_safe=method.upper() in SAFE_METHODS)
    return _print_answer(answer)


def submit(service: str, *, payload: str, key: str, urgent: bool = False, server: str = "") -> int:
    """Submits a batch task; the same key never makes a second task.

    Args:
        service: batch service.
        payload: input of the task.
        key: idempotency key; repeat a submission with the same key.
        urgent: asks for a start before other tasks.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
    """
    client = _client(server)
    _print_json(client.submit(service=service, payload=payload, key=key, urgent=urgent))
    return EXIT_DONE


def task(id: str, *, watch: bool = False, server: str = "") -> int:
    """Prints the state of a task; exits with 1 if it failed or was cancelled.

    Args:
        id: task id, as printed by `submit`.
        watch: prints every change until the task has ended.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
    """
    client = _client(server)
    last = client.read_task(id)
    _print_json(last)
    while watch and last.get("state") not in FINAL_STATES:
        time.sleep(WATCH_S)
        seen, last = last, client.read_task(id)
        if last != seen:
            _print_json(last)
    return EXIT_FAILED if last.get("state") in ("failed", "cancelled") else EXIT_DONE


def cancel(id: str, *, server: str = "") -> int:
    """Asks for the cancellation of a task.

    Args:
        id: task id, as printed by `submit`.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
    """
    client = _client(server)
    _print_json(client.cancel(id))
    return EXIT_DONE


def report_burn(*, json: bool = False, html: str = "", server: str = "", key: str = "") -> int:
    """Reports the service-level burn: what is at risk, and what the scheduler did about it.

    Args:
        json: prints JSON instead of text.
        html: writes one self-contained page to this file instead.
        server: ip:port of the entry instances, separated by commas, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    if json and html:
        raise UsageError("--json and --html exclude each other")
    servers = [part.strip() for part in _server(server).split(",")]
    report = fetch_report(servers=servers, operator_key=_operator_key(key))
    if html:
        _write_file(html, render_page(report))
    else:
        print(render_json(report) if json else render_text(report))
    return EXIT_DONE


def trace_take(file: str = "", *, server: str = "", key: str = "") -> int:
    """Takes the trace that an instance with the setting `record` kept, and empties it there.

    Args:
        file: where to write the trace; standard output if left out.
        server: ip:port of an entry instance, or FESCUERUDDER_SERVER.
        key: operator key, or FESCUERUDDER_OPERATOR_KEY.
    """
    with _operator_client(server, key) as client:
        lines = client.take_trace()
    if file:
        _write_file(file, lines)
    else:
        print(lines, end="")
    return EXIT_DONE


def explain(job: str, logs: str = "") -> int:
    """Prints what the logs of many instances say of one job, and what they do not show.

    Args:
        job: id of the job.
        logs: file with log lines, or directory of such files; standard input if left out.
    """
    story = tell(job, read_lines(_read_logs(logs) if logs else sys.stdin))
    print(render(story))
    return EXIT_DONE if story.lines else EXIT_FAILED


def preview(file: str, *, queue: str, json: bool = False, server: str = "", key: str = "") -> int:
    """Explains where a job would be placed now, and why, without submitting it.

    Args:
        file: JSON file with the job as it would be submitted.
        queue: name of its queue.
        json: prints JSON instead of text.
        server: ip:port of the metrics address of a `node` instance, or FESCUERUDDER_SERVER.
        key: key of the caller, which decides the account, or FESCUERUDDER_CALLER_KEY.
    """
    answer = fetch_preview(
        server=_one_server(server),
        queue=queue,
        job=read_job(file),
        key=key or os.environ.get(CALLER_KEY_ENV, ""),
    )
    if json:
        _print_json(answer)
    else:
        print(render_preview(answer))
    return EXIT_DONE


def node(
    *,
    settings: str = "",
    metrics_port: int = 9464,
    overload_order: str = "value-density",
    latency_margins: str = "adaptive",
    check: bool = False,
) -> int:
    """Runs an instance that serves jobs on the users' platform, until SIGTERM.

    Args:
        metrics_port: port for metrics, on the instance's own address.
        settings: settings file, instead of the one named by FESCUERUDDER_NODE_FILE.
        overload_order: order of waiting steps in pools that are short of capacity, value-density or
            late-last; the same for all instances, as the leader's value applies.
        latency_margins: headroom that latency-critical tasks keep from best-effort ones, adaptive
            or at-target; the same for all instances, as the leader's value applies.
        check: only checks the settings.
    """
    from fescuerudder.platform.run import run_on_platform
    from fescuerudder.platform.settings import load_node_settings

    choices = {"overload_order": overload_order, "latency_margins": latency_margins}
    if check:
        cfg = load_node_settings(settings, metrics_port=metrics_port, **choices)
        print(f"the settings of instance {cfg.instance!r} are valid")
        return EXIT_DONE
    return run_on_platform(metrics_port=metrics_port, settings=settings, **choices)


def settings() -> int:
    """Prints the reference of all settings of `entry`, as Markdown."""
    print(settings_page(), end="")
    return EXIT_DONE


def _make_entry() -> Callable[..., int]:
    """Returns the command `entry` with one flag for each setting."""

    def entry(**flags: str | None) -> int:
        given = {name: value for name, value in flags.items() if value is not None}
        cfg = load_settings(flags=given)
        from fescuerudder.entry import run_entry

        return run_entry(cfg)

    fields = attrs.fields(Settings)
    entry.__signature__ = inspect.Signature(
        [inspect.Parameter(f.name, inspect.Parameter.KEYWORD_ONLY, default=None) for f in fields]
    )
    lines = [f"    {field.name}: {describe_setting(field)}" for field in fields]
    text = "Runs an entry instance until SIGTERM. Each flag may also be set in the environment."
    entry.__doc__ = "\n".join([text, "", "Args:", *lines])
    return entry


COMMANDS: dict[str, Any] = {
    "entry": _make_entry(),
    "node": node,
    "check": check,
    "apply": apply,
    "get": get,
    "zone": {"out": zone_out, "return": zone_return},
    "zones": zones,
    "status": status,
    "request": request,
    "submit": submit,
    "task": task,
    "cancel": cancel,
    "report": {"burn": report_burn},
    "trace": {"take": trace_take},
    "settings": settings,
    "explain": explain,
    "preview": preview,
}


def main() -> None:
    """Runs the command line and exits with its code."""
    sys.exit(run(sys.argv[1:]))


def run(args: list[str]) -> int:
    """Runs one command line of the product and returns its exit code."""
    return run_command_line(args, commands=COMMANDS, name="fescuerudder")


def _server(flag: str) -> str:
    server = flag or os.environ.get(SERVER_ENV, "")
    if not server:
        raise UsageError(f"no server: pass --server ip:port or set {SERVER_ENV}")
    for address in server.split(","):
        if not ADDRESS_PATTERN.fullmatch(address.strip()):
            raise UsageError(f"a server has the form ip:port, got {address.strip()!r}")
    return server


def _operator_key(flag: str) -> str:
    key = flag or os.environ.get(KEY_ENV, "")
    if not key:
        raise UsageError(f"no operator key: pass --key or set {KEY_ENV}")
    return key


def _one_server(flag: str) -> str:
    """Returns the first server; only the burn report asks several."""
    return _server(flag).split(",")[0].strip()


def _client(server: str) -> Client:
    return Client(server=_one_server(server))


def _operator_client(server: str, key: str) -> Client:
    return Client(server=_one_server(server), operator_key=_operator_key(key))


def _read_document(file: str) -> ServiceDocument:
    try:
        text = Path(file).read_text(encoding="utf-8")
        raw = json.loads(text) if file.endswith(".json") else tomllib.loads(text)
    except (OSError, ValueError) as exc:
        raise ClientError(f"{file}: {exc}") from exc
    try:
        return parse_document(raw)
    except FescuerudderError as exc:
        raise ClientError(f"{file}: {exc}") from exc


def _read_logs(place: str) -> list[str]:
    """Returns the lines of a file, or of all files of a directory."""
    path = Path(place)
    try:
        files = (
            sorted(item for item in path.iterdir() if item.is_file()) if path.is_dir() else [path]
        )
        texts = [file.read_text(encoding="utf-8", errors="replace") for file in files]
    except OSError as exc:
        raise ClientError(f"{place}: {exc}") from exc
    return [line for text in texts for line in text.splitlines()]


def _write_file(file: str, text: str) -> None:
    try:
        Path(file).write_text(text, encoding="utf-8")
    except OSError as exc:
        raise ClientError(f"{file}: {exc}") from exc


def _current_revision(client: Client, name: str) -> int:
    """Returns the revision in force, 0 for a new service."""
    try:
        return int(client.get_service(name)["revision"])
    except ClientError as exc:
        if exc.status == 404:
            return 0
        raise


def _change_zone(zone: str, state: str, server: str, key: str) -> int:
    client = _operator_client(server, key)
    answer = client.put_zone(zone, state=state)
    _print_json(answer)
    if answer.get("provisional"):
        raise OutcomeUnknownError(
            f"zone {zone} is {state} provisionally; the store is down and may not keep it"
        )
    return EXIT_DONE


def _print_answer(answer: Answer) -> int:
    sys.stdout.write(answer.body.decode("utf-8", errors="replace"))
    if not answer.body.endswith(b"\n"):
        sys.stdout.write("\n")
    if 200 <= answer.status < 400:
        return EXIT_DONE
    raise ClientError(f"the service answered {answer.status}", status=answer.status)


def _print_json(data: Any) -> None:
    print(json.dumps(data, indent=2, sort_keys=True))
