"""Stand-ins for the platform, searchers and clients, and the start of gateway processes.

The stand-ins follow PROTOCOL.md and DEPLOY.md. They speak HTTP/1.1 over asyncio streams on loopback
addresses. A script creates one Case, which writes record.txt and ends every process it started.
"""

import asyncio
import base64
import itertools
import json
import os
import re
import socket
import sys
import tempfile
import time
import tomllib
from urllib.parse import parse_qs, urlsplit

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# One loopback address for a run, so that runs at the same time do not share ports.
ADDRESS = f"127.{1 + os.getpid() // 250 % 250}.{1 + os.getpid() % 250}.1"
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2


def free_port():
    with socket.socket() as probe:
        probe.bind((ADDRESS, 0))
        return probe.getsockname()[1]


class Message:
    def __init__(self, start, headers, body=b""):
        self.start = start.split(" ", 2)
        self.headers = headers
        self.body = body

    def header(self, name, default=None):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.start[1])


async def read_message(reader):
    """The next message, or None if the connection ended before one began."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionError("the connection ended inside a header")
        return None
    lines = head[:-4].decode("latin-1").split("\r\n")
    headers = [(name, value.strip())
               for name, _, value in (line.partition(":") for line in lines[1:])]
    message = Message(lines[0], headers)
    try:
        message.body = await reader.readexactly(int(message.header("Content-Length") or 0))
    except asyncio.IncompleteReadError:
        raise ConnectionError("the connection ended inside a body")
    return message


def encode(start, headers, body=b""):
    lines = [start, *(f"{name}: {value}" for name, value in headers),
             f"Content-Length: {len(body)}"]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


class Record:
    """Writes one line of JSON for each event, with the seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def write(self, event, **fields):
        line = json.dumps({"t": round(self.now(), 4), "event": event, **fields})
        self.file.write(line + "\n")
        self.file.flush()

    def say(self, text):
        self.write("note", text=text)
        print(f"{self.now():8.3f}  {text}", flush=True)


