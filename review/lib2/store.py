"""Stand-in of the state service, after the page PROTOCOL. Each controller has a port of its own, so that the
service can refuse one of them alone. mode of a port: pass, refuse (503), hold (carried out when it passes again)."""
import asyncio
import json
import time
from urllib.parse import parse_qs, unquote

from net import serve


class Store:
    def __init__(self, latency=0.002, rps=200.0, write_rps=50.0, limit=True):
        self.data = {}  # key -> (value, amendment, permit)
        self.edition = 1
        self.events = []  # (edition, key, event)
        self.grants = {}  # id -> [life_s, until]
        self.last_grant = 0
        self.latency = latency
        self.rps, self.write_rps, self.limit = rps, write_rps, limit
        self.req, self.wr, self.at = rps, write_rps, time.monotonic()
        self.changed = asyncio.Condition()
        self.modes = {}  # port -> mode
        self.released = {}  # port -> Event
        self.hooks = []  # called with (port, method, path, body) before a request; may await
        self.refused = 0
        self.limits = {"value_kb": 8.0, "txn_ops": 24}
        self.over_limit = []

    def set_mode(self, port, mode):
        self.modes[port] = mode
        event = self.released.setdefault(port, asyncio.Event())
        if mode == "pass":
            event.set()
            # a refused controller's leases ran on meanwhile; nothing to do
        else:
            event.clear()
        self.wake()

    def wake(self):
        async def notify():
            async with self.changed:
                self.changed.notify_all()

        asyncio.ensure_future(notify())

    def take(self, requests, writes):
        now = time.monotonic()
        dt, self.at = now - self.at, now
        self.req = min(self.rps, self.req + dt * self.rps)
        self.wr = min(self.write_rps, self.wr + dt * self.write_rps)
        if not self.limit:
            return True
        if self.req < requests or self.wr < writes:
            return False
        self.req -= requests
        self.wr -= writes
        return True

    def expire(self):
        now = time.monotonic()
        for gid in [g for g, (_, until) in self.grants.items() if until < now]:
            self.end_grant(gid)

    def end_grant(self, gid):
        self.grants.pop(gid, None)
        keys = [k for k, v in self.data.items() if v[2] == gid]
        if keys:
            self.edition += 1
            for k in keys:
                del self.data[k]
                self.events.append((self.edition, k, {"delete": k, "amendment": self.edition}))
            self.wake()

    async def run(self):
        while True:
            await asyncio.sleep(0.03)
            self.expire()

    def txn(self, body):
        try:
            req = json.loads(body)
        except ValueError:
            return 400, {"error": "not JSON"}
        then = req.get("then", [])
        lim = self.limits
        sizes = [len(json.dumps(op.get("data"), separators=(",", ":")).encode()) for op in then if "write" in op]
        if (
            len(body) > 65536
            or len(then) > lim["txn_ops"]
            or len(req.get("if", [])) > 4 * lim["txn_ops"]
            or any(n > lim["value_kb"] * 1024 for n in sizes)
        ):
            self.over_limit.append((len(body), len(then), len(req.get("if", [])), max(sizes, default=0)))
            return 400, {"error": "over a limit"}
        for op in then:
            if "write" in op and op.get("permit") is not None and op["permit"] not in self.grants:
                return 400, {"error": "no such lease"}
        failed = []
        for c in req.get("if", []):
            cur = self.data.get(c["key"])
            if (cur[1] if cur else 0) != c["amendment"] and c["key"] not in failed:
                failed.append(c["key"])
        if failed:
            return 409, {"failed": failed, "edition": self.edition}
        if then:
            self.edition += 1
            for op in then:
                if "write" in op:
                    k = op["write"]
                    self.data[k] = (op.get("data"), self.edition, op.get("permit"))
                    self.events.append(
                        (self.edition, k, {"write": k, "data": op.get("data"), "amendment": self.edition})
                    )
                else:
                    k = op["delete"]
                    if k in self.data:
                        del self.data[k]
                        self.events.append((self.edition, k, {"delete": k, "amendment": self.edition}))
            del self.events[:-10000]
            self.wake()
        return 200, {"edition": self.edition}

    async def handle(self, port, method, target, body):
        path, _, query = target.partition("?")
        for hook in self.hooks:
            await hook(port, method, path, body)
        watch = path == "/follow"
        if not watch:
            mode = self.modes.get(port, "pass")
            if mode == "refuse":
                return 503, {"error": "unavailable"}
            if mode == "hold":
                await self.released[port].wait()
            await asyncio.sleep(self.latency)
        writes = 0
        if path == "/txn":
            try:
                writes = len(json.loads(body).get("then", []))
            except ValueError:
                pass
        if not self.take(1, writes):
            self.refused += 1
            return 429, {"error": "too many"}
        self.expire()
        if path == "/txn":
            return self.txn(body)
        if path.startswith("/kv/"):
            key = unquote(path[4:])
            cur = self.data.get(key)
            if cur is None:
                return 404, {"edition": self.edition}
            return 200, {"key": key, "data": cur[0], "amendment": cur[1], "permit": cur[2]}
        q = {k: v[0] for k, v in parse_qs(query).items()}
        if path == "/kv":
            keys = sorted(k for k in self.data if k.startswith(q["prefix"]) and k > q.get("after", ""))
            most = min(int(q.get("most", 1000)), 1000)
            items, size = [], 0
            for k in keys[:most]:
                v = self.data[k]
                item = {"key": k, "data": v[0], "amendment": v[1]}
                if v[2] is not None:
                    item["permit"] = v[2]
                size += len(json.dumps(item))
                if size > 500 * 1024 and items:
                    break
                items.append(item)
            return 200, {"items": items, "has_next": len(items) < len(keys), "edition": self.edition}
        if path == "/grants":
            life = json.loads(body)["life_ms"] / 1000
            self.last_grant += 1
            self.grants[self.last_grant] = [life, time.monotonic() + life]
            return 200, {"permit": self.last_grant}
        if path.startswith("/grants/"):
            gid = int(path.split("/")[2])
            if method == "DELETE":
                if gid not in self.grants:
                    return 404, {}
                self.end_grant(gid)
                return 200, {}
            if gid not in self.grants:
                return 404, {}
            self.grants[gid][1] = time.monotonic() + self.grants[gid][0]
            return 200, {"permit": gid}
        if watch:
            after, block = int(q["after"]), int(q.get("block_ms", 0)) / 1000
            until = time.monotonic() + block
            while True:
                if self.modes.get(port, "pass") == "pass":
                    if self.events and len(self.events) >= 10000 and after < self.events[0][0]:
                        return 410, {"edition": self.edition}
                    found = []
                    for e in reversed(self.events):
                        if e[0] <= after:
                            break
                        if e[1].startswith(q["prefix"]):
                            found.append(e[2])
                    found.reverse()
                    if found:
                        return 200, {"edition": self.edition, "events": found}
                left = until - time.monotonic()
                if left <= 0:
                    if self.modes.get(port, "pass") != "pass":
                        await self.released[port].wait()
                        continue
                    return 200, {"edition": self.edition, "events": []}
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), left)
                    except asyncio.TimeoutError:
                        pass
        return 400, {"error": "no such path"}

    async def start(self, ports):
        for port in ports:
            self.set_mode(port, "pass")
            await serve(port, lambda m, t, b, port=port: self.handle(port, m, t, b))
        asyncio.ensure_future(self.run())
