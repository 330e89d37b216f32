"""Case 10: balancers are killed at once while discovery goes down; the list that each is started with says that an upstream drains."""
import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from harness import (TROUBLE, Agent, Balancer, Upstream, World, config, fleet_file, main, request, settings, until)

MEMBERS = ("b1", "b2", "b3")
GRACE = 0.25 + 0.05  # contract.drain_grace_us, and 50 ms on sockets
FLEET = """[lease]
length = "3s"

[list]
stale = "4s"

[recovery]
every = "2s"
wait = "3s"
warm = "60s"
"""


async def play(run):
    world, upstreams, agents, balancers = World(), {}, [], []
    for number in range(4):
        upstream = Upstream(run, f"s-{number}")
        await upstream.start()
        upstreams[upstream.uid] = upstream
        world.set(upstream.uid, upstream.port)
    addresses = {member: f"127.0.0.1:{run.ports.take()}" for member in MEMBERS}
    for index, member in enumerate(MEMBERS):
        agent = Agent(run, member, world)
        await agent.start()
        balancer = Balancer(run, member, config(run, member, agent.address, settings(self_index=index), world.whole()),
                            fleet_file(run, member, addresses, FLEET))
        await balancer.start()
        agents.append(agent)
        balancers.append(balancer)

    async def settled():
        answers = [await each.command("show-fleet") for each in balancers]
        return all("duty list holder b" in answer for answer in answers)

    await until(settled, 20, "the duty is held")
    sent = 0

    async def ask(balancer):
        nonlocal sent
        sent += 1
        status, _ = await request(balancer.config["listen"], "GET", f"/lookup/{sent}",
                                  {"Req-Id": f"r-{sent}", "Req-Deadline-Ms": "1500"}, 2)
        run.record("request", f"r-{sent}", "by", balancer.name, "answered", status)
        return status

    async def ask_for(span):
        until_then = run.now() + span
        while run.now() < until_then:
            for balancer in balancers:
                await ask(balancer)
            await asyncio.sleep(0.03)

    def written(balancer):
        try:
            return os.stat(os.path.join(balancer.folder, "data", "snapshot")).st_mtime_ns
        except FileNotFoundError:
            return 0

    await ask_for(4)
    before = written(balancers[0])
    while written(balancers[0]) == before:
        await asyncio.sleep(0.02)
    world.set_state("s-1", "draining")
    run.record("the list", world.rev, "says that s-1 drains")
    await ask_for(0.9)
    last_told = run.now()
    if any(when > last_told - 0.5 for when, _ in upstreams["s-1"].arrivals):
        run.record("s-1 gets work although all were told: this part is not judged")
    if TROUBLE:
        for agent in agents:
            agent.silent = True
        run.record("discovery is down")
        for balancer in balancers:
            balancer.signal(signal.SIGKILL)
        for balancer in balancers:
            await balancer.wait_end(5)
            balancer.config["known"] = world.whole()  # as each had it last
        await asyncio.sleep(0.5)
        for balancer in balancers:
            await balancer.start()
    restarted_at = run.now()
    await asyncio.sleep(0.2)
    await ask_for(7.5)
    for agent in agents:
        agent.silent = False
    run.record("discovery is back")
    await ask_for(2)
    late = [when for when, _ in upstreams["s-1"].arrivals if when > restarted_at + GRACE]
    run.record("sent", sent, {uid: len(each.arrivals) for uid, each in upstreams.items()})
    if late:
        return [f"s-1 got {len(late)} requests from {late[0] - restarted_at:.2f} to {late[-1] - restarted_at:.2f} s after the start "
                "of balancers whose own configuration says that it drains"]
    return []


if __name__ == "__main__":
    sys.exit(main(__file__, play))
