"""A request that crashes searchers must be kept from them while gateways restart in turn.

With TROUBLE=0 no gateway restarts.
"""

import asyncio
import itertools
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "standins-2"))

from kit import BROKEN, HELD, TROUBLE, Client, Gateway, Searcher, run  # noqa: E402

# The figures of tesfaye-rounds.
NODES = ("edge-bole-1", "edge-bole-2", "edge-piassa-1", "edge-kazanchis-1", "edge-megenagna-1")
SEARCHER_ZONES = ("bole", "piassa", "kazanchis")
BOUNDS = {"grace_s": 6}
LIMITS = {"memory_mb": 260}
CONTACT_S = 4.0
MAX_RETRIES = 3
ROLL_GAP_S = 2.0
SEARCHERS = 9
# "The searcher is back after some seconds."
BACK_AFTER_S = 3.0
HEARTBEAT_LAPSE_S = 3.6
HOST = "hufi27.example"
POISON = "/ping/poison"
# Ordinary requests that may run only once, beside the poisonous one.
BOOKERS = 12
BOOK_PAUSE_S = 0.1
WORK_S = 0.06


class FragileSearcher(Searcher):
    """Crashes when it begins to run the poisonous request, and is back after some seconds."""

    async def _answer(self, request):
        if (request.header("Target-Instance") in (None, self.id)
                and request.start[1] == POISON):
            self.case.poisoned.append((self.case.record.now(), request.header("Request-Id")))
            self.case.record.write("crashes", searcher=self.id,
                                   request=request.header("Request-Id"))
            self.stop()
            asyncio.ensure_future(self._come_back())
            raise ConnectionError("crashed")
        return await super()._answer(request)

    async def _come_back(self):
        await asyncio.sleep(BACK_AFTER_S)
        await FragileSearcher(self.case, self.service, self.zone, slots=self.slots,
                              work_s=WORK_S, body=b"a walk").start()
        await asyncio.sleep(HEARTBEAT_LAPSE_S - BACK_AFTER_S)
        self.case.store.remove(f"servers/{self.id}")


async def send_poison(case, gateway):
    client = Client(case, gateway)
    _, answer = await client.send("GET", POISON, HOST, 1500)
    client.close()
    status = None if answer is None else answer.status
    case.record.say(f"poisonous request at {gateway.node}: answered {status}, "
                    f"{len(case.poisoned)} crashes so far")


async def book(case, gateways, outcomes):
    """Sends ordinary requests to the gateways in turn, each on a new connection."""
    for number in itertools.count():
        client = Client(case, gateways[number % len(gateways)])
        request, answer = await client.send("POST", f"/book/{number}", HOST, 1500, b"one walk")
        client.close()
        outcomes[request] = None if answer is None else answer.status
        await asyncio.sleep(BOOK_PAUSE_S)


async def play(case):
    record = case.record
    case.poisoned = []
    case.store.put("op/config", {
        "version": 2,
        "routes": [{"name": f"r-{name}", "host": HOST, "path_prefix": f"/{name}/",
                    "route_type": kind, "timeout_ms": 1500, "target_latency_ms": 250,
                    "priority": 2, "backend": "owner-portal", "max_attempts": 2}
                   for name, kind in (("ping", "idempotent"), ("book", "non_idempotent"))],
        "services": [{"name": "owner-portal", "health_path": "/health", "max_conns": 39,
                      "protocol": "h1", "tls": False, "cold_s": 3.0, "cold_per_s": 0.0}],
        "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                   "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
    for number in range(SEARCHERS):
        await FragileSearcher(case, "owner-portal", SEARCHER_ZONES[number % 3], slots=3,
                              work_s=WORK_S, body=b"a walk").start()
    gateways = [Gateway(case, node, node.split("-")[1], LIMITS, BOUNDS) for node in NODES]
    seeds = [f"{gateway.address()[0]}:{gateway.control}" for gateway in gateways[:3]]
    for gateway in gateways:
        await gateway.start(seeds)
    for gateway in gateways:
        await gateway.wait_ready()
    # The gateways look for each other 3 s after their start.
    await asyncio.sleep(12.0)
    outcomes = {}
    bookers = [asyncio.ensure_future(book(case, gateways, outcomes)) for _ in range(BOOKERS)]
    for gateway in gateways:
        await send_poison(case, gateway)
        await asyncio.sleep(1.0)

    for gateway in gateways:
        if TROUBLE:
            record.say(f"{gateway.node} gets SIGTERM")
            gateway.process.terminate()
            await restart(gateway, seeds)
        else:
            await asyncio.sleep(3.6)
        # The gateway is in touch again when the request comes to it.
        await asyncio.sleep(CONTACT_S + 0.5)
        await send_poison(case, gateway)
        await asyncio.sleep(ROLL_GAP_S)

    third = case.poisoned[2][0] if len(case.poisoned) > 2 else None
    late = [] if third is None else [one for one in case.poisoned if one[0] > third + CONTACT_S]
    retries = {request for _, request in late}
    record.say(f"{len(case.poisoned)} searchers crashed; {len(late)} of them over {CONTACT_S} s "
               f"after the third crash, in {len(retries)} retries of the client")
    for booker in bookers:
        booker.cancel()
    ran = {arrival["request"] for arrival in case.arrivals}
    cut = sum(1 for request, status in outcomes.items() if status == 502 and request in ran)
    record.say(f"{cut} of {len(outcomes)} ordinary requests that may run only once were lost "
               "(they reached a searcher and were answered 502)")
    return BROKEN if len(retries) > MAX_RETRIES else HELD


async def restart(gateway, seeds):
    await gateway.process.wait()
    await asyncio.sleep(0.3)
    await gateway.start(seeds)
    await gateway.wait_ready()


run(play, __file__)
