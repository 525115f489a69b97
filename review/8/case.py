"""A head carries out an open late, after its group was released. Its members are then ordered into another group."""

import asyncio
import json
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from site2 import *  # noqa: E402,F403

LATE_S = 5.0  # 2 to 12 s
DRAINS_AFTER_S = 0.2
SERVES_S = 2.5  # drain_ms and a little longer
NEW_SERVER_AFTER_S = 10


async def case(record, trouble):
    site = Site(record, entries=1, gateways=1)
    servers, broken, tasks = {}, [], []
    late = not trouble

    async def run(server, message, reader, writer):
        writer.write(encode("HTTP/1.1 503 Service Unavailable",
                            [("X-Attempt-Id", message.get("X-Attempt-Id")), ("X-Not-Executed", "1")]))
        return True

    def check(server, order):
        """Records a join of another group while the head of the server's group is open or closing."""
        if order["operation"] != "join" or not server.group or server.group["name"] == order["group"]:
            return
        head = servers.get(server.members[0])
        if head and head.group and head.group["name"] == server.group["name"] \
                and head.group["state"] in ("open", "closing"):
            broken.append((server.id, server.group["name"], order["group"]))
            record("BROKEN", server.id, "takes a join of", order["group"], "while the head", head.id, "of",
                   server.group["name"], "is", head.group["state"])

    async def on_order(server, order):
        nonlocal late
        if order["operation"] == "open" and not late:
            late = True
            record("unanswered, carried out", LATE_S, "s later:", server.id, json.dumps(order))
            loop.call_later(LATE_S, server.execute, order)
            loop.call_later(DRAINS_AFTER_S, lambda: tasks.append(asyncio.create_task(drain(server.members[2]))))
            await asyncio.sleep(2)
            return "silent"
        check(server, order)
        return None

    async def drain(id):
        server = servers[id]
        record(id, "says that it drains")
        server.state = "draining"
        server.changed()
        await asyncio.sleep(SERVES_S)
        await site.order("DELETE", f"/api/instances/{id}", limit=5)
        record(id, "ends")
        await server.crash()

    async def add(k):
        server = Server(site, f"i-{k}", f"{site.net}.{120 + k}", "mill-writers", ZONES[0], run, domain="domain-0")
        server.on_order = on_order
        servers[server.id] = server
        await server.start()

    try:
        loop = asyncio.get_running_loop()
        await site.start()
        for k in range(3):
            await add(k)
        await site.order("PUT", "/api/config", config(
            3, [route("plans", "/plans/", "streaming", "mill-writers", timeout_ms=8000, max_attempts=2,
                      resumable=True, sticky=True, itl_target_ms=250)],
            [engine_service("mill-writers", [model("m3", 3)])], [TENANT]))
        await asyncio.sleep(NEW_SERVER_AFTER_S)
        if trouble and not late:
            raise RuntimeError("no group was ordered to open")
        record("i-3 is added")
        await add(3)
        await asyncio.sleep(6)
        record("groups", {it.id: it.group for it in servers.values()})
        print("joins of another group while the head was open or closing:", broken)
        return not broken
    finally:
        await site.stop()


main(case, pathlib.Path(__file__).parent)
