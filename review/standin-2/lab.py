"""Stand-ins for the platform of a small deployment, on loopback addresses and the real clock.

Starts the programs of the deploy file as processes, with the settings that its templates give, and plays the
platform's part around them: runners, clients and the operator. Needs Python 3.11 and nothing else.
"""

import asyncio
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOLDS, BROKEN, NOT_RUN = 0, 1, 2
HOLD_MAX_MS = 1000
KILL_GRACE_MS = 20
HEARTBEAT_MS = 1500


class CannotRun(Exception):
    """The case could not be played."""


class Record:
    """What was sent, answered and run, with seconds since the start of the case."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.start = time.monotonic()

    def note(self, text):
        line = f"{time.monotonic() - self.start:9.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()
        print(line, flush=True)


# --- settings -------------------------------------------------------------------------------------------------

def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict) and part in value:
            value = value[part]
        else:
            return None
    return value


def text_of(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(text_of(item) for item in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)


def fill_in(template, fields):
    """Fills in the part of the template language that the deploy file of this project uses."""

    def section(match):
        items = lookup(fields, match[1]) or []
        parts = []
        for number, item in enumerate(items):
            comma = "," if number + 1 < len(items) else ""
            parts.append(match[2].replace("{{.}}", text_of(item)).replace("{{,}}", comma))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: text_of(lookup(fields, match[1])), text)


class Deployment:
    """Processes of the deploy file, each with a loopback address of its own."""

    def __init__(self, record, entries=2, controls=3, zones=("zone-a",)):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="kqr-review-")
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            self.roles = tomllib.load(file)["roles"]
        self.net, self.base = self.free_net(entries + controls)
        self.machines = {}
        self.processes = {}
        seeds = [f"{self.ip(number)}:{self.base + 10}" for number in range(1, controls + 1)][:3]
        for number in range(1, controls + 1):
            self.add(f"control-{number}", "core", number, zones[(number - 1) % len(zones)], zones, seeds)
        for number in range(1, entries + 1):
            zone = zones[(number - 1) % len(zones)]
            self.add(f"entry-{number}", "frontend", 20 + number, zone, zones, seeds)

    def free_net(self, machines):
        for _ in range(200):
            net, base = (random.randint(16, 250), random.randint(1, 250)), random.randint(11000, 29000)
            try:
                for host in [*range(1, 10), *range(21, 21 + machines)]:
                    for port in range(base, base + 15):
                        with socket.socket() as probe:
                            probe.bind((f"127.{net[0]}.{net[1]}.{host}", port))
                return net, base
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self, host):
        return f"127.{self.net[0]}.{self.net[1]}.{host}"

    def add(self, name, machine_class, host, zone, zones, seeds):
        ip, base = self.ip(host), self.base
        role = next(role for role in self.roles.values() if role["on"] == machine_class)
        is_core = machine_class == "core"
        listen = {"control": f"{ip}:{base + 10}"}
        if not is_core:
            listen["frontendAddr"] = f"{ip}:{base + 11}"
            listen["readinessAddr"] = f"{ip}:{base + 12}"
        fields = {
            "nodeName": name, "machineClass": machine_class, "serves": role["serves"], "ip": ip, "zone": zone,
            "region": "region-1", "zones": {zone: "region-1" for zone in zones}, "listenAddrs": listen,
            "internalPortRange": [base, base + 9], "seeds": seeds, "bootstrap": True, "faultCounted": is_core,
            "limits": {"cpuShare": 0.5 if is_core else 0.25, "cores": 1, "memoryMb": 256 if is_core else 260,
                       "maxFds": 4096 if is_core else 4100, "linkMbps": 1000.0, "diskMb": 128 if is_core else 0},
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
            "bounds": {"contactMs": 3000, "drainMs": 2000, "graceS": 6, "holdMaxMs": HOLD_MAX_MS,
                       "killGraceMs": 50, "cancel_ms": 3000, "remoteSlowdown": 1.5, "retransmitMs": 1300},
            "heartbeatMs": HEARTBEAT_MS,
        }
        if is_core:
            fields["dataDir"] = os.path.join(self.folder, f"data-{name}")
            os.makedirs(fields["dataDir"])
        self.machines[name] = (role, fields)

    def start(self, name):
        role, fields = self.machines[name]
        settings = os.path.join(self.folder, f"{name}.conf")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as file:
            template = file.read()
        with open(settings, "w", encoding="utf-8") as file:
            file.write(fill_in(template, fields))
        command = [fill_in(word, fields) for word in role["run"].split(" ")]
        program = os.path.join(ROOT, command[0])
        if not os.path.exists(program):
            raise CannotRun(f"{command[0]} is not built")
        log = open(os.path.join(self.folder, f"{name}.log"), "ab")
        environment = {key: os.environ[key] for key in ("PATH", "HOME", "LANG") if key in os.environ}
        environment["KUMQUATROAD_CONFIG"] = settings
        self.processes[name] = subprocess.Popen([program, *command[1:]], cwd=ROOT, env=environment, stdin=subprocess.DEVNULL,
                                                stdout=log, stderr=log)
        self.record.note(f"platform: started {name}")

    def start_all(self):
        for name in self.machines:
            self.start(name)
        for _, fields in self.machines.values():
            fields["bootstrap"] = False

    def signal(self, name, number):
        self.record.note(f"platform: {signal.Signals(number).name} to {name}")
        self.processes[name].send_signal(number)

    def is_running(self, name):
        return self.processes[name].poll() is None

    def log_of(self, name):
        with open(os.path.join(self.folder, f"{name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def frontend(self, number):
        return self.ip(20 + number), self.base + 11

    def operator_addresses(self):
        names = [name for name in self.machines]
        return [(self.machines[name][1]["ip"], self.base + 10) for name in names]

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)


# --- HTTP -----------------------------------------------------------------------------------------------------

async def read_message(reader):
    """Reads a request or a response with a Content-Length, and returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", "0")))
    return lines[0], headers, body


