"""Starts the controllers as processes of their own, with the run line of the deploy file, and the stand-ins."""
import asyncio
import json
import os
import random
import shlex
import signal
import subprocess
import tempfile
import time
import tomllib

from fleet import Cloud, Judge
from net import Client, Proxy, free_ports
from store import Store

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))

# Settings of the two deployments of the brief, and their machine types.
SAVANNAH = {
    "zones": ["brunswick-hall", "savannah-annex"],
    "teams": [("soundings", 264.0, 800.0), ("tides", 480.0, 1336.0), ("notices", 640.0, 1336.0), ("print", 536.0, 1336.0)],
    "workers": {"report_s": 3.0, "lease_s": 20.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 40.0},
    "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
    "cloud": {"rps": 4.0, "list_lag_s": 3.0},
    "quota": {"cpu": 0.2, "ram_mb": 72.0, "sockets": 2500},
    "hulls": [{"name": "tybee-large", "cores": 64, "cards": 0, "memory_gb": 256, "cache_gb": 60, "fetch_gb_per_s": 0.8,
               "price": 4.26, "low_price": 1.09, "startup_s": 30, "berths": ["brunswick-hall", "savannah-annex"]}],
    "machines": [("tybee-large", "brunswick-hall"), ("tybee-large", "savannah-annex")] * 3,
}
TRAMITE = {
    "zones": ["heredia-dc"],
    "teams": [("platform", 16.0, 48.0)],
    "workers": {"report_s": 1.5, "lease_s": 14.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 39.0},
    "state": {"rps": 150.0, "write_rps": 25.0, "value_kb": 8.0, "txn_ops": 12},
    "cloud": {"rps": 6.0, "list_lag_s": 3.0},
    "quota": {"cpu": 0.16, "ram_mb": 72.0, "sockets": 1200},
    "hulls": [
        {"name": "guaria-small", "cores": 4, "cards": 0, "memory_gb": 32, "cache_gb": 60, "fetch_gb_per_s": 0.8,
         "price": 0.24, "low_price": 0.11, "startup_s": 25, "berths": ["heredia-dc"]},
        {"name": "ceiba-medium", "cores": 8, "cards": 0, "memory_gb": 16, "cache_gb": 60, "fetch_gb_per_s": 0.8,
         "price": 0.39, "low_price": 0.18, "startup_s": 40, "berths": ["heredia-dc"]},
    ],
    "machines": [("guaria-small", "heredia-dc")] * 2 + [("ceiba-medium", "heredia-dc")] * 2,
}
ALTAMAHA = {
    "zones": ["darien-shed", "st-simons-vault", "jekyll-loft"],
    # Guarantees and limits in GPUs alone.
    "teams": [("dredge-survey", 0.0, 0.0, 60.0, 250.0), ("channel-pilots", 0.0, 0.0, 60.0, 350.0)],
    "workers": {"report_s": 5.0, "lease_s": 32.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0, "cancel_s": 52.0},
    "state": {"rps": 200.0, "write_rps": 80.0, "value_kb": 32.0, "txn_ops": 48},
    "cloud": {"rps": 2.0, "list_lag_s": 5.0},
    "quota": {"cpu": 0.064, "ram_mb": 56.0, "sockets": 800},
    "hulls": [{"name": "sound-node", "cores": 64, "cards": 0, "memory_gb": 128, "cache_gb": 60, "fetch_gb_per_s": 0.8,
               "price": 3.19, "low_price": 1.05, "startup_s": 25,
               "berths": ["darien-shed", "st-simons-vault", "jekyll-loft"]}],
    "machines": [("sound-node", "darien-shed"), ("sound-node", "st-simons-vault")],
}


