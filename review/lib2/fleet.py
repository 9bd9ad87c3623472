"""Stand-ins of the cloud and of the workers, after the page PROTOCOL, and the record of what runs where."""
import asyncio
import json
import random
import time
from urllib.parse import parse_qs

from net import Client, free_ports, serve


class Judge:
    """What users, workers and the cloud can see, and the rules broken by it."""

    def __init__(self, record, teams, cancel_s):
        self.record, self.teams, self.cancel_s = record, teams, cancel_s
        self.jobs = {}  # id -> submission, from the first attempt to submit
        self.accepted, self.told = set(), {}  # told: id -> (standing, time)
        self.asked_to_cancel = set()
        self.on = {}  # task -> {machine: sortie}
        self.done = set()
        self.broken = []
        self.starts = 0
        self.zones = {}  # machine -> (hull, zone, ebb)

    def log(self, *parts):
        self.record.write(f"{time.monotonic() - self.record.t0:8.3f} " + " ".join(str(p) for p in parts) + "\n")
        self.record.flush()

    def rule(self, name, *parts):
        self.broken.append(name)
        self.log("BROKEN", name, *parts)

    def start(self, task, machine, sortie):
        job = task.split("/")[0]
        spec = self.jobs[job]
        self.starts += 1
        self.log("start", task, sortie, machine)
        others = self.on.get(task, {})
        if others:
            self.rule("ran_twice", task, sortie, machine, "while on", others)
        hull, zone, ebb = self.zones[machine]
        mates = [m for t, ms in self.on.items() if t.startswith(job + "/") and t != task for m in ms]
        if spec.get("hulls") is not None and hull not in spec["hulls"]:
            self.rule("wrong_place", task, machine, "type", hull)
        if spec.get("berth") is not None and zone != spec["berth"]:
            self.rule("wrong_place", task, machine, "zone", zone)
        if ebb and not spec["ebb"]:
            self.rule("wrong_place", task, machine, "kind")
        if spec["same_place"] and any(self.zones[m][1] != zone for m in mates):
            self.rule("wrong_place", task, machine, "same_place", mates)
        if spec["scatter"]:
            here = 1 + sum(self.zones[m][1] == zone for m in mates)
            if here > (spec["sheets"] + 1) // 2:
                self.rule("wrong_place", task, machine, "scatter", here)
        told = self.told.get(job)
        if told and told[0] == "withdrawn" and time.monotonic() - told[1] > self.cancel_s:
            self.rule("ran_cancelled", task, machine, "starts", time.monotonic() - told[1])
        for need in spec.get("awaits") or []:
            n = self.jobs[need]["sheets"]
            if not all(f"{need}/{i}" in self.done for i in range(n)):
                self.rule("too_early", task, need)
        self.on.setdefault(task, {})[machine] = sortie
        self.check_quota(spec["crew"])

    def check_quota(self, crew):
        used = 0.0
        for task, ms in self.on.items():
            spec = self.jobs[task.split("/")[0]]
            if spec["crew"] == crew:
                used += spec["cores"] * len(ms)
        if self.teams[crew] and used > self.teams[crew] + 1e-9:
            self.rule("quota", crew, used, "of", self.teams[crew])

    def end(self, task, machine, why):
        ms = self.on.get(task)
        if ms and machine in ms:
            self.log("end", task, ms[machine], machine, why)
            del ms[machine]
            if not ms:
                del self.on[task]
        if why == "done":
            self.done.add(task)

    def answered(self, job, standing, how):
        """Judges an answer of status 200 or 201 about a job."""
        now = time.monotonic()
        before = self.told.get(job)
        if job not in self.jobs:
            self.rule("invented", job, standing, how)
            return
        if standing == "done" and before is None or (before and before[0] != "done" and standing == "done"):
            n = self.jobs[job]["sheets"]
            if not all(f"{job}/{i}" in self.done for i in range(n)):
                self.rule("not_done", job, how)
        if before and before[0] != standing:
            self.rule("went_back", job, "was", before[0], "now", standing, how)
        if standing == "withdrawn" and not self.cancelled_by_user(job):
            self.rule("went_back", job, "withdrawn, though its user did not cancel it", how)
        if standing in ("done", "withdrawn") and before is None:
            self.told[job] = (standing, now)
            self.log("told", job, standing, how)

    def cancelled_by_user(self, job):
        return job in self.asked_to_cancel or any(
            self.cancelled_by_user(n) for n in (self.jobs[job].get("awaits") or [])
        )

    def check_cancelled(self):
        now = time.monotonic()
        for task, ms in self.on.items():
            told = self.told.get(task.split("/")[0])
            if told and told[0] == "withdrawn" and now - told[1] > self.cancel_s:
                self.rule("ran_cancelled", task, list(ms), now - told[1])


