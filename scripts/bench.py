"""Benchmarks of real processes with simulated targets and platform on one machine.

Bounds come from the stated targets (docs/design.md, section 1). Results that
depend on the machine are compared with a baseline of the same run.
"""

import csv
import os
import re
import subprocess
import sys
import time

from fleet import BUILD, Fleet, call, wait_until

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")
failures = []


def report(name, value, unit, bound=None, at_most=True):
    """Prints one result and records a missed bound; without a bound it is informational."""
    bound_met = bound is None or (value <= bound if at_most else value >= bound)
    limit = "-" if bound is None else f"{'<=' if at_most else '>='}{bound:g}"
    print(f"{name:<44} {value:>10.3f} {unit:<8} {limit:<10} "
          f"{'ok' if bound_met else 'FAIL'}", flush=True)
    if not bound_met:
        failures.append(name)


def run_load(fleet, mix, rate, seconds, seed=1):
    """Runs the load program; returns its samples."""
    path = os.path.join(fleet.run_dir, "load.csv")
    entries = ",".join(fleet.http(host) for host in fleet.hosts)
    subprocess.run([os.path.join(BUILD, "peridotfork-load"), "--entries", entries, "--mix", mix,
                    "--rate", f"{rate}/s", "--duration", f"{seconds}s", "--seed", str(seed),
                    "--csv", path], check=True, stdout=subprocess.DEVNULL)
    with open(path, encoding="utf-8") as file:
        return [(float(row["due_ms"]), float(row["latency_ms"]), row["outcome"])
                for row in csv.DictReader(file)]


def quantile(samples, q):
    """Returns a latency quantile in ms over the complete and partial answers."""
    values = sorted(s[1] for s in samples if s[2] in ("complete", "partial"))
    return values[min(len(values) - 1, int(q * len(values)))] if values else float("nan")


def share(samples, outcome):
    return sum(1 for s in samples if s[2] == outcome) / max(len(samples), 1)


def process_cost(fleet, name):
    """Returns the CPU seconds used and the resident set size in bytes of a process."""
    pid = fleet.processes[name].pid
    with open(f"/proc/{pid}/stat", encoding="utf-8") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS, int(fields[21]) * PAGE_BYTES


def control_targets(fleet, body):
    for name in list(fleet.processes):
        if name.startswith("targets-"):
            admin = fleet.target_admin(name.split("-", 1)[1])
            status, answer = call(admin, "POST", "/control", body)
            if status != 200:
                raise RuntimeError(f"{name}: {status} {answer}")


def attempts(fleet):
    total = {"first": 0, "hedges": 0, "retries": 0}
    for host in fleet.hosts:
        for key in total:
            total[key] += fleet.entry_status(host)["attempts"][key]
    return total


def extra_load(before, after):
    first = after["first"] - before["first"]
    extra = sum(after[k] - before[k] for k in ("hedges", "retries"))
    return (first + extra) / max(first, 1)


def raise_caller_limits(document):
    return re.sub(r"in_flight = \d+", "in_flight = 4000",
                  re.sub(r"rate = \d+/s", "rate = 100000/s", document))


def run_tail(service, adaptive, kill_replica=False):
    settings = {"entry": {"queries": {"adaptive_routing": "yes" if adaptive else "no"}}}
    with Fleet(hosts=4, deployment="association", settings=settings) as fleet:
        fleet.document = raise_caller_limits(fleet.document)
        fleet.start()
        fleet.wait_ready()
        control_targets(fleet, {"command": "warm"})
        control_targets(fleet, {"command": "stragglers", "rate": 0.01, "factor": 10})
        run_load(fleet, service, 40, 8, seed=7)  # warm-up of latency estimates and ramps
        if kill_replica:
            control_targets(fleet, {"command": "restart_delay", "ms": -1,
                                    "targets": ["hd-0-a", "mp-0-a"]})
            control_targets(fleet, {"command": "crash", "targets": ["hd-0-a", "mp-0-a"]})
        before = attempts(fleet)
        samples = run_load(fleet, service, 40, 15)
        return samples, extra_load(before, attempts(fleet))


def measure_tail():
    for service in ("hearing-desk", "member-portal"):
        adaptive_samples, extra = run_tail(service, adaptive=True)
        baseline, _ = run_tail(service, adaptive=False)
        report(f"tail.{service}.p50", quantile(adaptive_samples, 0.5), "ms")
        report(f"tail.{service}.p99", quantile(adaptive_samples, 0.99), "ms")
        report(f"tail.{service}.p99.9", quantile(adaptive_samples, 0.999), "ms")
        report(f"tail.{service}.random_no_hedge.p99", quantile(baseline, 0.99), "ms")
        report(f"tail.{service}.p99_to_random",
               quantile(adaptive_samples, 0.99) / quantile(baseline, 0.99),
               "ratio", 1 / 3)
        report(f"tail.{service}.extra_load", extra, "ratio", 1.03)
        report(f"tail.{service}.complete", share(adaptive_samples, "complete"), "share", 0.999,
               at_most=False)


def measure_lost_replica():
    samples, extra = run_tail("hearing-desk", adaptive=True, kill_replica=True)
    report("lost_replica.p99", quantile(samples, 0.99), "ms")
    report("lost_replica.extra_load", extra, "ratio", 1.10)
    report("lost_replica.complete", share(samples, "complete"), "share", 0.999, at_most=False)


