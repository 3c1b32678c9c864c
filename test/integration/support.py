"""Load generation, sampling and checks shared by the multi-process tests."""

import http.client
import os
import re
import sys
import threading
import time
import unittest
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "scripts"))

from fleet import DATA_CENTRES, Fleet, call, wait_until  # noqa: E402

# Bound for an unowned home to get an owner: lease (3 s), renewal interval (0.5 s),
# quiet period of a restarted process (3 s), and the process start itself.
OWNERSHIP_RECOVERY_S = 8.0
# Time after which a drained or leaving target must get no new work.
DRAIN_S = 5.0
# Bound for an accepted configuration to be in force on 5 hosts.
CONFIG_APPLY_S = 5.0
SAMPLE_S = 0.1


def parse_groups(document, service):
    """Returns target name, address and data centre of each replica, by group."""
    groups = {}
    group = None
    for line in document.splitlines():
        header = re.match(r"\[group ([\w-]+)/(\d+)\]", line)
        if header:
            group = int(header[2]) if header[1] == service else None
        elif line.startswith("["):
            group = None
        elif group is not None and line.startswith("target."):
            name, location = line.split("=")
            address, data_centre = location.split()
            groups.setdefault(group, []).append(
                (name.strip()[len("target."):], address, data_centre))
    return groups


def stored_records(fleet, service, query, limit, index=1):
    """Returns the records of each group, queried directly from one of its targets."""
    found = {}
    for group, replicas in parse_groups(fleet.document, service).items():
        status, answer = call(replicas[0][1], "POST", "/search", {
            "attempt": f"expected-{group}", "service": service, "group": group,
            "snapshot": {"index": index, "map": 1}, "query": query, "limit": limit,
            "deadline_us": int((time.time() + 2.5) * 1e6)})
        if status != 200:
            raise AssertionError(f"target {replicas[0][0]}: {status} {answer}")
        found[group] = answer["records"]
    return found


def contradictions(answer, stored):
    """Returns the statements of an answer that contradict the stored records."""
    faults = []
    coverage = answer["coverage"]
    missing = {item["group"] for item in answer["missing"]}
    if coverage["groups_total"] != len(stored):
        faults.append(f"groups_total {coverage['groups_total']}")
    if coverage["groups_answered"] + len(missing) != coverage["groups_total"]:
        faults.append(f"{coverage['groups_answered']} answered, missing {sorted(missing)}")
    if (answer["outcome"] == "complete") != (not missing):
        faults.append(f"outcome {answer['outcome']}, missing {sorted(missing)}")
    merged = {}
    for group in sorted(set(stored) - missing):
        for record in stored[group]:
            merged.setdefault(record["id"], record)
    ordered = sorted(merged.values(), key=lambda record: (-record["rank"], record["id"]))
    records = answer["records"]
    if records != ordered[:len(records)] or (merged and not records):
        faults.append("records are not those of the groups that answered")
    if coverage["records"] != len(merged):
        faults.append(f"coverage of {coverage['records']} records, not {len(merged)}")
    return faults


class Exchange:
    """One request with its answer, or with the failure that prevented one."""

    def __init__(self, host, start):
        self.host = host
        self.start = start
        self.end = None
        self.status = None
        self.body = None
        self.failure = None

    def is_complete(self):
        return self.status == 200 and self.body.get("outcome") == "complete"

    def __repr__(self):
        body = self.body
        if isinstance(body, dict):
            body = {key: value for key, value in body.items() if key != "records"}
        return (f"{self.host} {self.status} {self.failure} after "
                f"{(self.end - self.start) * 1000:.0f} ms: {body}")


class Load:
    """Sends one search at a steady rate through each host until it is stopped."""

    def __init__(self, fleet, hosts, caller="walker-phone", service="walker-app", query="gate",
                 pause=0.1, **fields):
        self.fleet = fleet
        self.arguments = (caller, service, query)
        self.fields = {"limit": 5, "deadline_ms": 1000, "require": "partial", **fields}
        self.pause = pause
        self.sent = []
        self.stopped = threading.Event()
        self.threads = [threading.Thread(target=self._run, args=(host,)) for host in hosts]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _run(self, host):
        while not self.stopped.wait(self.pause):
            sent = Exchange(host, time.monotonic())
            try:
                sent.status, sent.body = self.fleet.search(host, *self.arguments, **self.fields)
            except (OSError, http.client.HTTPException) as failure:
                sent.failure = failure
            sent.end = time.monotonic()
            self.sent.append(sent)

    def since(self, moment):
        return [sent for sent in list(self.sent) if sent.start >= moment]