class Worker:
    def __init__(self, cloud, mid, hull, zone, ebb, port):
        self.cloud, self.judge, self.id = cloud, cloud.judge, mid
        self.hull, self.zone, self.ebb, self.port = hull, zone, ebb, port
        self.watch, self.log_no, self.helm = 1, 0, 0
        self.tasks = {}  # (sheet, sortie) -> dict
        self.images = set()
        self.mode = "pass"  # pass, cut (held), hung
        self.resumed = asyncio.Event()
        self.resumed.set()
        self.alive = True
        self.changed = asyncio.Event()
        self.lease_from = time.monotonic()
        self.running = []
        self.held = []
        self.warning = None
        self.slow_do = None  # async hook for /do: (phase, body)

    def report(self):
        self.log_no += 1
        sheets = []
        for (sheet, sortie), t in self.tasks.items():
            e = {"sheet": sheet, "sortie": sortie, "standing": t["standing"]}
            if t["standing"] == "ended":
                e["cause"] = t["cause"]
                if t.get("stored"):
                    e["stored"] = True
            sheets.append(e)
        return {
            "mooring": self.id, "addr": f"127.0.0.1:{self.port}", "hull": self.hull["name"], "berth": self.zone,
            "ebb": self.ebb, "watch": self.watch, "log_no": self.log_no, "helm": self.helm,
            "warning_s": self.warning, "sheets": sheets,
        }

    def set_mode(self, mode):
        self.mode = mode
        self.judge.log("machine", self.id, mode)
        if mode == "pass":
            self.check_lease()
            self.resumed.set()
        else:
            self.resumed.clear()

    def check_lease(self):
        if time.monotonic() - self.lease_from > self.cloud.lease_s:
            for key in list(self.tasks):
                self.drop(key, "killed")
            self.tasks.clear()
            self.watch += 1
            self.log_no = 0
            self.lease_from = time.monotonic()
            self.judge.log("session", self.id, self.watch)
            self.changed.set()
            return True
        return False

    def drop(self, key, why):
        t = self.tasks[key]
        if t.get("timer"):
            t["timer"].cancel()
        self.judge.end(key[0], self.id, why)
        self.leave_gang(key, t, why)

    def finish(self, key, cause, stored=False):
        t = self.tasks.get(key)
        if not t or t["standing"] == "ended":
            return
        timer = t.pop("timer", None)
        if timer and timer is not asyncio.current_task():
            timer.cancel()
        t["standing"], t["cause"] = "ended", cause
        if stored:
            t["stored"] = True
        self.judge.end(key[0], self.id, cause)
        self.leave_gang(key, t, cause)
        self.changed.set()

    def free(self):
        cores, mem, cards = self.hull["cores"], self.hull["memory_gb"], self.hull["cards"]
        for (sheet, _), t in self.tasks.items():
            if t["standing"] != "ended":
                s = self.judge.jobs[sheet.split("/")[0]]
                cores -= s["cores"]
                mem -= s["memory_gb"]
                cards -= s["cards"]
        return cores, mem, cards

    async def life(self, key):
        sheet, _ = key
        spec = self.judge.jobs[sheet.split("/")[0]]
        t = self.tasks[key]
        if spec["plate"] not in self.images:
            await asyncio.sleep(self.cloud.fetch_s)
            await self.unhung()
            self.images.add(spec["plate"])
        if t["standing"] == "ended":
            return
        self.judge.start(sheet, self.id, key[1])
        if sheet in self.judge.done:
            self.finish(key, "done")
            return
        if self.cloud.sick(self, sheet):
            await asyncio.sleep(0.3)
            self.finish(key, "error")
            return
        if spec["shape"] == "group":
            await self.gang(key, spec, t)
            return
        t["standing"] = "running"
        self.changed.set()
        if spec["shape"] == "daemon":
            return
        await asyncio.sleep(self.cloud.run_s(sheet))
        await self.unhung()
        self.finish(key, "done")

    async def gang(self, key, spec, t):
        job, idx = key[0].split("/")
        gang = self.cloud.gangs.setdefault((job, key[1]), {"members": {}, "started": False})
        gang["members"][idx] = (self, key)
        t["standing"], t["gang"] = "waiting", gang
        self.changed.set()
        if len(gang["members"]) == spec["sheets"] and not gang["started"]:
            gang["started"] = True
            for w, k in gang["members"].values():
                if k in w.tasks:
                    w.tasks[k]["standing"] = "running"
                    w.changed.set()
            asyncio.ensure_future(self.cloud.run_gang(gang, self.cloud.run_s(key[0])))
        elif not gang["started"]:
            await asyncio.sleep(self.cloud.gang_wait_s)
            await self.unhung()
            if not gang["started"]:
                self.finish(key, "alone")

    def leave_gang(self, key, t, why):
        gang = t.get("gang")
        if not gang or why == "done":
            return
        gang["members"].pop(key[0].split("/")[1], None)
        if gang["started"] and not gang.get("over"):
            gang["over"] = True
            asyncio.ensure_future(self.cloud.end_gang(gang))

    async def unhung(self):
        while self.mode == "hung" and self.alive:
            await self.resumed.wait()

    def execute(self, orders):
        for o in orders:
            key = (o["sheet"], o["sortie"])
            if o["order"] == "launch":
                if key in self.tasks:
                    continue
                self.judge.log("launch", o["sheet"], o["sortie"], self.id)
                job, _, idx = o["sheet"].partition("/")
                spec = self.judge.jobs.get(job)
                t = self.tasks[key] = {"standing": "pulling"}
                if spec is None or int(idx) >= spec["sheets"]:
                    t.update(standing="ended", cause="unknown")
                elif any(k[0] == o["sheet"] and k != key and v["standing"] != "ended" for k, v in self.tasks.items()):
                    t.update(standing="ended", cause="busy")
                elif min(self.free()) < -1e-9:
                    t.update(standing="ended", cause="full")
                else:
                    t["timer"] = asyncio.ensure_future(self.life(key))
                self.changed.set()
            elif o["order"] == "stop":
                if key in self.tasks:
                    self.judge.log("stop", o["sheet"], o["sortie"], self.id)
                    self.finish(key, "stopped")
            elif o["order"] == "reap":
                t = self.tasks.get(key)
                if t and t["standing"] == "ended":
                    del self.tasks[key]
                    self.changed.set()

    async def handle(self, method, target, body):
        while self.mode != "pass" and self.alive:
            await self.resumed.wait()
        if not self.alive:
            return None
        self.check_lease()
        if self.slow_do:
            await self.slow_do("before", body)
        if target == "/inspect":
            return 200, self.report()
        if target != "/do":
            return 404, {}
        req = json.loads(body)
        if "helm" not in req or "watch" not in req:
            return 400, {"error": "helm or watch is missing"}
        if req["helm"] < self.helm or req["watch"] != self.watch:
            return 409, self.report()
        if req["helm"] > self.helm:
            self.helm = req["helm"]
            self.changed.set()
        self.execute(req["orders"])
        answer = self.report()
        if self.slow_do:
            await self.slow_do("after", body)
        return 200, answer

    async def lease_loop(self):
        while self.alive:
            await asyncio.sleep(0.2)
            if self.mode != "hung":
                self.check_lease()

    async def report_loop(self):
        client = Client()
        names = self.cloud.nodes
        at = random.randrange(len(names))
        last = 0.0
        while self.alive:
            if self.mode == "hung":
                await self.resumed.wait()
            wait = max(0.0, last + self.cloud.report_s * random.uniform(0.75, 1.25) - time.monotonic())
            try:
                await asyncio.wait_for(self.changed.wait(), wait)
            except asyncio.TimeoutError:
                pass
            await asyncio.sleep(max(0.0, last + 0.5 - time.monotonic()))
            if self.mode == "hung" or not self.alive:
                continue
            self.changed.clear()
            sent = last = time.monotonic()
            session = self.watch
            body = self.report()
            if self.mode == "cut":
                await asyncio.sleep(4.0)
                client.close()
                self.held.append((at, body))
                answer = None
            else:
                answer = await client.call(self.cloud.node_ports[names[at]], "POST", "/checkin", body, 4.0)
                if self.mode != "pass":
                    answer = None
                elif answer and answer[0] not in (200, 421):
                    self.judge.log("report of", self.id, "to", names[at], "is answered", answer[0], answer[1])
            if not self.alive:
                break
            if answer and answer[0] == 200:
                helm = (answer[1] or {}).get("helm")
                if helm is not None and helm >= self.helm and session == self.watch:
                    if helm > self.helm:
                        self.helm = helm
                        self.changed.set()
                    self.lease_from = sent
                    self.execute(answer[1].get("orders", []))
                continue
            if answer and answer[0] == 421:
                owner = (answer[1] or {}).get("harbormaster")
                if owner in names and names.index(owner) != at:
                    at = names.index(owner)
                    client.close()
                    await asyncio.sleep(random.uniform(0, 0.5))
                    self.changed.set()
                    last = 0.0
                    continue
            client.close()
            await asyncio.sleep(1.0)
            at = (at + 1) % len(names)
            self.changed.set()
            last = 0.0

    async def start(self):
        self.server = await serve(self.port, self.handle)
        self.running = [asyncio.ensure_future(self.report_loop()), asyncio.ensure_future(self.lease_loop())]

    def die(self):
        self.alive = False
        for key in list(self.tasks):
            self.drop(key, "gone")
        self.tasks.clear()
        for r in self.running:
            r.cancel()
        self.resumed.set()
        self.server.close()


