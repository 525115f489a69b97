"""Request bodies are held in full, without a bound: slow servers end entry processes for their memory."""

import asyncio
import pathlib
import signal
import socket
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib2"))
from site2 import *  # noqa: E402,F403

BODY_BYTES = 4_000_000  # below max_body_bytes of the config, 4,194,304
REQUESTS_PER_S = 12  # over two entry processes: 192 Mbit/s at each link of 1,000 Mbit/s
SECONDS = 40
READ_BYTES, READ_PAUSE_S = 50_000, 0.05  # a slow server reads a body of 4 MB in 4 s; the time limit is 8 s
MEMORY = 260 * 1024 * 1024  # memory_mb of an edge machine


class Reader(Server):
    """A server with a small window. Under trouble it reads long bodies slowly."""

    slow = False

    async def start(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 65536)
        sock.bind((self.ip, self.port))
        self.listener = await asyncio.start_server(self.serve, sock=sock, limit=65536)
        self.tasks.append(asyncio.create_task(self.beat()))

    async def serve(self, reader, writer):
        try:
            while message := await read_head(reader):
                left = int(message.get("Content-Length") or 0)
                while left > 0:
                    part = await reader.read(min(left, READ_BYTES))
                    if not part:
                        return
                    left -= len(part)
                    if self.slow:
                        await asyncio.sleep(READ_PAUSE_S)
                if not await self.handle(message, reader, writer):
                    return
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()


async def case(record, trouble):
    site = Site(record, entries=2, gateways=1)
    ends, answers = {}, {}
    done = False

    async def run(server, message, reader, writer):
        record("run", message.get("X-Attempt-Id"), server.id)
        writer.write(encode("HTTP/1.1 200 OK", [("X-Attempt-Id", message.get("X-Attempt-Id")),
                     ("X-Server-Seal", "s"), ("Keep-Alive", "timeout=10")], b"done"))
        return True

    async def platform(daemon):
        """Kills a process that uses more than its memory, and starts it again."""
        peak = 0
        while not done:
            used = daemon.memory("VmRSS")
            peak = max(peak, used)
            if used > MEMORY:
                ends.setdefault(daemon.name, []).append(round(record.now(), 1))
                record("platform ends", daemon.name, "which uses", used, "bytes")
                daemon.signal(signal.SIGKILL)
                await daemon.wait(5)
                await asyncio.sleep(1)
                await daemon.start()
            await asyncio.sleep(0.01)
        record("peak", daemon.name, peak, "bytes")

    async def client(n):
        attempt, sent = Client.id(), time.monotonic()
        channel = Client(f"{site.entries[n % 2].ip}:{FRONT_PORT}")
        try:
            answer = await channel.request("POST", "/orders/new", attempt, 8000, body)
            result = answer.status if answer else "channel closed without an answer"
        except OSError:
            result = "no channel"
        channel.close()
        answers[result] = answers.get(result, 0) + 1
        record("answer", attempt, result, f"after {time.monotonic() - sent:.2f} s")

    body = b"x" * BODY_BYTES
    try:
        await site.start()
        servers = [Reader(site, f"i-{k}", f"{site.net}.{120 + k}", "kit-desk", ZONES[k], run) for k in range(3)]
        for it in servers:
            it.slow = trouble
            await it.start()
        await site.order("PUT", "/api/config", config(
            3, [route("orders", "/orders/", "mutating", "kit-desk", timeout_ms=8000)], [plain_service("kit-desk")],
            [TENANT]))
        await site.ready()
        await asyncio.sleep(1.5)
        watches = [asyncio.create_task(platform(it)) for it in site.entries]
        clients = []
        for n in range(REQUESTS_PER_S * SECONDS):
            clients.append(asyncio.create_task(client(n)))
            await asyncio.sleep(1 / REQUESTS_PER_S)
        await asyncio.gather(*clients)
        done = True
        await asyncio.gather(*watches)
        record("ends by machine", ends, "answers", answers)
        print("ends by machine", ends, "answers", answers)
        return sum(1 for it in ends.values() if len(it) >= 3) < 2
    finally:
        await site.stop()


main(case, pathlib.Path(__file__).parent)