async def call(address, method, path, body=None, headers=None, limit=5.0):
    """Makes a call on a connection of its own. Returns status and body, or (None, cause) without a complete answer."""
    writer = None
    try:
        async with asyncio.timeout(limit):
            reader, writer = await asyncio.open_connection(*address)
            data = b"" if body is None else (body if isinstance(body, bytes) else json.dumps(body).encode())
            all_headers = {"Host": f"{address[0]}:{address[1]}", "Content-Type": "application/json",
                           "Content-Length": str(len(data)), "Connection": "close", **(headers or {})}
            head = f"{method} {path} HTTP/1.1\r\n" + "".join(f"{name}: {value}\r\n" for name, value in all_headers.items())
            writer.write(head.encode() + b"\r\n" + data)
            await writer.drain()
            first, answer_headers, answer = await read_message(reader)
            status = int(first.split(" ")[1])
            if status == 307 and "location" in answer_headers:
                return 307, answer_headers["location"].encode()
            return status, answer
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError) as error:
        return None, type(error).__name__.encode()
    finally:
        if writer is not None:
            writer.close()


# --- operator -------------------------------------------------------------------------------------------------

def route(name, host, prefix, service, timeout_ms=1500, priority=0, attempts=2):
    return {"name": name, "host": host, "pathPrefix": prefix, "kind": "non_idempotent", "timeoutMs": timeout_ms,
            "targetLatencyMs": 60, "priority": priority, "service": service, "maxAttempts": attempts, "slackFactor": 1.6}


def config(version, routes, services):
    services = [{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                 "enforceCapacity": True, "standby": False} for name in services]
    limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
    return {"version": version, "routes": routes, "services": services, "limits": limits}


class Operator:
    def __init__(self, deployment):
        self.deployment, self.record = deployment, deployment.record

    async def send(self, document, limit=30.0):
        """Sends a configuration to one daemon after the other until an answer ends the call. Returns its status."""
        until, delay, turn = time.monotonic() + limit, 0.1, 0
        addresses = self.deployment.operator_addresses()
        while time.monotonic() < until:
            address = addresses[turn % len(addresses)]
            turn += 1
            status, answer = await call(address, "POST", "/kumquatroad/config/replace", document, limit=1.0)
            self.record.note(f"operator: replace version {document['version']} at {address[0]}: {status} {answer[:120]!r}")
            if status is not None and status < 500 and status not in (408, 429):
                return status
            await asyncio.sleep(delay)
            delay = min(delay * 1.5, 0.5)
        return None

    async def fetch(self, address):
        for _ in range(3):
            status, answer = await call(address, "GET", "/kumquatroad/config/fetch", limit=1.0)
            if status != 307:
                return status, answer
            host, port = re.match(r"http://([\d.]+):(\d+)/", answer.decode()).groups()
            address = (host, int(port))
        return None, b"too many redirects"