class Cloud:
    def __init__(self, judge, hulls, workers, node_ports, rps=4.0, lag_s=3.0, boot_s=2.0):
        self.judge, self.hulls = judge, hulls
        self.report_s, self.lease_s = workers["report_s"], workers["lease_s"]
        self.gang_wait_s, self.gang_peer_s = workers["gang_wait_s"], workers["gang_peer_s"]
        self.gangs = {}
        self.nodes, self.node_ports = list(node_ports), node_ports
        self.machines = {}  # id -> dict(worker, standing, since)
        self.count = 0
        self.charters = {}
        self.mode = "pass"
        self.capacity = 40
        self.boot_s, self.lag_s = boot_s, lag_s
        self.fetch_s = 0.3
        self.run_s = lambda sheet: 10.0
        self.sick = lambda worker, sheet: False
        self.history = []  # (time, listing)

    async def run_gang(self, gang, seconds):
        await asyncio.sleep(seconds)
        members = list(gang["members"].values())
        if gang.get("over") or any(w.mode == "hung" for w, _ in members):
            if not gang.get("over"):
                gang["over"] = True
                await self.end_gang(gang)
            return
        gang["over"] = True
        for _, k in members:
            self.judge.done.add(k[0])
        for w, k in members:
            w.finish(k, "done")

    async def end_gang(self, gang):
        await asyncio.sleep(random.uniform(0.1, 0.9 * self.gang_peer_s))
        for w, k in list(gang["members"].values()):
            await w.unhung()
            w.finish(k, "mates_gone")

    async def add(self, hull, zone, ebb, boot):
        self.count += 1
        mid = f"vm-{self.count:06d}"
        h = next(x for x in self.hulls if x["name"] == hull)
        w = Worker(self, mid, h, zone, ebb, free_ports(1)[0])
        self.judge.zones[mid] = (hull, zone, ebb)
        self.machines[mid] = {"worker": w, "standing": "starting", "since": time.monotonic()}

        async def up():
            await asyncio.sleep(boot)
            if mid in self.machines:
                self.machines[mid]["standing"] = "running"
                self.judge.log("machine", mid, "up")
                w.lease_from = time.monotonic()
                await w.start()

        asyncio.ensure_future(up())
        return mid

    def delete(self, mid):
        m = self.machines.pop(mid, None)
        if m:
            self.judge.log("machine", mid, "deleted")
            if m["worker"].running:
                m["worker"].die()

    async def handle(self, method, target, body):
        if self.mode != "pass":
            return 503, {"error": "trouble"}
        path, _, query = target.partition("?")
        if path == "/catalog":
            return 200, {"hulls": self.hulls}
        if path == "/machines" and method == "POST":
            req = json.loads(body)
            if req["charter"] in self.charters:
                return 200, {"moorings": self.charters[req["charter"]]}
            room = self.capacity - len(self.machines)
            if room <= 0:
                return 503, {"error": "no capacity"}
            ids = [
                await self.add(req["hull"], req["berth"], req["ebb"], self.boot_s)
                for _ in range(min(room, req["number"]))
            ]
            self.charters[req["charter"]] = ids
            return 200, {"moorings": ids}
        if path == "/machines/delete":
            for mid in json.loads(body)["moorings"]:
                self.delete(mid)
            return 200, {}
        if path == "/machines":
            q = {k: v[0] for k, v in parse_qs(query).items()}
            now = time.monotonic()
            listing = []
            for at, snap in reversed(self.history):
                if at <= now - self.lag_s:
                    listing = snap
                    break
            after, most = q.get("after", ""), int(q.get("most", 500))
            found = [m for m in listing if m["id"] > after]
            return 200, {"moorings": found[:most], "has_next": len(found) > most}
        return 400, {}

    async def snapshots(self):
        while True:
            now = time.monotonic()
            snap = [
                {
                    "id": mid, "addr": f"127.0.0.1:{m['worker'].port}", "hull": m["worker"].hull["name"],
                    "berth": m["worker"].zone, "ebb": m["worker"].ebb, "standing": m["standing"],
                    "held_s": now - m["since"],
                }
                for mid, m in sorted(self.machines.items())
            ]
            self.history.append((now, snap))
            del self.history[:-200]
            await asyncio.sleep(0.2)

    async def start(self, port):
        await serve(port, self.handle)
        asyncio.ensure_future(self.snapshots())
