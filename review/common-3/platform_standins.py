"""Stand-ins of the platform for the scripts of the third review: row store, workers, clients.

They follow PROTOCOL.md. Everything runs in one asyncio loop on loopback addresses; the nodes of the
system are processes of their own, started with the command of the deploy file. Only the standard
library is used.
"""

import asyncio
import base64
import contextlib
import json
import os
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TXN_S = 0.008
READ_S = 0.004
PAGE_ROWS = 500
MAX_LISTED_ENDS = 500
HEARTBEAT_S = 1.5
STOP_S = 0.2
MAX_HOLD_MS = 10_000
LINES_TOGETHER = 200
RESTART_S = 1.0
"""Time after which the platform restarts a killed process."""


class Record:
    """Writes what is seen to `record.txt`, with the time since the start."""

    def __init__(self, path):
        self._path = Path(path)
        self._path.write_text("", encoding="utf-8")
        self._start_s = time.monotonic()
        self._lines = []

    def now_s(self):
        """Returns the time since the start, in seconds."""
        return time.monotonic() - self._start_s

    def add(self, *words):
        """Adds a line."""
        self._lines.append(" ".join(map(str, (f"{self.now_s():8.3f}", *words))))
        if len(self._lines) >= LINES_TOGETHER:
            self.flush()

    def flush(self):
        """Writes the lines that were added."""
        with self._path.open("a", encoding="utf-8") as file:
            file.writelines(f"{line}\n" for line in self._lines)
        self._lines.clear()


# --- HTTP


