"""A simulated metadata store of the platform, with injectable faults."""

import asyncio
import base64
import json
import time
from urllib.parse import parse_qs, urlsplit

from wire import LOOPBACK, WireError, encode, read_message, reset

PAGE_ITEMS = 20
MAX_WAIT_MS = 30_000


class Store:
    def __init__(self):
        self.revision = 100
        self.items = {}  # key -> (value, revision, created)
        self.history = []  # (revision, key), oldest first
        self.dropped_up_to = 0  # newest revision whose history was discarded
        self.era = 1
        self.changed = asyncio.Condition()
        self.server = None
        self.port = None
        # Faults: "busy", "many", "reset", "silent" or None; answers are delayed by `slow_s`.
        self.down = None
        self.slow_s = 0.0

    async def start(self):
        self.server = await asyncio.start_server(self._serve, LOOPBACK, 0)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    def close(self):
        self.server.close()

    # Writes of operators and targets.

    def put(self, key, value):
        text = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.revision += 1
        created = self.items[key][2] if key in self.items else self.revision
        self.items[key] = (text, self.revision, created)
        self._record_change(key)

    def remove(self, key):
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._record_change(key)

    def drop_history(self):
        self.history.clear()
        self.dropped_up_to = self.revision

    def copy(self):
        return dict(self.items), self.revision

    def restore(self, copy):
        """Comes back from a copy; revisions after it are given out again."""
        items, self.revision = copy
        self.items = dict(items)
        self.history = [entry for entry in self.history if entry[0] <= self.revision]
        self.era += 1
        asyncio.ensure_future(self._notify_watchers())

    def _record_change(self, key):
        self.history.append((self.revision, key))
        asyncio.ensure_future(self._notify_watchers())

    async def _notify_watchers(self):
        async with self.changed:
            self.changed.notify_all()

    # Reads of hosts.

    async def _serve(self, reader, writer):
        try:
            while (request := await read_message(reader)) is not None:
                if not await self._answer(request, writer):
                    break
            writer.close()
        except asyncio.CancelledError:
            return  # The soak is shutting down.
        except (OSError, WireError):
            reset(writer)

    async def _answer(self, request, writer):
        if self.slow_s:
            await asyncio.sleep(self.slow_s)
        if self.down == "silent":
            await asyncio.sleep(3600)
        if self.down == "reset":
            reset(writer)
            return False
        if self.down:
            status, body = (429, {}) if self.down == "many" else (503, {})
        else:
            status, body = await self._read(request)
        writer.write(encode(f"HTTP/1.1 {status} X",
                            [("Content-Type", "application/json"), ("Store-Era", str(self.era))],
                            json.dumps(body).encode()))
        await writer.drain()
        return True

    async def _read(self, request):
        url = urlsplit(request.start[1])
        query = {key: values[0] for key, values in parse_qs(url.query).items()}
        prefix = query.get("path_prefix", "")
        if url.path == "/api/kv-range":
            return 200, self._range(prefix, query.get("after", ""))
        if url.path == "/api/kv-watch":
            return await self._watch(prefix, int(query["after"]), int(query["wait_ms"]))
        return 404, {}

    def _item(self, key):
        value, revision, created = self.items[key]
        return {"key": key, "value": base64.b64encode(value).decode(), "revision": revision,
                "created": created, "lease_id": 0}

    def _range(self, prefix, after):
        keys = sorted(key for key in self.items if key.startswith(prefix) and key > after)
        return {"items": [self._item(key) for key in keys[:PAGE_ITEMS]],
                "has_more": len(keys) > PAGE_ITEMS, "current_rev": self.revision}

    async def _watch(self, prefix, after, wait_ms):
        end = time.monotonic() + min(wait_ms, MAX_WAIT_MS) / 1000
        while True:
            if after < self.dropped_up_to or after > self.revision:
                return 410, {}
            keys = [(revision, key) for revision, key in self.history
                    if revision > after and key.startswith(prefix)]
            left = end - time.monotonic()
            if keys or left <= 0 or self.down:
                break
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait(), left)
                except asyncio.TimeoutError:
                    pass
        newest = {key: revision for revision, key in keys}
        events = [self._item(key) if key in self.items else
                  {"key": key, "revision": revision, "deleted": True}
                  for key, revision in sorted(newest.items(), key=lambda pair: pair[1])]
        return 200, {"events": events, "current_rev": self.revision}
