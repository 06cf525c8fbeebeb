"""The platform's metadata store: items, watches and transactions.

Each daemon reaches it at an address of its own, so that a case can make the
store reject or delay single machines (`Access`).
"""

import asyncio
import base64
import json

from http11 import Server

MAX_ENTRIES = 32
PAGE_ITEMS = 500
PAGE_BYTES = 1000000


class Store:
    def __init__(self, value_bytes):
        self.value_bytes = value_bytes
        self.revision = 100
        self.items = {}
        self.history = []
        self.changed = asyncio.Event()
        self.refused_values = 0

    def _note(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    def put(self, key, data, revision=None):
        """Writes an item; `data` is bytes, text or an object."""
        if not isinstance(data, (bytes, str)):
            data = json.dumps(data)
        if isinstance(data, str):
            data = data.encode()
        if revision is None:
            self.revision += 1
            revision = self.revision
        old = self.items.get(key)
        item = {"key": key, "value": base64.b64encode(data).decode(),
                "revision": revision,
                "created": old["created"] if old else revision, "lease": 0}
        self.items[key] = item
        self._note(item)
        return revision

    def remove(self, key, revision=None):
        if key not in self.items:
            return
        if revision is None:
            self.revision += 1
            revision = self.revision
        del self.items[key]
        self._note({"key": key, "revision": revision, "deleted": True})

    def value(self, key):
        """Returns the JSON value of an item; None if there is none."""
        item = self.items.get(key)
        return json.loads(base64.b64decode(item["value"])) if item else None

    def key(self, request):
        item = self.items.get(request.query["key"])
        if item is None:
            return 404, None
        return 200, dict(item, atRev=self.revision)

    def range(self, request):
        prefix = request.query["prefix"]
        after = request.query.get("after", "")
        page, size, more = [], 0, False
        for key in sorted(self.items):
            if not key.startswith(prefix) or key <= after:
                continue
            if len(page) >= PAGE_ITEMS or size > PAGE_BYTES:
                more = True
                break
            page.append(self.items[key])
            size += len(self.items[key]["value"])
        return 200, {"items": page, "hasMore": more, "atRev": self.revision}

    async def watch(self, request):
        prefix = request.query["prefix"]
        after = int(request.query["after"])
        loop = asyncio.get_running_loop()
        end = loop.time() + int(request.query.get("waitMs", "0")) / 1000
        while True:
            changed = self.changed
            # The history is in the order of revisions.
            events = []
            for event in reversed(self.history):
                if event["revision"] <= after:
                    break
                if event["key"].startswith(prefix):
                    events.append(event)
            if events:
                events.reverse()
                return 200, {"events": events, "atRev": self.revision}
            left = end - loop.time()
            if left <= 0:
                return 200, {"events": [], "atRev": self.revision}
            try:
                await asyncio.wait_for(changed.wait(), left)
            except asyncio.TimeoutError:
                pass

    def transaction(self, request):
        body = request.json()
        expected = body.get("expected", [])
        puts = body.get("puts", [])
        removals = body.get("remove", [])
        if len(expected) + len(puts) + len(removals) > MAX_ENTRIES:
            return 400, {"reason": "entries"}
        for put in puts:
            if put["key"].startswith(("op/", "servers/")):
                return 403, {"reason": "key"}
            if len(base64.b64decode(put.get("value", ""))) > self.value_bytes:
                self.refused_values += 1
                return 400, {"reason": "valueBytes"}
        for each in expected:
            item = self.items.get(each["key"])
            if (item["revision"] if item else 0) != each["revision"]:
                return 412, {"items": [
                    self.items.get(one["key"],
                                   {"key": one["key"], "revision": 0})
                    for one in expected]}
        self.revision += 1
        for put in puts:
            self.put(put["key"], base64.b64decode(put.get("value", "")),
                     self.revision)
        for key in removals:
            self.remove(key, self.revision)
        return 200, {"revision": self.revision}


class Access:
    """The way of one daemon to the store."""

    def __init__(self, store, ip, port, answer_ms):
        self.store, self.answer_ms = store, answer_ms
        self.refuses = False
        self.server = Server(ip, port, self.handle)

    async def handle(self, request):
        if self.refuses:
            return 503, None
        await asyncio.sleep(self.answer_ms / 1000)
        if request.path == "/api/kv-key":
            return self.store.key(request)
        if request.path == "/api/kv-range":
            return self.store.range(request)
        if request.path == "/api/kv-watch":
            answer = await self.store.watch(request)
            return (503, None) if self.refuses else answer
        if request.path == "/api/kv-txn":
            return self.store.transaction(request)
        return 404, None
