"""Stand-ins of the cloud and of its machines with their workers."""

import asyncio
import random
import time

from net import Connection, Server

HULL = {"name": "tybee-large", "cores": 64, "cards": 0, "memory_gb": 256, "cache_gb": 60.0,
        "fetch_gb_per_s": 0.8, "price": 4.26, "low_price": 1.09, "startup_s": 30,
        "berths": ["brunswick-hall", "savannah-annex"]}


class Worker:
    """One machine with its worker, as the page PROTOCOL describes it."""

    def __init__(self, fleet, name, berth, ebb=False):
        self.fleet, self.name, self.berth, self.ebb = fleet, name, berth, ebb
        self.watch, self.log_no, self.helm = 1, 0, 0
        self.tasks = {}                 # (sheet, sortie) -> dict
        self.gone = False
        self.hung = asyncio.Event()
        self.hung.set()                 # set: not hanging
        self.server = Server(self.handle)
        self.leased_from = time.monotonic()
        self.target = random.randrange(len(fleet.ports))
        self.wake = asyncio.Event()
        self.calls_seen = []

    async def start(self):
        port = await self.server.start()
        self.addr = f"127.0.0.1:{port}"
        self.loop = asyncio.create_task(self.report_loop())
        self.clock = asyncio.create_task(self.lease_loop())

    def report(self):
        self.log_no += 1
        sheets = []
        for (sheet, sortie), task in self.tasks.items():
            entry = {"sheet": sheet, "sortie": sortie, "standing": task["standing"]}
            if task["standing"] == "ended":
                entry["cause"] = task["cause"]
            sheets.append(entry)
        return {"mooring": self.name, "addr": self.addr, "hull": HULL["name"],
                "berth": self.berth, "ebb": self.ebb, "watch": self.watch, "log_no": self.log_no,
                "helm": self.helm, "warning_s": None, "sheets": sheets}

    async def lease_loop(self):
        while not self.gone:
            await asyncio.sleep(0.1)
            await self.hung.wait()
            self.check_lease()

    def check_lease(self):
        if time.monotonic() - self.leased_from > self.fleet.params["workers"]["lease_s"]:
            for key, task in list(self.tasks.items()):
                self.end(key, "lease")
            self.tasks.clear()
            self.watch += 1
            self.log_no = 0
            self.leased_from = time.monotonic()
            self.fleet.note(f"{self.name} lease ended, session {self.watch}")
            self.wake.set()

    async def report_loop(self):
        every = self.fleet.params["workers"]["report_s"]
        connection = Connection(self.fleet.ports[self.target])
        last = 0.0
        while not self.gone:
            await self.hung.wait()
            wait = every * random.uniform(0.75, 1.25)
            try:
                await asyncio.wait_for(self.wake.wait(), wait)
            except asyncio.TimeoutError:
                pass
            self.wake.clear()
            await asyncio.sleep(max(0.0, last + 0.5 - time.monotonic()))
            await self.hung.wait()
            answered = False
            while not answered and not self.gone:
                last = time.monotonic()
                began, watch, helm = last, self.watch, self.helm
                body = self.report()
                status, answer = None, None
                try:
                    status, answer = await connection.call("POST", "/checkin", body, 4.0)
                except (OSError, asyncio.TimeoutError):
                    pass
                await self.hung.wait()
                if time.monotonic() - began > 4.0:
                    status = None
                if status == 200:
                    answered = True
                    token = (answer or {}).get("helm")
                    if isinstance(token, int) and token >= self.helm and watch == self.watch:
                        self.helm = token
                        self.leased_from = began
                        self.execute(answer.get("orders") or [])
                        if token > helm:
                            self.wake.set()
                    break
                connection.close()
                named = (answer or {}).get("harbormaster") if status == 421 else None
                names = self.fleet.members
                if named in names and names.index(named) != self.target:
                    self.target = names.index(named)
                    await asyncio.sleep(random.uniform(0, 0.5))
                else:
                    self.target = (self.target + 1) % len(names)
                    await asyncio.sleep(1.0)
                connection = Connection(self.fleet.ports[self.target])

    async def handle(self, method, path, body):
        if self.gone:
            return None
        await self.hung.wait()
        if self.gone:
            return None
        self.check_lease()
        if path == "/inspect":
            return 200, self.report()
        if path != "/do" or not isinstance(body, dict):
            return 400, {"error": "malformed"}
        if "helm" not in body or "watch" not in body:
            return 400, self.report()
        if body["helm"] < self.helm or body["watch"] != self.watch:
            return 409, self.report()
        if body["helm"] > self.helm:
            self.helm = body["helm"]
            self.wake.set()
        if body.get("orders"):
            self.fleet.note(f"{self.name} /do helm={body['helm']} {body['orders']}")
        self.execute(body.get("orders") or [])
        return 200, self.report()

    def execute(self, orders):
        for order in orders:
            key = (order["sheet"], order["sortie"])
            task = self.tasks.get(key)
            if order["order"] == "launch":
                if task is None:
                    self.launch(key)
            elif order["order"] == "stop":
                if task is not None and task["standing"] != "ended":
                    self.end(key, "stopped")
            elif order["order"] == "reap":
                if task is not None and task["standing"] == "ended":
                    del self.tasks[key]

    def refuse(self, key, cause):
        self.tasks[key] = {"standing": "ended", "cause": cause, "timer": None}
        self.wake.set()

    def launch(self, key):
        sheet, _ = key
        job_id, _, index = sheet.partition("/")
        job = self.fleet.jobs.get(job_id)
        if job is None or int(index) >= job["sheets"]:
            return self.refuse(key, "unknown")
        busy = any(k[0] == sheet and t["standing"] != "ended" for k, t in self.tasks.items())
        if busy:
            return self.refuse(key, "busy")
        used = sum(self.fleet.jobs[k[0].partition("/")[0]]["cores"]
                   for k, t in self.tasks.items() if t["standing"] != "ended")
        if used + job["cores"] > HULL["cores"]:
            return self.refuse(key, "full")
        task = {"standing": "pulling", "cause": None}
        self.tasks[key] = task
        task["timer"] = asyncio.create_task(self.run(key, task, job))
        self.wake.set()

    async def run(self, key, task, job):
        await asyncio.sleep(self.fleet.fetch_s)
        await self.hung.wait()
        task["standing"] = "running"
        self.fleet.on_start(self, key)
        self.wake.set()
        if job["shape"] == "daemon":
            return
        left = job["run_s"]
        while left > 0:
            await asyncio.sleep(min(0.1, left))
            await self.hung.wait()
            left -= 0.1
        self.end(key, "done")

    def end(self, key, cause):
        task = self.tasks[key]
        if task["standing"] == "ended":
            return
        was_on = task["standing"] != "pulling"
        task["standing"], task["cause"] = "ended", cause
        timer = task.get("timer")
        if timer is not None and timer is not asyncio.current_task():
            timer.cancel()
        if was_on:
            self.fleet.on_end(self, key, cause)
        self.wake.set()

    def destroy(self):
        """The machine is gone, with everything on it."""
        if self.gone:
            return
        for key in list(self.tasks):
            self.end(key, "machine gone")
        self.gone = True
        self.loop.cancel()
        self.clock.cancel()
        self.server.close()


