"""A part of a prompt crashes each server that begins to write an answer on it. It goes on reaching servers."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from site2 import *  # noqa: E402,F403

DEADLY = "dead"
CONTACT_S = 3.0
SOUND_PER_S = 3
BURSTS, BURST_REQUESTS, BURST_EVERY_S = 8, 2, 3.5
FIRST_EVENT_S, EVENT_S, EVENTS = 0.12, 0.04, 10
RESTART_S = 3.0


class Engine(Server):
    """A model server that crashes on the deadly part and is back after some seconds, as a new boot."""

    async def die(self, deaths):
        if not self.listener.is_serving():
            return
        deaths.append(time.monotonic())
        self.site.record("crash", self.id, "the", f"{len(deaths)}.")
        await self.crash()
        asyncio.create_task(self.back())

    async def back(self):
        await asyncio.sleep(RESTART_S)
        name, _, boot = self.id.partition("-b")
        self.id = f"{name}-b{int(boot or 0) + 1}"
        self.born, self.sequence = int(time.time() * 1000), 0
        self.group, self.models, self.members, self.epoch, self.fence, self.home = None, [], [], 0, 0, None
        await self.start()


async def case(record, trouble):
    site = Site(record, entries=2, gateways=1)
    deaths, arrivals, answers, clients = [], [], {}, []

    async def run(server, message, reader, writer):
        attempt = message.get("X-Attempt-Id")
        parts = [it.split(":")[0] for it in message.get("X-Prompt-Prefix").split(",")]
        deadly = DEADLY in parts[:-1]
        if deadly:
            arrivals.append(time.monotonic())
            record("arrival", attempt, "at", server.id, "after", len(deaths), "crashes")
        if not server.group or server.group["state"] != "open":
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]))
            return True
        await asyncio.sleep(FIRST_EVENT_S)
        if deadly and trouble:
            await server.die(deaths)
            return False
        if not server.listener.is_serving():
            return False
        writer.write(encode("HTTP/1.1 200 OK", [("X-Attempt-Id", attempt), ("X-Server-Seal", "s"),
                     ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")], length=False))
        for k in range(int(message.get("Last-Event-Id") or 0) + 1, EVENTS + 1):
            event = f"id: {k}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await writer.drain()
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def client(n, part):
        attempt = Client.id()
        channel = Client(f"{site.entries[n % 2].ip}:{FRONT_PORT}")
        answer = await channel.request("POST", "/plans/new", attempt, 8000, b"prompt %d" % n, [
            ("X-Model", "m3"), ("X-Token-Usage", "700,60"), ("X-Prompt-Prefix", f"{part}:40,{n:x}e:660")])
        channel.close()
        result = ("deadly" if part == DEADLY else "sound", answer.status if answer else None,
                  "complete" if answer and answer.complete else "cut")
        answers[result] = answers.get(result, 0) + 1
        record("answer", attempt, *result)

    async def sound():
        n = 0
        while True:
            n += 1
            clients.append(asyncio.create_task(client(n, f"a{n % 60:x}")))
            await asyncio.sleep(1 / SOUND_PER_S)

    try:
        await site.start()
        servers = [Engine(site, f"i-{k}", f"{site.net}.{100 + k}", "mill-writers", ZONES[k // 22], run,
                          domain=f"domain-{k // 11}") for k in range(66)]
        await asyncio.gather(*[it.start() for it in servers])
        await site.order("PUT", "/api/config", config(
            3, [route("plans", "/plans/", "streaming", "mill-writers", timeout_ms=8000, max_attempts=2,
                      resumable=True, sticky=True, itl_target_ms=250)],
            [engine_service("mill-writers", [model("m3", 3)])], [TENANT]))
        await site.ready()
        until = time.monotonic() + 25
        while (heads := sum(1 for it in servers if it.group and it.group["state"] == "open")) < 18:
            if time.monotonic() > until:
                raise RuntimeError(f"only {heads} groups are open")
            await asyncio.sleep(0.2)
        record("open groups", heads)
        await asyncio.sleep(2)
        traffic = asyncio.create_task(sound())
        await asyncio.sleep(3)
        for burst in range(BURSTS):
            for k in range(BURST_REQUESTS):
                clients.append(asyncio.create_task(client(100_000 + burst * BURST_REQUESTS + k, DEADLY)))
            await asyncio.sleep(BURST_EVERY_S)
        traffic.cancel()
        await asyncio.gather(*clients)
        late = [it for it in arrivals if len(deaths) >= 5 and it > deaths[4] + CONTACT_S]
        record("crashes", len(deaths), "arrivals", len(arrivals), "of these later than contact_ms after the fifth crash",
               len(late), "answers", answers)
        print("crashes", len(deaths), "arrivals later than contact_ms after the fifth crash", len(late), answers)
        return len(late) <= 3
    finally:
        await site.stop()


main(case, pathlib.Path(__file__).parent)