class Store:
    """The platform's store: a watch returns each item as it was written, for `retention_s`.

    With `watch_bytes` a reply to a watch ends at about that size, as a page of a range does; the
    caller continues from its current_rev. Without it a reply holds all events there are.
    """

    MAX_VALUE_BYTES = 1_048_576
    PAGE_ITEMS = 500

    def __init__(self, record, retention_s=20):
        self.record = record
        self.retention_s = retention_s
        self.watch_bytes = None
        self.revision = 100
        self.items = {}
        self.history = []  # (revision, time, event)
        self.floor = 0  # newest revision whose history is gone
        self.changed = asyncio.Event()
        self.port = None
        # Status with which all reading calls are refused, or None.
        self.refuse = None

    async def start(self):
        server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = server.sockets[0].getsockname()[1]
        return self

    def put(self, key, value):
        data = json.dumps(value, separators=(",", ":")).encode()
        if len(data) > self.MAX_VALUE_BYTES:
            raise ValueError(f"{key} has {len(data)} bytes")
        self.revision += 1
        created = self.items[key]["created"] if key in self.items else self.revision
        item = {"key": key, "value": base64.b64encode(data).decode(), "revision": self.revision,
                "created": created, "lease_id": 0}
        self.items[key] = item
        self._changed(item)
        self.record.write("store", key=key, revision=self.revision, bytes=len(data),
                          **({"version": value["version"]} if key == "op/config" else
                             {"state": value.get("state")}))

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._changed({"key": key, "revision": self.revision, "deleted": True})
            self.record.write("store", key=key, revision=self.revision, deleted=True)

    def _changed(self, event):
        self.history.append((self.revision, time.monotonic(), event))
        self.changed.set()
        self.changed = asyncio.Event()

    def _drop_old_history(self):
        oldest = time.monotonic() - self.retention_s
        while self.history and self.history[0][1] < oldest:
            self.floor = self.history.pop(0)[0]

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                status, body = await self._answer(request)
                data = json.dumps(body).encode()
                writer.write(encode(f"HTTP/1.1 {status} X",
                                    [("Content-Type", "application/json")], data))
                await writer.drain()
                self.record.write("store_call", call=request.start[1], status=status,
                                  bytes=len(data))
        except (OSError, ConnectionError, asyncio.CancelledError):
            pass  # The peer is gone, or the case ends.
        finally:
            writer.close()

    async def _answer(self, request):
        await asyncio.sleep(0.004)
        if self.refuse is not None:
            return self.refuse, {}
        url = urlsplit(request.start[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/api/kv-range":
            keys = sorted(key for key in self.items
                          if key.startswith(prefix) and key > query.get("after", ""))
            return 200, {"items": [self.items[key] for key in keys[:self.PAGE_ITEMS]],
                         "has_more": len(keys) > self.PAGE_ITEMS, "current_rev": self.revision}
        if url.path == "/api/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["wait_ms"]) / 1000)
        return 404, {}

    async def _watch(self, prefix, after, wait_s):
        end = time.monotonic() + min(wait_s, 30)
        while True:
            self._drop_old_history()
            if self.refuse is not None:
                return self.refuse, {}
            if after < self.floor:
                return 410, {}
            events = [event for revision, _, event in self.history
                      if revision > after and event["key"].startswith(prefix)]
            left = end - time.monotonic()
            if events or left <= 0:
                return 200, self._reply(events)
            try:
                await asyncio.wait_for(self.changed.wait(), left)
            except asyncio.TimeoutError:
                pass


    def _reply(self, events):
        if self.watch_bytes is not None:
            size = 0
            for count, event in enumerate(events):
                size += len(json.dumps(event))
                if count > 0 and size > self.watch_bytes:
                    return {"events": events[:count],
                            "current_rev": events[count - 1]["revision"]}
        return {"events": events, "current_rev": self.revision}


class Searcher:
    """One searcher of a service, registered in the store under its id."""

    _numbers = itertools.count(1)

    def __init__(self, case, service, zone, slots=8, work_s=0.005, body=None):
        self.case = case
        self.id = f"i-{next(self._numbers):08x}"
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work_s = work_s
        self.body = body
        self.state = "ready"
        self.running = 0
        self.seq = 0
        self.born = int(time.time() * 1000)
        self.server = None
        self.port = None
        self.writers = set()

    async def start(self, register=True):
        self.server = await asyncio.start_server(self._serve, ADDRESS, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        if register:
            self.report()
        return self

    def report(self):
        """Writes the entry. The store's entry changes only when more than `seq` does."""
        self.seq += 1
        self.case.store.put(f"servers/{self.id}", {
            "backend": self.service, "address": f"{ADDRESS}:{self.port}", "zone": self.zone,
            "version": "v1", "slots": self.slots, "state": self.state, "cold_left_ms": 0,
            "seq": self.seq, "born": self.born})

    def say_draining(self):
        self.state = "draining"
        self.report()

    def stop(self):
        """Ends the searcher as a process ends: its port closes and its connections break."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        self.case.record.write("searcher_ends", searcher=self.id)

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                writer.write(await self._answer(request))
                await writer.drain()
        except (OSError, ConnectionError, asyncio.CancelledError):
            pass  # The peer is gone, or the case ends.
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _answer(self, request):
        request_id = request.header("Request-Id")
        common = [("Request-Id", request_id),
                  ("Server-Load", f"{self.running},0,{self.slots}"), ("Keep-Alive", "timeout=5")]
        if request.header("Target-Instance") not in (None, self.id):
            return encode("HTTP/1.1 421 X", [*common, ("Not-Executed", "1"),
                                             ("Instance-Id", self.id)])
        self.case.arrivals.append({"t": self.case.record.now(), "searcher": self.id,
                                   "request": request_id})
        self.case.record.write("arrives", searcher=self.id, service=self.service,
                               request=request_id, method=request.start[0],
                               target=request.start[1], timeout=request.header("Timeout-Ms"))
        self.running += 1
        try:
            self.case.record.write("runs", searcher=self.id, request=request_id)
            await asyncio.sleep(self.work_s)
        finally:
            self.running -= 1
        body = self.body if self.body is not None else os.urandom(16 * 8)
        stamp = f"{self.id}.{request_id}"
        return encode("HTTP/1.1 200 X", [*common, ("Response-Stamp", stamp)], body)


def fill(template, values):
    """Fills in the placeholders {{a.b}} and {{a.0}} of a settings template."""
    def value_of(match):
        value = values
        for part in match[1].split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part, "")
        return ",".join(map(str, value)) if isinstance(value, list) else str(value)
    text = re.sub(r"\{\{#[^}]*\}\}.*?\{\{/[^}]*\}\}", "", template)
    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


class Gateway:
    """One gateway process, started with the command and the template of the deploy file."""

    def __init__(self, case, node, zone, limits, bounds):
        self.case = case
        self.node = node
        self.zone = zone
        self.limits = limits
        self.bounds = bounds
        (self.front, self.ready_port, self.control, self.internal,
         self.metrics) = (free_port() for _ in range(5))
        self.process = None

    def write_settings(self, seeds=()):
        """Fills in the template; returns the role, its values and the path of the settings."""
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = next(iter(tomllib.load(file)["roles"].values()))
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        values = {
            "node": self.node, "zone": self.zone, "ip": ADDRESS,
            "internal_ports": [self.internal, self.internal + 15], "seeds": list(seeds),
            "listen": {"front": f"{ADDRESS}:{self.front}", "ready": f"{ADDRESS}:{self.ready_port}",
                       "control": f"{ADDRESS}:{self.control}"},
            "limits": self.limits, "bounds": self.bounds,
            "platform": {"address": f"{ADDRESS}:{self.case.store.port}"}}
        # The metrics port of the template is fixed; each process here needs one of its own.
        text = fill(template, values).replace(":9464", f":{self.metrics}")
        path = os.path.join(self.case.folder.name, f"{self.node}.ini")
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return role, values, path

    async def start(self, seeds=()):
        role, values, path = self.write_settings(seeds)
        command = [os.path.join(ROOT, role["run"].split()[0]), *(
            path if word.endswith("settings.toml") else word for word in role["run"].split()[1:])]
        environment = {"PATH": os.environ["PATH"], "HOME": self.case.folder.name, "LANG": "C",
                       **{name: fill(text, values) for name, text in role["env"].items()}}
        log = open(os.path.join(self.case.folder.name, f"{self.node}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            *command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.case.processes.append(self.process)
        self.case.record.write("gateway_starts", node=self.node, pid=self.process.pid)

    def address(self):
        return ADDRESS, self.front

    def log_lines(self, text):
        path = os.path.join(self.case.folder.name, f"{self.node}.log")
        with open(path, encoding="utf-8", errors="replace") as file:
            return [line.rstrip("\n") for line in file if text in line]

    async def wait_ready(self, timeout_s=10):
        end = time.monotonic() + timeout_s
        while time.monotonic() < end:
            try:
                reader, writer = await asyncio.open_connection(ADDRESS, self.ready_port)
                writer.write(encode("GET /api/readiness HTTP/1.1", [("Host", "platform")]))
                answer = await read_message(reader)
                writer.close()
                if answer is not None and answer.status == 200:
                    return
            except (OSError, ConnectionError):
                pass
            await asyncio.sleep(0.05)
        raise RuntimeError(f"{self.node} is not ready")


class Client:
    """Sends requests one after the other; keeps its connection while the gateway does."""

    _numbers = itertools.count(1)

    def __init__(self, case, gateway):
        self.case = case
        self.gateway = gateway
        self.reader = self.writer = None

    async def send(self, method, target, host, timeout_ms, body=b"", headers=()):
        """Returns the id and the answer; the answer is None if the connection broke."""
        request_id = f"{next(self._numbers):016x}"
        fields = [("Host", host), ("Request-Id", request_id), ("Timeout-Ms", timeout_ms), *headers]
        self.case.record.write("sent", request=request_id, node=self.gateway.node, method=method,
                               target=target)
        answer = None
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.open_connection(*self.gateway.address())
            self.writer.write(encode(f"{method} {target} HTTP/1.1", fields, body))
            answer = await asyncio.wait_for(read_message(self.reader), timeout_ms / 1000)
        except (OSError, ConnectionError, asyncio.TimeoutError) as error:
            self.case.record.write("client_error", request=request_id, error=repr(error))
        self.case.record.write("answered", request=request_id,
                               status=None if answer is None else answer.status,
                               stamp=None if answer is None else answer.header("Response-Stamp"))
        if answer is None or "close" in (answer.header("Connection") or "").lower():
            self.close()
        return request_id, answer

    def close(self):
        if self.writer is not None:
            self.writer.close()
        self.reader = self.writer = None


class Case:
    def __init__(self, folder):
        self.record = Record(os.path.join(folder, "record.txt"))
        self.folder = tempfile.TemporaryDirectory(prefix="peridotfork-review-")
        self.processes = []
        # Requests that reached searchers, without those that were answered 421.
        self.arrivals = []
        self.store = None

    async def start_store(self):
        self.store = await Store(self.record).start()

    async def end(self):
        for process in self.processes:
            if process.returncode is None:
                process.terminate()
        for process in self.processes:
            try:
                await asyncio.wait_for(process.wait(), 8)
            except asyncio.TimeoutError:
                process.kill()
                await process.wait()


def run(play, script_path):
    """Runs `await play(case)`, which returns HELD or BROKEN, and exits with the result."""
    async def whole():
        case = Case(os.path.dirname(os.path.abspath(script_path)))
        case.record.say(f"TROUBLE={int(TROUBLE)}")
        try:
            await case.start_store()
            result = await asyncio.wait_for(play(case), 105)
        except Exception as error:  # The case could not run; the reason is recorded.
            case.record.say(f"could not run: {error!r}")
            result = COULD_NOT_RUN
        finally:
            await case.end()
        case.record.say({HELD: "the rule held", BROKEN: "the rule was broken",
                         COULD_NOT_RUN: "the case could not run"}[result])
        return result
    sys.exit(asyncio.run(whole()))
