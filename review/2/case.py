"""Connections between controllers are refused. Users cancel jobs right after these were accepted, and ask at
the other controllers before and after they are told that the job is cancelled."""

import asyncio
import itertools
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))

from cluster import JOBS, CannotRun, call, job, main, small_params  # noqa: E402
from net import Connection  # noqa: E402

FOR_S = 26.0            # of at most 30 s for which connections are refused
AT = 0                  # where users submit and cancel
OTHERS = (1, 2)         # where they ask


def params():
    settings = small_params()
    # A team like those of the permit deployment: 16 CPUs guaranteed, 48 at most.
    settings["teams"][3].update(cpus=16.0, cpus_max=48.0)
    return settings


async def one_round(cluster, number, pause, broken):
    """Submits a job that has to wait for its team's limit, cancels it `pause` seconds later, and asks about
    it every few milliseconds meanwhile and for 60 ms after the user was told."""
    body = job(number, "array", 1, 4.0, crew="print")
    cluster.fleet.jobs[body["id"]] = dict(body, run_s=20.0)
    here = Connection(cluster.ports[AT])
    answers, told = [], {"at": None}

    async def ask(index):
        asked = time.monotonic()
        connection = Connection(cluster.ports[index])
        try:
            status, answer = await connection.call("GET", f"{JOBS}/{body['id']}", timeout=2.0)
        except (OSError, asyncio.TimeoutError):
            return
        finally:
            connection.close()
        answers.append((asked, time.monotonic(), index, status, answer))

    status, _ = await here.call("POST", JOBS, body, timeout=5.0)
    if status not in (200, 201):
        return False
    accepted = time.monotonic()
    polls = []

    async def look():
        while told["at"] is None or time.monotonic() - told["at"] < 0.06:
            polls.extend(asyncio.create_task(ask(index)) for index in OTHERS)
            await asyncio.sleep(0.006)
            if time.monotonic() - accepted > 3.0:
                return

    looking = asyncio.create_task(look())
    await asyncio.sleep(pause)
    status, answer = await here.call("POST", f"{JOBS}/{body['id']}/withdraw", timeout=5.0)
    if status == 200 and answer["standing"] == "withdrawn":
        told["at"] = time.monotonic()
    await looking
    await asyncio.gather(*polls)
    here.close()
    if told["at"] is None:
        return False
    cluster.note(f"{body['id']}: accepted; told withdrawn after "
                 f"{1000 * (told['at'] - accepted):.0f} ms; {len(answers)} polls")
    # Only polls that were sent after the user was told.
    for asked, answered, index, status, answer in sorted(answers, key=lambda a: a[0]):
        if asked <= told["at"]:
            continue
        if status == 200 and answer["standing"] != "withdrawn":
            broken.append(f"went_back: {answer} from controller {index} to a poll that was sent "
                          f"{1000 * (asked - told['at']):.0f} ms after its user was told withdrawn")
            cluster.note(broken[-1])
    return True


async def others_submit(cluster, numbers):
    """Other users submit some twenty-five one-task jobs a second, which have to wait as well."""
    async def one(index, body):
        try:
            await call(cluster.ports[index], "POST", JOBS, body, timeout=5.0)
        except (OSError, asyncio.TimeoutError):
            pass

    while True:
        body = job(next(numbers), "array", 1, 4.0, crew="print")
        cluster.fleet.jobs[body["id"]] = dict(body, run_s=20.0)
        asyncio.create_task(one(random.randrange(cluster.count), body))
        await asyncio.sleep(random.uniform(0.02, 0.06))


async def case(cluster, trouble):
    # The team is at its limit: twelve tasks of four CPUs that run for minutes.
    await cluster.submit(AT, job(1, "array", 12, 4.0, 300.0, crew="print"), run_s=300.0)
    await asyncio.sleep(3.0)
    if trouble:
        cluster.refuse_peers()
    began = time.monotonic()
    broken, played = [], 0
    background = asyncio.create_task(others_submit(cluster, itertools.count(100_000)))

    async def stream(numbers):
        nonlocal played
        for number in numbers:
            if time.monotonic() - began > FOR_S:
                return
            played += await one_round(cluster, number, random.uniform(0.005, 0.08), broken)

    await asyncio.gather(*[stream(itertools.count(1000 * n)) for n in (1, 2, 3)])
    background.cancel()
    cluster.note(f"{played} jobs were cancelled in {time.monotonic() - began:.1f} s")
    if trouble:
        await cluster.admit_peers()
        await asyncio.sleep(2.0)
    if played < 10:
        raise CannotRun("too few jobs were cancelled")
    return broken


if __name__ == "__main__":
    main(os.path.join(HERE, "record.txt"), case, params=params(), gates=True)
