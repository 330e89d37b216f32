"""A bad client asks whether the balancer is ready, with a large body. The body holds the text of a request. Does a
server get that request, which nobody has sent?"""
import asyncio
import os
import sys

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(HERE))
import standins as s

COPIES = 4  # of the hidden request, with further ids


async def case(record, balancers):
    listen, discovery_port, *upstream_ports = s.free_ports(4)
    sent, ran = set(), []

    async def upstream(reader, writer):
        while (message := await s.read_message(reader)) is not None:
            request_id = message[1].get("req-id", "")
            ran.append(request_id)
            record(f"an upstream runs {message[0]} Req-Id {request_id}")
            writer.write(s.response(200, f"picked {request_id}".encode()))
        s.quiet_close(writer)

    targets = []
    for i, port in enumerate(upstream_ports):
        await asyncio.start_server(upstream, "127.0.0.1", port)
        targets.append({"uid": f"s-{i + 1}", "endpoint": f"127.0.0.1:{port}", "az": "miraflores", "pod_group": 0,
                        "state": "ready", "boot_ms": 0})
    await s.Discovery(record, targets).start(discovery_port)
    balancers.start({
        "name": "n1", "listen": f"127.0.0.1:{listen}", "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964", "limits": {"memory_mb": 192, "sockets": 1024},
        "known": {"rev": 41, "all": True, "targets": targets},
        "settings": {"tier": 0, "balancers": 2, "self_index": 0, "zone": 0, "dcs": ["miraflores", "surco"],
                     "operations": [{"name": "latest-trace", "repeat": "free", "latency_objective_us": 750000,
                                     "client_timeout_us": 2000000},
                                    {"name": "submit-pick", "repeat": "single_shot", "latency_objective_us": 3000000,
                                     "client_timeout_us": 8000000}],
                     "policy_limits": {"max_forwards": 6, "cancel": True, "may_duplicate": True, "conn_idle_us": 5000000,
                                       "connect_timeout_us": 75000}}})
    await s.wait_ready(listen)

    stop = asyncio.Event()
    failures = []

    async def usual_client(number):
        client = s.Client(listen)
        count = 0
        while not stop.is_set():
            count += 1
            request_id = f"c{number}-{count}"
            sent.add(request_id)
            status, body = await client.ask("POST", f"/submit-pick/{request_id}", request_id, 4000, b"pick")
            record(f"client {number}: {request_id} answered {status} {body}")
            if status != 200:
                failures.append(request_id)
            await asyncio.sleep(0.2)
        client.close()

    usual = [asyncio.ensure_future(usual_client(n)) for n in range(2)]
    await asyncio.sleep(0.5)

    # The bad client: one request, well-formed, whose length is right. It sends at full speed and reads what it is sent.
    if s.TROUBLE:
        body = b"\n" * 65536
        for n in range(COPIES):
            body += b"\n" * 8000 + (f"POST /submit-pick/x HTTP/1.1\r\nHost: origin.svc\r\nReq-Id: hidden-{n + 1}\r\n"
                                    "Req-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\npick").encode()
        reader, writer = await asyncio.open_connection("127.0.0.1", listen)
        record(f"the bad client sends GET /-/ready with a body of {len(body)} bytes, at once")
        writer.write(f"GET /-/ready HTTP/1.1\r\nHost: origin.svc\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
        try:
            while (answer := await asyncio.wait_for(s.read_message(reader), 2)) is not None:
                record(f"the bad client is answered {answer}")
            record("the bad client's connection is closed")
        except (asyncio.TimeoutError, ConnectionError) as error:
            record(f"the bad client gets nothing more: {error!r}")
        s.quiet_close(writer)
    await asyncio.sleep(1)
    stop.set()
    await asyncio.gather(*usual)

    foreign = [i for i in ran if i not in sent]
    twice = [i for i in sent if ran.count(i) > 1]
    if failures or twice:
        record(f"usual requests that failed: {failures}, that ran twice: {twice}")
    record.verdict(f"{len(ran)} requests ran, {len(sent)} were sent; ran and sent by nobody: {foreign}")
    return not foreign


s.main(HERE, case)
