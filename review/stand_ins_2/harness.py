"""Stand-ins and helpers of the cases 6 to 10: discovery agents, upstreams, programs beside the balancers, clients, and
the processes of the program itself. Python's standard library alone; every address is a loopback address."""
import asyncio
import json
import os
import resource
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
HOST = "127.0.0.1"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case cannot be judged: exit status 2."""


def run_command():
    """The command of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
        for line in deploy:
            if line.startswith("run = "):
                return json.loads(line[len("run = "):].split("   #")[0].strip())
    raise CannotRun("deploy/balancer.toml has no run")


class Ports:
    """Free ports. They are taken for the whole run, so that no outgoing connection gets one: the sockets are bound, never
    listen, and let the servers of this run bind beside them."""

    def __init__(self):
        self.held = {}

    def take(self):
        held = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        held.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        held.bind((HOST, 0))
        self.held[held.getsockname()[1]] = held
        return held.getsockname()[1]

    def release(self, port):
        """A server of this process listens there now."""
        self.held.pop(port).close()


def listening_socket(port):
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.bind((HOST, port))
    listener.listen(256)
    listener.setblocking(False)
    return listener


async def read_message(reader):
    """The start line, the headers by their names in small letters, and the body; None at the end of the stream."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if ":" in line:
            name, value = line.split(":", 1)
            headers[name.strip().lower()] = value.strip()
    body = b""
    if headers.get("content-length"):
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return lines[0], headers, body


def response(status, body=b"", extra=""):
    reason = {200: "OK", 404: "Not Found", 409: "Conflict", 503: "Service Unavailable"}.get(status, "Answer")
    return f"HTTP/1.1 {status} {reason}\r\n{extra}Content-Length: {len(body)}\r\n\r\n".encode() + body


class Run:
    """One run of a case: its folder, its record and all that it has started."""

    def __init__(self, case_file):
        self.folder = os.path.dirname(os.path.abspath(case_file))
        self.record_file = open(os.path.join(self.folder, "record.txt"), "w", encoding="utf-8")
        self.ports = Ports()
        self.temporary = tempfile.mkdtemp(prefix="firtide-review-")
        self.started = time.monotonic()
        self.processes = []
        self.servers = []
        self.record("run with", "its disruption" if TROUBLE else "no disruption (TROUBLE=0)")

    def now(self):
        return time.monotonic() - self.started

    def record(self, *words):
        self.record_file.write(f"{self.now():9.3f} " + " ".join(str(word) for word in words) + "\n")
        self.record_file.flush()

    async def serve(self, port, handler):
        async def guarded(reader, writer):
            try:
                await handler(reader, writer)
            except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
                pass
            finally:
                writer.close()

        self.servers.append(await asyncio.start_server(guarded, sock=listening_socket(port)))
        self.ports.release(port)

    async def cleanup(self):
        for process in self.processes:
            await process.end()
        for server in self.servers:
            server.close()
        shutil.rmtree(self.temporary, ignore_errors=True)


class Balancer:
    """A process of the program, started by the deploy file's command."""

    def __init__(self, run, name, config, fleet=None):
        self.run, self.name, self.config, self.fleet = run, name, config, fleet
        self.process = None
        self.passed_socket = self.shared = None  # the platform's listening socket, and a folder, of two processes
        self.folder = os.path.join(run.temporary, name)
        os.makedirs(self.folder, exist_ok=True)
        self.log_path = os.path.join(self.folder, "log.txt")
        run.processes.append(self)

    async def start(self):
        config_path = os.path.join(self.folder, "config.json")
        with open(config_path, "w", encoding="utf-8") as out:
            json.dump(self.config, out)
        command = run_command()
        if self.fleet:
            fleet_path = os.path.join(self.folder, "fleet.toml")
            with open(fleet_path, "w", encoding="utf-8") as out:
                out.write(self.fleet)
            command += " --fleet " + fleet_path
        temporary = self.shared or os.path.join(self.folder, "tmp")
        if not self.shared:
            shutil.rmtree(temporary, ignore_errors=True)
            os.makedirs(temporary)
        environment = {key: value for key, value in os.environ.items() if not key.startswith("NODE_")}
        environment.update({"NODE_CONFIG": config_path, "TMPDIR": temporary})
        more = {}
        if self.passed_socket:
            environment["NODE_PASSED_SOCKET"] = "5"
            more = {"pass_fds": (5,), "preexec_fn": lambda: os.dup2(self.passed_socket.fileno(), 5)}
        with open(self.log_path, "ab") as log:
            self.process = await asyncio.create_subprocess_exec("/bin/sh", "-c", command, cwd=ROOT, stdin=asyncio.subprocess.DEVNULL,
                                                                stdout=log, stderr=log, env=environment, **more)
        self.run.record(self.name, "started, process", self.process.pid)

    def is_running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        self.run.record(self.name, "gets", signal.Signals(number).name)
        self.process.send_signal(number)

    async def wait_end(self, timeout):
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None

    async def end(self):
        if not self.is_running():
            return
        try:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        except ProcessLookupError:
            pass
        await self.process.wait()

    def log(self):
        with open(self.log_path, encoding="utf-8", errors="replace") as log:
            return log.read()

    async def ready(self):
        status, _ = await request(self.config["listen"], "GET", "/-/ready", {}, 1)
        return status == 200

    async def command(self, line):
        """Sends a line to the operators' address; the answer, empty where there is none."""
        host, port = self.config["mgmt"].rsplit(":", 1)
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(host, int(port)), 1)
        except (OSError, asyncio.TimeoutError):
            return ""
        try:
            writer.write(line.encode() + b"\n")
            return (await asyncio.wait_for(reader.read(), 2)).decode()
        except (OSError, asyncio.TimeoutError):
            return ""
        finally:
            writer.close()


