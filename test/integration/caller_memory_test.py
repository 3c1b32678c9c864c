"""Callers that nobody controls: a gateway must live, stay within its memory and its descriptors, and
answer an ordinary request afterwards. No test checks times or a share of served requests.

Each test starts one real gateway with lowered limits, a store and a target on loopback."""

import asyncio
import os
import resource
import socket
import subprocess
import sys
import tempfile
import threading
import time
import unittest

SOAK = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "soak")
sys.path.insert(0, SOAK)

from store import Store  # noqa: E402
from wire import LOOPBACK  # noqa: E402

GATEWAY = os.path.join(os.environ.get("PERIDOTFORK_BUILD", "build"), "peridotfork-gateway")
# Upper limit for waiting on a step; only a hang reaches it.
PATIENCE_S = 60
SMALL_ANSWER = b"ordinary"
HOST = "a.example"
SHARDS = [f"shard-{number}" for number in range(36)]


class StandIns:
    """A store with one configuration, and a target of all services that answers /big/N with N
    bytes."""

    def __init__(self, max_body_bytes):
        self.max_body_bytes = max_body_bytes
        self.ready = threading.Event()
        self.loop = asyncio.new_event_loop()
        threading.Thread(target=self._run, daemon=True).start()
        self.ready.wait(PATIENCE_S)

    def _run(self):
        asyncio.set_event_loop(self.loop)
        self.loop.run_until_complete(self._start())
        self.ready.set()
        self.loop.run_forever()

    async def _start(self):
        self.store = await Store().start()
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self.server.sockets[0].getsockname()[1]
        route = {"host": HOST, "route_type": "idempotent", "timeout_ms": 30000,
                 "target_latency_ms": 10000, "max_attempts": 2, "priority": 1}
        self.store.put("op/config", {
            "version": 1,
            "routes": [
                {**route, "name": "one", "path_prefix": "/big/", "backend": "one"},
                {**route, "name": "all", "path_prefix": "/all/", "gather": ["one"],
                 "top_k": 1_000_000, "min_coverage": 1.0},
                {**route, "name": "many", "path_prefix": "/many/", "gather": SHARDS,
                 "top_k": 10, "min_coverage": 1.0}],
            "services": [{"name": name, "health_path": "/health", "max_conns": 4000,
                          "cold_s": 0, "cold_per_s": 0} for name in ["one", *SHARDS]],
            "limits": {"max_header_bytes": 16384, "max_body_bytes": self.max_body_bytes,
                       "header_timeout_ms": 30000, "idle_timeout_ms": 60000}})
        for number, name in enumerate(["one", *SHARDS], start=1):
            self.store.put(f"servers/i-{number}", {
                "backend": name, "address": f"{LOOPBACK}:{port}", "zone": "here",
                "version": "v1", "slots": 1000, "state": "ready", "cold_left_ms": 0, "seq": 1,
                "born": 1})

    @staticmethod
    async def _serve(reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
                fields = dict(line.lower().split(": ", 1) for line in head.split("\r\n")[1:] if line)
                await reader.readexactly(int(fields.get("content-length", 0)))
                size = head.split(" ")[1].rsplit("/", 1)[1]
                body = SMALL_ANSWER if size == "0" else b"x" * int(size)
                writer.write((f"HTTP/1.1 200 OK\r\nRequest-Id: {fields['request-id']}\r\n"
                              f"Response-Stamp: s.{fields['request-id']}\r\n"
                              f"Content-Length: {len(body)}\r\n\r\n").encode() + body)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            writer.close()

    def stop(self):
        self.loop.call_soon_threadsafe(self.loop.stop)


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for one in sockets:
        one.bind((LOOPBACK, 0))
    ports = [one.getsockname()[1] for one in sockets]
    for one in sockets:
        one.close()
    return ports


class Gateway:
    """One process of the gateway, with `descriptors` as its limit of open files."""

    def __init__(self, stand_ins, memory_mib, descriptors=8192):
        self.memory_mib = memory_mib
        self.descriptors = descriptors
        self.ingress, http, metrics, inner = free_ports(4)
        self.folder = tempfile.TemporaryDirectory()
        path = os.path.join(self.folder.name, "gateway.ini")
        with open(path, "w", encoding="ascii") as file:
            file.write(f"[host]\nid = h1\ndata_centre = here\naddress = {LOOPBACK}:{inner}\n"
                       f"memory_mib = {memory_mib}\n[http]\naddress = {LOOPBACK}:{http}\n"
                       f"[ingress]\naddress = {LOOPBACK}:{self.ingress}\n"
                       f"[metrics]\naddress = {LOOPBACK}:{metrics}\n"
                       f"[store]\naddress = {LOOPBACK}:{stand_ins.store.port}\n"
                       f"[workers]\nthreads = 1\n")
        self.log = open(os.path.join(self.folder.name, "log"), "wb")
        self.process = subprocess.Popen(
            [GATEWAY, "--config", path], stdout=self.log, stderr=self.log,
            preexec_fn=lambda: resource.setrlimit(resource.RLIMIT_NOFILE,
                                                  (descriptors, descriptors)))

    def alive(self):
        return self.process.poll() is None

    def peak_mib(self):
        with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
            return next(int(line.split()[1]) for line in file if line.startswith("VmHWM:")) / 1024

    def open_descriptors(self):
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    def connect(self, receive_buffer=None):
        one = socket.socket()
        if receive_buffer:
            one.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        one.settimeout(PATIENCE_S)
        one.connect((LOOPBACK, self.ingress))
        return one

    def ask(self):
        """Sends an ordinary request; returns the answer's bytes, empty if there is none."""
        try:
            with self.connect() as one:
                one.sendall(request("/big/0", "ordinary"))
                answer = b""
                while not answer.endswith(SMALL_ANSWER):
                    received = one.recv(65536)
                    if not received:
                        break
                    answer += received
                return answer
        except OSError:
            return b""

    def ask_until_answered(self):
        """An ordinary caller comes back when it is refused."""
        end = time.monotonic() + PATIENCE_S
        while time.monotonic() < end:
            if self.ask().startswith(b"HTTP/1.1 200"):
                return True
            time.sleep(0.2)
        return False

    def stop(self):
        self.process.kill()
        self.process.wait()
        self.log.close()
        self.folder.cleanup()


def request(path, request_id, fields="", body=b""):
    return (f"{'POST' if body or fields else 'GET'} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
            f"Request-Id: {request_id}\r\nTimeout-Ms: 30000\r\n{fields}\r\n").encode() + body


def settle(gateway):
    """Waits until the memory of the process has stopped to grow, or the process has ended."""
    last = -1.0
    while gateway.alive() and (peak := gateway.peak_mib()) > last:
        last = peak
        time.sleep(2)


class CallerMemoryTest(unittest.TestCase):
    # Room for what the process needs without callers.
    MEMORY_MIB = 64

    def setUp(self):
        self.crowd = []

    def start(self, memory_mib=MEMORY_MIB, descriptors=8192, max_body_bytes=262144):
        self.stand_ins = StandIns(max_body_bytes)
        self.gateway = Gateway(self.stand_ins, memory_mib, descriptors)
        self.addCleanup(self.stand_ins.stop)
        self.addCleanup(self.gateway.stop)
        self.assertTrue(self.gateway.ask_until_answered(), "the gateway did not start")

    def tearDown(self):
        for one in self.crowd:
            one.close()

    def send(self, one, data):
        """Sends what the gateway takes; a caller that is refused or closed out goes on."""
        try:
            one.setblocking(False)
            one.send(data)
        except OSError:
            pass

    def send_all(self, one, data):
        """Sends all data unless the gateway refuses it or has ended."""
        try:
            one.sendall(data)
        except OSError:
            pass

    def check(self):
        settle(self.gateway)
        self.assertTrue(self.gateway.alive(), "the process has ended")
        peak = self.gateway.peak_mib()
        print(f"peak {peak:.0f} MiB of {self.gateway.memory_mib}, "
              f"{self.gateway.open_descriptors()} descriptors")
        self.assertLessEqual(peak, self.gateway.memory_mib)
        self.assertLessEqual(self.gateway.open_descriptors(), self.gateway.descriptors)
        self.assertTrue(self.gateway.ask_until_answered(), "an ordinary request was not answered")
        self.assertTrue(self.gateway.alive(), "the process has ended")

    def slow_readers(self, prefix):
        # The kernel takes up to 4 MiB of an answer; what is beyond stays in the process.
        answer = 4_700_000
        self.start(memory_mib=304)
        for number in range(100):
            one = self.gateway.connect(receive_buffer=4096)
            self.crowd.append(one)
            self.send(one, request(f"/{prefix}/{answer}", f"slow{number}"))
        self.check()

    def test_slow_readers_of_plain_answers_do_not_use_up_the_memory(self):
        self.slow_readers("big")

    def test_slow_readers_of_gathers_do_not_use_up_the_memory(self):
        self.slow_readers("all")

    def test_slow_senders_of_bodies_do_not_use_up_the_memory(self):
        size = 900_000
        self.start(max_body_bytes=1_000_000)
        for number in range(120):
            one = self.gateway.connect()
            self.crowd.append(one)
            one.settimeout(5)
            try:
                one.sendall(request("/big/0", f"slow{number}", f"Content-Length: {size}\r\n"))
                one.sendall(b"x" * (size - 1))
            except OSError:
                pass
        self.check()

    # Guards against a body that is held once for each shard (review/6).
    def test_large_bodies_on_gathers_do_not_use_up_the_memory(self):
        self.start(memory_mib=160)
        body = b"x" * 262144
        for repetition in range(3):
            for number in range(24):
                one = self.gateway.connect()
                self.crowd.append(one)
                self.send_all(one, request("/many/0", f"body{repetition}-{number}",
                                           f"Content-Length: {len(body)}\r\n", body))
        self.check()

    def test_pipelined_requests_behind_an_unread_answer_do_not_use_up_the_memory(self):
        self.start()
        for number in range(60):
            one = self.gateway.connect(receive_buffer=4096)
            self.crowd.append(one)
            self.send(one, b"".join(request("/big/500000", f"p{number}-{i}") for i in range(200)))
        self.check()

    def test_idle_connections_do_not_use_up_the_descriptors(self):
        self.start(descriptors=160)
        for _ in range(300):
            self.crowd.append(self.gateway.connect())
        self.check()

    def test_connections_that_come_and_go_leave_nothing_behind(self):
        self.start(descriptors=160)
        before = self.gateway.open_descriptors()
        for number in range(2000):
            with self.gateway.connect() as one:
                if number % 2:
                    one.sendall(request("/big/0", f"c{number}")[:50])
        self.check()
        end = time.monotonic() + PATIENCE_S
        while self.gateway.open_descriptors() > before + 8 and time.monotonic() < end:
            time.sleep(0.5)
        self.assertLessEqual(self.gateway.open_descriptors(), before + 8)


if __name__ == "__main__":
    unittest.main()
