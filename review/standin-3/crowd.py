"""Waves of large bodies of legal size, whole and at once, beside ordinary callers, and the judgement of the rule Fault."""

import asyncio
import collections
import random
import time

from lab import CannotRun

MAX_BODY_BYTES = 262144
# The rule Fault: on a tenth of the machines in use (two at least) processes end by themselves three times.
MACHINES, TIMES = 2, 3


def padded(body, size):
    """Returns the JSON document with spaces behind it, up to the size."""
    return body + b" " * (size - len(body))


async def ordinary_callers(lab, counts):
    """Submits a small job at one entry after the other, as an ordinary caller does."""
    job = {"spec": "small", "bestEffort": True, "steps": [{"count": 2, "cpu": 1000, "memMb": 64, "estimatedMs": 60}]}
    while True:
        for entry in lab.entries:
            status, _ = await lab.submit(entry, f"{random.getrandbits(64):016x}", job, timeout=2.0)
            counts[status] += 1
            await asyncio.sleep(0.1)


async def withstand(lab, body, bodies, waves, pause_s, runners=6):
    """Sends waves of `bodies` whole bodies to each entry. Returns whether the rule Fault held."""
    assert len(body) <= MAX_BODY_BYTES
    lab.quiet_runs = True
    await lab.start(runners=runners)
    if await lab.replace(lab.config(1)) != 200:
        raise CannotRun("no configuration was acknowledged")
    await lab.wait_until_served()
    counts, starts = collections.Counter(), collections.Counter()
    lab.on_start = lambda runner, run, call: starts.update([run[0].split(".")[0]])
    watching = asyncio.create_task(lab.enforce_memory())
    calling = asyncio.create_task(ordinary_callers(lab, counts))
    await asyncio.sleep(1.0)
    for wave in range(waves):
        before = dict(lab.ends)
        lab.record(f"clients: wave {wave + 1}: {bodies} bodies of {len(body)} bytes to each of {len(lab.entries)} entries")
        keys = [(entry, f"{random.getrandbits(64):016x}") for entry in lab.entries for _ in range(bodies)]
        answers = await asyncio.gather(*(lab.submit(entry, key, body, timeout=6.0) for entry, key in keys))
        for (entry, key), (status, _) in zip(keys, answers):
            lab.record(f"job {key} at {entry}: answered {status}, {starts[key]} starts at runners")
        by_status = collections.Counter(status for status, _ in answers)
        lab.record(f"clients: wave {wave + 1} was answered {dict(by_status)} (None: the connection broke, or no answer in 6 s)")
        ended = [host for host in lab.entries if lab.ends[host] > before.get(host, 0)]
        lab.record(f"platform: in wave {wave + 1} the processes of {len(ended)} entries ended")
        await asyncio.sleep(pause_s)
    watching.cancel()
    calling.cancel()
    lab.record(f"ordinary callers were answered {dict(counts)} (None: no answer within 2 s)")
    lab.record(f"starts at runners, of all jobs: {sum(starts.values())}")
    lab.record(f"ends by machine: {lab.ends}")
    return sum(1 for ends in lab.ends.values() if ends >= TIMES) < MACHINES
