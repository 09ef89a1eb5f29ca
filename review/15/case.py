"""The first configuration has version 0: it is acknowledged, and then it is nowhere."""

import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "../standin-3"))
from lab import CannotRun, run_case

CONFIG_APPLY_S = 2.0
CONTACT_S = 3.0


async def case(lab, trouble):
    await lab.start(runners=3)
    version = 0 if trouble else 1
    # The programs start within a second; before that a configuration has no answer.
    if await lab.replace(lab.config(version)) != 200:
        raise CannotRun("the configuration was not acknowledged")
    await asyncio.sleep(CONFIG_APPLY_S)
    read, begun = False, time.monotonic()
    while time.monotonic() - begun < 2 * CONTACT_S:
        for address in lab.control_plane():
            status, config = await lab.fetch(address)
            lab.record(f"operator: reads the configuration at {address[0]}: {status}, version {config and config['version']}")
            read = read or (status == 200 and config == lab.config(version))
        await asyncio.sleep(0.5)
    job = {"spec": "small", "bestEffort": True, "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": 60}]}
    status, body = await lab.submit(lab.entries[0], "00000000000000aa", job)
    lab.record(f"client: a job on the route of that configuration gets {status} {body.decode()}")
    return read


run_case(case)
