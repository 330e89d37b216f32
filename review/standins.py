"""Stand-ins for the review's cases: clients, upstreams, discovery, programs beside a balancer.

They follow the operators' pages and use the standard library alone. All addresses are loopback addresses.
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
import traceback

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


def now():
    return time.monotonic()


def free_ports(count):
    """Ports that are free now, from below those that the system gives to outgoing connections."""
    ports = []
    for port in random.sample(range(20000, 32000), 12000):
        with socket.socket() as s:
            s.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            try:
                s.bind(("127.0.0.1", port))
            except OSError:
                continue
        ports.append(port)
        if len(ports) == count:
            return ports
    raise CannotRun("no free ports")


class Record:
    """record.txt: what was sent, answered and run, with seconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.start = now()

    def __call__(self, text):
        self.file.write(f"{now() - self.start:9.4f} {text}\n")

    def verdict(self, text):
        self(text)
        print(text)

    def close(self):
        self.file.close()


class Balancers:
    """Processes of the project's program, started by the `run` line of the deploy file."""

    def __init__(self, record):
        self.record = record
        self.folder = tempfile.mkdtemp(prefix="firtide-review-")
        self.processes = []
        if not os.access(os.path.join(ROOT, "build", "firtide"), os.X_OK):
            raise CannotRun("build/firtide is not there: run the build of the deploy file first")
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as deploy:
            self.run = re.search(r'^run = "(.*?)"', deploy.read(), re.M).group(1)

    def path(self, name):
        return os.path.join(self.folder, name)

    def write(self, name, text):
        # By a rename: never into a file that a process may be reading.
        with open(self.path(name) + ".new", "w", encoding="utf-8") as file:
            file.write(text)
        os.rename(self.path(name) + ".new", self.path(name))
        return self.path(name)

    def start(self, config, arguments=""):
        name = config["name"]
        path = self.write(name + ".json", json.dumps(config))
        scratch = self.path("tmp-" + name)
        os.makedirs(scratch, exist_ok=True)
        log = open(self.path(name + ".log"), "a", encoding="utf-8")
        environment = {k: v for k, v in os.environ.items() if not k.startswith(("NODE_", "FIRTIDE_"))}
        environment.update(NODE_CONFIG=path, TMPDIR=scratch)
        process = subprocess.Popen(["/bin/sh", "-c", (self.run + " " + arguments).strip()], cwd=ROOT, stdin=subprocess.DEVNULL,
                                   stdout=log, stderr=log, env=environment, start_new_session=True)
        log.close()
        self.processes.append(process)
        self.record(f"start balancer {name}, pid {process.pid}")
        return process

    def log_of(self, name):
        with open(self.path(name + ".log"), encoding="utf-8", errors="replace") as file:
            return file.read()

    def close(self):
        for process in self.processes:
            if process.poll() is None:
                try:
                    os.kill(process.pid, signal.SIGCONT)
                except ProcessLookupError:
                    pass
                process.kill()
            process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)


