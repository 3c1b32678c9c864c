"""Starts a fleet with a simulated platform and targets on its own loopback addresses.

Used by the demo, the benchmark and the multi-process tests. Fleet.close() stops
every process that was started here, also after a failure.
"""

import http.client
import json
import os
import random
import re
import signal
import subprocess
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
BUILD = os.environ.get("PERIDOTFORK_BUILD", os.path.join(ROOT, "build"))
DATA_CENTRES = ["hartford", "worcester", "concord", "bole", "piassa", "kazanchis", "megenagna"]
HOST_DATA_CENTRES = ["hartford", "worcester", "bole", "kazanchis", "concord"]
TARGET_BASE_PORT = 20000
PORTS = {"agent": 7100, "dispatcher": 7200, "entry": 7300}
HTTP_OFFSET = 1


class FleetError(Exception):
    pass


def call(address, method, path, body=None, timeout=10.0):
    """Sends one HTTP request; returns (status, decoded JSON or text)."""
    ip, port = address.split(":")
    connection = http.client.HTTPConnection(ip, int(port), timeout=timeout)
    try:
        text = json.dumps(body) if body is not None else None
        connection.request(method, path, text, {"Content-Type": "application/json"})
        response = connection.getresponse()
        raw = response.read().decode("utf-8", "replace")
    finally:
        connection.close()
    try:
        return response.status, json.loads(raw)
    except ValueError:
        return response.status, raw


