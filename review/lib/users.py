"""The load balancer and polling users, as the page PROTOCOL describes them ("Users -> controller
nodes")."""

import asyncio
import random
import time
from collections import deque

from net import Connection, call

JOBS = "/work"          # the path of the users' interface


class Balancer:
    """Works on connections: each new one goes to the healthy controller with the fewest. Controllers
    are probed once a second."""

    def __init__(self, cluster):
        self.cluster = cluster
        count = cluster.count
        self.healthy = [True] * count
        self.unhealthy_since = [None] * count
        self.pause = [3.0] * count
        self.skip_until = [0.0] * count
        self.failed = [0] * count
        self.open = [set() for _ in range(count)]
        self.asking = [0] * count       # polls without an answer yet
        self.tasks = [asyncio.create_task(self.probe(i)) for i in range(count)]

    async def probe(self, index):
        last, wins = deque(maxlen=6), 0
        while True:
            began = time.monotonic()
            try:
                status, _ = await call(self.cluster.ports[index], "GET", "/ready", timeout=1.0)
            except (OSError, asyncio.TimeoutError):
                status = None
            good = status == 200
            last.append(good)
            wins = wins + 1 if good else 0
            if self.healthy[index]:
                if list(last)[-2:] == [False, False] or list(last).count(False) >= 3:
                    self.healthy[index] = False
                    self.unhealthy_since[index] = time.monotonic()
                    self.cluster.note(f"balancer: controller {index} unhealthy")
            else:
                since = time.monotonic() - self.unhealthy_since[index]
                if since > 5.0:
                    for connection in list(self.open[index]):
                        connection.close()
                    self.open[index].clear()
                if wins >= 2 and since > self.pause[index]:
                    self.healthy[index] = True
                    self.pause[index] = min(60.0, 2 * self.pause[index])
                    last.clear()
                    self.cluster.note(f"balancer: controller {index} healthy")
            await asyncio.sleep(max(0.0, began + 1.0 - time.monotonic()))

    async def connect(self):
        """Returns (controller, connection), or None."""
        tried = []
        for _ in range(3):
            now = time.monotonic()
            choice = [i for i in range(self.cluster.count) if i not in tried
                      and self.healthy[i] and self.skip_until[i] <= now]
            if not choice:
                return None
            index = min(choice, key=lambda i: (len(self.open[i]), random.random()))
            connection = Connection(self.cluster.ports[index])
            try:
                connection.reader, connection.writer = await asyncio.wait_for(
                    asyncio.open_connection("127.0.0.1", self.cluster.ports[index],
                                            limit=1 << 20), 0.5)
            except (OSError, asyncio.TimeoutError):
                tried.append(index)
                self.failed[index] += 1
                if self.failed[index] >= 3:
                    self.skip_until[index] = now + 3.0
                    self.failed[index] = 0
                continue
            self.failed[index] = 0
            self.open[index].add(connection)
            return index, connection
        return None

    def close(self):
        for task in self.tasks:
            task.cancel()


class User:
    """Asks about one job id again and again, on one connection as long as it lasts. `seen` is called
    with (controller, job id, status, answer) for each answer."""

    def __init__(self, balancer, job_id, every, seen):
        self.balancer, self.job_id, self.every, self.seen = balancer, job_id, every, seen
        self.task = asyncio.create_task(self.run())

    async def run(self):
        await asyncio.sleep(random.uniform(0, self.every))
        index = connection = None
        while True:
            began = time.monotonic()
            if connection is None or connection.writer is None:
                if connection is not None:
                    self.balancer.open[index].discard(connection)
                found = await self.balancer.connect()
                connection = None
                if found is not None:
                    index, connection = found
            if connection is not None:
                asked = index
                self.balancer.asking[asked] += 1
                try:
                    status, answer = await connection.call("GET", f"{JOBS}/{self.job_id}",
                                                           timeout=2.0)
                    self.seen(index, self.job_id, status, answer)
                except (OSError, asyncio.TimeoutError):
                    self.balancer.open[index].discard(connection)
                    connection = None
                finally:
                    self.balancer.asking[asked] -= 1
            pause = self.every * random.uniform(0.8, 1.2)
            await asyncio.sleep(max(0.02, began + pause - time.monotonic()))
