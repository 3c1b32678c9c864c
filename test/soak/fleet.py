"""The deployment under test: real gateways with simulated dependencies and clients."""

import asyncio
import os
import signal
import time

from ledger import GRACE_S, Ledger
from proxy import Proxy
from store import Store
from targets import Target
from wire import LOOPBACK, WireError, encode, read_message, reset

ZONES = ("east", "west", "south")
REPLICAS = 3
SHARDS = {"first": tuple(f"a{i}" for i in range(6)), "second": tuple(f"b{i}" for i in range(8))}
UNSHARDED = ("one", "two")
SLOTS = 3
SHARD_WORK_S = 0.004
UNSHARDED_WORK_S = 0.02
RECORDS = 12
# Number of seed hosts that are listed in the settings of each host.
SEED_HOSTS = 3
READY_CHECK_S = 1.0
READY_MAX_FAILURES = 2
RESTART_S = 0.3
# Exit code of a program that is started with faulty settings.
EXIT_FAULTY_SETTINGS = 2
PORT_NAMES = ("http", "ingress", "metrics", "inner")
# Below the ephemeral port range, from which the system assigns ports.
BASE_PORT = 20000
# Limit for the peak memory of a gateway process, for the smallest host of the deployments.
MAX_MEMORY_KB = 260 * 1024
MAX_CONNECTIONS = 31


