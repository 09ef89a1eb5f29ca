"""A job is cancelled at another daemon than the one that has it."""

import os
import sys

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(FOLDER), "standin-2"))
from lab import *

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "ordering"
KEY = "5c0e7a21d94b36f8"
# The bounds of the small site: cancel_ms and killGraceMs.
CANCEL_S, KILL_GRACE_S = 3.0, 0.05
# Lets the stand-in runner look at its clock.
TOLERANCE_S = 0.05


async def main(record, trouble):
    deployment = Deployment(record, entries=2)
    runner = None
    try:
        deployment.start_all()
        runner = Runner(deployment, 60, SERVICE)
        await runner.open()
        document = config(7, [route("r-1", HOST, PREFIX, SERVICE, timeout_ms=15000)], [SERVICE])
        if await Operator(deployment).send(document) != 200:
            raise CannotRun("the first configuration was not acknowledged")
        await serve_until_ready(deployment, HOST, PREFIX, (1, 2))

        # Two steps of 4 s, the second after the first, so that one starts long after the cancelling.
        body = job("ms=4000 cpu=1000", estimated_ms=4000)
        body["steps"].append({**body["steps"][0], "dependsOn": [0]})
        post = asyncio.create_task(client_call(deployment, "client", 1, "POST", HOST, PREFIX + KEY, body, deadline_ms=15000))
        while not any(start[0].startswith(KEY) for start in runner.starts):
            if post.done():
                raise CannotRun("the job was not started")
            await asyncio.sleep(0.02)
        await asyncio.sleep(0.3)

        status, _ = await client_call(deployment, "client", 2 if trouble else 1, "DELETE", HOST, PREFIX + KEY)
        acknowledged = time.monotonic()
        if status is None or not (200 <= status < 300 or status == 410):
            raise CannotRun("the cancelling was not acknowledged")
        await post
        await asyncio.sleep(0.5)

        verdict = HOLDS
        for task, attempt, began, _ in runner.starts:
            if task.startswith(KEY) and began > acknowledged + CANCEL_S:
                record.note(f"{task} attempt {attempt} was started {began - acknowledged:.2f} s after the acknowledgement")
                verdict = BROKEN
        for task, attempt, how, _, ended in runner.finished:
            if task.startswith(KEY) and ended > acknowledged + CANCEL_S + KILL_GRACE_S + TOLERANCE_S:
                record.note(f"{task} attempt {attempt} ran until {ended - acknowledged:.2f} s after the acknowledgement ({how})")
                verdict = BROKEN
        return verdict
    finally:
        if runner:
            runner.close()
        deployment.close()


run_case(main, FOLDER)
