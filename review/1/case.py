"""A domain of model servers restarts, the leader is killed soon after, and heartbeats arrive late: the next leader
takes the head of an open group into another group."""
import asyncio
import json
import pathlib
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1] / "lib"))
import mill  # noqa: E402

DOWN_S = 4.5             # srv_crash, how = "domain", for_s
LATE_S = 4.0             # "A heartbeat may arrive seconds late."


class Engine(mill.Engine):
    """A model server whose heartbeats may be on their way for some time."""
    late = False
    violations = None

    def restart(self):
        """A new boot under the same id. The host keeps the staged model; orders, group and counts are lost."""
        self.born = int(time.time() * 1000)
        self.sequence = self.fence = self.orders = self.epoch_seen = 0
        self.models, self.last_model, self.group = [], None, None
        self.heartbeat_addr = None

    def join(self, order):
        before = self.group
        code = super().join(order)
        if code == 202 and before and before["name"] != order["group"] and self.head_of(before) in ("open", "closing"):
            text = (f"{self.id} takes a join of {order['group']} while it is a member of {before['name']}, whose head "
                    f"is {self.head_of(before)}")
            self.mill.record.write("TWO: " + text)
            self.violations.append(text)
        return code

    def head_of(self, group):
        """State of the head of a group."""
        head = self.fleet[group["key"][2][0]]
        if head is self:
            return group["state"]
        same = head.group and (head.group["name"], head.group["epoch"]) == (group["name"], group["epoch"])
        return head.group["state"] if same else None

    async def beat(self):
        if not self.late:
            return await super().beat()
        # No answer within a second: the next node is called, and so on. The calls arrive late.
        nodes = [it for it in self.mill.controls if it.running()]
        node = nodes[self.sequence % len(nodes)]
        self.mill.tasks.append(asyncio.ensure_future(self.arrive(node, self.heartbeat(), LATE_S)))
        await asyncio.sleep(1)

    async def arrive(self, node, body, delay):
        await asyncio.sleep(delay)
        number = json.loads(body)["sequence"]
        try:
            status, _, _ = await mill.http("PUT", node.ip, mill.CONTROL, "/api/instances/" + self.id, body, timeout=1)
            self.mill.record.write(f"heartbeat {number} of {self.id} arrives late at {node.name}: {status}")
        except (OSError, asyncio.TimeoutError, EOFError):
            pass


async def play(it, record):
    Engine.violations = []
    engines = [Engine(it, 1 + i, i // 5) for i in range(10)]
    Engine.fleet = {e.id: e for e in engines}
    domain = engines[:5]
    for server in engines:
        await server.start()
    leader = await it.leader()
    record.write(f"{leader.name} leads")
    _, status, _ = await mill.control_call(it.controls, "PUT", "/api/config", json.dumps(mill.config(3)).encode())
    if status != 200:
        raise mill.CannotRun("the config was not accepted")
    await it.ready()

    def head():
        heads = [e for e in domain if e.group and e.group["rank"] == 0 and e.group["state"] == "open"]
        return heads[0] if heads else None

    async def open_group(seconds):
        end = record.now() + seconds
        while not head():
            if record.now() > end:
                raise mill.CannotRun("no group opens in the domain")
            await asyncio.sleep(0.05)

    await open_group(15)
    await asyncio.sleep(max(10 - record.now(), 3))
    answers = []

    async def client():
        channel = mill.Client(it, it.entries[0].ip)
        while True:
            answers.append((await channel.stream("/pufi791/2f", 6000))[1])
            await asyncio.sleep(0.2)

    clients = [asyncio.ensure_future(client()) for _ in range(2)]
    await asyncio.sleep(3)
    record.write(f"the servers of {domain[0].domain} crash")
    for server in domain:
        server.close()
    await asyncio.sleep(DOWN_S)
    others = [node for node in it.controls if node is not leader]
    stale = {}
    record.write(f"the servers of {domain[0].domain} are back; their first heartbeats are on their way for some time")
    for server in domain:
        server.restart()
        server.beats = True
        stale[server] = [(node, server.heartbeat(), record.now()) for node in others]

    # The servers listen at once. Two calls without an answer, a second each; the third one is answered.
    await asyncio.gather(*(server.listen() for server in domain))
    await asyncio.sleep(2)
    for server in domain:
        it.tasks.append(asyncio.ensure_future(server.beat_forever()))
    await open_group(12)
    await asyncio.sleep(1.5)
    first = head()
    record.write(f"{first.id} is the head of the open group {first.group['name']}")
    if mill.TROUBLE:
        record.write(f"{leader.name} is killed")
        leader.kill()
    first.late = True
    if mill.TROUBLE:
        await it.leader()
    await asyncio.sleep(0.1)
    for node, body, sent in stale[first]:
        record.write(f"heartbeat {json.loads(body)['sequence']} of {first.id} was on its way for "
                     f"{record.now() - sent:.1f} s")
        it.tasks.append(asyncio.ensure_future(first.arrive(node, body, 0)))
    await asyncio.sleep(5)
    first.late = False
    await asyncio.sleep(4)
    for task in clients:
        task.cancel()
    text = f"{len(Engine.violations)} joins while the head was open; {answers.count(200)} of {len(answers)} served"
    record.write(text)
    print(text, Engine.violations)
    if answers.count(200) < 20:
        raise mill.CannotRun("too few requests were served")
    return bool(Engine.violations)


mill.main(play, pathlib.Path(__file__).resolve().parent, entries=1)
