"""A storm of large configurations, and requests that show which one a gateway applies."""

import asyncio
import random
import time

from kit import BROKEN, HELD, TROUBLE, Client, Gateway, Searcher

HOST = "hufi27.example"


def _name(rng, number):
    return rng.choice("bdfghklmnprst") + "".join(
        rng.choice("aeiou") + rng.choice("bcdfghjkl") for _ in range(2)) + f"{number:02d}"


def configuration(version, pull_service, extra, shard_count, added_routes):
    """Requests to /pull/ go to `pull_service`; `extra` names one more route."""
    rng = random.Random(1)
    shards = [_name(rng, number) for number in range(shard_count)]

    def route(prefix, **fields):
        return {"name": f"r-{prefix.strip('/').replace('/', '')}", "host": HOST,
                "path_prefix": prefix, "route_type": "idempotent", "timeout_ms": 1500,
                "target_latency_ms": 250, "priority": 2, **fields, "max_attempts": 2}

    routes = [route("/pull/", backend=pull_service), route("/steady/", backend="archive"),
              route(f"/{extra}/", backend="archive")]
    routes += [route(f"/{_name(rng, number)}/no{number:04d}/", gather=shards, top_k=50,
                     min_coverage=0.89) for number in range(added_routes)]
    services = [{"name": service, "health_path": "/health", "max_conns": 39, "protocol": "h1",
                 "tls": False, "cold_s": 3.0, "cold_per_s": 0.0}
                for service in ["archive", "roster", *shards]]
    return {"version": version, "routes": routes, "services": services,
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 262144,
                       "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}


async def play(case, shard_count, added_routes, storm_s, gap_s, config_apply_s, drain_s, judged_s,
               memory_mb):
    """Writes configurations each `gap_s` for `storm_s` and judges the requests after the last.

    With TROUBLE=0 only the last configuration is written.
    """
    store, record = case.store, case.record
    size = {"shard_count": shard_count, "added_routes": added_routes}
    store.put("op/config", configuration(2, "archive", "old", **size))
    searchers = {}
    for service in ("archive", "roster"):
        for zone in ("bole", "piassa", "kazanchis"):
            searcher = await Searcher(case, service, zone).start()
            searchers[searcher.id] = searcher
    gateway = Gateway(case, "edge-bole-1", "bole", {"memory_mb": memory_mb}, {"grace_s": 6})
    await gateway.start()
    await gateway.wait_ready()
    client = Client(case, gateway)
    _, answer = await client.send("GET", "/steady/1", HOST, 1500)
    if answer is None or answer.status != 200:
        raise RuntimeError("no answer before the disruption")
    # Whatever the start of the searchers wrote has been read before the storm begins.
    await asyncio.sleep(2.0)

    version = 2
    if TROUBLE:
        begin = time.monotonic()
        record.say("the storm begins")
        for step in range(1, int(storm_s / gap_s) + 1):
            version += 3
            store.put("op/config", configuration(version, "archive", f"step{version}", **size))
            await asyncio.sleep(max(0.0, begin + step * gap_s - time.monotonic()))
    # The last version moves /pull/ and adds /new/. The first step of the storm has dropped /old/.
    version += 3
    store.put("op/config", configuration(version, "roster", "new", **size))
    acknowledged = time.monotonic()
    record.say(f"version {version} is acknowledged")
    leaving = next(one for one in searchers.values() if one.service == "archive")
    leaving.say_draining()
    left = time.monotonic()

    stale = []
    late_at_leaving = 0
    while time.monotonic() < acknowledged + config_apply_s + judged_s:
        in_force = time.monotonic() > acknowledged + config_apply_s
        gone = time.monotonic() > left + drain_s
        for target, old in (("/pull/1", "archive"), ("/old/1", "archive"), ("/new/1", 404),
                            ("/steady/1", None)):
            request, answer = await client.send("GET", target, HOST, 1500)
            stamp = None if answer is None else answer.header("Response-Stamp")
            searcher = searchers.get(stamp.split(".")[0]) if stamp else None
            seen = searcher.service if searcher else answer.status if answer else None
            if in_force and old is not None and seen == old:
                stale.append((request, target, seen))
            if gone and searcher is leaving:
                late_at_leaving += 1
        await asyncio.sleep(0.1)
    record.say(f"{len(stale)} requests sent over {config_apply_s} s after the acknowledgement were "
               f"handled as only an older version allows; the first: {stale[:3]}")
    record.say(f"{late_at_leaving} requests reached the leaving searcher over {drain_s} s after "
               "its report was acknowledged")
    failed = gateway.log_lines("A call to the store failed")
    record.say(f"the gateway logged {len(failed)} failed calls to the store; the last: "
               f"{failed[-1:]}")
    return BROKEN if stale else HELD