async def request(address, method, path, headers, timeout, body=b""):
    """One request on a connection of its own; its status (0: no answer) and body."""
    host, port = address.rsplit(":", 1)

    async def exchange():
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            head = f"{method} {path} HTTP/1.1\r\nHost: origin.svc\r\n"
            head += "".join(f"{name}: {value}\r\n" for name, value in headers.items())
            if method == "POST":
                head += f"Content-Length: {len(body)}\r\n"
            writer.write((head + "\r\n").encode() + body)
            message = await read_message(reader)
            return (int(message[0].split()[1]), message[2]) if message else (0, b"")
        finally:
            writer.close()

    try:
        return await asyncio.wait_for(exchange(), timeout)
    except (OSError, asyncio.TimeoutError):
        return 0, b""


class World:
    """The upstreams as they are: uid, port, state and start."""

    def __init__(self):
        self.rev = 1
        self.targets = {}
        self.changes = []  # (rev, uid)

    def set(self, uid, port, state="ready", az="a", pod_group=0, boot_ms=0):
        self.rev += 1
        self.targets[uid] = {"uid": uid, "endpoint": f"{HOST}:{port}", "az": az, "pod_group": pod_group,
                             "state": state, "capacity_hint": 1.0, "boot_ms": boot_ms}
        self.changes.append((self.rev, uid))

    def set_state(self, uid, state):
        target = self.targets[uid]
        self.set(uid, target["endpoint"].rsplit(":", 1)[1], state, target["az"], target["pod_group"], target["boot_ms"])

    def whole(self):
        return {"rev": self.rev, "all": True, "targets": [dict(each) for each in self.targets.values() if each["state"] != "gone"]}


