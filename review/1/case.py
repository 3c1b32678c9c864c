"""All processes are killed and start again while one odd entry of another writer is in the store."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import fleet as standins  # noqa: E402

BOUNDS = {"grace_s": 6, "contact_ms": 4000, "recovery_s": 12}
ZONES = ("hartford", "hartford", "worcester", "concord")
SHARDS = ["huvo11a", "lohu93e", "daje37f", "ficu72g"]
# An id as the pages show it, with the remark of whoever copied the entry.
ODD_KEY = "servers/a copy of i-7f3a91c2"
# Bytes that can't be read, within max_value_bytes.
ODD_VALUE = b"\xff\x00\x9d" * 340_000
RATE_PER_S = 30
MEASURE_S = 8.0


async def play(fleet):
    for service in SHARDS + ["kafi81c"]:
        for zone in ("hartford", "worcester", "concord"):
            searcher = standins.Searcher(fleet, service, zone)
            fleet.searchers.append(await searcher.start())
    fleet.services = SHARDS + ["kafi81c"]
    fleet.routes = [
        {"name": "r-1", "host": "leno12.example", "path_prefix": "/rany330/",
         "route_type": "idempotent", "timeout_ms": 800, "target_latency_ms": 120, "priority": 1,
         "gather": SHARDS, "max_attempts": 2, "top_k": 10, "min_coverage": 0.75},
        {"name": "r-2", "host": "hufi27.example", "path_prefix": "/goka902/",
         "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2,
         "backend": "kafi81c", "max_attempts": 2}]
    fleet.publish()
    await fleet.start()
    answers = []  # (sent at, status)

    async def one(index):
        sent = fleet.record.now()
        host, path = (("leno12.example", "/rany330/2f"), ("hufi27.example", "/goka902/2f"))[index % 2]
        gateway = fleet.entry_point(index // 2)
        _, status, _ = await fleet.request(gateway, host, path)
        answers.append((sent, status))

    async def traffic():
        index = 0
        while True:
            asyncio.ensure_future(one(index))
            index += 1
            await asyncio.sleep(1 / RATE_PER_S)

    clients = asyncio.ensure_future(traffic())

    def share(begin, end):
        window = [status for sent, status in answers if begin <= sent < end]
        return sum(status == 200 for status in window) / max(1, len(window))

    await asyncio.sleep(3)
    if standins.TROUBLE:
        fleet.store.put(ODD_KEY, ODD_VALUE)
    await asyncio.sleep(4)
    fleet.publish()  # The final fault strikes right after an acknowledgement.
    fault = fleet.record.now()
    before = share(0, fault)
    await asyncio.gather(*(gateway.kill() for gateway in fleet.gateways))
    await asyncio.sleep(standins.RESTART_S)
    await asyncio.gather(*(gateway.start() for gateway in fleet.gateways))
    back = fleet.record.now()
    await asyncio.sleep(BOUNDS["recovery_s"] + MEASURE_S + 1.0)
    clients.cancel()
    begin = back + BOUNDS["recovery_s"]
    after = share(begin, begin + MEASURE_S)
    if before < 0.25:
        raise RuntimeError(f"only {before:.2f} was served before the fault")
    return after >= 0.25, (f"served {before:.3f} before the fault and {after:.3f} of the requests sent "
                           f"later than {BOUNDS['recovery_s']} s after the machines were back")


standins.run_case(FOLDER, ZONES, BOUNDS, play)
