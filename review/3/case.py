"""Searchers fail part of the requests that they have run, with status 503."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import fleet as standins  # noqa: E402

BOUNDS = {"grace_s": 6}
ZONES = ("hartford", "hartford", "worcester", "concord")
HOST = "hufi27.example"
# srv_grey: a share of .15 of the servers fails .4 of its requests.
SEARCHERS = 9
FAULTY = 1
FAILED_SHARE = 0.4
RATE_PER_S = 45
TROUBLE_S = 6.5


class GreySearcher(standins.Searcher):
    """Fails part of the requests after it has run them; says nothing of Not-Executed."""

    faulty = False
    count = 0

    async def _answer(self, request):
        data = await super()._answer(request)
        if not self.faulty or not data.startswith(b"HTTP/1.1 200"):
            return data
        self.count += 1
        if self.count % 5 >= 5 * FAILED_SHARE:
            return data
        head, _, _ = data.partition(b"\r\n\r\n")
        lines = head.split(b"\r\n")[1:]
        kept = [(name.decode(), value.strip().decode()) for name, _, value in
                (line.partition(b":") for line in lines) if name != b"Content-Length"]
        self.fleet.record.write("failed_after_run", id=request.header("Request-Id"), searcher=self.id)
        return standins.encode("HTTP/1.1 503 Service Unavailable", kept, b"try later")


async def play(fleet):
    fleet.services = ["kafi81c"]
    for i in range(SEARCHERS):
        searcher = GreySearcher(fleet, "kafi81c", ZONES[1 + i % 3])
        fleet.searchers.append(await searcher.start())
    fleet.routes = [
        {"name": "r-ibw6kpq", "host": HOST, "path_prefix": "/goka902/",
         "route_type": "non_idempotent", "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2,
         "backend": "kafi81c", "max_attempts": 2}]
    fleet.publish()
    await fleet.start()
    attempts = []

    async def client(number):
        """A client repeats the order once after a promise that it hasn't run."""
        gateway = fleet.gateways[number % len(fleet.gateways)]
        for attempt in range(2):
            request_id, status, _ = await fleet.request(
                gateway, HOST, f"/goka902/order{number}", method="POST", body=b'{"walk":1}',
                timeout_s=1.5, request_id=f"order{number:05d}-{attempt}")
            attempts.append((request_id, status))
            if status not in (408, 421, 429, 503):
                return
            gateway = fleet.gateways[(number + 1) % len(fleet.gateways)]

    clients = []
    end = fleet.record.now() + 2 + TROUBLE_S + 2
    trouble = fleet.record.now() + 2
    number = 0
    while fleet.record.now() < end:
        for searcher in fleet.searchers[:FAULTY]:
            searcher.faulty = standins.TROUBLE and trouble <= fleet.record.now() < trouble + TROUBLE_S
        clients.append(asyncio.ensure_future(client(number)))
        number += 1
        await asyncio.sleep(1 / RATE_PER_S)
    await asyncio.gather(*clients)
    ran = [request_id for _, request_id, _, _ in fleet.runs]
    refused = [request_id for request_id, status in attempts
               if status in (408, 421, 429, 503) and request_id in ran]
    orders = {}
    for request_id in ran:
        orders.setdefault(request_id.split("-")[0], []).append(request_id)
    double = sum(len(runs) > 1 for runs in orders.values())
    return not refused, (f"{len(refused)} of {number} requests that aren't idempotent were answered as not "
                         f"run and had run; {double} of the orders ran twice after the client's repeat")


standins.run_case(FOLDER, ZONES, BOUNDS, play)
