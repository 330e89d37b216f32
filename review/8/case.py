"""Case 8: a fleet with [subset] and [probe], whose list of upstreams grows."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "stand_ins_2"))
from harness import (TROUBLE, Agent, Balancer, Upstream, World, config, fleet_file, main, request, settings, until)

FLEET = """[lease]
length = "1500ms"

[list]
stale = "4s"

[probe]
every = "1s"
parts = 4

[subset]
size = 3
"""
AT_FIRST, LATER, STEP, MEMBERS = 3, 397, 80, ("b1", "b2", "b3", "b4", "b5", "b6")


async def play(run):
    world, upstreams = World(), []
    for number in range(AT_FIRST + LATER):
        upstream = Upstream(run, f"s-{number:02d}")
        upstream.load = {"concurrent": lambda upstream=upstream: upstream.held, "load_share": lambda: 0.1}
        await upstream.start()
        upstreams.append(upstream)
    for upstream in upstreams[:AT_FIRST]:
        world.set(upstream.uid, upstream.port)
    addresses = {member: f"127.0.0.1:{run.ports.take()}" for member in MEMBERS}
    balancers = []
    for index, member in enumerate(MEMBERS):
        agent = Agent(run, member, world)
        await agent.start()
        its_settings = settings(balancers=len(MEMBERS), self_index=index, telemetry={"source": "pull", "fields": ["concurrent", "load_share"]})
        its_settings["policy_limits"]["may_probe"] = True
        balancer = Balancer(run, member, config(run, member, agent.address, its_settings, world.whole()),
                            fleet_file(run, member, addresses, FLEET))
        await balancer.start()
        balancers.append(balancer)

    async def settled():
        answers = [await balancer.command("show-fleet") for balancer in balancers]
        return all("duty list holder b" in a and "duty probe.0 holder b" in a and "majority yes" in a for a in answers)

    await until(settled, 20, "the duties are held")
    breaks, sent, served = [], 0, 0
    next_step, end, listed = run.now() + 4, run.now() + 35, AT_FIRST
    while run.now() < end:
        if TROUBLE and listed < len(upstreams) and run.now() >= next_step:
            for upstream in upstreams[listed:listed + STEP]:
                world.set(upstream.uid, upstream.port)
            listed, next_step = listed + STEP, next_step + 1
            run.record("the list grows to", len(world.targets), "upstreams")
        for balancer in balancers:
            if not balancer.is_running():
                continue
            sent += 1
            status, body = await request(balancer.config["listen"], "GET", f"/lookup/{sent}",
                                         {"Req-Id": f"r-{sent}", "Req-Deadline-Ms": "1500"}, 2)
            run.record("request", f"r-{sent}", "by", balancer.name, "answered", status)
            served += status == 200
        await asyncio.sleep(0.05)
    for balancer in balancers:
        if not balancer.is_running():
            breaks.append(f"{balancer.name} ended by itself with status {balancer.process.returncode}")
        tail = balancer.log().strip().split("\n")[-6:]
        run.record(balancer.name, "last lines of its log:", *tail)
    run.record("sent", sent, "served", served, "probes", sum(each.probes for each in upstreams))
    return breaks


if __name__ == "__main__":
    sys.exit(main(__file__, play))