class Cluster:
    def __init__(self, site, record_path, size=3, next_state=None):
        self.site, self.size = site, size
        self.record = open(record_path, "w")
        self.record.t0 = time.monotonic()
        self.dir = tempfile.TemporaryDirectory()
        self.names = [f"mooring-{i}" for i in range(size)]
        ports = free_ports(3 * size + 1 + size * size)
        self.http = dict(zip(self.names, ports))
        self.peer = dict(zip(self.names, ports[size:]))
        self.state_port = dict(zip(self.names, ports[2 * size:]))
        self.cloud_port = ports[3 * size]
        rest = ports[3 * size + 1:]
        self.links = {}
        for i, a in enumerate(self.names):
            for j, b in enumerate(self.names):
                if a != b:
                    self.links[a, b] = Proxy(rest[i * size + j], self.peer[b])
        state = site["state"]
        self.store = Store(rps=state["rps"], write_rps=state["write_rps"])
        self.store.limits = {k: state[k] for k in ("value_kb", "txn_ops")}
        self.judge = Judge(self.record, {t[0]: t[2] for t in site["teams"]}, site["workers"]["cancel_s"])
        self.cloud = Cloud(self.judge, site["hulls"], site["workers"], self.http)
        self.procs = {}
        self.frozen = set()
        self.next_state = next_state
        with open(os.path.join(ROOT, "deploy", "service.toml"), "rb") as f:
            self.run_line = shlex.split(tomllib.load(f)["run"])
        self.ended = []

    def settings(self, name):
        site = self.site
        i = self.names.index(name)
        zone = site["zones"][i % len(site["zones"])]
        state = dict(site["state"])
        if self.next_state:
            state["next"] = self.next_state
        return {
            "member": name, "area": zone, "bind": f"127.0.0.1:{self.http[name]}",
            "peer_bind": f"127.0.0.1:{self.peer[name]}",
            "others": [
                {"member": o, "area": site["zones"][j % len(site["zones"])], "addr": f"127.0.0.1:{self.links[name, o].port}"}
                for j, o in enumerate(self.names) if o != name
            ],
            "services": {"cloud": f"127.0.0.1:{self.cloud_port}", "state": f"127.0.0.1:{self.state_port[name]}"},
            "params": {
                "size": self.size, "zones": site["zones"],
                "teams": [
                    dict(zip(("name", "cpus", "cpus_max", "gpus", "gpus_max"), (*t, 0.0, 0.0)[:5])) for t in site["teams"]
                ],
                "objectives": [{"kind": "guarantee", "within_s": 5.0, "share": 0.97}],
                "workers": site["workers"], "state": state, "cloud": site["cloud"], "quota": site["quota"],
                "time_bound_ms": 250.0,
            },
        }

    def spawn(self, name):
        path = os.path.join(self.dir.name, name + ".json")
        with open(path, "w") as f:
            json.dump(self.settings(name), f)
        log = open(os.path.join(self.dir.name, name + ".log"), "ab")
        env = dict(os.environ, LOG_LEVEL=os.environ.get("CASE_LOG", "info"))
        self.procs[name] = subprocess.Popen(self.run_line + [path], cwd=ROOT, stderr=log, stdout=log, env=env)
        self.judge.log("controller", name, "started")

    def kill(self, name):
        self.procs[name].kill()
        self.procs[name].wait()
        self.judge.log("controller", name, "killed")

    def freeze(self, name):
        self.procs[name].send_signal(signal.SIGSTOP)
        self.frozen.add(name)
        self.judge.log("controller", name, "stands still")

    def thaw(self, name):
        self.procs[name].send_signal(signal.SIGCONT)
        self.frozen.discard(name)
        self.judge.log("controller", name, "goes on")

    def check_alive(self):
        for name, p in self.procs.items():
            if p.poll() is not None and p.returncode != -9 and name not in self.ended:
                self.ended.append(name)
                self.judge.rule("crashed", name, p.returncode)

    async def start(self, machines=None):
        await self.store.start(self.state_port.values())
        await self.cloud.start(self.cloud_port)
        for link in self.links.values():
            await link.start()
        for hull, zone in self.site["machines"] if machines is None else machines:
            await self.cloud.add(hull, zone, False, 0.0)
        for name in self.names:
            self.spawn(name)
        client = Client()
        for _ in range(100):
            ready = 0
            for name in self.names:
                a = await client.call(self.http[name], "GET", "/ready", timeout=1.0)
                ready += bool(a and a[0] == 200)
            if ready == self.size:
                break
            await asyncio.sleep(0.2)
        else:
            raise RuntimeError("the controllers did not become ready")
        for _ in range(100):
            status = await self.status()
            if status and status.get("leader") and len(status.get("members", [])) == self.size:
                break
            await asyncio.sleep(0.2)
        self.judge.log("ready, leader", self.leader_name(status))

    async def status(self, name=None):
        client = Client()
        a = await client.call(self.http[name or self.names[0]], "GET", "/admin/status", timeout=2.0)
        client.close()
        return a[1] if a else None

    @staticmethod
    def leader_name(status):
        return status and status.get("leader")

    def stop(self):
        for name, p in self.procs.items():
            if p.poll() is None:
                p.send_signal(signal.SIGCONT)
                p.kill()
                p.wait()
        self.record.flush()

    # Users.
    def job(self, jid, shape="array", sheets=4, cores=2.0, crew=None, **more):
        spec = {
            "id": jid, "docket": "sounding-reduce" if shape == "array" else "chart-serve",
            "crew": crew or self.site["teams"][0][0], "shape": shape, "precedence": "normal", "sheets": sheets,
            "cores": cores, "cards": 0.0, "memory_gb": 1.0, "plate": "img-01", "image_gb": 1.0, "hulls": None,
            "berth": None, "same_place": False, "scatter": False, "ebb": False, "reckon_s": 10.0, "fix_s": 0.0,
            "stow_s": 0.0, "due_s": None,
        }
        spec.update(more)
        return spec

    def any_node(self):
        up = [n for n in self.names if self.procs[n].poll() is None]
        return random.choice(up or self.names)

    async def submit(self, spec, node=None, tries=30):
        """Submits as users do, until the job is accepted or refused. Returns the status, or None."""
        jid = spec["id"]
        self.judge.jobs.setdefault(jid, spec)
        client = Client()
        for _ in range(tries):
            n = node or self.any_node()
            a = await client.call(self.http[n], "POST", "/work", spec, 5.0)
            self.judge.log("submit", jid, n, a and (a[0], a[1]))
            if a and a[0] in (200, 201):
                self.judge.accepted.add(jid)
                self.judge.answered(jid, a[1]["standing"], f"submit {n}")
                client.close()
                return a[0]
            if a and a[0] in (400, 422):
                if jid in self.judge.accepted:
                    self.judge.rule("forgotten", jid, "submitted again", a[0], n)
                client.close()
                return a[0]
            client.close()
            await asyncio.sleep(1.0)
        return None

    async def poll(self, jid, node=None):
        client = Client()
        n = node or self.any_node()
        before = jid in self.judge.accepted
        a = await client.call(self.http[n], "GET", f"/work/{jid}", None, 2.0)
        client.close()
        if a and a[0] == 200:
            self.judge.answered(jid, a[1]["standing"], f"poll {n}")
        elif a and a[0] == 404 and before:
            self.judge.rule("forgotten", jid, "404", n)
        return a

    async def withdraw(self, jid, node=None, tries=60):
        self.judge.asked_to_cancel.add(jid)
        client = Client()
        for _ in range(tries):
            n = node or self.any_node()
            a = await client.call(self.http[n], "POST", f"/work/{jid}/withdraw", None, 5.0)
            self.judge.log("withdraw", jid, n, a and (a[0], a[1]))
            if a and a[0] == 200:
                self.judge.answered(jid, a[1]["standing"], f"withdraw {n}")
                client.close()
                return a[1]["standing"]
            client.close()
            await asyncio.sleep(1.0)
        return None
