"""A poll whose comparison in the state service is answered late, and a cancellation that is confirmed meanwhile."""
import asyncio
import json
import os

from runner import TROUBLE, main
from cluster import SAVANNAH, Cluster

DELAY_S = 0.3  # "occasionally a few hundred" ms
ROUNDS = 3


async def one_round(c, number):
    """A user polls through one controller and withdraws through another. Both are waited for."""
    asked, other = c.names[number % 3], c.names[(number + 1) % 3]
    jid = f"job-{412 + number:06d}"
    if await c.submit(c.job(jid, shape="daemon", sheets=1), node=other) != 201:
        raise RuntimeError("the job was not accepted")
    for _ in range(40):
        a = await c.poll(jid, asked)
        if a and a[0] == 200 and a[1]["standing"] == "running":
            break
        await asyncio.sleep(0.5)
    else:
        raise RuntimeError("the job did not run")
    compared = asyncio.Event()
    plain = c.store.handle

    async def handle(port, method, target, body):
        answer = await plain(port, method, target, body)
        is_comparison = target == "/txn" and not json.loads(body).get("then") and jid.encode() in body
        if port == c.state_port[asked] and is_comparison and not compared.is_set():
            c.judge.log("state service: comparison of", asked, body.decode(), "gives", answer)
            compared.set()
            if TROUBLE:
                await asyncio.sleep(DELAY_S)
                c.judge.log("state service: that answer is sent", DELAY_S, "s late")
        return answer

    c.store.handle = handle

    async def withdraw():
        await compared.wait()
        return await c.withdraw(jid, other)

    withdrawn = asyncio.ensure_future(withdraw())
    a = await c.poll(jid, asked)
    c.judge.log("poll", jid, asked, a and (a[0], a[1]))
    if await withdrawn != "withdrawn":
        raise RuntimeError("the cancellation was not confirmed")
    c.store.handle = plain
    # Later polls are right again.
    for node in c.names:
        a = await c.poll(jid, node)
        c.judge.log("poll", jid, node, a and (a[0], a[1]))


async def scenario(c):
    await c.start()
    for number in range(ROUNDS):
        await one_round(c, number)


here = os.path.dirname(os.path.abspath(__file__))
main(lambda: Cluster(SAVANNAH, os.path.join(here, "record.txt")), scenario)