async def read_message(reader):
    """Returns first line, headers and body of a message; None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return first, headers, body


class Server:
    """HTTP server; `handle` returns (status, body), or None to leave a request unanswered."""

    def __init__(self, host, handle):
        self.host, self.port, self._handle = host, 0, handle
        self._server, self._conns, self._silent = None, set(), set()

    @property
    def address(self):
        """Its `ip:port`."""
        return f"{self.host}:{self.port}"

    async def start(self, port=0):
        """Listens on a free port, or on a given one."""
        self._server = await asyncio.start_server(self._serve, self.host, port, backlog=512)
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self):
        """Closes the listener and resets all connections, as a crash does."""
        self._server.close()
        for writer in list(self._conns):
            writer.transport.abort()

    def silence(self, share):
        """Makes a share of the open connections silent for good, without a reset; new ones work."""
        self._silent.update(random.sample(list(self._conns), round(share * len(self._conns))))

    async def _serve(self, reader, writer):
        self._conns.add(writer)
        try:
            while (message := await read_message(reader)) is not None:
                first, headers, body = message
                method, target, _ = first.split(" ")
                answer = None
                if writer not in self._silent:
                    answer = await self._handle(method, target, headers, body)
                if answer is None or writer in self._silent:
                    # A connection on which an answer is lost delivers nothing further.
                    await asyncio.Event().wait()
                status, raw = answer
                data = json.dumps(raw, separators=(",", ":")).encode()
                head = (
                    f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n"
                )
                writer.write(head.encode() + data)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._conns.discard(writer)
            self._silent.discard(writer)
            writer.close()


async def call(address, method, path, *, host="", body=None, timeout_s=3.0):
    """Sends one request on a new connection; returns status and body, 0 without an answer."""
    ip, _, port = address.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(ip, int(port))
            data = b"" if body is None else json.dumps(body, separators=(",", ":")).encode()
            writer.write(
                f"{method} {path} HTTP/1.1\r\nHost: {host or address}\r\n"
                f"Content-Type: application/json\r\nContent-Length: {len(data)}\r\n"
                f"X-Deadline-Ms: {int(timeout_s * 1000)}\r\n\r\n".encode() + data
            )
            first, _, raw = await read_message(reader) or ("", {}, b"")
            if not first:
                return 0, None
            return int(first.split(" ")[1]), json.loads(raw) if raw else None
    except (OSError, TimeoutError, ValueError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()


# --- the row store


class Store:
    """The platform's row store.

    Attributes:
        mode: `up`, `silent` or `busy`, for all machines.
        cut: names of the machines that are partitioned from it: their calls get no answer.
    """

    def __init__(self, host):
        self._host = host
        self.mode = "up"
        self.cut, self.servers = set(), []
        self._rows, self._log, self._version = {}, [], 0
        self._changed = asyncio.Condition()
        self._locks = {}

    async def listen(self, name):
        """Opens an address of its own for a machine, so that the machine can be cut off."""

        async def handle(method, target, headers, body):
            return await self._handle(name, target, body)

        server = Server(self._host, handle)
        await server.start()
        self.servers.append(server)
        return server.address

    def now_ms(self):
        """Returns its steady clock."""
        return int(time.monotonic() * 1000)

    async def put(self, table, key, value):
        """Writes a row of the operator or of a worker; the return is the acknowledgement."""
        await self._apply([((table, "", key), json.dumps(value).encode())], [])

    async def drop(self, table, key):
        """Removes a row of the operator or of a worker."""
        await self._apply([], [(table, "", key)])

    def value(self, table, part, key):
        """Returns the decoded value of a row, None if there is none."""
        row = self._rows.get((table, part, key))
        return json.loads(row[0]) if row else None

    async def _apply(self, puts, removed):
        async with self._changed:
            self._version += 1
            for key, value in puts:
                self._rows[key] = (value, self._version)
                self._log.append((self._version, key))
            for key in removed:
                if self._rows.pop(key, None) is not None:
                    self._log.append((self._version, key))
            self._changed.notify_all()
            return self._version

    def _is_silent(self, name):
        return self.mode == "silent" or name in self.cut

    async def _handle(self, name, target, body):
        if self._is_silent(name):
            return None
        if self.mode == "busy":
            return 503, {}
        url = urlsplit(target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        if url.path == "/rows-tx":
            answer = await self._transact(json.loads(body), name)
        elif url.path == "/rows-get":
            await asyncio.sleep(READ_S)
            answer = self._get(query)
        elif url.path == "/rows-feed":
            answer = await self._feed(query)
        else:
            answer = 404, {}
        return None if self._is_silent(name) else answer

    async def _transact(self, raw, name):
        keys = [_key(row) for name in ("expected", "setKeys", "remove") for row in raw[name]]
        if len({part for _, part, _ in keys}) > 1 or len(keys) > 100:
            return 400, {}
        async with self._locks.setdefault(keys[0][1], asyncio.Lock()):
            await asyncio.sleep(TXN_S)
            if self._is_silent(name):
                return 503, {}
            for row in raw["expected"]:
                if self._rows.get(_key(row), (b"", 0))[1] != row["rowVersion"]:
                    found = [_key(row) for row in raw["expected"]]
                    rows = [self._row(key) for key in found if key in self._rows]
                    return 412, {"rows": rows, "rowVersion": self._version, "nowMs": self.now_ms()}
            puts = [(_key(row), base64.b64decode(row["value"])) for row in raw["setKeys"]]
            if any(len(value) > 65536 for _, value in puts):
                return 400, {}
            version = await self._apply(puts, [_key(row) for row in raw["remove"]])
            return 200, {"rowVersion": version, "nowMs": self.now_ms()}

    def _row(self, key):
        value, version = self._rows[key]
        table, part, name = key
        encoded = base64.b64encode(value).decode()
        return {
            "table": table, "part": part, "key": name, "value": encoded, "rowVersion": version,
        }  # fmt: skip

    def _get(self, query):
        first, end = query.get("from", ""), query.get("to", "")
        keys = sorted(
            key
            for key in self._rows
            if key[:2] == (query["table"], query.get("part", ""))
            and key[2] >= first
            and (not end or key[2] < end)
        )
        return 200, {
            "rows": [self._row(key) for key in keys[:PAGE_ROWS]],
            "hasMore": len(keys) > PAGE_ROWS,
            "rowVersion": self._version,
            "nowMs": self.now_ms(),
        }

    async def _feed(self, query):
        table, after = query["table"], int(query["after"])

        def changed():
            return {key for version, key in self._log if version > after and key[0] == table}

        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(int(query.get("waitMs", 0)) / 1000):
                async with self._changed:
                    await self._changed.wait_for(changed)
        rows = []
        for key in changed():
            if key in self._rows:
                rows.append(self._row(key))
            else:
                rows.append({"table": key[0], "part": key[1], "key": key[2], "removed": True})
        rows.sort(key=lambda row: row.get("rowVersion", 0))
        return 200, {"rows": rows, "rowVersion": self._version, "nowMs": self.now_ms()}


def _key(raw):
    return raw["table"], raw.get("part", ""), raw["key"]


# --- workers


class Worker:
    """A worker with leases, generation numbers and ends that are listed until acknowledged.

    Args:
        world: the world.
        name: its id.
        zone: its zone.
        cpu: its capacity in thousandths of a core.
        rack: its rack.
    """

    def __init__(self, world, name, zone, *, cpu=32_000, rack="r1"):
        self.world, self.name, self.zone, self.cpu, self.rack = world, name, zone, cpu, rack
        self.server = Server(world.host, self._handle)
        self.state, self.is_up = "ready", True
        self.leave_unanswered = lambda path, raw: None
        self._sequence = 0
        self._begin_life()

    def _begin_life(self):
        self.born_ms, self._started_s = int(time.time() * 1000), time.monotonic()
        self.token, self.lease_ms = 0, 0
        self.runs, self.ends, self._serial, self._last_run = {}, [], 0, {}
        self.used_cpu = 0
        self._ended = asyncio.Event()
        self.lapse_serial = 0

    def clock_ms(self):
        """Returns its steady clock."""
        return int((time.monotonic() - self._started_s) * 1000)

    async def crash(self, down_s):
        """Goes down, loses all that it runs, and starts again under its id and address."""
        port = self.server.port
        self.is_up = False
        await self.server.stop()
        for (task, run), (timer, _, _) in list(self.runs.items()):
            if timer is not None:
                timer.cancel()
            self.world.on_end(self, task, run, "lost")
        self.runs.clear()
        await asyncio.sleep(down_s)
        self._begin_life()
        self.server = Server(self.world.host, self._handle)
        await self.server.start(port)
        self.is_up = True
        await self.ping()

    async def ping(self):
        """Writes its entry to the registry."""
        self._sequence += 1
        entry = {
            "service": "pool", "address": self.server.address, "zone": self.zone, "version": "v1",
            "slots": 8, "state": self.state, "coldRemainingMs": 0,
            "capacity": {"cpu": self.cpu, "memMb": 125_000, "gpu": 0}, "labels": ["a", self.rack],
            "clockMs": self.clock_ms(), "sequence": self._sequence, "born": self.born_ms,
        }  # fmt: skip
        await self.world.store.put("servers", self.name, entry)

    async def _handle(self, method, target, headers, body):
        if headers.get("x-target-instance") != self.name:
            return 421, {"clockMs": self.clock_ms(), "born": self.born_ms}
        raw = json.loads(body)
        delay_s = self.leave_unanswered(target, raw)
        if delay_s is not None:
            self.world.record.add("unanswered", self.name, target, json.dumps(raw)[:200])
            await asyncio.sleep(delay_s)
            if not self.is_up:
                self.world.record.add("lost, as the worker is down", self.name, target)
                return None
            answer = await self._carry_out(target, raw)
            self.world.record.add("carried out late", self.name, target, answer[0], answer[1])
            return None
        return await self._carry_out(target, raw)

    async def _carry_out(self, target, raw):
        if raw["fencingToken"] < self.token:
            return self._answer(409, "fence")
        self.token = raw["fencingToken"]
        self._end_lapsed()
        if target == "/run-start":
            return self._start(raw)
        if target == "/run-stop":
            return self._stop(raw)
        if target == "/hold":
            return await self._hold(raw)
        return self._answer(200)

    def _answer(self, status, reason=""):
        raw = {"clockMs": self.clock_ms(), "born": self.born_ms}
        return status, {**raw, "reason": reason} if reason else raw

    def _extend(self, deadline_ms):
        longest_ms = self.clock_ms() + MAX_HOLD_MS
        self.lease_ms = max(self.lease_ms, min(deadline_ms, longest_ms))

    def _start(self, raw):
        task, run = raw["task"], raw["run"]
        if (task, run) in self.runs:
            self._extend(raw["deadlineMs"])
            return self._answer(200)
        if run <= self._last_run.get(task, 0):
            self._extend(raw["deadlineMs"])
            return self._answer(409, "old")
        if raw["deadlineMs"] <= self.clock_ms():
            return self._answer(409, "late")
        self._extend(raw["deadlineMs"])
        cpu, run_s, how = self.world.work_of(task, run)
        if self.used_cpu + cpu > self.cpu:
            return self._answer(409, "room")
        self.used_cpu += cpu
        timer = None
        loop = asyncio.get_running_loop()
        if run_s is not None:
            timer = loop.call_later(run_s, self._end, task, run, how)
        self.runs[(task, run)] = timer, cpu, time.monotonic()
        self.world.on_start(self, task, run)
        loop.call_later(max(0.0, (self.lease_ms - self.clock_ms()) / 1000), self._end_lapsed)
        return self._answer(200)

    def _stop(self, raw):
        task, run = raw["task"], raw["run"]
        if (task, run) in self.runs:
            asyncio.get_running_loop().call_later(STOP_S, self._end, task, run, "stopped")
        else:
            self._last_run[task] = max(self._last_run.get(task, 0), run)
        return self._answer(200)

    def _end(self, task, run, how):
        if how != "lapsed":
            self._end_lapsed()
        if (task, run) not in self.runs:
            return
        timer, cpu, _ = self.runs.pop((task, run))
        if timer is not None:
            timer.cancel()
        self.used_cpu -= cpu
        self._serial += 1
        self._last_run[task] = max(self._last_run.get(task, 0), run)
        self.ends.append([self._serial, task, run, how, ""])
        self.world.on_end(self, task, run, how)
        self._ended.set()

    def _end_lapsed(self):
        if self.runs and self.clock_ms() >= self.lease_ms:
            self.lapse_serial = self._serial
            for task, run in list(self.runs):
                self._end(task, run, "lapsed")
        elif self.runs:
            left_s = (self.lease_ms - self.clock_ms()) / 1000
            asyncio.get_running_loop().call_later(left_s + 0.001, self._lapse_if_due)

    def _lapse_if_due(self):
        if self.runs and self.clock_ms() >= self.lease_ms:
            self._end_lapsed()

    async def _hold(self, raw):
        acked = [end for end in self.ends if end[0] <= raw["ackSeq"]]
        self.ends = [end for end in self.ends if end[0] > raw["ackSeq"]]
        for serial, task, run, how, _ in acked:
            self.world.on_noted(self, task, run, how, lapsed=serial <= self.lapse_serial)
        if "deadlineMs" in raw:
            self._extend(raw["deadlineMs"])
        if raw.get("waitMs") and not self.ends:
            self._ended.clear()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(raw["waitMs"] / 1000):
                    await self._ended.wait()
        now_s = time.monotonic()
        running = [
            [task, run, "", self.world.percent(task, now_s - begun_s), 0]
            for (task, run), (_, _, begun_s) in self.runs.items()
        ]
        report = {"running": running, "endedRuns": self.ends[:MAX_LISTED_ENDS]}
        return 200, {"clockMs": self.clock_ms(), "born": self.born_ms, **report}


# --- nodes of the system


def free_ports(ip, count):
    """Returns ports that are free on an address."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((ip, 0))
        return [sock.getsockname()[1] for sock in socks]


