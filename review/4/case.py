"""A server says that it is gone, and its leader is lost; then a heartbeat of the server arrives late."""
import asyncio
import json
import pathlib
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import mill  # noqa: E402

DRAIN_S = 2.0            # drain_ms
CONTACT_S = 3.0          # contact_ms
LATE_S = 6.0             # "A heartbeat may arrive seconds late."
SERVES_ON_S = 14.0       # after the acknowledgement: drain_ms "and a little longer (at times many seconds)"
REQUESTS = 5


async def play(it, record):
    desk = [mill.Server(it, mill.DESK, 60 + i) for i in range(3)]
    engines = [mill.Engine(it, 1 + i, i // 3) for i in range(3)]
    for server in desk + engines:
        await server.start()
    leader = await it.leader()
    record.write(f"{leader.name} leads")
    _, status, _ = await mill.control_call(it.controls, "PUT", "/api/config", json.dumps(mill.config(3)).encode())
    if status != 200:
        raise mill.CannotRun("the config was not accepted")
    await it.ready()
    answers = []

    async def client():
        channel = mill.Client(it, it.entries[0].ip)
        while True:
            _, status, _ = await channel.request("POST", "/puxa403/2f", 1000, b"b" * 600)
            answers.append(status)
            await asyncio.sleep(0.1)

    clients = [asyncio.ensure_future(client()) for _ in range(REQUESTS)]
    await asyncio.sleep(6)
    leaving = desk[0]

    # One heartbeat is called at the other two nodes first, as a server does when an answer was lost on its way. Both
    # calls are late on their links; the server goes on to the leader after a second without an answer.
    body = leaving.heartbeat()

    async def late(node):
        reader, writer = await asyncio.open_connection(node.ip, mill.CONTROL)
        await asyncio.sleep(LATE_S)
        record.write(f"a heartbeat of {leaving.id} arrives late at {node.name}")
        writer.write((f"PUT /api/instances/{leaving.id} HTTP/1.1\r\nHost: {node.ip}:{mill.CONTROL}\r\n"
                      f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body)
        line, _ = await mill.read_head(reader)
        record.write(f"{node.name} answers the late heartbeat: {line}")
        writer.close()

    record.write(f"{leaving.id} sends a heartbeat to the nodes that do not lead; it is on its way for {LATE_S} s")
    calls = [asyncio.ensure_future(late(node)) for node in it.controls if node is not leader]
    await asyncio.sleep(1)
    leaving.beats = False
    node, status, _ = await leaving.leave()
    acked = time.monotonic()
    if status != 200:
        raise mill.CannotRun("the server's leave was not acknowledged")
    record.write(f"{leaving.id} says that it is gone (DELETE); {node} acknowledges")
    await asyncio.sleep(0.3)
    lost = time.monotonic()
    if mill.TROUBLE:
        record.write(f"{leader.name} is killed")
        leader.kill()
    await asyncio.sleep(SERVES_ON_S - 0.3)
    leaving.close()
    record.write(f"{leaving.id} exits")
    for task in clients:
        task.cancel()
    await asyncio.gather(*calls, return_exceptions=True)
    after = [(a, t - acked) for a, t in leaving.ran
             if t > acked + DRAIN_S and (not mill.TROUBLE or t > lost + CONTACT_S)]
    for attempt, t in after[:5]:
        record.write(f"request {attempt} reached {leaving.id} {t:.2f} s after the acknowledgement")
    text = (f"{len(after)} requests reached the server later than drain_ms after its leave was acknowledged; "
            f"{answers.count(200)} of {len(answers)} requests were served")
    record.write(text)
    print(text)
    if answers.count(200) < 100:
        raise mill.CannotRun("too few requests were served")
    return bool(after)


mill.main(play, pathlib.Path(__file__).resolve().parent, entries=2)
