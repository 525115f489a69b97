"""Servers run requests and lose their answers. A request runs on more servers than its route's max_attempts."""

import asyncio
import os
import pathlib
import random
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from site2 import *  # noqa: E402,F403

SEED = int(os.environ.get("SEED", "1"))
SHARE, LOST, SPELL_S, SPELL_EVERY_S = 0.6, 0.4, 4, 5
STREAMS_PER_S, SECONDS = 10, 60
MAX_ATTEMPTS = 2
FIRST_EVENT_S, EVENT_S, EVENTS = 0.1, 0.04, 4


async def case(record, trouble):
    site = Site(record, entries=2, gateways=1)
    rng = random.Random(SEED)
    runs, answers, affected = {}, {}, set()
    spell = False

    async def run(server, message, reader, writer):
        attempt = message.get("X-Attempt-Id")
        if not server.group or server.group["state"] != "open":
            writer.write(encode("HTTP/1.1 421 Misdirected Request",
                                [("X-Attempt-Id", attempt), ("X-Not-Executed", "1")]))
            return True
        runs.setdefault(attempt, []).append(server.id)
        lost = trouble and spell and server.id in affected and rng.random() < LOST
        record("run", attempt, "at", server.id, "answer lost" if lost else "")
        await asyncio.sleep(FIRST_EVENT_S)
        if lost:
            await asyncio.sleep(EVENTS * EVENT_S)
            writer.transport.abort()
            return False
        writer.write(encode("HTTP/1.1 200 OK", [("X-Attempt-Id", attempt), ("X-Server-Seal", "s"),
                     ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")], length=False))
        for k in range(int(message.get("Last-Event-Id") or 0) + 1, EVENTS + 1):
            event = f"id: {k}\ndata: {attempt}\n\n".encode()
            writer.write(b"%x\r\n" % len(event) + event + b"\r\n")
            await asyncio.sleep(EVENT_S)
        writer.write(b"0\r\n\r\n")
        return True

    async def client(n):
        attempt = Client.id()
        channel = Client(f"{site.entries[n % 2].ip}:{FRONT_PORT}")
        answer = await channel.request("POST", "/digests/new", attempt, 5000, b"prompt", [
            ("X-Model", "m3"), ("X-Token-Usage", "700,24"), ("X-Prompt-Prefix", f"aa:40,{n:x}:660")])
        channel.close()
        result = (answer.status, "complete" if answer.complete else "cut") if answer else None
        answers[result] = answers.get(result, 0) + 1
        record("answer", attempt, result)

    try:
        await site.start()
        servers = [Server(site, f"i-{k}", f"{site.net}.{100 + k}", "mill-writers", ZONES[k // 11], run,
                          domain=f"domain-{k // 11}") for k in range(33)]
        await asyncio.gather(*[it.start() for it in servers])
        await site.order("PUT", "/api/config", config(
            3, [route("digests", "/digests/", "streaming", "mill-writers", timeout_ms=5000,
                      max_attempts=MAX_ATTEMPTS, resumable=True, sticky=True, itl_target_ms=250)],
            [engine_service("mill-writers", [model("m3", 3)])], [TENANT]))
        await site.ready()
        until = time.monotonic() + 25
        while len(heads := [it.id for it in servers if it.group and it.group["state"] == "open"]) < 9:
            if time.monotonic() > until:
                raise RuntimeError(f"only {len(heads)} groups are open")
            await asyncio.sleep(0.2)
        affected.update(rng.sample(heads, round(len(heads) * SHARE)))
        record("heads", heads, "of these lose answers", sorted(affected))
        await asyncio.sleep(1)
        clients = []
        for n in range(STREAMS_PER_S * SECONDS):
            spell = n / STREAMS_PER_S % SPELL_EVERY_S < SPELL_S
            clients.append(asyncio.create_task(client(n)))
            await asyncio.sleep(1 / STREAMS_PER_S)
        await asyncio.gather(*clients)
        over = {attempt: it for attempt, it in runs.items() if len(set(it)) > MAX_ATTEMPTS}
        record("streams", sum(answers.values()), "answers", answers, "run on more servers than max_attempts", len(over),
               over)
        print("streams run on more servers than max_attempts:", len(over), "answers", answers)
        return len(over) <= 3
    finally:
        await site.stop()


main(case, pathlib.Path(__file__).parent)
