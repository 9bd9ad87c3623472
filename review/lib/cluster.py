"""Starts controllers of the project as processes, with the command of the deploy file, beside the
stand-ins of the state service, the cloud and the workers. All addresses are loopback addresses."""

import asyncio
import json
import os
import re
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

sys.path.insert(0, os.path.dirname(os.path.abspath(__file__)))

from fleet import Fleet  # noqa: E402
from net import Gate, call  # noqa: E402
from store import Store  # noqa: E402

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
JOBS = "/work"          # the path of the users' interface
LIMIT_S = 110           # for the whole of a case
ZONES = ["brunswick-hall", "savannah-annex"]


def small_params():
    """Settings of the chart deployment, with few machines and its smaller quotas."""
    team = lambda name, cpus, most: {"name": name, "cpus": float(cpus), "cpus_max": float(most),
                                     "gpus": 0.0, "gpus_max": 0.0}
    return {
        "size": 3, "zones": ZONES,
        "teams": [team("soundings", 264, 800), team("tides", 480, 1336),
                  team("notices", 640, 1336), team("print", 536, 1336)],
        "objectives": [
            {"kind": "wait", "class": "chart-serve", "within_s": 1.0, "share": 0.94},
            {"kind": "guarantee", "within_s": 5.0, "share": 0.97}],
        "workers": {"report_s": 4.0, "lease_s": 20.0, "gang_wait_s": 45.0, "gang_peer_s": 8.0,
                    "cancel_s": 40.0},
        "state": {"rps": 200.0, "write_rps": 50.0, "value_kb": 8.0, "txn_ops": 24},
        "cloud": {"rps": 4.0, "list_lag_s": 3.0},
        "quota": {"cpu": 0.2, "ram_mb": 72.0, "sockets": 2500},
        "time_bound_ms": 250.0,
    }


def fleet_params():
    """The same with the times and rates of savannah-bight-charts-fleet."""
    params = small_params()
    params["workers"].update(report_s=5.0, lease_s=26.5, cancel_s=46.5)
    params["state"].update(rps=250.0, write_rps=70.0)
    params["cloud"]["rps"] = 5.0
    params["quota"].update(cpu=0.248, ram_mb=88.0, sockets=3110)
    return params


def free_ports(count):
    sockets = [socket.socket() for _ in range(count)]
    for s in sockets:
        s.bind(("127.0.0.1", 0))
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


def job(number, shape="array", sheets=1, cores=4.0, run_s=20.0, crew="soundings", **more):
    body = {"id": f"job-{number:06d}", "docket": "sounding-reduce" if shape == "array"
            else "chart-serve", "crew": crew, "shape": shape,
            "precedence": "normal" if shape == "array" else "high", "sheets": sheets,
            "cores": cores, "cards": 0.0, "memory_gb": 6.0, "plate": "img-01", "image_gb": 0.2,
            "hulls": None, "berth": None, "same_place": False, "scatter": False, "ebb": False,
            "reckon_s": 0.0 if shape == "daemon" else run_s, "fix_s": 0.0, "stow_s": 0.0,
            "due_s": None}
    body.update(more)
    return body


class CannotRun(Exception):
    """The case could not be set up: exit code 2."""


