"""Servers refuse channels for a moment. Entry processes never use them again, also on routes that are added later."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from site2 import *  # noqa: E402,F403

REFUSES_S = 5.0
REQUESTS_PER_S, SECONDS = 20, 45
CUT_AFTER_S = 3.0
ADDED_AFTER_S = 15.0
CONTACT_S = 3.0


async def case(record, trouble):
    site = Site(record, entries=2, gateways=1)
    results = []

    async def run(server, message, reader, writer):
        record("run", message.get("X-Attempt-Id"), server.id)
        writer.write(encode("HTTP/1.1 200 OK", [("X-Attempt-Id", message.get("X-Attempt-Id")),
                     ("X-Server-Seal", "s")], b"done"))
        return True

    async def refuse(server):
        """Cuts a server off from the entry machines, with refusals. Control keeps its path to it."""
        server.listener.close()
        for writer in list(server.writers):
            writer.transport.abort()
        record(server.id, "refuses channels")
        await asyncio.sleep(REFUSES_S)
        server.listener = await asyncio.start_server(server.serve, server.ip, server.port, limit=1 << 20)
        record(server.id, "accepts channels")

    async def client(n, name):
        attempt = Client.id()
        channel = Client(f"{site.entries[n % 2].ip}:{FRONT_PORT}")
        answer = await channel.request("POST", f"/{name}/new", attempt, 1000, b"order")
        channel.close()
        results.append((time.monotonic() - start, name, answer.status if answer else None))
        record("answer", attempt, name, answer.status if answer else None)

    try:
        await site.start()
        services = ["kit-desk", "gift-desk"]
        servers = {it: [Server(site, f"{it}-{k}", f"{site.net}.{120 + 10 * n + k}", it, ZONES[k], run, slots=6)
                        for k in range(3)] for n, it in enumerate(services)}
        for it in servers["kit-desk"] + servers["gift-desk"]:
            await it.start()
        first = [route(it, f"/{it}/", "mutating", it) for it in services]
        added = route("later", "/later/", "mutating", "kit-desk")
        known = [plain_service(it) for it in services]
        await site.order("PUT", "/api/config", config(3, first, known, [TENANT]))
        await site.ready()
        await asyncio.sleep(2)
        start, clients, cuts, change = time.monotonic(), [], [], None
        for n in range(REQUESTS_PER_S * SECONDS):
            if trouble and not cuts and time.monotonic() > start + CUT_AFTER_S:
                cuts = [asyncio.create_task(refuse(it)) for it in servers["kit-desk"]]
            if not change and time.monotonic() > start + ADDED_AFTER_S:
                change = asyncio.create_task(
                    site.order("PUT", "/api/config", config(4, [*first, added], known, [TENANT])))
            clients += [asyncio.create_task(client(n, it)) for it in services]
            if time.monotonic() > start + ADDED_AFTER_S + CONTACT_S:
                clients.append(asyncio.create_task(client(n, "later")))
            await asyncio.sleep(max(0, start + (n + 1) / REQUESTS_PER_S - time.monotonic()))
        await asyncio.gather(*clients, *cuts)
        # Only requests of the steady state, after the cut and contact_ms.
        steady = [(name, status) for at, name, status in results if at > CUT_AFTER_S + REFUSES_S + CONTACT_S]

        def served(names):
            mine = [status for name, status in steady if name in names]
            return len(mine), sum(1 for it in mine if it == 200)

        counts = {it: served([it]) for it in [*services, "later"]}
        of_added, of_first = served(["later"]), served(services)
        record("steady state: requests and served, by route", counts)
        print("steady state: requests and served, by route", counts)
        return of_added[0] < 20 or of_added[1] / of_added[0] >= of_first[1] / of_first[0] / 4
    finally:
        await site.stop()


main(case, pathlib.Path(__file__).parent)