class Fleet:
    """The cloud and its machines. `ports` are the controllers' public ports."""

    def __init__(self, params, members, ports, note):
        self.params, self.members, self.ports, self.note = params, members, ports, note
        self.workers = {}
        self.jobs = {}
        self.fetch_s = 0.3
        self.next_number = 1
        self.charters = {}
        self.machines = {}              # name -> {created, gone, berth, ebb, standing}
        self.deletions = []             # (time, controller or None, names)
        self.on_task = []               # functions (kind, worker, key, cause)
        self.running = {}               # sheet -> list of machine names
        self.servers = []
        self.boot_s = 20.0

    async def start(self, count):
        for index in range(count):
            server = Server(lambda m, p, b, i=index: self.handle(i, m, p, b))
            await server.start()
            self.servers.append(server)

    async def boot(self, berth, ebb=False, delay=0.0):
        name = f"vm-{self.next_number:06d}"
        self.next_number += 1
        now = time.monotonic()
        self.machines[name] = {"created": now, "gone": None, "berth": berth, "ebb": ebb,
                               "standing": "starting"}
        if delay == 0.0:
            await self.up(name)
        else:
            asyncio.create_task(self.up(name, delay))
        return name

    async def up(self, name, delay=0.0):
        await asyncio.sleep(delay)
        machine = self.machines[name]
        if machine["gone"] is not None:
            return
        worker = Worker(self, name, machine["berth"], machine["ebb"])
        await worker.start()
        machine["standing"] = "running"
        self.workers[name] = worker

    def on_start(self, worker, key):
        self.running.setdefault(key[0], []).append(worker.name)
        self.note(f"task {key[0]} attempt {key[1]} on {worker.name}")
        for function in self.on_task:
            function("start", worker, key, None)

    def on_end(self, worker, key, cause):
        if worker.name in self.running.get(key[0], []):
            self.running[key[0]].remove(worker.name)
        self.note(f"task {key[0]} attempt {key[1]} off {worker.name}: {cause}")
        for function in self.on_task:
            function("end", worker, key, cause)

    async def handle(self, index, method, path, body):
        await asyncio.sleep(0.08)
        now = time.monotonic()
        if path == "/catalog":
            return 200, {"hulls": [HULL]}
        if method == "GET" and path.startswith("/machines"):
            lag = self.params["cloud"]["list_lag_s"]
            listed = []
            for name, m in sorted(self.machines.items()):
                if m["created"] + lag <= now and (m["gone"] is None or m["gone"] + lag > now):
                    worker = self.workers.get(name)
                    listed.append({"id": name, "addr": worker.addr if worker else "127.0.0.1:1",
                                   "hull": HULL["name"], "berth": m["berth"], "ebb": m["ebb"],
                                   "standing": m["standing"], "held_s": now - m["created"]})
            return 200, {"moorings": listed, "has_next": False}
        if path == "/machines":
            charter = body["charter"]
            if charter not in self.charters:
                names = [await self.boot(body["berth"], body["ebb"], self.boot_s)
                         for _ in range(min(body["number"], 50))]
                self.charters[charter] = names
                self.note(f"controller {index} rents {names} as {charter}")
            return 200, {"moorings": self.charters[charter]}
        if path == "/machines/delete":
            names = body["moorings"]
            self.deletions.append((now, index, names))
            self.note(f"controller {index} deletes {names}")
            for name in names:
                if name in self.machines and self.machines[name]["gone"] is None:
                    self.machines[name]["gone"] = now
                    if name in self.workers:
                        self.workers[name].destroy()
            return 200, {}
        return 400, {"error": "malformed"}

    def close(self):
        for worker in self.workers.values():
            worker.destroy()
        for server in self.servers:
            server.close()