def wait_until(what, condition, timeout=30.0, pause=0.05):
    """Waits for a condition; a connection failure counts as a condition not yet met."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        try:
            if condition():
                return
        except (OSError, http.client.HTTPException, KeyError, TypeError):
            pass
        time.sleep(pause)
    raise FleetError(f"{what}: condition not met within {timeout:.0f} s")


class Fleet:
    """A platform, the targets of one or both deployments, and the entry hosts."""

    def __init__(self, hosts=4, seed=1, median_us=8000, settings=None, deployment=None):
        # A random /24 of the loopback network avoids conflicts between runs on one machine.
        self.prefix = f"127.{random.randint(10, 250)}.{random.randint(0, 250)}"
        self.run_dir = tempfile.mkdtemp(prefix="peridotfork-")
        self.seed = seed
        self.median_us = median_us
        self.settings = settings or {}
        self.deployment = deployment
        self.hosts = [f"h{i + 1}" for i in range(hosts)]
        self.processes = {}
        self.revision = 1
        self.hosts_version = 1
        self.platform = f"{self.prefix}.250:8000"
        self.document = self._make_document()

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()

    # Addresses.

    def ip(self, host):
        return f"{self.prefix}.{int(host[1:])}"

    def inner(self, host, role):
        return f"{self.ip(host)}:{PORTS[role]}"

    def http(self, host, role="entry"):
        return f"{self.ip(host)}:{PORTS[role] + HTTP_OFFSET}"

    def target_admin(self, data_centre):
        return f"{self.prefix}.249:{9000 + DATA_CENTRES.index(data_centre)}"

    def data_centre(self, host):
        return HOST_DATA_CENTRES[(int(host[1:]) - 1) % len(HOST_DATA_CENTRES)]

    # Files.

    def _write(self, name, text):
        path = os.path.join(self.run_dir, name)
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
        return path

    def _make_document(self):
        command = [os.path.join(BUILD, "peridotfork-standin-target"), "--print-document",
                   "--base-port", str(TARGET_BASE_PORT)]
        if self.deployment:
            command += ["--deployment", self.deployment]
        text = subprocess.run(command, check=True, capture_output=True, text=True).stdout
        return text.replace("= 127.0.0.1:", f"= {self.prefix}.248:")

    def host_list(self, hosts, leaving=()):
        return json.dumps({
            "version": self.hosts_version,
            "hosts": [{"id": host, "data_centre": self.data_centre(host), "cell": "c1",
                       "agent": self.inner(host, "agent"),
                       "state": "leaving" if host in leaving else "live"} for host in hosts],
        })

    def settings_file(self, host, role):
        sections = {
            "host": {"id": host, "data_centre": self.data_centre(host),
                     "address": self.inner(host, role)},
            "http": {"address": self.http(host, role)},
            "workers": {"threads": "3"},
        }
        if role == "agent":
            sections["platform"] = {"address": self.platform}
        else:
            sections["agent"] = {"address": self.inner(host, "agent")}
        for section, keys in self.settings.get(role, {}).items():
            sections.setdefault(section, {}).update(keys)
        text = "".join(f"[{name}]\n" + "".join(f"{k} = {v}\n" for k, v in keys.items())
                       for name, keys in sections.items())
        return self._write(f"{host}-{role}.ini", text)

    # Processes.

    def _start(self, name, command):
        log = open(os.path.join(self.run_dir, name + ".log"), "ab")
        with log:
            self.processes[name] = subprocess.Popen(
                [os.path.join(BUILD, command[0])] + command[1:], stdout=log, stderr=log)

    def start_platform(self):
        document = self._write("document.ini", self.document)
        hosts = self._write("hosts.json", self.host_list(self.hosts))
        self._start("platform", ["peridotfork-standin-platform", "--address", self.platform,
                                 "--document", document, "--hosts", hosts,
                                 "--revision", str(self.revision)])
        wait_until("platform", lambda: call(self.platform, "GET", "/stats")[0] == 200)

    def start_targets(self, extra=()):
        for data_centre in DATA_CENTRES:
            if f" {data_centre}" in self.document:
                self.start_targets_of(data_centre, extra)

    def start_targets_of(self, data_centre, extra=()):
        document = self._write("targets.ini", self.document)
        self._start(f"targets-{data_centre}",
                    ["peridotfork-standin-target", "--document", document,
                     "--data-centre", data_centre, "--seed", str(self.seed),
                     "--median-us", str(self.median_us),
                     "--admin", self.target_admin(data_centre), *extra])

    def start_process(self, host, role):
        self._start(f"{host}-{role}",
                    [f"peridotfork-{role}", "--config", self.settings_file(host, role)])

    def start_host(self, host):
        for role in PORTS:
            self.start_process(host, role)

    def start(self, extra_target_options=()):
        self.start_platform()
        self.start_targets(extra_target_options)
        for host in self.hosts:
            self.start_host(host)

    def stop_process(self, name, signal_number=signal.SIGTERM, timeout=20.0):
        """Stops one process; returns its exit code."""
        self.signal_process(name, signal_number)
        return self.wait_process(name, timeout)

    def wait_process(self, name, timeout=20.0):
        """Waits for the exit of a process that was signalled to stop; returns its exit code."""
        process = self.processes.pop(name)
        try:
            return process.wait(timeout)
        except subprocess.TimeoutExpired:
            process.kill()
            process.wait()
            raise FleetError(f"{name} did not exit within {timeout:.0f} s") from None

    def signal_process(self, name, signal_number):
        self.processes[name].send_signal(signal_number)

    def close(self):
        for process in self.processes.values():
            process.kill()
        for process in self.processes.values():
            process.wait()
        self.processes.clear()

    def log(self, name):
        with open(os.path.join(self.run_dir, name + ".log"), encoding="utf-8") as file:
            return file.read()

    # Operations.

    def publish(self, document):
        """Publishes a document as the next revision."""
        self.document = document
        self.revision += 1
        self.platform_control({"command": "publish", "document": document})

    def publish_hosts(self, hosts, leaving=()):
        self.hosts_version += 1
        self.platform_control({"command": "publish", "hosts": json.loads(
            self.host_list(hosts, leaving))})

    def platform_control(self, body):
        status, answer = call(self.platform, "POST", "/control", body)
        if status != 200:
            raise FleetError(f"platform control {body.get('command')}: {status} {answer}")
        return answer

    def agent_status(self, host):
        return call(self.http(host, "agent"), "GET", "/admin/status")[1]

    def dispatcher_status(self, host):
        return call(self.http(host, "dispatcher"), "GET", "/admin/status")[1]

    def entry_status(self, host):
        return call(self.http(host, "entry"), "GET", "/admin/status")[1]

    def search(self, host, caller, service, query, **fields):
        return call(self.http(host), "POST", "/v1/search",
                    {"caller": caller, "service": service, "query": query, **fields})

    def ticket(self, host, caller):
        return call(self.http(host), "POST", "/v1/tickets", {"caller": caller})

    def book(self, host, caller, service, ticket, booking, **fields):
        return call(self.http(host), "POST", "/v1/bookings",
                    {"caller": caller, "service": service, "ticket": ticket,
                     "booking": booking, **fields})

    def control_target(self, name, command, **arguments):
        """Sends a control command to one simulated target."""
        data_centre = re.search(rf"target\.{re.escape(name)} = \S+ (\S+)", self.document)[1]
        status, answer = call(self.target_admin(data_centre), "POST",
                              f"/targets/{name}/control", {"command": command, **arguments})
        if status != 200:
            raise FleetError(f"target {name} {command}: {status} {answer}")

    def target_count(self):
        return sum(1 for line in self.document.splitlines() if line.startswith("target."))

    def owned_targets(self):
        """Returns the names of owned targets, once for each dispatcher that owns them."""
        owned = []
        for host in self.hosts:
            if f"{host}-dispatcher" not in self.processes:
                continue
            for target in self.dispatcher_status(host)["targets"]:
                if target["owned"]:
                    owned.append(target["target"])
        return owned

    def wait_ready(self, timeout=40.0):
        """Waits until every entry answers completely for every service."""
        services = {"hearing-desk": "clerk-desk", "member-portal": "member-portal-web",
                    "walker-app": "walker-phone", "roster": "roster-planner"}

        def ready():
            for host in self.hosts:
                for service, caller in services.items():
                    if f"[service {service}]" not in self.document:
                        continue
                    status, answer = self.search(host, caller, service, "a", deadline_ms=1000)
                    if status != 200 or answer["outcome"] != "complete":
                        return False
            return True

        wait_until("all entries answer completely", ready, timeout, pause=0.3)
