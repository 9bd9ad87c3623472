"""A stand-in of the state service: one consistent key-value store, with a port of its own for each
controller, so that a single controller can be refused or answered slowly."""

import asyncio
import json
import time
from collections import deque
from urllib.parse import parse_qs, urlsplit

from net import Server

KEPT_CHANGES = 10_000


class Bucket:
    def __init__(self, rate):
        self.rate, self.level, self.at = rate, rate, time.monotonic()

    def take(self, amount):
        now = time.monotonic()
        self.level = min(self.rate, self.level + (now - self.at) * self.rate)
        self.at = now
        if self.level < amount:
            return False
        self.level -= amount
        return True


class Store:
    def __init__(self, params, count):
        self.limits = params["state"]
        self.requests = Bucket(self.limits["rps"])
        self.writes = Bucket(self.limits["write_rps"])
        self.keys = {}                      # key -> (data, amendment, permit)
        self.edition = 1
        self.log = deque(maxlen=KEPT_CHANGES)
        self.dropped_until = 1
        self.grants = {}                    # id -> [life in s, end]
        self.next_grant = 1
        self.changed = asyncio.Event()
        self.refused = [False] * count      # 503 for this controller alone
        self.delay = [None] * count         # function (method, path, body) -> seconds, or None
        self.observers = []                 # functions (controller, method, path, body)
        self.servers = []
        self.expiry = None
        self.counts = {"429": 0}

    async def start(self):
        for index in range(len(self.refused)):
            server = Server(lambda m, p, b, i=index: self.handle(i, m, p, b))
            await server.start()
            self.servers.append(server)
        self.expiry = asyncio.create_task(self.expire())

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for grant in [g for g, (_, end) in self.grants.items() if now > end + 0.02]:
                await self.end_grant(grant)

    async def end_grant(self, grant):
        self.grants.pop(grant, None)
        gone = [k for k, (_, _, permit) in self.keys.items() if permit == grant]
        if gone:
            self.edition += 1
            for key in gone:
                del self.keys[key]
                self.log_change({"delete": key, "amendment": self.edition})
            await self.notify()

    def log_change(self, event):
        if len(self.log) == KEPT_CHANGES:
            self.dropped_until = self.log[0]["amendment"]
        self.log.append(event)

    async def notify(self):
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    async def handle(self, index, method, path, body):
        for observer in self.observers:
            observer(index, method, path, body)
        url = urlsplit(path)
        if self.refused[index]:
            return 503, {"error": "trouble"}
        if not self.requests.take(1):
            self.counts["429"] += 1
            return 429, {"error": "rate"}
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        if method == "GET" and url.path == "/follow":
            return await self.follow(index, query)
        await asyncio.sleep(0.002)
        delay = self.delay[index] and self.delay[index](method, path, body)
        answer = await self.execute(method, url.path, query, body)
        if delay:
            await asyncio.sleep(delay)
        return answer

    async def execute(self, method, path, query, body):
        if method == "GET" and path == "/kv":
            return self.page(query)
        if method == "GET" and path.startswith("/kv/"):
            key = path[4:]
            if key not in self.keys:
                return 404, {"edition": self.edition}
            return 200, self.item(key)
        if method == "POST" and path == "/txn":
            return await self.txn(body)
        if method == "POST" and path == "/grants":
            life = (body or {}).get("life_ms")
            if not isinstance(life, int) or not 100 <= life <= 600_000:
                return 400, {"error": "malformed"}
            grant, self.next_grant = self.next_grant, self.next_grant + 1
            self.grants[grant] = [life / 1000, time.monotonic() + life / 1000]
            return 200, {"permit": grant}
        parts = path.strip("/").split("/")
        if parts[0] == "grants" and len(parts) >= 2 and parts[1].isdigit():
            grant = int(parts[1])
            if grant not in self.grants:
                return 404, {"error": "no such lease"}
            if method == "DELETE":
                await self.end_grant(grant)
            else:
                self.grants[grant][1] = time.monotonic() + self.grants[grant][0]
            return 200, {"permit": grant}
        return 400, {"error": "malformed"}

    def item(self, key):
        data, amendment, permit = self.keys[key]
        item = {"key": key, "data": data, "amendment": amendment}
        if permit is not None:
            item["permit"] = permit
        return item

    def page(self, query):
        prefix, after = query.get("prefix", ""), query.get("after", "")
        most = min(int(query.get("most", 1000)), 1000)
        names = sorted(k for k in self.keys if k.startswith(prefix) and k > after)
        items, size = [], 0
        for key in names[:most]:
            item = self.item(key)
            size += len(json.dumps(item))
            if size > 512 * 1024:
                break
            items.append(item)
        return 200, {"items": items, "has_next": len(items) < len(names), "edition": self.edition}

    async def txn(self, body):
        if not isinstance(body, dict):
            return 400, {"error": "malformed"}
        conditions, changes = body.get("if") or [], body.get("then") or []
        ops = self.limits["txn_ops"]
        if len(changes) > ops or len(conditions) > 4 * ops or len(json.dumps(body)) > 65536:
            return 400, {"error": "too large"}
        for change in changes:
            if "write" in change:
                if len(json.dumps(change["data"])) > self.limits["value_kb"] * 1024:
                    return 400, {"error": "value too large"}
                permit = change.get("permit")
                if permit is not None and permit not in self.grants:
                    return 400, {"error": "no such lease"}
        if changes and not self.writes.take(len(changes)):
            self.counts["429"] += 1
            return 429, {"error": "rate"}
        failed = [c["key"] for c in conditions
                  if (self.keys[c["key"]][1] if c["key"] in self.keys else 0) != c["amendment"]]
        if failed:
            return 409, {"failed": failed, "edition": self.edition}
        if changes:
            self.edition += 1
            for change in changes:
                if "write" in change:
                    key = change["write"]
                    self.keys[key] = (change["data"], self.edition, change.get("permit"))
                    self.log_change({"write": key, "data": change["data"],
                                     "amendment": self.edition})
                elif self.keys.pop(change["delete"], None) is not None:
                    self.log_change({"delete": change["delete"], "amendment": self.edition})
            await self.notify()
        return 200, {"edition": self.edition}

    async def follow(self, index, query):
        prefix, after = query.get("prefix", ""), int(query.get("after", 0))
        end = time.monotonic() + min(int(query.get("block_ms", 0)), 60_000) / 1000
        if after < self.dropped_until - 1:
            return 410, {"error": "too old"}
        while True:
            if not self.refused[index]:
                events = [e for e in self.log if e["amendment"] > after
                          and (e.get("write") or e.get("delete")).startswith(prefix)]
                left = end - time.monotonic()
                if events or left <= 0:
                    return 200, {"edition": self.edition, "events": events}
            else:
                left = 0.05
            try:
                await asyncio.wait_for(self.changed.wait(), min(max(left, 0.01), 0.25))
            except asyncio.TimeoutError:
                pass

    def close(self):
        if self.expiry is not None:
            self.expiry.cancel()
        for server in self.servers:
            server.close()
