"""Simulated targets, each one incarnation behind its own proxy."""

import asyncio
import itertools
import time

from ledger import Stamp
from wire import LOOPBACK, WireError, encode, read_message, reset

HEARTBEAT_S = 1.2
MISSED_HEARTBEATS = 3
QUEUE = 12
COLD_S = 3.0
COLD_SLOWDOWN = 1.6
COLD_PER_S = 2.5
KEEP_ALIVE_S = 5
PAUSE_S = (1.0, 4.0)
FLOOD_CHUNK = b"x" * 65536
# A request with this header crashes every target that starts to execute it.
POISON_HEADER = "X-Poison"

_numbers = itertools.count(1)


class Target:
    """A server of one service. `behaviour` is a fault name or None."""

    def __init__(self, fleet, service, zone, cold):
        number = next(_numbers)
        self.id = f"t{number}-{service}"
        self.service = service
        self.zone = zone
        self.fleet = fleet
        self.slots = fleet.slots
        self.work_s = fleet.work_s(service)
        self.cold_per_s = COLD_PER_S
        self.cold_until = time.monotonic() + (COLD_S if cold else 0.0)
        self.born_ms = int(time.time() * 1000)
        self.seq = 0
        self.state = "ready"
        self.behaviour = None
        self.fault_share = 0.0
        self.slowdown = 1.0
        self.running = 0
        self.waiting = 0
        self.free = asyncio.Condition()
        self.connections = set()
        self.server = None
        self.proxy = None
        self.heartbeats = None

    def is_cold(self, now):
        return now < self.cold_until

    async def start(self, make_proxy, proxy=None):
        """Listens behind a new proxy, or behind the proxy of a target that has stopped."""
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        port = self.server.sockets[0].getsockname()[1]
        if proxy is None:
            self.proxy = await make_proxy(port)
        else:
            self.proxy = proxy
            proxy.upstream = port
            await proxy.start()
        self.heartbeats = asyncio.ensure_future(self._send_heartbeats())
        return self

    def crash(self):
        """Stops without deregistering; the store entry expires later."""
        self.heartbeats.cancel()
        self._shut_down()
        asyncio.get_running_loop().call_later(HEARTBEAT_S * MISSED_HEARTBEATS, self._expire)

    def go_unresponsive(self):
        """Accepts connections but sends neither answers nor heartbeats."""
        self.heartbeats.cancel()
        self.proxy.blackholed = {"up", "down"}
        self.proxy.blackhole_open()
        self.fleet.ledger.disturb(self.id, float("inf"))
        asyncio.get_running_loop().call_later(HEARTBEAT_S * MISSED_HEARTBEATS, self._expire)

    def _expire(self):
        self.fleet.close_target(self)

    def _shut_down(self):
        self.proxy.close()
        self.server.close()
        for writer in list(self.connections):
            reset(writer)

    async def drain_and_stop(self, announced, serve_s):
        """Planned removal: gets no new work, but serves for another `serve_s` before it stops."""
        self.state = "draining"
        if announced:
            self.fleet.write_entry(self)
        else:
            self.heartbeats.cancel()
            self.fleet.store.remove(f"servers/{self.id}")
        self.fleet.ledger.closed_targets[self.id] = time.monotonic()
        await asyncio.sleep(serve_s)
        self.heartbeats.cancel()
        self.fleet.close_target(self)
        self._shut_down()

    async def _send_heartbeats(self):
        while True:
            self.fleet.write_entry(self)
            await asyncio.sleep(HEARTBEAT_S)

    async def _serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while (request := await read_message(reader)) is not None:
                gone = asyncio.ensure_future(self._wait_closed(reader))
                work = asyncio.ensure_future(self._answer(request, writer))
                await asyncio.wait((gone, work), return_when=asyncio.FIRST_COMPLETED)
                if not work.done():
                    # The connection was closed, so the request is cancelled.
                    work.cancel()
                    break
                gone.cancel()
                if not work.result():
                    break
            writer.close()
        except asyncio.CancelledError:
            return  # The soak is shutting down.
        except (OSError, WireError):
            reset(writer)
        finally:
            self.connections.discard(writer)

    @staticmethod
    async def _wait_closed(reader):
        while not reader.at_eof() and reader.exception() is None:
            await asyncio.sleep(0.02)

    async def _answer(self, request, writer):
        """Answers one request; returns False if the connection must be closed."""
        expected = request.header("Target-Instance")
        if expected is not None and expected != self.id:
            return await self._refuse(writer, request, 421)
        fault = self.behaviour if self.fleet.random.random() < self.fault_share else None
        full = self.running >= self.slots and self.waiting >= QUEUE
        self.fleet.ledger.on_arrival(self, request)
        if self.is_leaving():
            self.fleet.ledger.on_told_leaving(self, request)
        if fault == "pause":
            pause_s = round(self.fleet.random.uniform(*PAUSE_S), 1)
            self.fleet.ledger.on_told_pause(self, request, pause_s)
            return await self._refuse(writer, request, 503, [("Retry-After", str(pause_s))])
        if fault == "flood":
            return await self._flood(request, writer)
        if fault == "shed" or full:
            return await self._refuse(writer, request, 503)
        if not await self._take_slot(int(request.header("Timeout-Ms") or 1000) / 1000):
            return await self._refuse(writer, request, 503)
        try:
            self.fleet.ledger.on_run(self, request)
            if request.header(POISON_HEADER) is not None:
                self.fleet.ledger.on_poisoned(request)
                self.fleet.crash_and_replace(self)
                return False
            if fault == "hang":
                await asyncio.sleep(3600)
            slow = self.slowdown * (COLD_SLOWDOWN if self.is_cold(time.monotonic()) else 1.0)
            await asyncio.sleep(self.work_s * slow * self.fleet.random.uniform(0.6, 1.6))
            return await self._respond(request, writer, fault)
        finally:
            self.running -= 1
            async with self.free:
                self.free.notify()

    async def _take_slot(self, timeout_s):
        if self.running >= self.slots:
            self.waiting += 1
            try:
                async with self.free:
                    await asyncio.wait_for(
                        self.free.wait_for(lambda: self.running < self.slots), timeout_s)
            except asyncio.TimeoutError:
                return False
            finally:
                self.waiting -= 1
        self.running += 1
        return True

    async def _refuse(self, writer, request, status, headers=()):
        writer.write(encode(f"HTTP/1.1 {status} X", self._headers(request) + [
            ("Not-Executed", "1"), *headers], b"not run"))
        await writer.drain()
        return True

    async def _flood(self, request, writer):
        """Sends a body without end, until the caller closes the connection."""
        head = "".join(f"{name}: {value}\r\n" for name, value in self._headers(request))
        writer.write(f"HTTP/1.1 200 X\r\n{head}Response-Stamp: flood\r\n\r\n".encode())
        while not writer.transport.is_closing():
            writer.write(FLOOD_CHUNK)
            await writer.drain()
        return False

    def is_leaving(self):
        return self.state == "draining" or self.behaviour == "leaving"

    def _headers(self, request):
        leaving = [("Server-Leaving", "1")] if self.is_leaving() else []
        return leaving + [("Request-Id", request.header("Request-Id")),
                ("Server-Load", f"{self.running},{self.waiting},{self.slots}"),
                ("Keep-Alive", f"timeout={KEEP_ALIVE_S}")]

    async def _respond(self, request, writer, fault):
        status = 500 if fault == "errors" else 200
        stamp = f"{self.id}.{next(_numbers)}"
        body = self.fleet.body_of(self.service)
        self.fleet.ledger.on_stamp(
            stamp, Stamp(self.service, request.header("Request-Id"), status, body))
        headers = self._headers(request) + [("Response-Stamp", stamp)]
        answer = encode(f"HTTP/1.1 {status} X", headers, body)
        if fault == "lost":
            reset(writer)
            return False
        if fault == "cut":
            writer.write(answer[:len(answer) - len(body) // 2])
            await writer.drain()
            return False
        if fault == "noise":
            writer.write(b"\x00\xffnoise" * 40)
            await writer.drain()
            return False
        writer.write(answer)
        if fault == "twice":
            # Sends the answer twice; the duplicate arrives where the next answer is expected.
            asyncio.get_running_loop().call_later(
                self.fleet.random.choice((0.0, 0.05, 0.3)), self._write_late, writer, answer)
        await writer.drain()
        if self.state == "draining" and self.fleet.random.random() < 0.3:
            return False
        return True

    @staticmethod
    def _write_late(writer, answer):
        if not writer.transport.is_closing():
            writer.write(answer)