class Node:
    """One process of the system, on a loopback address of its own.

    Args:
        world: the world.
        number: its number.
        zone: its zone.
        ip: its address.
    """

    def __init__(self, world, number, zone, ip):
        self.world, self.zone, self.ip = world, zone, ip
        self.name = f"front-{zone}-{number}"
        self.process = None
        self.store = ""
        self.front, self.ready, self._internal = (f"{ip}:{port}" for port in free_ports(ip, 3))

    def start(self):
        """Starts the process, with the command of the deploy file."""
        path = self.world.folder / f"{self.name}.toml"
        path.write_text(self._settings(), encoding="utf-8")
        env = {"PATH": os.environ["PATH"], "PYTHONPATH": "target/deps:.", "LANG": "C.UTF-8"}
        env |= {"FESCUERUDDER_NODE_FILE": str(path), "PYTHONDONTWRITEBYTECODE": "1"}
        with open(self.world.folder / f"{self.name}.log", "ab") as log:
            self.process = subprocess.Popen(
                ["python3", "-m", "fescuerudder", "node"],
                cwd=ROOT, env=env, stdout=log, stderr=log,
            )  # fmt: skip

    def send(self, number):
        """Sends a signal to the process, if it runs."""
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    async def kill(self):
        """Kills the process; the platform restarts it after a short delay."""
        self.send(signal.SIGKILL)
        self.process.wait()
        self.world.later(RESTART_S, self.start)

    def _settings(self):
        port = self._internal.rpartition(":")[2]
        return f"""node = "{self.name}"
role = "node"
machineClass = "front"
serves = ["front"]
ip = "{self.ip}"
zone = "{self.zone}"
region = "region"
internalPorts = [{port}, {port}]
seedNodes = []
bootstrap = true
faultCounted = false
discovery = "platform"
entry = "vip"
heartbeatMs = 1500
orders = "call"
[listenAddrs]
front = "{self.front}"
readyAddr = "{self.ready}"
[limits]
cpuShare = 0.43
cpuCores = 1
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[bounds]
contactMs = 4000
graceS = 6
maxHoldMs = {MAX_HOLD_MS}
stopTimeoutMs = {int(STOP_S * 1000)}
cancel_ms = 3000
visible_ms = 3000
finish_s = 14
status_s = 120
leaseMs = 3000
[platform]
address = "{self.store}"
form = "table"
writesPerS = 800
readsPerS = 2000
txnTimeoutMs = 8.0
writeOpsS = 150
maxRowBytes = 65536
crossPartition = false
historyS = 20
"""


