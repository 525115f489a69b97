"""A server that is cold becomes cold again and says so. Entry processes go by the end of the first time."""

import asyncio
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from site2 import *  # noqa: E402,F403

FIRST_COLD_S, AGAIN_AFTER_S = 3.0, 2.0
COLD_PER_S, OVERSHOOT, SLACK = 36.0, 1.5, 5
REQUESTS_PER_S, SECONDS = 110, 12
EVENTS, EVENT_S = 3, 0.03
CRASH_X = 2.5  # "crashes at a rate well above": this many times cold_per_s
RESTART_S = 3.0


class Engine(Server):
    """A model server that tolerates cold_per_s requests per second while it is cold, and crashes well above that."""

    cold_until = 0.0

    def cold_left(self):
        return max(0.0, self.cold_until - time.monotonic())

    def body(self):
        return {**super().body(), "cold_left_ms": int(self.cold_left() * 1000)}

    async def back(self):
        await asyncio.sleep(RESTART_S)
        self.id, self.born, self.sequence = self.id + "-b", int(time.time() * 1000), 0
        self.group, self.models, self.members, self.epoch, self.fence, self.home = None, [], [], 0, 0, None
        await self.start()


async def case(record, trouble):
    site = Site(record, entries=2, gateways=1)
    arrivals, answers, crashes = [], {}, []

    async def run(server, message, reader, writer):
        attempt = message.get("X-Attempt-Id")
        if not server.group or server.group["state"] != "open":
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]))
            return True
        left = server.cold_left()
        arrivals.append((time.monotonic(), left))
        record("run", attempt, server.id, f"cold for {left:.2f} s more")
        recent = sum(1 for at, was in arrivals if was > 0 and at > time.monotonic() - 1)
        if left > 0 and recent > CRASH_X * COLD_PER_S:
            crashes.append(server.id)
            record("crash", server.id, "with", recent, "requests in a second")
            await server.crash()
            asyncio.create_task(server.back())
            return False
        writer.write(encode("HTTP/1.1 200 OK", [("X-Attempt-Id", attempt), ("X-Server-Seal", "s"),
                     ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")], length=False))
        for k in range(int(message.get("Last-Event-Id") or 0) + 1, EVENTS + 1):
            event = f"id: {k}\ndata: {attempt}\n\n".encode()
            await asyncio.sleep(EVENT_S)
            if not server.listener.is_serving():
                return False
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
        writer.write(b"0\r\n\r\n")
        return True

    async def client(n):
        attempt = Client.id()
        channel = Client(f"{site.entries[n % 2].ip}:{FRONT_PORT}")
        answer = await channel.request("POST", "/digests/new", attempt, 5000, b"prompt", [
            ("X-Model", "m3"), ("X-Token-Usage", "60,18"), ("X-Prompt-Prefix", f"aa:40,{n:x}:20")])
        channel.close()
        result = (answer.status, "complete" if answer.complete else "cut") if answer else None
        record("answer", attempt, result)
        answers[result] = answers.get(result, 0) + 1

    try:
        await site.start()
        servers = [Engine(site, f"i-{k}", f"{site.net}.{100 + k}", "mill-writers", ZONES[0], run, domain="domain-0")
                   for k in range(3)]
        for it in servers:
            await it.start()
        await site.order("PUT", "/api/config", config(
            3, [route("digests", "/digests/", "streaming", "mill-writers", timeout_ms=5000, max_attempts=2,
                      resumable=True, sticky=True, itl_target_ms=250)],
            [engine_service("mill-writers", [model("m3", 3)])], [TENANT]))
        await site.ready()
        until = time.monotonic() + 25
        while not (heads := [it for it in servers if it.group and it.group["state"] == "open"]):
            if time.monotonic() > until:
                raise RuntimeError("no group is open")
            await asyncio.sleep(0.1)
        head = heads[0]
        await asyncio.sleep(8)
        head.cold_until = time.monotonic() + FIRST_COLD_S
        record(head.id, "is cold for", FIRST_COLD_S, "s")
        head.changed()
        await asyncio.sleep(0.5)
        start, clients, again = time.monotonic(), [], False
        for n in range(REQUESTS_PER_S * SECONDS):
            if trouble and not again and time.monotonic() > start + AGAIN_AFTER_S - 0.5:
                again = True
                head.cold_until = time.monotonic() + FIRST_COLD_S
                record(head.id, "is cold again for", FIRST_COLD_S, "s")
                head.changed()
            clients.append(asyncio.create_task(client(n)))
            await asyncio.sleep(max(0, start + (n + 1) / REQUESTS_PER_S - time.monotonic()))
        await asyncio.gather(*clients)
        limit = COLD_PER_S * OVERSHOOT + SLACK
        cold = [t for t, left in arrivals if left > 0]
        most = max((sum(1 for u in cold if t <= u < t + 1) for t in cold), default=0)
        record("most requests in one second at the cold server", most, "allowed", limit, "crashes", crashes, "answers",
               answers)
        print("most requests in one second at the cold server", most, "allowed", limit, "crashes", crashes, answers)
        return most <= limit
    finally:
        await site.stop()


main(case, pathlib.Path(__file__).parent)
