"""Some answers of upstreams are followed by a second copy some milliseconds later, when nothing else waits on the
connection. Does a client get an answer that was made for another client's request?"""
import asyncio
import os
import random
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s

SITES = ["port-of-spain", "chaguanas", "san-fernando"]
UPSTREAMS = 6
CROSS_S = 0.005  # one way between sites; the site file has 3.8 to 6.7 ms
SECOND_SHARE = 0.1  # of the answers
LATE_S = 0.003  # after the first copy
CLIENTS = 12
SECONDS = 40


class Upstream:
    """An upstream, `away` seconds from the balancer one way."""

    def __init__(self, name, away, record, rng):
        self.name, self.away, self.record, self.rng = name, away, record, rng
        self.second = 0

    async def start(self, port):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)

    async def serve(self, reader, writer):
        open_requests = 0  # on this connection, also those still on their way here

        async def travel():
            if self.away:
                await asyncio.sleep(self.away)

        async def deliver(data):
            await travel()
            if not writer.is_closing():
                writer.write(data)

        async def run(request_id):
            nonlocal open_requests
            await travel()
            self.record(f"{self.name}: runs {request_id}")
            await asyncio.sleep(self.rng.uniform(0.02, 0.06))
            answer = s.response(200, f"settled {request_id}".encode())
            asyncio.ensure_future(deliver(answer))
            open_requests -= 1
            if s.TROUBLE and self.rng.random() < SECOND_SHARE:
                await asyncio.sleep(LATE_S)
                if open_requests == 0 and not writer.is_closing():
                    self.second += 1
                    self.record(f"{self.name}: sends a second copy of its answer to {request_id}")
                    asyncio.ensure_future(deliver(answer))

        while (message := await s.read_message(reader)) is not None:
            open_requests += 1
            asyncio.ensure_future(run(message[1].get("req-id", "")))
        s.quiet_close(writer)


async def case(record, balancers):
    rng = random.Random(7)
    listen, discovery_port, *upstream_ports = s.free_ports(2 + UPSTREAMS)
    upstreams, targets = [], []
    for i, port in enumerate(upstream_ports):
        site = SITES[i % len(SITES)]
        upstreams.append(Upstream(f"s-{i + 1}", 0 if site == SITES[0] else CROSS_S, record, rng))
        await upstreams[i].start(port)
        targets.append({"uid": f"s-{i + 1}", "endpoint": f"127.0.0.1:{port}", "az": site, "pod_group": 0, "state": "ready",
                        "capacity_hint": 1.0, "boot_ms": 0})
    await s.Discovery(record, targets).start(discovery_port)
    balancers.start({
        "name": "n1", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"rev": 41, "all": True, "targets": targets},
        "settings": {"tier": 0, "balancers": 3, "self_index": 0, "zone": 0, "dcs": SITES, "registry_mode": "subscribe",
                     "operations": [{"name": "route-settle", "repeat": "single_shot", "latency_objective_us": 2500000,
                                     "client_timeout_us": 6000000}],
                     "policy_limits": {"max_forwards": 6, "cancel": True, "may_duplicate": False, "conn_idle_us": 60000000,
                                       "connect_timeout_us": 250000},
                     "prices": {"cross_zone": 0.005}}})
    await s.wait_ready(listen)
    counts = {"asked": 0, "own": 0, "foreign": 0, "refused or failed": 0}

    async def client(number):
        connection = s.Client(listen)
        end = s.now() + SECONDS
        while s.now() < end:
            counts["asked"] += 1
            request_id = f"route-{number}-{counts['asked']}"
            status, body = await connection.ask("POST", f"/route-settle/{request_id}", request_id, 3000, request_id.encode())
            if status == 200 and body == f"settled {request_id}".encode():
                counts["own"] += 1
            elif status == 200:
                counts["foreign"] += 1
                record(f"client {number}: {request_id} is answered {status} {body}: made for another request")
            else:
                counts["refused or failed"] += 1
                record(f"client {number}: {request_id} is answered {status} {body}")
            await asyncio.sleep(rng.uniform(0, 0.15))
        connection.close()

    await asyncio.gather(*(client(n) for n in range(CLIENTS)))
    record.verdict(", ".join(f"{name} {count}" for name, count in counts.items()) +
                   f"; second copies {sum(u.second for u in upstreams)}")
    return counts["foreign"] == 0


s.main(HERE, case)