# --- the world


class World:
    """Store, workers and nodes; an async context manager.

    Args:
        record: where to write what is seen.
        zones: zone of each node.
    """

    HOST_NAME = "jobs.example"
    PREFIX = "/queue/"

    def __init__(self, *, record, zones=("z1", "z2", "z3")):
        self.record = record
        block = f"127.{random.randrange(1, 250)}.{random.randrange(1, 250)}"
        self.host = f"{block}.250"
        self.store = Store(self.host)
        self.workers = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-3-")
        self.folder = Path(self._folder.name)
        self.nodes = [Node(self, n, zone, f"{block}.{n}") for n, zone in enumerate(zones, 1)]
        self.running, self.starts, self.ends, self.noted = {}, [], [], []
        self._tasks = set()
        self.max_attempts = 4

    async def __aenter__(self):
        try:
            return await self._start()
        except BaseException:
            await self.__aexit__()
            raise

    async def _start(self):
        route = {
            "name": "r-1", "hostname": self.HOST_NAME, "prefix": self.PREFIX, "kind": "unsafe",
            "timeoutMs": 3000, "targetCompletionMs": 1000, "priority": 0, "service": "pool",
            "maxAttempts": self.max_attempts, "stretch": 2.0, "allowedRegions": [],
        }  # fmt: skip
        service = {
            "name": "pool", "healthPath": "/health", "maxConnections": 64, "protocol": "h1",
            "tls": False, "coldStartS": 0.0, "coldPerS": 0.0, "rejectsOverload": True,
            "standby": False,
        }  # fmt: skip
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144}
        manifest = {"version": 7, "routes": [route], "services": [service], "limits": limits}
        await self.store.put("op", "config", manifest)
        for node in self.nodes:
            node.store = await self.store.listen(node.name)
            node.start()
        return self

    async def __aexit__(self, *exc_info):
        for task in list(self._tasks):
            task.cancel()
        for node in self.nodes:
            node.send(signal.SIGCONT)
            node.send(signal.SIGKILL)
            if node.process is not None:
                node.process.wait()
        logs = os.environ.get("KEEP_LOGS")
        if logs:
            for path in self.folder.glob("*.log"):
                (Path(logs) / path.name).write_bytes(path.read_bytes())
        self._folder.cleanup()

    async def add_worker(self, name, zone, **fields):
        """Starts a worker, which registers itself."""
        worker = Worker(self, name, zone, **fields)
        await worker.server.start()
        self.workers.append(worker)
        self.spawn(self._keep_pinging(worker))
        return worker

    async def _keep_pinging(self, worker):
        while True:
            if self.store.mode == "up" and worker.is_up:
                await worker.ping()
            await asyncio.sleep(HEARTBEAT_S * random.uniform(0.9, 1.1))

    def spawn(self, coroutine):
        """Runs a coroutine beside the others."""
        task = asyncio.create_task(coroutine)
        self._tasks.add(task)
        return task

    def later(self, delay_s, function):
        """Calls a function after a while."""

        async def wait():
            await asyncio.sleep(delay_s)
            function()

        self.spawn(wait())

    async def wait_ready(self, limit_s=30.0):
        """Waits until every node is ready and one leads; raises TimeoutError."""
        async with asyncio.timeout(limit_s):
            for node in self.nodes:
                while (await call(node.ready, "GET", "/ready"))[0] != 200:
                    await asyncio.sleep(0.2)
            while self.leader() is None:
                await asyncio.sleep(0.2)
        await asyncio.sleep(2.0)

    def leader(self):
        """Returns the node that the claim names, None before the first claim."""
        claim = self.store.value("jobs", "leader", "claim")
        names = {node.name: node for node in self.nodes}
        return names.get(claim["instance"]) if claim else None

    # --- clients

    async def request(self, method, job="", body=None, *, timeout_s=3.0, nodes=None):
        """Sends a request of a client to a node, as the platform's ingress picks it."""
        node = random.choice(nodes or self.nodes)
        path = self.PREFIX + job
        found = await call(
            node.front, method, path, host=self.HOST_NAME, body=body, timeout_s=timeout_s
        )
        self.record.add("client", method, path, "at", node.name, "->", *found)
        return found

    async def submit(self, job, body, limit_s=20.0):
        """Hands a job in, again after no answer or a refusal, until it is accepted."""
        async with asyncio.timeout(limit_s):
            while (await self.request("POST", job, body))[0] != 200:
                await asyncio.sleep(0.3)

    # --- what workers tell

    def work_of(self, task, run):
        """Returns cpu, run time in seconds (None: it lasts) and end of a run."""
        raise NotImplementedError

    def percent(self, task, ran_s):
        """Returns the progress of a run in percent."""
        _, run_s, _ = self.work_of(task, 0)
        return 100 if run_s is None else min(99, int(100 * ran_s / run_s))

    def find_second_runs(self):
        """Returns the starts of tasks of which a noted run had ended done before."""
        noted = {(task, run) for _, _, task, run, how in self.noted if how == "done"}
        done_s = {}
        for at_s, _, task, run, how in self.ends:
            if how == "done" and (task, run) in noted:
                done_s[task] = min(at_s, done_s.get(task, at_s))
        return [start for start in self.starts if start[0] > done_s.get(start[2], start[0])]

    def on_start(self, worker, task, run):
        """Called when a worker begins a run."""
        self.starts.append((self.record.now_s(), worker.name, task, run))
        self.running.setdefault(task, set()).add((worker.name, run))
        self.record.add("start", worker.name, task, run)

    def on_end(self, worker, task, run, how):
        """Called when a run ends."""
        self.ends.append((self.record.now_s(), worker.name, task, run, how))
        self.running[task].discard((worker.name, run))
        self.record.add("end", worker.name, task, run, how)

    def on_noted(self, worker, task, run, how, *, lapsed):
        """Called when an end is taken note of, unless the lease has lapsed since."""
        if not lapsed:
            self.noted.append((self.record.now_s(), worker.name, task, run, how))
        self.record.add("noted", worker.name, task, run, how, "after a lapse" if lapsed else "")


BROKEN = 10
"""Exit code of a case whose rule was broken. Python itself ends with 1 on an error."""


def main(folder, play):
    """Runs a case; exits with BROKEN if the rule was broken, 0 if it held, 2 otherwise."""
    record = Record(Path(folder) / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run():
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        async with asyncio.timeout(110):
            return await play(record, trouble)

    try:
        code = BROKEN if asyncio.run(run()) else 0
    except (Exception, asyncio.CancelledError) as exc:
        record.add("could not run:", type(exc).__name__, exc)
        code = 2
    verdict = {BROKEN: "rule broken", 0: "rule held"}.get(code, "could not run")
    record.add(verdict)
    record.flush()
    print(verdict)
    sys.exit(code)
