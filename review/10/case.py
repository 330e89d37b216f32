"""Case 10: a new version starts under load, and a bad client sends the ids of requests that are open at the old process."""
import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from harness import (HOST, TROUBLE, Agent, Balancer, Upstream, World, config, listening_socket, main, read_message, request, settings,
                     until)

CLIENTS = 5
WORK = 1.5  # seconds of a request
OPERATIONS = [{"name": "submit-pick", "repeat": "single_shot", "latency_objective_us": 3000000, "client_timeout_us": 3000000}]


class Client:
    """A usual client, with one connection that it keeps."""

    def __init__(self, run, name, address):
        self.run, self.name, self.address = run, name, address

    async def connect(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port))

    async def ask(self, key):
        body = b"pick"
        self.writer.write(f"POST /submit-pick/x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: {key}\r\nReq-Deadline-Ms: 3000\r\n"
                          f"Content-Length: {len(body)}\r\n\r\n".encode() + body)
        self.run.record(self.name, "sends", key)
        message = await asyncio.wait_for(read_message(self.reader), 6)
        self.run.record(self.name, "is answered for", key, message[0] if message else "by the end of its connection")


async def play(run):
    world, upstreams = World(), []
    for number in range(3):
        upstream = Upstream(run, f"s-{number}", WORK)
        await upstream.start()
        upstreams.append(upstream)
        world.set(upstream.uid, upstream.port)
    agent = Agent(run, "n1", world)
    await agent.start()
    its_settings = settings(balancers=1, operations=OPERATIONS)
    # The platform's socket, which every process inherits; and a folder that both have.
    first = config(run, "n1", agent.address, its_settings, world.whole())
    platform_socket = listening_socket(int(first["listen"].rsplit(":", 1)[1]))
    shared = os.path.join(run.temporary, "shared")
    os.makedirs(shared)
    old = Balancer(run, "old", first)
    old.passed_socket, old.shared = platform_socket, shared
    await old.start()

    async def says_yes(balancer):
        return (await balancer.command("ready")).startswith("SUCCESS")

    await until(lambda: says_yes(old), 20, "the old process says yes")
    clients = [Client(run, f"client {number}", first["listen"]) for number in range(CLIENTS)]
    for client in clients:
        await client.connect()
    await asyncio.gather(*(client.ask(f"first-{number}") for number, client in enumerate(clients)))
    new = Balancer(run, "new", dict(first, mgmt=f"{HOST}:{run.ports.take()}", seed="1c1f30d27a5be964"))
    new.passed_socket, new.shared = platform_socket, shared
    if TROUBLE:
        await new.start()
        await until(lambda: says_yes(new), 6, "the new process says yes")
    asked = [asyncio.create_task(client.ask(f"pick-{number}")) for number, client in enumerate(clients)]
    await asyncio.sleep(0.2)
    if TROUBLE:
        old.signal(signal.SIGTERM)
    await asyncio.sleep(0.3)
    for number in range(CLIENTS):
        key = f"pick-{number}"
        answer = asyncio.create_task(request(first["listen"], "POST", "/submit-pick/x", {"Req-Id": key, "Req-Deadline-Ms": "3000"}, 6, b"pick"))
        run.record("a bad client sends", key, "too")
        asked.append(answer)
        answer.add_done_callback(lambda done, key=key: run.record("the bad client is answered for", key, done.result()[0]))
    await asyncio.wait(asked, timeout=10)
    if TROUBLE:
        run.record("the old process has ended with", await old.wait_end(5))
    begun = {}
    for upstream in upstreams:
        for when, key in upstream.arrivals:
            begun.setdefault(key, []).append((when, upstream.uid))
    return [f"{key}, which must never run twice, has run {len(times)} times: " + ", ".join(f"at {when:.3f} s by {uid}" for when, uid in times)
            for key, times in begun.items() if len(times) > 1]


if __name__ == "__main__":
    sys.exit(main(__file__, play))
