"""Case 6: upstreams are replaced while they hold deduplicated requests, in a fleet whose list goes round as deltas."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from harness import (TROUBLE, Agent, Balancer, Upstream, World, config, fleet_file, main, read_message, request, response, settings,
                     until)

MEMBERS = ("b1", "b2", "b3")
PODS, IN_POD, ROUNDS = 3, 2, 6
WORK = 0.8  # seconds of a request
WINDOW = 6.0  # for which the nodes of one pod drop a repeat
FLEET = """[lease]
length = "3s"

[list]
stale = "4s"

[deltas]
history = 1000
repair = "1s"
chunk = "64KB"
"""
OPERATIONS = [{"name": "plan-approve", "repeat": "guarded", "group": "cell", "window_us": int(WINDOW * 1e6),
               "latency_objective_us": 2500000, "client_timeout_us": 4000000}]


class Node(Upstream):
    """Drops what the nodes of its pod have met within the window, and answers it as the first time."""

    def __init__(self, run, uid, pod, met, runs):
        super().__init__(run, uid, WORK)
        self.pod, self.met, self.runs, self.connections, self.ended = pod, met, runs, set(), False

    async def handle(self, reader, writer):
        if self.ended:
            return
        self.connections.add(writer)
        try:
            await self.answer(reader, writer)
        finally:
            self.connections.discard(writer)

    async def answer(self, reader, writer):
        while True:
            message = await read_message(reader)
            if message is None:
                return
            key, now = message[1]["req-id"], self.run.now()
            is_repeat = key in self.met and now - self.met[key] < WINDOW
            self.run.record(self.uid, "of pod", self.pod, "drops the repeat" if is_repeat else "runs", key)
            if not is_repeat:
                self.met[key] = now
                self.runs.setdefault(key, []).append((now, self.uid, self.pod))
                self.held += 1
                await asyncio.sleep(self.work)
                self.held -= 1
            if not self.ended:
                writer.write(response(200, key.encode()))
                await writer.drain()

    def end(self):
        """Its process ends: its connections are reset, and new ones."""
        self.ended = True
        for writer in list(self.connections):
            writer.transport.abort()


async def play(run):
    world, nodes, runs, met = World(), [], {}, [{} for _ in range(PODS)]

    async def add(pod):
        node = Node(run, f"s-{len(nodes)}", pod, met[pod], runs)
        await node.start()
        nodes.append(node)
        world.set(node.uid, node.port, pod_group=pod)
        return node

    for number in range(PODS * IN_POD):
        await add(number % PODS)
    addresses = {member: f"127.0.0.1:{run.ports.take()}" for member in MEMBERS}
    balancers = []
    for index, member in enumerate(MEMBERS):
        agent = Agent(run, member, world)
        await agent.start()
        its_settings = settings(self_index=index, operations=OPERATIONS)
        balancer = Balancer(run, member, config(run, member, agent.address, its_settings, world.whole()),
                            fleet_file(run, member, addresses, FLEET))
        await balancer.start()
        balancers.append(balancer)

    async def settled():
        answers = [await each.command("show-fleet") for each in balancers]
        return all("duty list holder b" in answer and "behind no" in answer for answer in answers)

    await until(settled, 20, "the duty is held")
    sent, asked = 0, []

    async def ask(balancer):
        nonlocal sent
        sent += 1
        key = f"p-{sent}"
        status, _ = await request(balancer.config["listen"], "POST", "/plan-approve/x",
                                  {"Req-Id": key, "Req-Deadline-Ms": "4000"}, 6, b"plan")
        run.record("request", key, "by", balancer.name, "answered", status)

    def ask_all(times):
        for _ in range(times):
            asked.extend(asyncio.create_task(ask(balancer)) for balancer in balancers)

    await asyncio.sleep(2)
    for number in range(ROUNDS):
        ask_all(4)
        await asyncio.sleep(0.25)
        # One that holds work, of each pod in turn.
        pod = number % PODS
        holding = [node for node in nodes if node.pod == pod and node.held and not node.ended]
        if TROUBLE and holding:
            leaving = holding[0]
            await add(pod)
            world.set_state(leaving.uid, "gone")
            run.record("the list", world.rev, "replaces", leaving.uid, "of pod", pod, "which holds", leaving.held)
            await asyncio.sleep(0.3)
            leaving.end()
            run.record(leaving.uid, "ends")
        await asyncio.sleep(4)
    await asyncio.wait(asked, timeout=10)
    run.record("sent", sent, "run", len(runs))
    breaks = []
    for key, all_runs in runs.items():
        if len(all_runs) > 1:
            breaks.append(f"{key} has run {len(all_runs)} times: " +
                          ", ".join(f"at {when:.3f} s by {uid} of pod {pod}" for when, uid, pod in all_runs))
    return breaks


if __name__ == "__main__":
    sys.exit(main(__file__, play))
