"""Randomized faults, injected from outside the gateway processes and later removed."""

import asyncio
import os
import random
import signal

from callers import Caller, probe
from fleet import RESTART_S, SHARDS, ZONES
from ledger import SETTLE_S, DRAIN_S, GRACE_S

# Time between the starts of successive faults, in seconds; faults may overlap.
FAULT_INTERVAL_S = (0.2, 1.2)
FAULT_S = (1.0, 4.0)
DELAY_S = (0.01, 0.3)
STORE_DOWN = ("busy", "many", "reset", "silent")
TARGET_FAULTS = ("errors", "shed", "hang", "lost", "cut", "noise", "twice")
# Faults of targets that tell hosts to stay away, or send without end; see push_back().
PUSH_BACK_FAULTS = ("pause", "flood", "leaving")
PUSH_BACK = "push_back"
RESTORE = "store_restored"
# Faults with a sequence of their own, so that earlier seeds still give the same main sequence.
SEPARATE = (PUSH_BACK, RESTORE)
# Time from a copy of the store until it is restored, and until the operator writes again.
COPY_AGE_S = (0.5, 6.0)
WRITE_AGAIN_S = (0.0, 1.5)
# An entry lapses this long after a restore if nobody writes it again.
LAPSE_S = 3.0
BLACKHOLE_DIRECTIONS = (("up", "down"), ("up",), ("down",))
ADDRESS_REUSE_DELAY_S = 2.0
# Bound for a host to handle a signal or to detect changed settings.
RELOAD_S = 1.0
POISON_ROUNDS = 30
POISON_PAUSE_S = 0.4