class OwnershipSamples:
    """Samples which dispatcher owns which target, every 100 ms.

    The dispatchers of one sample are asked one after another, so a target that
    changes its owner in between may appear twice. Double ownership is proved only
    if one dispatcher is sampled as owner between two successive samples of another
    that both show the other one as owner.
    """

    def __init__(self, fleet):
        self.fleet = fleet
        self.stopped = threading.Event()
        self.seen = {}  # host -> list of (asked, answered, incarnation, owned targets)
        self.threads = [threading.Thread(target=self._run, args=(host,)) for host in fleet.hosts]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop()

    def stop(self):
        self.stopped.set()
        for thread in self.threads:
            thread.join()

    def _run(self, host):
        samples = self.seen.setdefault(host, [])
        while not self.stopped.wait(SAMPLE_S):
            asked = time.monotonic()
            try:
                status = call(self.fleet.http(host, "dispatcher"), "GET", "/admin/status",
                              timeout=1.0)[1]
            except (OSError, http.client.HTTPException):
                continue
            owned = {t["target"] for t in status["targets"] if t["owned"]}
            samples.append((asked, time.monotonic(), status["incarnation"], owned))

    def double_owners(self):
        found = []
        for host, samples in self.seen.items():
            for before, after in zip(samples, samples[1:]):
                # Only successive samples of the same process prove continuous ownership.
                if before[2] != after[2] or after[1] - before[0] > 1.0:
                    continue
                throughout = before[3] & after[3]
                for other, others in self.seen.items():
                    if other == host:
                        continue
                    for asked, answered, _, owned in others:
                        if before[1] <= asked and answered <= after[0] and owned & throughout:
                            found.append((host, other, sorted(owned & throughout)[:5]))
        return found

    def sample_count(self):
        return sum(len(samples) for samples in self.seen.values())


def target_journals(fleet):
    """Returns the journal of every target, including targets that are down."""
    found = {}
    for data_centre in DATA_CENTRES:
        if f"targets-{data_centre}" not in fleet.processes:
            continue
        admin = fleet.target_admin(data_centre)
        for target in call(admin, "GET", "/targets")[1]["targets"]:
            name = target["target"]
            found[name] = call(admin, "GET", f"/targets/{name}/journal")[1]
    return found


def count_runs(fleet, key):
    return sum(1 for journal in target_journals(fleet).values() for entry in journal["entries"]
               if entry["booking_key"] == key)


def connection_caps(document):
    """Returns the connection limit of each service."""
    caps = {}
    service = None
    for line in document.splitlines():
        if line.startswith("["):
            header = re.match(r"\[service ([\w-]+)\]", line)
            service = header[1] if header else None
        elif service and line.startswith("connections"):
            caps[service] = int(line.split("=")[1])
    return caps


def journal_faults(fleet):
    """Returns violations of limits and repeated bookings found in the target journals."""
    faults = []
    caps = connection_caps(fleet.document)
    keys = Counter()
    for name, journal in target_journals(fleet).items():
        if journal["dropped"]:
            faults.append(f"{name}: {journal['dropped']} entries dropped, the check is incomplete")
        over = [e for e in journal["entries"] if e["in_flight"] > e["bound"]]
        if over:
            faults.append(f"{name}: {len(over)} of {len(journal['entries'])} over the bound, "
                          f"first {over[0]}")
        keys.update(e["booking_key"] for e in journal["entries"] if e["booking_key"])
        if journal["connections"]["most"] > caps[journal["service"]]:
            faults.append(f"{name}: {journal['connections']} over {caps[journal['service']]}")
    faults += [f"booking {key} ran {runs} times" for key, runs in keys.items() if runs > 1]
    return faults


class FleetTest(unittest.TestCase):
    """Runs one fleet for each class and checks the target journals after each test."""

    HOSTS = 3
    DEPLOYMENT = "rounds"
    TARGET_OPTIONS = ()
    # Set where the fault of one test would affect the next; starts a fleet for each test.
    FRESH_FLEET = False
    SERVICE = ("walker-phone", "walker-app", "gate")

    @classmethod
    def setUpClass(cls):
        if not cls.FRESH_FLEET:
            cls.start_fleet()
            cls.addClassCleanup(cls.fleet.close)

    @classmethod
    def start_fleet(cls):
        cls.fleet = Fleet(hosts=cls.HOSTS, deployment=cls.DEPLOYMENT)
        try:
            cls.fleet.start(cls.TARGET_OPTIONS)
            cls.fleet.wait_ready(60.0)
            cls.wait_all_owned()
            cls.stored = stored_records(cls.fleet, cls.SERVICE[1], cls.SERVICE[2], 5)
        except BaseException:
            cls.fleet.close()
            raise

    def setUp(self):
        if self.FRESH_FLEET:
            self.start_fleet()
            self.addCleanup(self.fleet.close)
        self.addCleanup(self.check_journals)

    def check_journals(self):
        self.assertEqual(journal_faults(self.fleet), [], self.fleet.run_dir)

    @classmethod
    def wait_all_owned(cls, timeout=20.0):
        wait_until("every target is owned",
                   lambda: len(cls.fleet.owned_targets()) == cls.fleet.target_count(), timeout)

    def assert_correct(self, sent):
        """Checks that every request got an answer and that no answer is incorrect."""
        self.assertTrue(sent)
        lost = [s for s in sent if s.failure is not None]
        self.assertEqual(lost, [], f"requests without answer; logs in {self.fleet.run_dir}")
        incorrect = []
        for s in sent:
            if s.status == 200:
                faults = contradictions(s.body, self.stored)
                if faults:
                    incorrect.append((s, faults))
        self.assertEqual(incorrect, [], f"incorrect answers; logs in {self.fleet.run_dir}")

    def assert_complete(self, sent):
        self.assert_correct(sent)
        incomplete = [s for s in sent if not s.is_complete()]
        self.assertEqual(incomplete, [], f"{len(incomplete)} of {len(sent)} incomplete; logs in "
                                         f"{self.fleet.run_dir}")

    def report(self, text):
        print(f"{self.id()}: {text}", file=sys.stderr)
