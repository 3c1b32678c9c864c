"""Randomized fault soak of real gateway processes on loopback.

A seed determines the sequence of faults; their exact timing depends on the machine.
Exits with 1 if a guarantee was violated, and keeps the logs of such a run.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import tempfile
import time

from callers import Caller
from faults import KINDS, SEPARATE, Faults, probe_versions
from fleet import MAX_MEMORY_KB, ZONES, Fleet

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
BUILD = os.environ.get("PERIDOTFORK_BUILD", os.path.join(ROOT, "build"))
SEEDS_FILE = os.path.join(os.path.dirname(os.path.abspath(__file__)), "seeds.txt")

CALLERS = 12
WARM_UP_S = 3.0
# Bound of the platform for recovery of a quarter of the service, and the length of
# the measurement that follows.
RECOVERY_S = 12.0
MEASURE_S = 3.0
MIN_SUCCESS = 0.9
TICK_S = 0.05


async def watch_stalls(fleet):
    while not fleet.stopped:
        fleet.ledger.last_tick = time.monotonic()
        await asyncio.sleep(TICK_S)
        if fleet.ledger.is_stalled():
            fleet.ledger.counts["stalls"] += 1
            fleet.ledger.disturb("soak", 0.0)


async def run_seed(seed, seconds, kinds, hosts, run_dir):
    """Runs one seed; returns the ledger."""
    fleet = Fleet(os.path.join(BUILD, "peridotfork-gateway"), run_dir, random.Random(seed), hosts)
    ledger = fleet.ledger
    await fleet.start()
    background = [asyncio.ensure_future(task) for task in (
        fleet.balancer.run(), watch_stalls(fleet), probe_versions(fleet))]
    await asyncio.sleep(WARM_UP_S)
    callers = [asyncio.ensure_future(Caller(fleet, ZONES[i % len(ZONES)]).run())
               for i in range(CALLERS)]
    await Faults(fleet).run(seconds, kinds)
    print(f"{time.monotonic() - ledger.start:8.3f} all faults are removed", flush=True)
    await asyncio.sleep(RECOVERY_S)
    start = time.monotonic()
    await asyncio.sleep(MEASURE_S)
    share = ledger.success_share(start, time.monotonic() - 1.0)
    ledger.counts["recovered %"] = round(100 * share)
    if share < MIN_SUCCESS:
        ledger.violation("RECOVER", f"{share:.2f} of the requests succeeded at the end")
    memory_kb = max(host.memory_kb() for host in fleet.hosts)
    ledger.counts["memory MB"] = memory_kb // 1024
    if memory_kb > MAX_MEMORY_KB:
        ledger.violation("FAULT", f"a host used {memory_kb} KB")
    fleet.stopping = True
    await asyncio.gather(*callers)
    late = await fleet.stop()
    if late:
        ledger.violation("LOST", f"the planned stop of {late} did not end in time")
    for task in background:
        task.cancel()
    ledger.finish()
    return ledger


def run_and_report(seed, args):
    run_dir = tempfile.mkdtemp(prefix=f"soak-{seed}-")
    print(f"seed {seed}: {args.seconds:.0f} s of faults, logs in {run_dir}", flush=True)
    ledger = asyncio.run(run_seed(seed, args.seconds, args.kinds, args.hosts, run_dir))
    counts = ", ".join(f"{key} {value}" for key, value in sorted(ledger.counts.items()))
    print(f"seed {seed}: {len(ledger.violations)} violations; {counts}", flush=True)
    if ledger.violations:
        with open(os.path.join(run_dir, "violations.txt"), "w", encoding="utf-8") as file:
            file.write("\n".join(ledger.violations) + "\n")
    else:
        shutil.rmtree(run_dir)
    return not ledger.violations


def regression_seeds():
    """Seeds that failed in earlier runs, from the file of regression cases."""
    with open(SEEDS_FILE, encoding="utf-8") as file:
        return [int(line.split()[0]) for line in file if line.strip() and line[0] != "#"]


def parse_arguments():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, action="append", help="a seed; may be repeated")
    parser.add_argument("--seeds", type=int, default=1, help="how many new random seeds to run")
    parser.add_argument("--kept", action="store_true", help="run the regression seeds of seeds.txt")
    parser.add_argument("--seconds", type=float, default=20.0,
                        help="time with faults for each seed")
    parser.add_argument("--hosts", type=int, default=4, help="number of gateway processes")
    parser.add_argument("--kinds", default=",".join([*KINDS, *SEPARATE]),
                        help="faults, separated by commas")
    args = parser.parse_args()
    args.kinds = args.kinds.split(",")
    unknown = [kind for kind in args.kinds if kind not in KINDS and kind not in SEPARATE]
    if unknown:
        parser.error(f"unknown faults {unknown}; known: {', '.join([*KINDS, *SEPARATE])}")
    return args


def main():
    args = parse_arguments()
    seeds = list(args.seed or [])
    if args.kept:
        seeds += regression_seeds()
    if not seeds:
        seeds = [random.SystemRandom().randrange(10**6) for _ in range(args.seeds)]
    failed = [seed for seed in seeds if not run_and_report(seed, args)]
    print(f"{len(seeds) - len(failed)} passed, {len(failed)} failed")
    if failed:
        print(f"failed seeds: {failed}")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