class Faults:
    def __init__(self, fleet):
        self.fleet = fleet
        self.random = fleet.random
        self.ledger = fleet.ledger
        self.running = set()
        self.separate_random = {
            kind: random.Random(fleet.random.getstate()[1][number])
            for number, kind in enumerate(SEPARATE)}

    async def run(self, seconds, kinds):
        """Starts faults for `seconds`, then waits until all have been removed."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        for kind in SEPARATE:
            if kind in kinds:
                self.running.add(asyncio.ensure_future(getattr(self, kind)(end)))
        kinds = [kind for kind in kinds if kind not in SEPARATE]
        while kinds and loop.time() < end:
            name = self.random.choice(kinds)
            print(f"{loop.time() - self.ledger.start:8.3f} fault {name}", flush=True)
            task = asyncio.ensure_future(KINDS[name](self))
            self.running.add(task)
            task.add_done_callback(self.running.discard)
            await asyncio.sleep(self.random.uniform(*FAULT_INTERVAL_S))
        for task in list(self.running):
            await task

    def _duration(self):
        return self.random.uniform(*FAULT_S)

    def _sample_targets(self, max_count):
        live = self.fleet.live_targets(self.fleet.services_in_use())
        return self.random.sample(live, min(len(live), self.random.randint(1, max_count)))

    def _sample_hosts(self):
        return self.random.sample(self.fleet.hosts, self.random.choice((1, 1, 1, 2)))

    # Targets.

    async def crash_targets(self):
        for target in self._sample_targets(3):
            self.fleet.crash_and_replace(target, self._duration(), self.random.random() < 0.3)

    async def crash_shard(self):
        shard = self.random.choice(SHARDS[self.fleet.shard_set])
        for target in self.fleet.live_targets((shard,)):
            self.fleet.crash_and_replace(target, self._duration())

    async def silence_targets(self):
        for target in self._sample_targets(2):
            target.go_unresponsive()
            await self.fleet.add_target(target.service, target.zone)

    async def slow_targets(self):
        targets = self._sample_targets(5)
        for target in targets:
            target.slowdown = self.random.uniform(3, 12)
        await asyncio.sleep(self._duration())
        for target in targets:
            target.slowdown = 1.0

    async def faulty_targets(self):
        targets = self._sample_targets(4)
        fault = self.random.choice(TARGET_FAULTS)
        for target in targets:
            target.behaviour, target.fault_share = fault, self.random.uniform(0.05, 0.8)
        await asyncio.sleep(self._duration())
        for target in targets:
            target.behaviour = None

    async def push_back(self, end):
        """Lets a few targets at a time ask for a pause, say that they leave, or flood."""
        loop = asyncio.get_running_loop()
        choose = self.separate_random[PUSH_BACK]
        while loop.time() < end:
            live = self.fleet.live_targets(self.fleet.services_in_use())
            targets = choose.sample(live, min(len(live), choose.randint(1, 4)))
            fault = choose.choice(PUSH_BACK_FAULTS)
            print(f"{loop.time() - self.ledger.start:8.3f} {PUSH_BACK} {fault}", flush=True)
            for target in targets:
                target.behaviour = fault
                target.fault_share = 1.0 if fault == "leaving" else choose.uniform(0.1, 1.0)
                if fault == "leaving":
                    await self.fleet.add_target(target.service, target.zone)
            await asyncio.sleep(choose.uniform(*FAULT_S))
            for target in targets:
                if fault == "leaving":
                    asyncio.ensure_future(target.drain_and_stop(True, DRAIN_S + 0.5))
                elif target.behaviour == fault:
                    target.behaviour = None

    async def leaving_targets(self):
        for target in self._sample_targets(2):
            await self.fleet.add_target(target.service, target.zone)
            serve_s = DRAIN_S + self.random.uniform(0.2, 2.0)
            await target.drain_and_stop(self.random.random() < 0.7, serve_s)

    async def reuse_address(self):
        for target in self._sample_targets(1):
            self.ledger.disturb(target.id, ADDRESS_REUSE_DELAY_S)
            target.crash()
            await asyncio.sleep(ADDRESS_REUSE_DELAY_S)
            other = self.random.choice([s for s in self.fleet.services_in_use()
                                        if s != target.service])
            await self.fleet.add_target(other, target.zone, proxy=target.proxy)
            await self.fleet.add_target(target.service, target.zone)

    async def bad_target_links(self):
        targets = self._sample_targets(4)
        await self._disturb_links([(t.id, t.proxy) for t in targets])

    # The store.

    async def store_down(self):
        seconds = self._duration()
        self.ledger.disturb("store", seconds)
        self.fleet.store.down = self.random.choice(STORE_DOWN)
        expired = []
        if self.random.random() < 0.4:
            await asyncio.sleep(seconds / 2)
            expired = self._sample_targets(20)
            for target in expired:
                self.fleet.store.remove(f"servers/{target.id}")
            await asyncio.sleep(seconds / 2)
        else:
            await asyncio.sleep(seconds)
        self.fleet.store.down = None

    async def store_slow(self):
        seconds = self._duration()
        self.ledger.disturb("store", seconds)
        self.fleet.store.slow_s = self.random.uniform(0.05, 0.4)
        await asyncio.sleep(seconds)
        self.fleet.store.slow_s = 0.0

    async def store_forgets(self):
        self.ledger.disturb("store", 0.0)
        self.fleet.store.drop_history()

    async def store_restored(self, end):
        """Restores the store from copies, beside changes; what was written since is written again."""
        loop = asyncio.get_running_loop()
        choose = self.separate_random[RESTORE]
        store = self.fleet.store
        while loop.time() < end:
            copy = store.copy()
            await asyncio.sleep(choose.uniform(*COPY_AGE_S))
            away_s = choose.uniform(0.3, 3.0)
            write_again_s = choose.uniform(*WRITE_AGAIN_S)
            print(f"{loop.time() - self.ledger.start:8.3f} fault {RESTORE}", flush=True)
            self.ledger.disturb("store", away_s + write_again_s)
            # Restored first: what is written while it is away may take its revision past the old one.
            store.restore(copy)
            store.down = choose.choice(STORE_DOWN)
            await asyncio.sleep(write_again_s)
            self._write_again()
            if choose.random() < 0.5:
                self.fleet.publish()
            await asyncio.sleep(away_s)
            store.down = None
            loop.call_later(LAPSE_S, self._remove_lapsed)

    def _write_again(self):
        store = self.fleet.store
        store.put("op/config", self.fleet.configuration.text())
        for zone in ZONES:
            key = f"op/evacuate/{zone}"
            if any(entry[0] == zone and entry[2] is None for entry in self.ledger.evacuations):
                store.put(key, {})
            else:
                store.remove(key)

    def _remove_lapsed(self):
        live = {f"servers/{target.id}" for target in self.fleet.targets.values()}
        for key in [key for key in self.fleet.store.items if key.startswith("servers/")]:
            if key not in live:
                self.fleet.store.remove(key)

    async def foreign_entries(self):
        for value in (b"\xff\x00 no JSON", b'{"backend": 3}', b'{"backend": "one"}', b"[]", b""):
            self.fleet.store.put(f"servers/foreign-{self.random.randrange(5)}", value)

    async def bad_store_link(self):
        await self._disturb_links([(h.name, h.store_link) for h in self._sample_hosts()])

    # Hosts.

    async def stop_host(self):
        host = self.random.choice(self.fleet.hosts)
        await self._terminate(host)

    async def roll_hosts(self):
        for host in self.fleet.hosts:
            await self._terminate(host)
            await asyncio.sleep(self.random.uniform(0.5, 2.0))

    async def _terminate(self, host):
        if host.process.returncode is not None or host.expected_exit:
            return
        self.ledger.disturb(host.name, GRACE_S + RESTART_S, planned=True)
        stable = self.ledger.is_stable(host.name, asyncio.get_running_loop().time(),
                                       ignore_planned=True)
        in_time = await host.terminate()
        still_stable = self.ledger.is_stable(host.name, asyncio.get_running_loop().time(),
                                         GRACE_S + SETTLE_S, ignore_planned=True)
        if not in_time and stable and still_stable:
            self.ledger.violation("LOST", f"{host.name} did not complete its planned stop in time")

    async def kill_host(self):
        for host in self._sample_hosts():
            self.ledger.disturb(host.name, RESTART_S)
            host.kill()

    async def kill_many(self):
        for host in self.fleet.hosts:
            if self.random.random() < 0.7:
                self.ledger.disturb(host.name, RESTART_S)
                host.kill()

    async def pause_host(self):
        host = self.random.choice(self.fleet.hosts)
        seconds = self._duration()
        self.ledger.disturb(host.name, seconds)
        host.send(signal.SIGSTOP)
        await asyncio.sleep(seconds)
        host.send(signal.SIGCONT)

    async def reload_host(self):
        host = self.random.choice(self.fleet.hosts)
        faulty = self.random.random() < 0.3
        host.write_settings(max_in_flight=self.random.choice((300, 600)))
        if faulty:
            host.settings_faulty = True
            with open(host.settings_path, "a", encoding="ascii") as file:
                file.write("[nonsense\n")
        incarnation, offset = host.incarnation, os.path.getsize(host.log_path)
        host.send(signal.SIGHUP)
        await asyncio.sleep(RELOAD_S)
        with open(host.log_path, "rb") as file:
            file.seek(offset)
            lines = file.read().decode("utf-8", "replace")
        expected = "The new settings are refused." if faulty else "The settings were reloaded."
        stable = self.ledger.is_stable(host.name, asyncio.get_running_loop().time(), RELOAD_S)
        if expected not in lines and stable and host.incarnation == incarnation:
            self.ledger.violation("RELOAD", f"{host.name} did not log: {expected}")
        host.write_settings()
        host.settings_faulty = False
        host.send(signal.SIGHUP)

    async def bad_ingress_links(self):
        await self._disturb_links([(h.name, h.ingress) for h in self._sample_hosts()])

    async def _disturb_links(self, named_proxies):
        """Delays, resets or blackholes connections; "cut" may affect one direction."""
        kind = self.random.choice(("delay", "reset", "silence", "cut"))
        seconds = self._duration()
        for name, proxy in named_proxies:
            self.ledger.disturb(name, seconds if kind in ("delay", "cut") else 0.0)
            if kind == "delay":
                proxy.delay_s = self.random.uniform(*DELAY_S)
            elif kind == "reset":
                proxy.reset_all(0.7, self.random)
            elif kind == "silence":
                proxy.blackhole_open()
            else:
                proxy.blackholed = set(self.random.choice(BLACKHOLE_DIRECTIONS))
                proxy.blackhole_open(proxy.blackholed)
        if kind in ("delay", "cut"):
            await asyncio.sleep(seconds)
            for _, proxy in named_proxies:
                proxy.delay_s = 0.0
                proxy.blackholed = set()
        # Blackholed connections stay unresponsive; only new connections work.

    # Operators and callers.

    async def publish(self):
        self.fleet.timeout_ms = self.random.choice((500, 700, 900))
        self.fleet.publish()

    async def publish_often(self):
        for _ in range(self.random.randint(4, 10)):
            await self.publish()
            await asyncio.sleep(self.random.uniform(0.1, 0.5))

    async def reshard(self):
        old = self.fleet.shard_set
        new = "second" if old == "first" else "first"
        if self.fleet.live_targets(SHARDS[new]):
            return  # The previous resharding is still in progress.
        for shard in SHARDS[new]:
            for zone in ZONES:
                await self.fleet.add_target(shard, zone)
        await asyncio.sleep(3.0)
        self.fleet.shard_set = new
        self.fleet.publish()
        await asyncio.sleep(DRAIN_S)
        await asyncio.gather(*(t.drain_and_stop(True, DRAIN_S + 0.5)
                               for t in self.fleet.live_targets(SHARDS[old])))

    async def evacuate(self):
        zone = self.random.choice(ZONES)
        loop = asyncio.get_running_loop()
        if any(entry[0] == zone and entry[2] is None for entry in self.ledger.evacuations):
            return
        self.fleet.store.put(f"op/evacuate/{zone}", {})
        entry = [zone, loop.time(), None]
        self.ledger.evacuations.append(entry)
        await asyncio.sleep(self.random.uniform(3.0, 9.0))
        entry[2] = loop.time()
        self.fleet.store.remove(f"op/evacuate/{zone}")

    async def callers_leave(self):
        self.fleet.abandon_share = self.random.uniform(0.1, 0.5)
        await asyncio.sleep(self._duration())
        self.fleet.abandon_share = 0.0

    async def poison(self):
        """Repeats a request that crashes every target that runs it, through random hosts."""
        route = self.fleet.configuration.routes["pull"]
        path = f"{route['path_prefix']}poison-{self.random.randrange(10**6)}"
        for _ in range(POISON_ROUNDS):
            caller = Caller(self.fleet, self.random.choice(ZONES))
            await caller.send_request("pull", poison=path)
            caller.disconnect()
            await asyncio.sleep(POISON_PAUSE_S)


# The kinds of the main sequence of faults, which a seed determines by their order.
KINDS = {name: method for name, method in vars(Faults).items()
         if asyncio.iscoroutinefunction(method) and not name.startswith("_")
         and name not in ("run", *SEPARATE)}


async def probe_versions(fleet):
    """Probes each host periodically for routes of the newest and of one recent version."""
    while not fleet.stopping:
        versions = [c.version for _, c in fleet.ledger.versions]
        asked = {versions[-1], fleet.random.choice(versions[-4:])}
        await asyncio.gather(*(probe(fleet, host, version)
                               for host in fleet.hosts for version in asked))
        await asyncio.sleep(0.25)