class Configuration:
    """One published version of the configuration."""

    def __init__(self, version, routes):
        self.version = version
        self.routes = {route["name"]: route for route in routes}

    def services_of(self, name):
        route = self.routes.get(name)
        if route is None:
            return ()
        if "gather" in route:
            return tuple(route["gather"])
        return tuple(p["backend"] for p in route.get("traffic_split", [route]))

    def text(self):
        services = SHARDS["first"] + SHARDS["second"] + UNSHARDED
        return {"version": self.version, "routes": list(self.routes.values()),
                "services": [{"name": name, "health_path": "/health", "cold_s": 3.0,
                              "cold_per_s": 2.5, "max_conns": MAX_CONNECTIONS}
                             for name in services],
                "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                           "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


class Host:
    """One gateway process and the proxies of its ingress and store connections."""

    def __init__(self, fleet, number):
        self.fleet = fleet
        self.name = f"h{number + 1}"
        self.zone = ZONES[number % len(ZONES)]
        self.process = None
        self.incarnation = 0
        first = BASE_PORT + len(PORT_NAMES) * number
        self.ports = {name: first + i for i, name in enumerate(PORT_NAMES)}
        self.ingress = None
        self.store_link = None
        self.in_rotation = False
        self.failed_checks = 0
        self.expected_exit = False
        self.settings_faulty = False
        self.restart_enabled = True
        self.log = None

    async def start(self):
        self.ingress = await Proxy(self.ports["ingress"]).start()
        self.store_link = await Proxy(self.fleet.store.port).start()
        self.log = open(self.log_path, "ab")
        self.write_settings()
        await self.launch()

    def write_settings(self, max_in_flight=600):
        text = f"""[host]
id = {self.name}
data_centre = {self.zone}
address = {LOOPBACK}:{self.ports['inner']}
[http]
address = {LOOPBACK}:{self.ports['http']}
ready_path = /api/readiness
[ingress]
address = {LOOPBACK}:{self.ports['ingress']}
max_in_flight = {max_in_flight}
[metrics]
address = {LOOPBACK}:{self.ports['metrics']}
[store]
address = {LOOPBACK}:{self.store_link.port}
[peers]
seeds = {', '.join(f"{LOOPBACK}:{h.ports['inner']}" for h in self.fleet.hosts[:SEED_HOSTS])}
[workers]
threads = 1
[drain]
timeout = {GRACE_S:.0f}s
"""
        with open(self.settings_path, "w", encoding="ascii") as file:
            file.write(text)

    @property
    def settings_path(self):
        return os.path.join(self.fleet.run_dir, f"{self.name}.ini")

    @property
    def log_path(self):
        return os.path.join(self.fleet.run_dir, f"{self.name}.log")

    async def launch(self):
        self.incarnation += 1
        self.expected_exit = False
        self.process = await asyncio.create_subprocess_exec(
            self.fleet.program, "--config", self.settings_path, stdout=self.log, stderr=self.log)
        asyncio.ensure_future(self._watch(self.process))

    async def _watch(self, process):
        """Restarts the process after it exits; reports an unexpected exit as a violation."""
        status = await process.wait()
        refused = self.settings_faulty and status == EXIT_FAULTY_SETTINGS
        if not self.expected_exit and not refused:
            self.fleet.ledger.violation("FAULT", f"{self.name} exited unexpectedly with {status}")
        await asyncio.sleep(RESTART_S)
        if self.restart_enabled and not self.fleet.stopped:
            await self.launch()

    def send(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    def kill(self):
        self.expected_exit = True
        self.send(signal.SIGKILL)

    async def terminate(self):
        """Stops the process with SIGTERM; returns whether it exited with 0 in time."""
        self.expected_exit = True
        process = self.process
        self.send(signal.SIGTERM)
        try:
            await asyncio.wait_for(process.wait(), GRACE_S)
        except asyncio.TimeoutError:
            if process.returncode is None:
                process.kill()
            return False
        return process.returncode == 0

    def memory_kb(self):
        try:
            with open(f"/proc/{self.process.pid}/status", encoding="ascii") as file:
                for line in file:
                    if line.startswith("VmHWM:"):
                        return int(line.split()[1])
        except OSError:
            pass  # The process has just exited.
        return 0

    async def is_ready(self):
        writer = None
        try:
            reader, writer = await asyncio.wait_for(
                asyncio.open_connection(LOOPBACK, self.ports["http"]), READY_CHECK_S)
            writer.write(encode("GET /api/readiness HTTP/1.1", [("Host", "ready")]))
            message = await asyncio.wait_for(read_message(reader), READY_CHECK_S)
            return message is not None and message.status == 200
        except (OSError, WireError, asyncio.TimeoutError):
            return False
        finally:
            if writer is not None:
                reset(writer)


class Balancer:
    """Chooses the host of a new connection as the load balancer of the platform does."""

    def __init__(self, fleet):
        self.fleet = fleet

    async def run(self):
        while not self.fleet.stopped:
            await asyncio.gather(*(self._check_ready(host) for host in self.fleet.hosts))
            await asyncio.sleep(READY_CHECK_S)

    @staticmethod
    async def _check_ready(host):
        if await host.is_ready():
            host.failed_checks = 0
            host.in_rotation = True
            return
        host.failed_checks += 1
        if host.failed_checks >= READY_MAX_FAILURES:
            host.in_rotation = False

    def choose(self, zone):
        hosts = self.fleet.hosts
        local = [host for host in hosts if host.in_rotation and host.zone == zone]
        ready = [host for host in hosts if host.in_rotation]
        return self.fleet.random.choice(local or ready or hosts)


class Fleet:
    def __init__(self, program, run_dir, random, host_count):
        self.program = program
        self.run_dir = run_dir
        self.random = random
        self.ledger = Ledger()
        self.store = Store()
        self.hosts = [Host(self, i) for i in range(host_count)]
        self.balancer = Balancer(self)
        self.targets = {}  # id -> Target
        self.configuration = None
        self.shard_set = "first"
        self.timeout_ms = 700
        self.slots = SLOTS
        self.abandon_share = 0.0
        self.stopping = False  # callers send no new requests
        self.stopped = False

    plain_routes = ("scan", "scan", "scan", "pull", "book")

    async def start(self):
        await self.store.start()
        for service in SHARDS["first"] + UNSHARDED:
            for i in range(REPLICAS):
                await self.add_target(service, ZONES[i % len(ZONES)], cold=False)
        self.publish()
        for host in self.hosts:
            await host.start()

    # Operators.

    def publish(self):
        version = 7 if self.configuration is None else (
            self.configuration.version + self.random.randrange(1, 5))
        routes = [
            {"name": "scan", "host": "scan.example", "path_prefix": "/scan/",
             "route_type": "idempotent", "timeout_ms": self.timeout_ms, "target_latency_ms": 120,
             "max_attempts": 2, "gather": list(SHARDS[self.shard_set]), "top_k": 10,
             "min_coverage": 0.75},
            {"name": "pull", "host": "pull.example", "path_prefix": "/pull/",
             "route_type": "idempotent", "timeout_ms": 2000, "target_latency_ms": 400,
             "max_attempts": 2, "traffic_split": [{"backend": "one", "weight": 80},
                                                  {"backend": "two", "weight": 20}]},
            {"name": "book", "host": "pull.example", "path_prefix": "/pull/book/",
             "route_type": "non_idempotent", "timeout_ms": 2000, "target_latency_ms": 400,
             "max_attempts": 2, "backend": "two"},
            self.probe_route(version)]
        self.configuration = Configuration(version, routes)
        self.store.put("op/config", self.configuration.text())
        self.ledger.publish(self.configuration)

    @staticmethod
    def probe_route(version):
        return {"name": f"probe-{version}", "host": "probe.example",
                "path_prefix": f"/v{version}/", "route_type": "idempotent", "timeout_ms": 1000,
                "target_latency_ms": 400, "max_attempts": 2, "backend": "one"}

    # Targets.

    @staticmethod
    def work_s(service):
        return UNSHARDED_WORK_S if service in UNSHARDED else SHARD_WORK_S

    def body_of(self, service):
        if service in UNSHARDED:
            return self.random.randbytes(300)
        return self.random.randbytes(16 * RECORDS + self.random.randrange(3))

    async def add_target(self, service, zone, cold=True, proxy=None, old_id=None):
        target = Target(self, service, zone, cold)
        target.id = old_id or target.id
        self.ledger.closed_targets.pop(target.id, None)
        self.targets[target.id] = target

        async def make_proxy(port):
            return await Proxy(port).start()

        return await target.start(make_proxy, proxy)

    def write_entry(self, target):
        target.seq += 1
        left = max(0, int((target.cold_until - time.monotonic()) * 1000))
        self.store.put(f"servers/{target.id}", {
            "backend": target.service, "address": f"{LOOPBACK}:{target.proxy.port}",
            "zone": target.zone, "version": "v1", "slots": target.slots, "state": target.state,
            "cold_left_ms": left, "seq": target.seq, "born": target.born_ms})

    def close_target(self, target):
        """Removes the store entry; the target must get no new work from now on."""
        if self.targets.get(target.id) is target:
            del self.targets[target.id]
            self.ledger.closed_targets.setdefault(target.id, time.monotonic())
            self.store.remove(f"servers/{target.id}")

    def crash_and_replace(self, target, down_s=2.0, same_id=False):
        """Crashes the target; after `down_s`, starts a cold replacement as a new incarnation."""
        target.crash()
        self.ledger.disturb(target.id, down_s)
        asyncio.get_running_loop().call_later(
            down_s, lambda: asyncio.ensure_future(self._replace(target, same_id)))

    async def _replace(self, target, same_id):
        if same_id and self.targets.get(target.id) is target:
            await self.add_target(target.service, target.zone, old_id=target.id)
        else:
            await self.add_target(target.service, target.zone)

    def live_targets(self, services=None):
        return [t for t in self.targets.values() if t.state == "ready" and t.proxy is not None
                and t.proxy.listening and not t.proxy.blackholed
                and (services is None or t.service in services)]

    def services_in_use(self):
        return SHARDS[self.shard_set] + UNSHARDED

    async def stop(self):
        """Stops all hosts with SIGTERM; returns the names of those that miss their deadline."""
        ended = await asyncio.gather(*(self._stop_host(host) for host in self.hosts))
        self.stopped = True
        self.store.close()
        for target in list(self.targets.values()):
            target.heartbeats.cancel()
            target.server.close()
        return [host.name for host, in_time in zip(self.hosts, ended) if not in_time]

    @staticmethod
    async def _stop_host(host):
        host.restart_enabled = False
        return await host.terminate()