async def read_head(reader):
    """A message's first line and headers (lower-case names); None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        if name:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    head = await read_head(reader)
    if head is None:
        return None
    try:
        body = await reader.readexactly(int(head[1].get("content-length", 0)))
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    return head[0], head[1], body


def response(status, body=b"", headers=()):
    reason = {200: "OK", 409: "Conflict", 503: "Service Unavailable"}.get(status, "Answer")
    lines = [f"HTTP/1.1 {status} {reason}"] + [f"{n}: {v}" for n, v in headers]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def quiet_close(writer):
    try:
        writer.close()
    except (ConnectionError, OSError, RuntimeError):
        pass


class Discovery:
    """The agent of discovery. While `silent`, it takes calls and never answers them, also not at its return:
    a watch that has fallen silent is broken and has to be opened anew."""

    def __init__(self, record, targets):
        self.record = record
        self.rev = 41
        self.targets = {t["uid"]: (self.rev, t) for t in targets}
        self.changed = asyncio.Condition()
        self.silent = False
        self.outages = 0

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    def whole(self):
        # What a whole list does not name is gone.
        return {"rev": self.rev, "all": True, "targets": [t for _, t in self.targets.values() if t["state"] != "gone"]}

    async def change(self, uid, state):
        self.rev += 1
        self.targets[uid] = (self.rev, dict(self.targets[uid][1], state=state))
        self.record(f"discovery: version {self.rev}: {uid} {state}")
        async with self.changed:
            self.changed.notify_all()

    def set_silent(self, on):
        self.silent = on
        self.outages += on
        self.record("discovery: silent" if on else "discovery: answers again")

    async def serve(self, reader, writer):
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    return
                target = message[0].split(" ")[1]
                self.record(f"discovery: asked {target} by {writer.get_extra_info('peername')[1]}")
                outages = self.outages
                query = dict(p.split("=") for p in target.partition("?")[2].split("&") if p)
                answer = self.whole()
                if "after" in query and not self.silent:
                    after = int(query["after"])
                    async with self.changed:
                        try:
                            await asyncio.wait_for(self.changed.wait_for(lambda: self.rev > after),
                                                   int(query.get("wait_ms", 0)) / 1000)
                        except asyncio.TimeoutError:
                            pass
                    answer = {"rev": self.rev, "all": False, "targets": [t for rev, t in self.targets.values() if rev > after]}
                if self.silent or self.outages != outages:
                    await reader.read()  # never answered; ends when the caller gives up
                    return
                writer.write(response(200, json.dumps(answer).encode(), [("Content-Type", "application/json")]))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            quiet_close(writer)


class Client:
    """One connection, one request at a time. A resting connection that the balancer ends is opened anew."""

    def __init__(self, port):
        self.port = port
        self.reader = self.writer = None

    async def ask(self, method, path, request_id, deadline_ms, body=b"", headers=()):
        """Returns (status, body), or (None, why) if no whole answer comes in the time and half a second more."""
        lines = [f"{method} {path} HTTP/1.1", "Host: origin.svc", f"Req-Id: {request_id}", f"Req-Deadline-Ms: {deadline_ms}"]
        lines += [f"{n}: {v}" for n, v in headers]
        if method != "GET" or body:
            lines.append(f"Content-Length: {len(body)}")
        data = ("\r\n".join(lines) + "\r\n\r\n").encode() + body
        give_up = now() + deadline_ms / 1000 + 0.55
        for attempt in range(2):
            fresh = self.writer is None
            try:
                if fresh:
                    self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
                self.writer.write(data)
                message = await asyncio.wait_for(read_message(self.reader), max(0.01, give_up - now()))
            except asyncio.TimeoutError:
                self.close()
                return None, "no answer"
            except (ConnectionError, OSError) as error:
                message, reason = None, str(error)
            else:
                reason = "closed"
            if message is None:
                self.close()
                if fresh or attempt == 1:
                    return None, reason
                continue
            if message[1].get("connection", "").lower() == "close":
                self.close()
            return int(message[0].split(" ")[1]), message[2]
        return None, "closed"

    def close(self):
        if self.writer:
            quiet_close(self.writer)
        self.reader = self.writer = None


async def wait_ready(port, seconds=20):
    end = now() + seconds
    while now() < end:
        client = Client(port)
        status, _ = await client.ask("GET", "/-/ready", "ready", 400)
        client.close()
        if status == 200:
            return
        await asyncio.sleep(0.05)
    raise CannotRun(f"the balancer at port {port} does not become ready")


def main(folder, case, limit_s=110):
    """Runs `case(record, balancers)`, which returns whether the rule held, and exits as the review asks."""
    folder = os.path.abspath(folder)
    record = Record(folder)
    balancers = None

    def stopped(number, _):
        raise CannotRun(f"it was told to stop by signal {number}")

    for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
        signal.signal(number, stopped)
    code = NOT_RUN
    try:
        balancers = Balancers(record)
        loop = asyncio.new_event_loop()  # never closed: the process ends with _exit
        held = loop.run_until_complete(asyncio.wait_for(case(record, balancers), limit_s))
        code = HELD if held else BROKEN
    except CannotRun as reason:
        record.verdict(f"the case could not run: {reason}")
    except Exception:
        # Whatever went wrong here says nothing about the rule.
        record.verdict("the case could not run:\n" + traceback.format_exc())
    finally:
        if balancers:
            balancers.close()
        record(f"exit {code}, TROUBLE={'1' if TROUBLE else '0'}")
        record.close()
    sys.stdout.flush()
    os._exit(code)