def run_goodput(fleet, rate):
    samples = run_load(fleet, "hearing-desk", rate, 8)
    refused = sorted(s[1] for s in samples if s[2] not in ("complete", "partial"))
    slowest_refusal = refused[int(0.99 * (len(refused) - 1))] if refused else 0.0
    return share(samples, "complete") * len(samples) / 8, slowest_refusal


def measure_goodput():
    # Capacity: 9 slots per group and 60 ms per sub-request give 150 queries/s.
    with Fleet(hosts=4, deployment="association", median_us=60000) as fleet:
        fleet.document = raise_caller_limits(fleet.document)
        fleet.start()
        fleet.wait_ready()
        control_targets(fleet, {"command": "warm"})
        run_load(fleet, "hearing-desk", 60, 10, seed=7)
        at_capacity, _ = run_goodput(fleet, 150)
        report("goodput.1x", at_capacity, "1/s")
        for factor in (2, 5):
            rate, refusal = run_goodput(fleet, 150 * factor)
            report(f"goodput.{factor}x", rate, "1/s")
            report(f"goodput.{factor}x_to_1x", rate / max(at_capacity, 1e-9), "ratio",
                   0.9 if factor == 5 else None, at_most=False)
            report(f"goodput.{factor}x.refusal_p99", refusal, "ms", 40 if factor == 5 else None)


def measure_cost():
    with Fleet(hosts=4, deployment="association") as fleet:
        fleet.document = raise_caller_limits(fleet.document)
        fleet.start()
        fleet.wait_ready()
        control_targets(fleet, {"command": "warm"})
        run_load(fleet, "hearing-desk", 60, 5, seed=7)
        names = [n for n in fleet.processes if n[0] == "h"]
        before = {n: process_cost(fleet, n)[0] for n in names}
        samples = run_load(fleet, "hearing-desk", 100, 10)
        for role in ("entry", "dispatcher", "agent"):
            cpu_seconds = sum(process_cost(fleet, n)[0] - before[n] for n in names
                              if n.endswith(role))
            memory = max(process_cost(fleet, n)[1] for n in names if n.endswith(role))
            report(f"cost.{role}.per_query", cpu_seconds / len(samples) * 1e6, "us")
            report(f"cost.{role}.per_sub_request", cpu_seconds / len(samples) / 10 * 1e6, "us")
            report(f"cost.{role}.memory", memory / 1e6, "MB")


def measure_control():
    """Measures the cost of membership, leases and configuration by number of hosts."""
    for hosts in (3, 5, 10, 15):
        with Fleet(hosts=hosts, deployment="rounds") as fleet:
            fleet.start_platform()
            for host in fleet.hosts:
                fleet.start_host(host)
            wait_until("all agents joined", lambda: all(
                fleet.agent_status(h)["joined"] for h in fleet.hosts), 60)
            time.sleep(24)  # watches of hosts that have just joined end after 20 s
            agents = [f"{h}-agent" for h in fleet.hosts]
            cpu = {n: process_cost(fleet, n)[0] for n in agents}
            sent = {h: fleet.agent_status(h)["bytes_sent"] for h in fleet.hosts}
            calls = call(fleet.platform, "GET", "/stats")[1]
            start = time.monotonic()
            time.sleep(10)
            seconds = time.monotonic() - start
            bytes_rate = max(fleet.agent_status(h)["bytes_sent"] - sent[h]
                             for h in fleet.hosts) / seconds
            core_share = max(process_cost(fleet, n)[0] - cpu[n] for n in agents) / seconds
            memory = max(process_cost(fleet, n)[1] for n in agents)
            after = call(fleet.platform, "GET", "/stats")[1]
            report(f"control.{hosts}.agent_bytes_sent", bytes_rate / 1000, "KB/s")
            report(f"control.{hosts}.agent_processor", core_share * 100, "% core", 3.7)
            report(f"control.{hosts}.agent_memory", memory / 1e6, "MB", 64)
            report(f"control.{hosts}.platform_calls",
                   (after["calls"]["total"] - calls["calls"]["total"]) / seconds, "1/s")
            report(f"control.{hosts}.platform_watches", after["waiting"], "calls")
            report(f"control.{hosts}.propagation", propagation(fleet), "s", 5)



def propagation(fleet):
    """Returns the seconds from a publication until it is in force on all hosts."""
    start = time.monotonic()
    fleet.publish(fleet.document.replace("rate = 40/s", "rate = 41/s"))
    wait_until("the edit is in force", lambda: all(
        fleet.agent_status(h)["document"]["revision"] >= fleet.revision
        for h in fleet.hosts), 30, pause=0.02)
    return time.monotonic() - start


BENCHMARKS = {
    "tail": measure_tail,
    "lost_replica": measure_lost_replica,
    "goodput": measure_goodput,
    "cost": measure_cost,
    "control": measure_control,
}


def main():
    names = sys.argv[1:] or list(BENCHMARKS)
    if names == ["--list"]:
        print("\n".join(BENCHMARKS))
        return 0
    unknown = [name for name in names if name not in BENCHMARKS]
    if unknown:
        print(f"unknown part {unknown[0]}; parts are {', '.join(BENCHMARKS)}", file=sys.stderr)
        return 2
    for name in names:
        BENCHMARKS[name]()
    print(f"{len(failures)} bounds missed" + "".join(f"\n  {name}" for name in failures))
    return 1 if failures else 0


if __name__ == "__main__":
    sys.exit(main())