class Agent:
    """The discovery agent on a balancer's machine: answers with what it has been sent. Frozen, it is sent nothing more and
    goes on answering with what it has; silent, it answers nothing."""

    def __init__(self, run, name, world):
        self.run, self.name, self.world = run, name, world
        self.port = run.ports.take()
        self.address = f"{HOST}:{self.port}"
        self.frozen = self.silent = False
        self.has_rev = 0
        self.copy = None

    async def start(self):
        self.copy = self.world.whole()
        self.run.record("agent", self.name, "has list", self.current()["rev"])
        await self.run.serve(self.port, self.handle)

    def freeze(self):
        self.copy = self.world.whole()
        self.frozen = True

    def current(self):
        return self.copy if self.frozen else self.world.whole()

    async def handle(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            while self.silent:
                await asyncio.sleep(0.05)
            target = message[0].split()[1]
            query = dict(part.split("=", 1) for part in target.split("?", 1)[1].split("&")) if "?" in target else {}
            answer = self.current()
            if "after" in query:
                until = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
                while self.silent or (self.current()["rev"] <= int(query["after"]) and time.monotonic() < until):
                    await asyncio.sleep(0.01)
                answer = self.current()
                if answer["rev"] == int(query["after"]):
                    answer = {"rev": answer["rev"], "all": False, "targets": []}
            writer.write(response(200, json.dumps(answer).encode(), "Content-Type: application/json\r\n"))
            await writer.drain()


class Upstream:
    """A sound upstream: one request at a time on a connection, each takes `work` seconds."""

    def __init__(self, run, uid, work=0.01, load=None):
        self.run, self.uid, self.work, self.load = run, uid, work, load
        self.port = run.ports.take()
        self.arrivals = []  # (time, id)
        self.probes = 0
        self.held = 0

    async def start(self):
        await self.run.serve(self.port, self.handle)

    def report(self):
        return ",".join(f"{name}={value()}" for name, value in (self.load or {}).items()).encode()

    async def handle(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            line, headers, _ = message
            if " /-/healthy " in line or " /-/load " in line:
                self.probes += 1
                writer.write(response(200, self.report() if " /-/load " in line else b""))
                continue
            if "req-id" not in headers:
                writer.write(response(404))
                continue
            self.arrivals.append((self.run.now(), headers["req-id"]))
            self.run.record("upstream", self.uid, "begins", headers["req-id"])
            self.held += 1
            await asyncio.sleep(self.work)
            self.held -= 1
            writer.write(response(200, f"{headers['req-id']} by {self.uid}\n".encode()))
            await writer.drain()


def settings(**changes):
    """Of a small deployment: two operations, one zone, one connection a request."""
    base = {
        "tier": 0, "balancers": 3, "self_index": 0, "zone": 0, "dcs": ["a"], "registry_mode": "automatic",
        "operations": [
            {"name": "lookup", "repeat": "free", "latency_objective_us": 750000, "client_timeout_us": 2000000},
            {"name": "submit", "repeat": "single_shot", "latency_objective_us": 3000000, "client_timeout_us": 8000000}],
        "policy_limits": {"max_forwards": 6, "cancel": True, "conn_idle_us": 5000000, "connect_timeout_us": 75000},
        "contract": {"drain_grace_us": 250000, "cold_share": 0.16, "cold_us": 13000000, "fall_multiple": 2.5, "fall_us": 1000000},
        "telemetry": {"source": "piggyback", "fields": ["concurrent", "mean_ms", "err_ps"]}}
    base.update(changes)
    return base


def config(run, name, agent_address, settings_of_it, known=None):
    return {"name": name, "listen": f"{HOST}:{run.ports.take()}", "discovery": agent_address, "mgmt": f"{HOST}:{run.ports.take()}",
            "seed": "8c1f30d27a5be96" + str(len(run.processes) % 10), "limits": {"memory_mb": 192, "sockets": 1024},
            "known": known, "settings": settings_of_it}


def fleet_file(run, me, addresses, rest):
    text = f'[fleet]\nname = "edge"\nid = "{me}"\nlisten = "{addresses[me]}"\ndata = "{os.path.join(run.temporary, me, "data")}"\n\n'
    for member, address in addresses.items():
        text += f'[[member]]\nid = "{member}"\naddress = "{address}"\nzone = "a"\nvoter = {"true" if list(addresses).index(member) < 3 else "false"}\n\n'
    return text + rest


async def until(condition, timeout, what):
    """Waits until the condition (a coroutine function) holds; raises CannotRun otherwise."""
    end = time.monotonic() + timeout
    while time.monotonic() < end:
        if await condition():
            return
        await asyncio.sleep(0.1)
    raise CannotRun(f"{what}: not within {timeout} s")


def main(case_file, play):
    """Plays the case: 10 the rule held, 11 it was broken, 2 it could not run (run_case.sh turns that into its own exit status).
    `play` returns what broke the rule, empty if nothing did."""
    # Some hundred stand-ins are one process: as many descriptors as an ordinary user may have.
    _, most = resource.getrlimit(resource.RLIMIT_NOFILE)
    wanted = 4096 if most == resource.RLIM_INFINITY else min(4096, most)
    resource.setrlimit(resource.RLIMIT_NOFILE, (wanted, most))
    run = Run(case_file)

    async def whole():
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        try:
            return await asyncio.wait_for(play(run), 105)
        finally:
            await run.cleanup()

    try:
        breaks = asyncio.run(whole())
    except (Exception, asyncio.CancelledError) as error:  # the case itself failed: it says nothing of the rule
        run.record("could not run:", type(error).__name__, error)
        print("could not run:", type(error).__name__, error)
        return 2
    for each in breaks:
        run.record("BROKEN:", each)
        print("BROKEN:", each)
    if not breaks:
        run.record("the rule held")
        print("the rule held")
    return 11 if breaks else 10