# --- runner ---------------------------------------------------------------------------------------------------

class Runner:
    """A runner. The text `ms=N` in the spec of a task is its run time."""

    def __init__(self, deployment, host, service, zone="zone-a", cpu=16000):
        self.deployment, self.record, self.service, self.zone = deployment, deployment.record, service, zone
        self.address = (deployment.ip(host), deployment.base + 13)
        self.id, self.cpu = f"i-{host:08x}", cpu
        self.started, self.born = time.monotonic(), int(time.time() * 1000)
        self.token, self.seq, self.state, self.report_to = 0, 0, "ready", None
        self.running, self.ends, self.end_number, self.lease_end = {}, [], 0, 0
        self.highest, self.starts, self.finished = {}, [], []
        self.changed = asyncio.Event()
        self.tasks = set()

    def clock(self):
        return int((time.monotonic() - self.started) * 1000) + 1000

    async def open(self):
        self.server = await asyncio.start_server(self.serve, *self.address)
        for work in (self.heartbeats(), self.advance()):
            self.tasks.add(asyncio.create_task(work))

    def close(self):
        self.server.close()
        for task in self.tasks:
            task.cancel()

    async def heartbeats(self):
        turn = 0
        while True:
            self.seq += 1
            body = {"service": self.service, "addr": f"{self.address[0]}:{self.address[1]}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": self.state, "coldRemainingMs": 0, "labels": ["a", "r1-1"],
                    "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "clockMs": self.clock(),
                    "seq": self.seq, "born": self.born}
            addresses = self.deployment.operator_addresses()
            for _ in range(len(addresses) + 1):
                address = self.report_to or addresses[turn % len(addresses)]
                status, answer = await call(address, "POST", f"/kumquatroad/instances/{self.id}/heartbeat", body, limit=1.0)
                if status is not None and 200 <= status < 300:
                    named = json.loads(answer or b"{}").get("heartbeatAddr")
                    if named:
                        host, port = named.rsplit(":", 1)
                        self.report_to = (host, int(port))
                    break
                self.report_to = None
                turn += 1
            await asyncio.sleep(HEARTBEAT_MS / 1000)

    async def advance(self):
        while True:
            await asyncio.sleep(0.005)
            now = self.clock()
            if self.running and now >= self.lease_end:
                for run in list(self.running):
                    self.end(run, "lapsed")
            for run, state in list(self.running.items()):
                if state["stop_at"] is not None and now >= state["stop_at"]:
                    self.end(run, "stopped")
                elif now >= state["until"]:
                    self.end(run, "done")

    def end(self, run, how):
        state = self.running.pop(run)
        self.end_number += 1
        self.ends.append([self.end_number, run[0], run[1], how, ""])
        self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
        self.finished.append((run[0], run[1], how, state["began"], time.monotonic()))
        self.record.note(f"runner {self.id} ({self.service}): {run[0]} attempt {run[1]} ended {how}")
        self.changed.set()
        self.changed = asyncio.Event()

    def hold_until(self, deadline):
        if deadline is not None:
            self.lease_end = max(self.lease_end, min(deadline, self.clock() + HOLD_MAX_MS))

    def used(self):
        return sum(state["cpu"] for state in self.running.values())

    async def serve(self, reader, writer):
        try:
            while True:
                first, headers, body = await read_message(reader)
                method, path, _ = first.split(" ")
                status, answer = await self.handle(method, path, headers, body)
                answer = {"clockMs": self.clock(), "born": self.born, **answer}
                data = json.dumps(answer).encode()
                head = f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n"
                writer.write(head.encode() + data)
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError, ValueError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def handle(self, method, path, headers, body):
        if method == "GET":
            return 200, {}
        if headers.get("kumquatroad-expected-instance", self.id) != self.id:
            return 421, {}
        order = json.loads(body)
        if order.get("fencingToken", 0) < self.token:
            return 409, {"reason": "fence"}
        self.token = order.get("fencingToken", 0)
        operation = path.rsplit("/", 1)[-1]
        if operation == "run-start":
            return self.start_run(order)
        if operation == "run-stop":
            run = (order["task"], order["attempt"])
            if run in self.running and self.running[run]["stop_at"] is None:
                self.running[run]["stop_at"] = self.clock() + KILL_GRACE_MS
            self.highest[run[0]] = max(self.highest.get(run[0], 0), run[1])
            self.record.note(f"runner {self.id} ({self.service}): told to stop {run[0]} attempt {run[1]}")
            return 200, {}
        if operation == "hold":
            self.hold_until(order.get("deadlineMs"))
            self.ends = [end for end in self.ends if end[0] > order.get("ackCursor", 0)]
            if not self.ends and order.get("waitMs", 0) > 0:
                try:
                    await asyncio.wait_for(self.changed.wait(), order["waitMs"] / 1000)
                except asyncio.TimeoutError:
                    pass
            now = self.clock()
            running = []
            for (task, attempt), state in self.running.items():
                percent = min(99, (now - state["at"]) * 100 // max(1, state["until"] - state["at"]))
                running.append([task, attempt, "", percent, state["cpu"]])
            return 200, {"running": running, "finished": self.ends[:500]}
        return 400, {}

    def start_run(self, order):
        run, now = (order["task"], order["attempt"]), self.clock()
        if run in self.running:
            self.hold_until(order["deadlineMs"])
            return 200, {}
        if run[1] <= self.highest.get(run[0], 0):
            self.hold_until(order["deadlineMs"])
            return 409, {"reason": "old"}
        if order["deadlineMs"] <= now:
            return 409, {"reason": "late"}
        found = re.search(r"ms=(\d+)", order["spec"])
        cpu = int((re.search(r"cpu=(\d+)", order["spec"]) or [0, "1000"])[1])
        self.hold_until(order["deadlineMs"])
        if self.used() + cpu > self.cpu:
            return 409, {"reason": "room"}
        duration = int(found[1]) if found else 100
        self.running[run] = {"at": now, "until": now + duration, "stop_at": None, "cpu": cpu, "began": time.monotonic()}
        self.starts.append((run[0], run[1], time.monotonic(), order["spec"]))
        self.record.note(f"runner {self.id} ({self.service}): began {run[0]} attempt {run[1]}, {duration} ms, spec {order['spec']!r}")
        return 200, {}


# --- client ---------------------------------------------------------------------------------------------------

def job(spec, tasks=1, cpu=1000, estimated_ms=100):
    return {"spec": spec, "bestEffort": True, "steps": [{"count": tasks, "cpu": cpu, "memMb": 64, "estimatedMs": estimated_ms}]}


async def client_call(deployment, who, entry, method, host, path, body=None, deadline_ms=1500, limit=None):
    record = deployment.record
    record.note(f"{who}: {method} {host}{path} to entry-{entry}")
    headers = {"Host": host, "Kumquatroad-Deadline-Ms": str(deadline_ms)}
    status, answer = await call(deployment.frontend(entry), method, path, body, headers, limit or deadline_ms / 1000 + 1)
    record.note(f"{who}: {method} {host}{path} answered {status} {answer[:120]!r}")
    return status, answer


async def serve_until_ready(deployment, host, prefix, entries, spec="ms=20 cpu=1000", limit=30.0):
    """Submits short jobs to each of the entries until it has completed one."""
    until = time.monotonic() + limit
    for entry in entries:
        while True:
            key = f"{random.getrandbits(64):016x}"
            status, answer = await client_call(deployment, "client (warm-up)", entry, "POST", host, prefix + key, job(spec))
            if status == 200 and b"completed" in answer:
                break
            if time.monotonic() > until:
                raise CannotRun(f"entry-{entry} serves nothing")
            await asyncio.sleep(0.3)


def run_case(main, folder):
    """Runs `main(record, trouble)` and exits with its verdict."""
    record = Record(os.path.join(folder, "record.txt"))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    # Ends the processes that the case has started also if it is ended itself.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    record.note(f"case {os.path.basename(folder)}, {'with' if trouble else 'without'} the disruption")
    try:
        verdict = asyncio.run(asyncio.wait_for(main(record, trouble), 110))
    except Exception as error:  # whatever fails in the case itself says nothing about the rule
        record.note(f"could not run: {type(error).__name__} {error}")
        verdict = NOT_RUN
    record.note(["the rule held", "THE RULE WAS BROKEN", "the case could not run"][verdict])
    sys.exit(verdict)
