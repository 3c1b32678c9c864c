"""Simulated callers, each with one persistent connection to a host."""

import asyncio
import itertools
import time

from ledger import SETTLE_S, LOSS_SLACK_S, NOT_RUN_STATUSES, Attempt
from targets import POISON_HEADER
from wire import LOOPBACK, WireError, encode, read_message, reset

REQUEST_INTERVAL_S = (0.05, 0.25)
ABANDON_AFTER_S = (0.01, 0.2)
CONNECT_S = 1.0
MAX_RETRY_AFTER_S = 1.0

_ids = itertools.count(1)


class Caller:
    def __init__(self, fleet, zone):
        self.fleet = fleet
        self.zone = zone
        self.host = None
        self.reader = None
        self.writer = None

    async def run(self):
        while not self.fleet.stopping:
            await asyncio.sleep(self.fleet.random.uniform(*REQUEST_INTERVAL_S))
            route = self.fleet.random.choice(self.fleet.plain_routes)
            retry_after = await self.send_request(route)
            if retry_after is not None:
                await asyncio.sleep(min(retry_after, MAX_RETRY_AFTER_S))
                self.disconnect()
                await self.send_request(route)
        self.disconnect()

    async def send_request(self, name, poison=None):
        """Sends one request. Returns the delay before a retry, or None if none is due."""
        route = self.fleet.configuration.routes.get(name)
        if route is None or not await self.connect():
            return None
        request_id = f"r{next(_ids)}"
        method = "POST" if route["route_type"] == "non_idempotent" else "GET"
        body = f"booking {request_id}".encode() if method == "POST" else b""
        path = poison or f"{route['path_prefix']}{self.fleet.random.randrange(500)}"
        sent = Attempt(request_id, name, self.host.name, method, path, body,
                    route["timeout_ms"] / 1000)
        self.fleet.ledger.on_sent(sent, route)
        headers = [("Host", f"{route['host']}:80"), ("Request-Id", request_id),
                   ("Timeout-Ms", str(route["timeout_ms"]))]
        if poison:
            headers.append((POISON_HEADER, "1"))
        if self.fleet.abandon_share > self.fleet.random.random():
            wait_s = self.fleet.random.uniform(*ABANDON_AFTER_S)
        else:
            wait_s = sent.deadline_s + 1.0
        try:
            self.writer.write(encode(f"{method} {path} HTTP/1.1", headers, body))
            message = await asyncio.wait_for(read_message(self.reader), wait_s)
        except asyncio.TimeoutError:
            sent.left = time.monotonic()
            if wait_s > sent.deadline_s:
                sent.left = None
                self.fleet.ledger.on_failure(sent, "no answer")
            self.disconnect()
            return None
        except WireError as error:
            if self.fleet.ledger.is_stable(self.host.name, time.monotonic(), ignore_planned=True):
                self.fleet.ledger.violation("MIXED", f"{request_id}: {error}")
            self.fleet.ledger.on_failure(sent, "cut")
            self.disconnect()
            return None
        except OSError:
            message = None
        if message is None:
            self.on_closed(sent)
            return 0.0 if method == "GET" else None
        return self.on_message(sent, message, method)

    def on_closed(self, sent):
        self.fleet.ledger.on_failure(sent, "closed")
        self.disconnect()
        elapsed_s = sent.end - sent.start
        if not sent.arrivals and elapsed_s <= LOSS_SLACK_S:
            # The request may have raced with the close of an idle connection by the host.
            return
        ledger = self.fleet.ledger
        if ledger.is_stable(self.host.name, sent.end, SETTLE_S + elapsed_s,
                            ignore_planned=True) and (
                ledger.is_stable("soak", sent.end)):
            ledger.violation("LOST", f"{sent.id} of {sent.route} was cut off by {self.host.name} "
                                     f"after {elapsed_s:.2f} s, sent to {sent.arrivals}")

    def on_message(self, sent, message, method):
        self.fleet.ledger.on_answer(sent, message)
        if not message.keeps_alive():
            self.disconnect()
        if 200 <= message.status < 300 or message.status in (400, 404, 413, 431):
            return None
        if method == "POST" and message.status not in NOT_RUN_STATUSES:
            return None
        return float(message.header("Retry-After") or 0)

    async def connect(self):
        if self.writer is not None and not self.writer.transport.is_closing() and (
                not self.reader.at_eof()):
            return True
        self.disconnect()
        self.host = self.fleet.balancer.choose(self.zone)
        try:
            self.reader, self.writer = await asyncio.wait_for(
                asyncio.open_connection(LOOPBACK, self.host.ingress.port), CONNECT_S)
        except (OSError, asyncio.TimeoutError):
            self.fleet.ledger.counts["no connection"] += 1
            return False
        return True

    def disconnect(self):
        if self.writer is not None:
            reset(self.writer)
        self.writer = None


async def probe(fleet, host, version):
    """Records whether the host serves the route that only this version has; None if unknown."""
    route = fleet.probe_route(version)
    request_id = f"r{next(_ids)}"
    sent = Attempt(request_id, route["name"], host.name, "GET", f"{route['path_prefix']}x", b"",
                   1.0, is_probe=True)
    incarnation = host.incarnation
    fleet.ledger.on_sent(sent, route)
    try:
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(LOOPBACK, host.ingress.port), CONNECT_S)
    except (OSError, asyncio.TimeoutError):
        fleet.ledger.on_failure(sent, "no connection")
        return
    try:
        writer.write(encode(f"GET {sent.path} HTTP/1.1", [
            ("Host", route["host"]), ("Request-Id", request_id), ("Timeout-Ms", "1000")]))
        message = await asyncio.wait_for(read_message(reader), 2.0)
    except (OSError, WireError, asyncio.TimeoutError):
        message = None
    finally:
        reset(writer)
    if message is None:
        fleet.ledger.on_failure(sent, "closed")
        return
    sent.end = time.monotonic()
    sent.status = message.status
    if host.incarnation == incarnation:
        served = {200: True, 404: False}.get(message.status)
        fleet.ledger.on_version_seen(host.name, incarnation, version, sent.start, served)
