"""A small deployment on loopback: the programs of the deploy file, and stand-ins for runners, clients and the operator.

Only the standard library is used. Each process listens on a loopback address of its own; all files are in a temporary folder,
which is removed at the end. Only processes that this module started are signalled, by their ids.
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
SERVICE = "press"
PORTS = {"callers": 18161, "readiness": 18167, "operators": 18166, "first": 17720, "runner": 18080}


class CannotRun(Exception):
    """The case could not run, which says nothing about the rule."""


# ---------------------------------------------------------------- settings

def lookup(fields, path):
    value = fields
    for part in path.split("."):
        if isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        elif isinstance(value, dict):
            value = value.get(part)
        else:
            return None
    return value


def as_text(value):
    if value is None:
        return ""
    if isinstance(value, bool):
        return "true" if value else "false"
    if isinstance(value, list):
        return ",".join(as_text(entry) for entry in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return str(value)


def render(template, fields):
    """Fills in a template in the way of the platform, as far as the templates of this project need it."""

    def section(match):
        entries = lookup(fields, match.group(1)) or []
        parts = []
        for index, entry in enumerate(entries):
            text = match.group(2).replace("{{.}}", as_text(entry))
            parts.append(text.replace("{{,}}", "," if index + 1 < len(entries) else ""))
        return "".join(parts)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", lambda match: as_text(lookup(fields, match.group(1))), text)


# ---------------------------------------------------------------- HTTP

async def read_head(reader):
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", ""):
        body = b""
        while True:
            size = int((await reader.readline()).split(b";")[0], 16)
            chunk = await reader.readexactly(size + 2)
            if size == 0:
                return body
            body += chunk[:-2]
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def request(address, method, path, body=b"", headers=None, timeout=5.0):
    """Sends one request on a connection of its own. Returns the status, the headers and the body."""

    async def exchange():
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {path} HTTP/1.1", f"content-length: {len(body)}", "connection: close"]
            given = {"host": f"{address[0]}:{address[1]}", "content-type": "application/json", **(headers or {})}
            lines += [f"{name}: {value}" for name, value in given.items()]
            writer.write("\r\n".join(lines).encode() + b"\r\n\r\n" + body)
            await writer.drain()
            start, answered = await read_head(reader)
            return int(start.split()[1]), answered, await read_message_body(reader, answered)
        finally:
            writer.close()

    return await asyncio.wait_for(exchange(), timeout)


async def serve_http(host, port, handle):
    """Serves HTTP/1.1. `handle` gets the method, the path, the headers and the body, and returns a status and a JSON value."""

    async def connection(reader, writer):
        try:
            while True:
                start, headers = await read_head(reader)
                body = await read_message_body(reader, headers)
                method, path, _ = start.split(" ", 2)
                status, value = await handle(method, path, headers, body)
                answer = json.dumps(value).encode()
                head = f"HTTP/1.1 {status} x\r\ncontent-type: application/json\r\ncontent-length: {len(answer)}\r\n\r\n"
                writer.write(head.encode() + answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    return await asyncio.start_server(connection, host, port, limit=1 << 22)


# ---------------------------------------------------------------- runners

class Runner:
    """A runner that follows PROTOCOL.md. Its tasks take `run_ms` and end `done`."""

    def __init__(self, lab, name, host, zone, labels=("a", "r1"), run_ms=60, cpu=16000, service=SERVICE,
                 behind_proxy=False):
        self.lab, self.name, self.host, self.zone = lab, name, host, zone
        self.labels, self.run_ms, self.cpu, self.service = list(labels), run_ms, cpu, service
        self.born = int(time.time() * 1000)
        self.origin = time.monotonic()
        self.seq, self.token, self.lease_until, self.ends = 0, 0, 0.0, 0
        self.running, self.closed, self.finished = {}, {}, []
        self.heartbeat_to = None
        self.state = "ready"
        self.changed = asyncio.Event()
        self.starts = 0
        self.all_ends = []
        self.is_cut_off = False
        # Behind a proxy of the case, the address that the runner names is that of the proxy.
        self.port = PORTS["runner"] + 1 if behind_proxy else PORTS["runner"]

    async def start(self):
        self.server = await serve_http(self.host, self.port, self.handle)
        self.tasks = [asyncio.create_task(self.beat()), asyncio.create_task(self.advance())]

    def clock(self):
        return int((time.monotonic() - self.origin) * 1000)

    async def beat(self):
        while True:
            if self.is_cut_off:
                await asyncio.sleep(0.05)
                continue
            self.seq += 1
            body = {"service": self.service, "addr": f"{self.host}:{PORTS['runner']}", "zone": self.zone, "version": "v1",
                    "slots": 8, "state": self.state, "coldRemainingMs": 0, "labels": self.labels, "seq": self.seq,
                    "capacity": {"cpu": self.cpu, "memMb": 65536, "gpu": 0}, "clockMs": self.clock(), "born": self.born}
            addresses = [self.heartbeat_to] if self.heartbeat_to else []
            for address in addresses + random.sample(self.lab.control_plane(), len(self.lab.control_plane())):
                try:
                    path = f"/kumquatroad/instances/{self.name}/heartbeat"
                    status, _, answer = await request(address, "POST", path, json.dumps(body).encode(), timeout=1.0)
                    if status == 200:
                        given = json.loads(answer or b"{}").get("heartbeatAddr")
                        if given:
                            host, port = given.rsplit(":", 1)
                            self.heartbeat_to = (host, int(port))
                        break
                except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError, IndexError):
                    pass
                self.heartbeat_to = None
            await asyncio.sleep(0.5)

    async def advance(self):
        while True:
            self.step()
            await asyncio.sleep(0.01)

    def step(self):
        now = time.monotonic()
        for run, (_, end, _, _) in list(self.running.items()):
            if end <= now and end <= self.lease_until:
                self.end(run, "done")
            elif self.lease_until <= now:
                self.end(run, "lapsed")

    def end(self, run, how):
        del self.running[run]
        self.ends += 1
        self.finished.append([self.ends, run[0], run[1], how, ""])
        self.all_ends.append((run[0], run[1], how))
        self.closed[run[0]] = max(run[1], self.closed.get(run[0], 0))
        self.lab.record(f"{self.name} end {run[0]} {run[1]} {how}", quiet=self.lab.quiet_runs)
        self.changed.set()

    def extend(self, deadline_ms):
        until = min(self.origin + deadline_ms / 1000, time.monotonic() + 1.0)
        self.lease_until = max(self.lease_until, until)

    async def handle(self, method, path, headers, body):
        if headers.get("kumquatroad-expected-instance", self.name) != self.name:
            return 421, {"clockMs": self.clock()}
        call = json.loads(body or b"{}")
        token = call.get("fencingToken", 0)
        if token < self.token:
            return 409, {"clockMs": self.clock(), "reason": "fence"}
        self.token = token
        self.step()
        if path == "/kumquatroad/run-start":
            return self.start_run(call)
        if path == "/kumquatroad/run-stop":
            run = (call["task"], call["attempt"])
            if run in self.running:
                self.end(run, "stopped")
            self.closed[run[0]] = max(run[1], self.closed.get(run[0], 0))
            return 200, {"clockMs": self.clock()}
        if path == "/kumquatroad/hold":
            return await self.hold(call)
        return 404, {}

    def start_run(self, call):
        run, now = (call["task"], call["attempt"]), time.monotonic()
        if run in self.running:
            return 200, {"clockMs": self.clock()}
        if self.closed.get(run[0], 0) >= run[1] or any(other[0] == run[0] for other in self.running):
            self.extend(call["deadlineMs"])
            return 409, {"clockMs": self.clock(), "reason": "old"}
        if call["deadlineMs"] <= self.clock():
            return 409, {"clockMs": self.clock(), "reason": "late"}
        cpu, run_ms = self.lab.needs_of(call["spec"], self)
        if sum(active[2] for active in self.running.values()) + cpu > self.cpu:
            self.extend(call["deadlineMs"])
            return 409, {"clockMs": self.clock(), "reason": "room"}
        self.extend(call["deadlineMs"])
        self.starts += 1
        self.running[run] = (now, now + run_ms / 1000, cpu, call["spec"])
        self.lab.record(f"{self.name} start {run[0]} {run[1]} service {self.service}", quiet=self.lab.quiet_runs)
        self.lab.on_start(self, run, call)
        return 200, {"clockMs": self.clock()}

    async def hold(self, call):
        if call.get("deadlineMs") is not None:
            self.extend(call["deadlineMs"])
        self.finished = [end for end in self.finished if end[0] > call.get("ackCursor", 0)]
        until = time.monotonic() + min(call.get("waitMs", 0), 2000) / 1000
        while not self.finished and time.monotonic() < until:
            self.changed.clear()
            try:
                await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
            except asyncio.TimeoutError:
                break
        now = time.monotonic()
        running = []
        for (task, attempt), (begin, end, cpu, _) in self.running.items():
            percent = min(99, int(100 * (now - begin) / max(end - begin, 0.001)))
            running.append([task, attempt, "", percent, cpu])
        return 200, {"clockMs": self.clock(), "born": self.born, "running": running, "finished": self.finished[:500]}


# ---------------------------------------------------------------- the deployment

class Ended:
    """Stands for a process that has ended and was not restarted yet."""

    pid = 0
    returncode = 0

    def poll(self):
        return self.returncode

    def wait(self):
        return self.returncode


ENDED = Ended()


class Lab:
    """The processes of one small deployment."""

    def __init__(self, record_path, entries=3, controls=3, memory_mb=260):
        self.folder = tempfile.mkdtemp(prefix="kqr-review-")
        self.record_file = open(record_path, "w", encoding="utf-8")
        self.begun = time.monotonic()
        self.memory_mb = memory_mb
        self.net = self.free_net(entries + controls)
        self.deploy = tomllib.load(open(os.path.join(ROOT, "deploy/system.toml"), "rb"))
        self.controls = [f"{self.net}.{1 + index}" for index in range(controls)]
        self.entries = [f"{self.net}.{11 + index}" for index in range(entries)]
        self.processes, self.runners, self.logs = {}, [], []
        self.quiet_runs = False
        self.on_start = lambda runner, run, call: None
        self.needs_of = lambda spec, runner: (1000, runner.run_ms)
        self.seeds = [f"{host}:{PORTS['operators']}" for host in (self.controls + self.entries)[:3]]

    @staticmethod
    def free_net(count):
        for _ in range(50):
            net = f"127.{random.randint(100, 250)}.{random.randint(1, 250)}"
            try:
                for host in [1, 2, 3, 11, 12, 13, 101]:
                    for port in [*PORTS.values(), PORTS["first"] + 1, PORTS["first"] + 2, PORTS["first"] + 3]:
                        with socket.socket() as probe:
                            probe.bind((f"{net}.{host}", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free ports on loopback")

    def record(self, text, quiet=False):
        line = f"{time.monotonic() - self.begun:9.3f}  {text}"
        if not quiet:
            print(line, file=self.record_file, flush=True)

    def control_plane(self):
        return [(host, PORTS["operators"]) for host in self.controls + self.entries]

    def fields(self, host, is_control, bootstrap):
        zone = "zone-" + "abc"[(int(host.rsplit(".", 1)[1]) - 1) % 3 if is_control else (int(host.rsplit(".", 1)[1]) - 11) % 3]
        kind = "core" if is_control else "front"
        return {
            "nodeName": f"{kind}-{host.rsplit('.', 1)[1]}", "zone": zone, "ip": host, "seeds": self.seeds, "bootstrap": bootstrap,
            "listenAddrs": {"frontendAddr": f"{host}:{PORTS['callers']}", "readinessAddr": f"{host}:{PORTS['readiness']}",
                            "control": f"{host}:{PORTS['operators']}"},
            "internalPortRange": [PORTS["first"], PORTS["first"] + 15],
            "dataDir": os.path.join(self.folder, f"data-{host}"),
            "limits": {"cpuShare": 0.25, "cores": 1, "memoryMb": self.memory_mb, "maxFds": 4100, "linkMbps": 1000.0, "diskMb": 128},
            "bounds": {"holdMaxMs": 1000, "graceS": 6, "remoteSlowdown": 1.5},
            "faultTolerance": {"machines": 1, "zones": 1, "regions": 0},
        }

    def launch(self, host, bootstrap=False):
        is_control = host in self.controls
        role = self.deploy["roles"]["control" if is_control else "entry"]
        fields = self.fields(host, is_control, bootstrap)
        settings = os.path.join(self.folder, f"{host}.conf")
        with open(os.path.join(ROOT, role["template"]), encoding="utf-8") as template, open(settings, "w", encoding="utf-8") as out:
            out.write(render(template.read(), fields))
        command = render(role["run"], fields).split(" ")
        log = open(os.path.join(self.folder, f"{host}.log"), "ab")
        environment = {"PATH": os.environ.get("PATH", ""), "HOME": self.folder, "LANG": "C", "KUMQUATROAD_CONFIG": settings}
        command[0] = os.path.join(ROOT, command[0])
        if not os.path.exists(command[0]):
            raise CannotRun("the programs of the deploy file are not built")
        self.processes[host] = subprocess.Popen(command, cwd=ROOT, env=environment, stdout=log, stderr=log)
        self.logs.append(log)

    async def start(self, runners=6, **runner_options):
        for host in self.controls + self.entries:
            self.launch(host, bootstrap=True)
        for index in range(runners):
            name, host = f"i-{index:04x}", f"{self.net}.{101 + index}"
            runner = Runner(self, name, host, "zone-" + "abc"[index % 3], **runner_options)
            await runner.start()
            self.runners.append(runner)

    def config(self, version, routes=None, services=(SERVICE,), **changes):
        routes = routes or [{"name": "r-one", "host": "press.example", "pathPrefix": "/p/"}]
        full = []
        for route in routes:
            full.append({"kind": "non_idempotent", "timeoutMs": 1500, "targetLatencyMs": 60, "priority": 0, "service": SERVICE,
                         "maxAttempts": 2, "slackFactor": 1.6, **route})
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
        names = [{"name": name, "healthPath": "/healthz", "maxConns": 64, "protocol": "h1", "tls": False,
                  "enforceCapacity": True, "standby": False} for name in services]
        return {"version": version, "routes": full, "services": names, "limits": limits, **changes}

    async def replace(self, config, seconds=30.0, at=None):
        """Sends a configuration until it is answered clearly. Returns the status."""
        deadline, body = time.monotonic() + seconds, json.dumps(config).encode()
        while time.monotonic() < deadline:
            address = at or random.choice(self.control_plane())
            try:
                status, _, _ = await request(address, "POST", "/kumquatroad/config/replace", body, timeout=2.0)
                self.record(f"operator: replace version {config['version']} at {address[0]}: {status}")
                if status in (200, 400, 409, 412, 413, 422):
                    return status
            except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
                pass
            await asyncio.sleep(0.2)
        return None

    async def fetch(self, address):
        """Reads the configuration at one daemon, and follows two redirects. Returns the status and the value."""
        path = "/kumquatroad/config/fetch"
        try:
            for _ in range(3):
                status, headers, body = await request(address, "GET", path, timeout=2.0)
                if status != 307:
                    value = json.loads(body) if status == 200 else None
                    return status, value
                host, port = re.match(r"http://([\d.]+):(\d+)/", headers["location"]).groups()
                address = (host, int(port))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, ValueError):
            pass
        return None, None

    async def submit(self, entry, key, job, host="press.example", prefix="/p/", deadline_ms=1500, timeout=5.0):
        """Submits a job. Returns the status and the body; the status is None without an answer."""
        body = job if isinstance(job, bytes) else json.dumps(job).encode()
        headers = {"host": host, "kumquatroad-deadline-ms": str(deadline_ms)}
        try:
            status, _, answer = await request((entry, PORTS["callers"]), "POST", prefix + key, body, headers, timeout)
            return status, answer
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None, b""

    async def wait_until_served(self, seconds=30.0, **options):
        """Waits until each entry answers a small job with success."""
        deadline = time.monotonic() + seconds
        waiting = list(self.entries)
        while waiting:
            if time.monotonic() > deadline:
                raise CannotRun(f"{waiting} did not serve a job before the trial")
            job = {"spec": "small", "bestEffort": True, "steps": [{"count": 1, "cpu": 1000, "memMb": 64, "estimatedMs": 60}]}
            status, _ = await self.submit(waiting[0], f"{random.getrandbits(64):016x}", job, **options)
            if status == 200:
                waiting.pop(0)
            else:
                await asyncio.sleep(0.2)

    def memory_mb_of(self, host, field="VmRSS"):
        """Returns the memory of a process in MB, or None if it has ended."""
        if self.processes[host] is ENDED:
            return None
        try:
            with open(f"/proc/{self.processes[host].pid}/status", encoding="utf-8") as status:
                for line in status:
                    if line.startswith(field + ":"):
                        return int(line.split()[1]) * 1024 / 1e6
        except OSError:
            pass
        return None

    async def enforce_memory(self):
        """Does what DEPLOY.md says of memory: a process that uses more than `memoryMb` is killed, and restarts after a short
        delay. A megabyte counts as 1,048,576 bytes, in favour of the process."""
        self.ends = {host: 0 for host in self.processes}
        while True:
            for host in self.controls + self.entries:
                if self.processes[host] is ENDED:
                    continue
                peak = self.memory_mb_of(host, "VmHWM")
                if peak is not None and peak * 1e6 > self.memory_mb * 1048576:
                    self.processes[host].kill()
                    cause = f"used {peak:.0f} MB of {self.memory_mb}, and was killed"
                elif self.has_ended(host):
                    cause = f"ended by itself with {self.processes[host].returncode}"
                else:
                    continue
                self.processes[host].wait()
                self.ends[host] += 1
                self.record(f"platform: the process of {host} {cause}")
                asyncio.get_running_loop().call_later(1.0, self.launch, host)
                self.processes[host] = ENDED
            await asyncio.sleep(0.01)

    def has_ended(self, host):
        return self.processes[host].poll() is not None

    def close(self):
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait()
        for log in self.logs:
            log.close()
        self.record_file.close()
        if os.environ.get("KEEP"):
            print("kept", self.folder, file=sys.stderr)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)


def run_case(case, limit_s=110, **options):
    """Runs `case(lab, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2."""
    folder = os.path.dirname(os.path.abspath(sys.argv[0]))
    trouble = os.environ.get("TROUBLE", "1") != "0"
    lab = Lab(os.path.join(folder, "record.txt"), **options)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    code = 2

    async def play():
        # Connections that are still open at the end are no errors of the case.
        asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return await asyncio.wait_for(case(lab, trouble), limit_s)

    try:
        held = asyncio.run(play())
        code = 0 if held else 1
        verdict = "held" if held else "BROKEN"
    except CannotRun as error:
        verdict = f"the case could not run: {error}"
    except asyncio.TimeoutError:
        verdict = "the case could not run: it took too long"
    except Exception as error:  # an error of the case itself
        verdict = f"the case could not run: {type(error).__name__}: {error}"
    finally:
        try:
            lab.record(verdict)
        finally:
            lab.close()
    print(verdict, flush=True)
    os._exit(code)