class Cluster:
    def __init__(self, record, count=3, params=None):
        self.began = time.monotonic()
        self.record = open(record, "w", buffering=1)
        self.store = self.fleet = None
        self.count = count
        self.params = params or small_params()
        self.params["size"] = count
        self.members = [f"mooring-{i}" for i in range(count)]
        ports = free_ports(2 * count)
        self.ports, self.peer_ports = ports[:count], ports[count:]
        self.processes = [None] * count
        self.folder = tempfile.mkdtemp(prefix="review-")
        self.gates = {}                 # (from, to) -> the proxy of that link, if there are any

    def note(self, text):
        self.record.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def start(self, machines):
        self.store = Store(self.params, self.count)
        await self.store.start()
        self.fleet = Fleet(self.params, self.members, self.ports, self.note)
        await self.fleet.start(self.count)
        with open(os.path.join(ROOT, "deploy", "service.toml")) as file:
            self.command = shlex.split(re.search(r'^run = "(.*)"$', file.read(), re.M).group(1))
        if not os.path.exists(os.path.join(ROOT, self.command[0])):
            raise CannotRun("the program is not built")
        for gate in self.gates.values():
            await gate.open()
        for index in range(self.count):
            self.write_settings(index)
            self.spawn(index)
        for n in range(machines):
            await self.fleet.boot(ZONES[n % 2])
        await self.until(self.all_ready, 20, "controllers are not ready")
        await self.until(self.all_usable, 30, "machines are not in use")

    def use_gates(self):
        """Puts a proxy into each link between two controllers; to be called before the start."""
        self.gates = {(a, b): Gate(self.peer_ports[b]) for a in range(self.count)
                      for b in range(self.count) if a != b}

    def refuse_peers(self):
        self.note("connections between controllers are refused")
        for gate in self.gates.values():
            gate.shut()

    async def admit_peers(self):
        self.note("connections between controllers are accepted again")
        for gate in self.gates.values():
            await gate.open()

    def peer_port(self, index, other):
        gate = self.gates.get((index, other))
        return gate.port if gate else self.peer_ports[other]

    def write_settings(self, index):
        others = [{"member": self.members[i], "area": ZONES[i % 2],
                   "addr": f"127.0.0.1:{self.peer_port(index, i)}"}
                  for i in range(self.count) if i != index]
        settings = {"member": self.members[index], "area": ZONES[index % 2],
                    "bind": f"127.0.0.1:{self.ports[index]}",
                    "peer_bind": f"127.0.0.1:{self.peer_ports[index]}", "others": others,
                    "services": {"cloud": f"127.0.0.1:{self.fleet.servers[index].port}",
                                 "state": f"127.0.0.1:{self.store.servers[index].port}"},
                    "params": self.params}
        with open(os.path.join(self.folder, f"{index}.json"), "w") as file:
            json.dump(settings, file)

    def spawn(self, index):
        log = open(os.path.join(self.folder, f"{index}.log"), "ab")
        environment = dict(os.environ, LOG_LEVEL=os.environ.get("LOG_LEVEL", "info"))
        self.processes[index] = subprocess.Popen(
            self.command + [os.path.join(self.folder, f"{index}.json")], cwd=ROOT,
            stdin=subprocess.DEVNULL, stdout=log, stderr=log, env=environment)
        log.close()
        self.note(f"controller {index} started")

    def signal(self, index, which):
        self.note(f"controller {index} gets {signal.Signals(which).name}")
        self.processes[index].send_signal(which)

    def kill(self, index):
        self.signal(index, signal.SIGKILL)
        self.processes[index].wait()

    async def until(self, condition, seconds, problem):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            if await condition():
                return
            await asyncio.sleep(0.1)
        raise CannotRun(problem)

    async def ready(self, index):
        try:
            return (await call(self.ports[index], "GET", "/ready", timeout=1.0))[0] == 200
        except (OSError, asyncio.TimeoutError):
            return False

    async def all_ready(self):
        return all([await self.ready(i) for i in range(self.count)])

    async def status(self, index):
        return (await call(self.ports[index], "GET", "/admin/status", timeout=2.0))[1]

    async def all_usable(self):
        statuses = [await self.status(i) for i in range(self.count)]
        return all(s and s["leader"] and len(s["members"]) == self.count
                   and len(s["blocks"]) == 2 * self.count for s in statuses) and \
            sum(s["held_machines"] for s in statuses) >= len(self.fleet.workers)

    async def submit(self, index, body, run_s=20.0, timeout=5.0):
        """Submits a job at one controller, as a user does who repeats it until it is accepted."""
        self.fleet.jobs[body["id"]] = dict(body, run_s=run_s)
        for _ in range(30):
            try:
                status, answer = await call(self.ports[index], "POST", JOBS, body, timeout)
            except (OSError, asyncio.TimeoutError):
                status, answer = None, None
            if status in (200, 201):
                self.note(f"user submits {body['id']} at {index}: {status} {answer}")
                return
            await asyncio.sleep(1.0)
        raise CannotRun(f"{body['id']} was not accepted")

    async def poll(self, index, job_id, timeout=2.0):
        try:
            return await call(self.ports[index], "GET", f"{JOBS}/{job_id}", timeout=timeout)
        except (OSError, asyncio.TimeoutError):
            return None, None

    def close(self):
        for process in self.processes:
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()
        for gate in self.gates.values():
            gate.shut()
        for part in (self.fleet, self.store):
            if part is not None:
                part.close()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            for index in range(self.count):
                path = os.path.join(self.folder, f"{index}.log")
                if os.path.exists(path):
                    shutil.copy(path, os.path.join(keep, f"{index}.log"))
        shutil.rmtree(self.folder, ignore_errors=True)


def main(record, case, machines=6, params=None, gates=False):
    """Runs a case and writes the file `record`. The case's function returns a list of broken rules. Exit codes: 1
    if a rule was broken, 0 if none was, 2 if the case could not run, for whatever reason."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def run(cluster):
        cluster.note(f"TROUBLE={'1' if trouble else '0'}")
        if gates:
            cluster.use_gates()
        await cluster.start(machines)
        return await case(cluster, trouble)

    async def run_in_time():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for which in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(which, task.cancel)
        cluster = Cluster(record, params=params)
        try:
            broken = await asyncio.wait_for(run(cluster), LIMIT_S)
        except (Exception, asyncio.CancelledError) as problem:
            cluster.note(f"could not run: {type(problem).__name__} {problem}")
            cluster.note(traceback.format_exc())
            return 2
        finally:
            cluster.close()
        for line in broken:
            cluster.note(f"BROKEN {line}")
        cluster.note("rule broken" if broken else "rule held")
        return 1 if broken else 0

    code = asyncio.run(run_in_time())
    print({0: "rule held", 1: "rule broken", 2: "could not run"}[code])
    sys.exit(code)
