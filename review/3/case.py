"""One gateway is cut off from the store while versions of a large configuration are published."""

import asyncio
import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, "..", "standins"))

import fleet as standins  # noqa: E402

# The bounds of tesfaye-rounds-grown.
BOUNDS = {"grace_s": 6, "contact_ms": 5000, "config_apply_ms": 5000}
ZONES = ("bole", "bole", "piassa", "kazanchis")
# big_config, config_storm and core_cut as the site file has them.
MORE_ROUTES = 1400
STORM_S, STORM_GAP_S = 4.0, 0.33
CUT_S = 5.5
WATCH_S = 14.0
PROBE_GAP_S = 0.25


def route(name, prefix, backend):
    return {"name": name, "host": "hufi27.example", "path_prefix": prefix,
            "route_type": "idempotent", "timeout_ms": 1500, "target_latency_ms": 250, "priority": 2,
            "backend": backend, "max_attempts": 2}


async def play(fleet):
    fleet.services = ["kafi81c", "nylo40d"]
    for service in fleet.services:
        for zone in ("bole", "piassa", "kazanchis"):
            searcher = standins.Searcher(fleet, service, zone)
            fleet.searchers.append(await searcher.start())
    main = route("r-ibw6kpq", "/goka902/", "kafi81c")
    fleet.routes = [main]
    fleet.publish()
    await fleet.start()
    fleet.routes = fleet.routes + [route(f"r-{i:07d}", f"/more{i:05d}/", "kafi81c")
                                   for i in range(MORE_ROUTES)]
    fleet.publish()
    await asyncio.sleep(6)

    cut = fleet.gateways[1]
    if standins.TROUBLE:
        cut.link.set_cut(True)
    begin = fleet.record.now()
    await asyncio.sleep(0.5)
    storm = fleet.record.now()
    base = list(fleet.routes)
    added = 0
    # Each version adds a route; the last one also moves the first route to another service.
    while fleet.record.now() < storm + STORM_S:
        added += 1
        base.append(route(f"r-storm{added}", f"/storm{added}/", "nylo40d"))
        last = fleet.record.now() + STORM_GAP_S >= storm + STORM_S
        fleet.routes = [dict(main, backend="nylo40d") if last else main] + base[1:]
        version, acknowledged = fleet.publish()
        await asyncio.sleep(STORM_GAP_S)
    await asyncio.sleep(max(0.0, begin + CUT_S - fleet.record.now()))
    if standins.TROUBLE:
        cut.link.set_cut(False)
    healed = fleet.record.now()

    # Each gateway is asked on the route that was added last and on the one that has moved.
    results = []  # (sent at, gateway, prefix, status, service)

    async def probe(gateway, prefix):
        sent = fleet.record.now()
        request_id, status, _ = await fleet.request(gateway, "hufi27.example", f"{prefix}2f")
        ran = [entry[2] for entry in fleet.runs if entry[1] == request_id]
        results.append((sent, gateway, prefix, status, ran[0] if ran else None))

    probes = []
    while fleet.record.now() < healed + WATCH_S:
        for gateway in fleet.gateways:
            for prefix in (f"/storm{added}/", "/goka902/"):
                probes.append(asyncio.ensure_future(probe(gateway, prefix)))
        await asyncio.sleep(PROBE_GAP_S)
    await asyncio.gather(*probes)

    # In touch again after `contact_ms`; the version is due `config_apply_ms` after it was
    # acknowledged.
    due = max(acknowledged + BOUNDS["config_apply_ms"] / 1000,
              healed + BOUNDS["contact_ms"] / 1000)
    old = [(sent, gateway.name) for sent, gateway, prefix, status, service in results
           if sent > due and (status == 404 or (prefix == "/goka902/" and service == "kafi81c"))]
    asked = sum(sent > due for sent, *_ in results)
    hosts = sorted({name for _, name in old})
    last = max((sent for sent, _ in old), default=due)
    return not old, (f"{len(old)} of {asked} requests sent later than due were handled as only an older "
                     f"version allows, at {hosts}; the last one {last - acknowledged:.1f} s after the "
                     f"acknowledgement of version {version}, {last - healed:.1f} s after the cut")


standins.run_case(FOLDER, ZONES, BOUNDS, play, memory_mb=427)
