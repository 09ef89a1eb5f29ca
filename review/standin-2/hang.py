"""Whether entries go on answering after a client that the system does not control has sent one job.

The job is sent to one entry, and again to the other after no response. The platform probes the readiness of both, and an
ordinary client submits a job to each, once a second.
"""

from lab import *

HOST, PREFIX, SERVICE = "nony24.example", "/lohu930/", "ordering"
ENTRIES = (1, 2)
# A daemon leaves the rotation after two misses, 2 s. Five times that counts as a hang.
HANG_S = 10.0
WATCHED_S = 40.0


class Watch:
    """The platform's readiness probes and an ordinary client at one entry, each once a second."""

    def __init__(self, deployment, entry):
        self.deployment, self.entry, self.answered, self.longest, self.jobs = deployment, entry, time.monotonic(), 0.0, []

    def heard(self):
        now = time.monotonic()
        self.longest, self.answered = max(self.longest, now - self.answered), now

    async def probe(self):
        ip, port = self.deployment.ip(20 + self.entry), self.deployment.base + 12
        while True:
            status, _ = await call((ip, port), "GET", "/kumquatroad/readyz", limit=1.0)
            if status is None:
                self.deployment.record.note(f"platform: entry-{self.entry} misses a readiness probe")
            else:
                self.heard()
            await asyncio.sleep(1.0)

    async def submit(self):
        while True:
            key = f"{random.getrandbits(64):016x}"
            status, _ = await client_call(self.deployment, "ordinary client", self.entry, "POST", HOST, PREFIX + key,
                                          job("ms=20 cpu=1000"), limit=1.5)
            self.jobs.append(status)
            if status is not None:
                self.heard()
            await asyncio.sleep(1.0)


async def uncontrolled_client(deployment, body):
    """Sends the job, and again at another daemon 1,300 ms after no response."""
    for entry in ENTRIES:
        status, _ = await client_call(deployment, "uncontrolled client", entry, "POST", HOST, PREFIX + "5c0e7a21d94b36f8", body, limit=1.5)
        if status is not None:
            return
        await asyncio.sleep(1.3)


async def play(record, steps):
    deployment = Deployment(record, entries=len(ENTRIES))
    runners, tasks = [], []
    try:
        deployment.start_all()
        for host in range(60, 63):
            runners.append(Runner(deployment, host, SERVICE))
            await runners[-1].open()
        document = config(7, [route("r-1", HOST, PREFIX, SERVICE)], [SERVICE])
        if await Operator(deployment).send(document) != 200:
            raise CannotRun("the first configuration was not acknowledged")
        await serve_until_ready(deployment, HOST, PREFIX, ENTRIES)

        watches = [Watch(deployment, entry) for entry in ENTRIES]
        for watch in watches:
            tasks += [asyncio.create_task(watch.probe()), asyncio.create_task(watch.submit())]
        await asyncio.sleep(3.0)
        body = {"spec": "ms=20 cpu=0", "bestEffort": True, "steps": steps}
        record.note(f"uncontrolled client: sends {json.dumps(body)}")
        await uncontrolled_client(deployment, body)
        await asyncio.sleep(WATCHED_S)

        verdict = HOLDS
        for watch in watches:
            watch.longest = max(watch.longest, time.monotonic() - watch.answered)
            record.note(f"entry-{watch.entry}: longest time without any answer {watch.longest:.1f} s, "
                        f"{watch.jobs.count(None)} of {len(watch.jobs)} ordinary jobs without an answer, "
                        f"process {'runs' if deployment.is_running(f'entry-{watch.entry}') else 'has ended'}")
            if watch.longest > HANG_S or not deployment.is_running(f"entry-{watch.entry}"):
                verdict = BROKEN
        return verdict
    finally:
        for task in tasks:
            task.cancel()
        for runner in runners:
            runner.close()
        deployment.close()

def run_hang_case(folder, steps_with_trouble, steps_without):
    """Plays the case in `folder` with a job of the given steps."""
    run_case(lambda record, trouble: play(record, steps_with_trouble if trouble else steps_without), folder)
