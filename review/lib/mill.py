"""Starts rosemarymill's processes on loopback addresses, with stand-ins of servers, clients and the operator.

Standard library only. Each node has a loopback address of its own, so that the ports can be those of a deployment.
"""
import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
DAEMON = ["target/packages/daemon/rosemarymilld", "platform"]
FRONTEND, READY, CONTROL, SERVER = 8227, 8220, 8229, 8080
ZONES = ["zone-tilburg", "zone-breda", "zone-den-bosch"]
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "outer_ms": 5000,
          "fail_closed": False, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 130,
          "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "event_delay_ms": 120,
          "retry_after_s": 0, "stall_ms": 5000, "fencing_required": True, "ceiling_window_s": 5,
          "origin_overshoot": 1.1}
KEY = "n2ctnfzs989anu6wsjnb"
HOST = "ficu95.example"
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begin = time.monotonic()
        self.write(f"TROUBLE={'1' if TROUBLE else '0'}")

    def now(self):
        return time.monotonic() - self.begin

    def write(self, text):
        self.file.write(f"{self.now():8.3f} {text}\n")
        self.file.flush()


class CannotRun(Exception):
    """The case could not be played."""


class Node:
    """One process of the product."""

    def __init__(self, mill, role, name, ip, zone):
        self.mill, self.role, self.name, self.ip, self.zone = mill, role, name, ip, zone
        self.process = None
        self.starts = 0

    def settings(self):
        mill = self.mill
        edge = self.role != "control"
        it = {"node": self.name, "role": self.role, "machine_class": "edge" if edge else "core",
              "serves": ["edge"] if self.role == "entry" else ["control"], "ip": self.ip, "zone": self.zone,
              "region": "nl-west", "zones": {z: "nl-west" for z in ZONES},
              "internal_ports": [7340, 7355], "seeds": mill.seeds(), "bootstrap": self.starts == 0,
              "in_tolerance": not edge,
              "limits": {"cpu_quota": 0.25 if edge else 0.3, "cores": 1, "memory_mb": 260 if edge else 256,
                         "max_fds": 4200 if edge else 4096, "link_mbps": 1000.0, "disk_mb": 0 if edge else 128},
              "data_dir": None, "discovery": "self_register", "entry": "anycast", "heartbeat_ms": 1200,
              "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                            "places", "pressure", "gangs"],
              "fault_tolerance": {"machine_count": 1, "zones": 1, "region_count": 0}, "bounds": BOUNDS,
              "config_mode": "highest"}
        if self.role == "entry":
            it["listen"] = {"frontend": f"{self.ip}:{FRONTEND}", "ready": f"{self.ip}:{READY}"}
        else:
            it["listen"] = {"control_plane": f"{self.ip}:{CONTROL}"}
        if self.role == "control":
            data = mill.folder / ("data-" + self.name)
            data.mkdir(exist_ok=True)
            it["data_dir"] = str(data)
        return it

    def start(self):
        path = self.mill.folder / (self.name + ".json")
        path.write_text(json.dumps(self.settings()))
        log = open(self.mill.folder / (self.name + ".log"), "ab")
        self.process = subprocess.Popen(DAEMON, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
                                        env={"PATH": os.environ.get("PATH", ""), "HOME": "/", "LANG": "C",
                                             "ROSEMARYMILL_NODE_FILE": str(path)})
        log.close()
        self.starts += 1

    def signal(self, number):
        if self.process and self.process.poll() is None:
            self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def running(self):
        return self.process is not None and self.process.poll() is None

    def log(self):
        return (self.mill.folder / (self.name + ".log")).read_text(errors="replace")


class Mill:
    """The product's processes: control VMs, gateways and entry VMs."""

    def __init__(self, record, controls=3, entries=1, gateways=0):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        pid = os.getpid()
        self.network = f"127.{20 + pid // 250 % 200}.{1 + pid % 250}."
        self.controls = [Node(self, "control", f"control-{i + 1}", self.network + str(1 + i), ZONES[i % 3])
                         for i in range(controls)]
        self.gateways = [Node(self, "gateway", f"gateway-{i + 1}", self.network + str(21 + i), ZONES[i % 3])
                         for i in range(gateways)]
        self.entries = [Node(self, "entry", f"entry-{i + 1}", self.network + str(41 + i), ZONES[i % 3])
                        for i in range(entries)]
        self.tasks = []

    def seeds(self):
        return [f"{it.ip}:{CONTROL}" for it in self.controls[:3]]

    def nodes(self):
        return self.controls + self.gateways + self.entries

    def start(self):
        if not (ROOT / DAEMON[0]).exists():
            raise CannotRun("the daemon is not built")
        for it in self.nodes():
            it.start()

    def stop(self):
        for it in self.nodes():
            if it.running():
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                it.process.wait()
        shutil.rmtree(self.folder, ignore_errors=True)

    async def leader(self, timeout=15):
        """The control VM that leads: the one that takes a heartbeat's call itself."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            for it in self.controls:
                if not it.running():
                    continue
                try:
                    # A call that is refused as malformed names the leader: others redirect it.
                    status, _, _ = await http("PUT", it.ip, CONTROL, "/api/instances/probe", b"{}", timeout=0.5)
                    if status == 400:
                        return it
                except (OSError, asyncio.TimeoutError, EOFError):
                    pass
            await asyncio.sleep(0.05)
        raise CannotRun("no control VM leads")

    async def ready(self, timeout=25):
        end = time.monotonic() + timeout
        for it in self.entries:
            while True:
                try:
                    status, _, _ = await http("GET", it.ip, READY, "/api/readyz", timeout=1)
                    if status == 200:
                        break
                except (OSError, asyncio.TimeoutError, EOFError):
                    pass
                if time.monotonic() > end:
                    raise CannotRun(f"{it.name} does not get ready")
                await asyncio.sleep(0.1)


async def read_head(reader):
    """Start line and headers of a message; None at the end of the channel."""
    head = await reader.readuntil(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_body(reader, headers):
    if "chunked" in headers.get("transfer-encoding", "").lower():
        body = b""
        while chunk := await read_chunk(reader):
            body += chunk
        return body
    return await reader.readexactly(int(headers.get("content-length", "0")))


async def http(method, ip, port, path, body=None, headers=None, timeout=2.0):
    """One call on a channel of its own. Returns status, headers and body."""
    async def call():
        reader, writer = await asyncio.open_connection(ip, port)
        try:
            text = f"{method} {path} HTTP/1.1\r\nHost: {ip}:{port}\r\n"
            for name, value in (headers or {}).items():
                text += f"{name}: {value}\r\n"
            if body is not None:
                text += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n"
            writer.write(text.encode() + b"\r\n" + (body or b""))
            await writer.drain()
            line, got = await read_head(reader)
            return int(line.split()[1]), got, await read_body(reader, got)
        finally:
            writer.close()
    try:
        return await asyncio.wait_for(call(), timeout)
    except asyncio.IncompleteReadError as error:
        raise EOFError(str(error)) from error


async def control_call(nodes, method, path, body=None, timeout=1.0, total=15.0, record=None):
    """A call of the operator or a server: follows a 307 twice, and moves on to another node after a failure.
    Returns (node address, status, body); status 0 when there was no clear answer."""
    end = time.monotonic() + total
    i = random.randrange(len(nodes))
    pause = 0.05
    while time.monotonic() < end:
        ip = nodes[i % len(nodes)].ip if hasattr(nodes[i % len(nodes)], "ip") else nodes[i % len(nodes)]
        i += 1
        try:
            for _ in range(3):
                status, headers, answer = await http(method, ip, CONTROL, path, body, timeout=timeout)
                if status != 307:
                    break
                ip = headers["location"].split("//")[1].split(":")[0]
            if status < 300 or status in (400, 409, 412, 413, 422):
                return ip, status, answer
        except (OSError, asyncio.TimeoutError, EOFError):
            pass
        await asyncio.sleep(pause)
        pause = min(pause * 1.5, 0.5)
    return "", 0, b""


ENGINE = {"slots": 26, "kv_capacity": 2470000, "kv_bytes": 35136, "link_mbps": 400000.0, "steps_per_pass": 6,
          "models": [{"name": "rada7437b5", "size": 3, "work_share": 1.0, "pace": 0.6, "load_time_s": 12.0,
                      "warmup_s": 1.1}],
          "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
          "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8,
          "delays": [], "usual": {"prompt": 1115, "answer": 152}, "max_staged": 1, "far_x": 3.0,
          "formation_ms": 300.0}
MODEL = "rada7437b5"
WRITERS, DESK = "huvo11a", "wuno96b"


def config(version, **changes):
    """A config like that of a small deployment: two streaming routes, one mutating and one idempotent."""
    stream = {"host": HOST, "route_kind": "streaming", "timeout_ms": 8000, "latency_goal_ms": 400, "priority": 1,
              "service": WRITERS, "max_attempts": 2, "public": False, "sticky": True, "resumable": True,
              "itl_target_ms": 250}
    plain = {"host": HOST, "timeout_ms": 1000, "latency_goal_ms": 150, "priority": 2, "service": DESK,
             "public": False, "sticky": False}
    it = {"version": version,
          "routes": [dict(stream, name="r-draft", path_prefix="/lohu930/"),
                     dict(stream, name="r-answer", path_prefix="/pufi791/", timeout_ms=6000, latency_goal_ms=250),
                     dict(plain, name="r-order", path_prefix="/puxa403/", route_kind="mutating", max_attempts=2),
                     dict(plain, name="r-level", path_prefix="/zemi118/", route_kind="idempotent", max_attempts=2)],
          "services": [{"name": WRITERS, "health_path": "/healthz", "max_conns": 374, "protocol": "h1", "tls": False,
                        "cold_start_s": 3.0, "cold_per_s": 36.0, "inference_engine": ENGINE},
                       {"name": DESK, "health_path": "/healthz", "max_conns": 48, "protocol": "h1", "tls": False,
                        "cold_start_s": 0.0, "cold_per_s": 0.0}],
          "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                     "idle_timeout_ms": 15000},
          "tenants": [{"name": "hule930", "api_keys": [KEY, "anfqasnmgkcuyj8pjbvk"], "priority": 1}]}
    it.update(changes)
    return it


class Request:
    def __init__(self, line, headers, body):
        self.method, self.target, _ = line.split(" ")
        self.headers, self.body = headers, body
        self.id = headers.get("x-attempt-id", "")


class Server:
    """Stand-in of a server of the platform: heartbeats, health, one request at a time on a channel.

    `handler(server, request, writer)` answers a request; by default it works for 30 ms and answers in whole."""

    def __init__(self, mill, service, number, handler=None, slots=6, zone=None, heartbeats=True):
        self.mill, self.service, self.number = mill, service, number
        self.id = f"i-{service[:4]}{number:04x}"
        self.ip = mill.network + str(100 + number)
        self.zone = zone or ZONES[number % 3]
        self.handler = handler
        self.slots = slots
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "healthy"
        self.beats = heartbeats
        self.heartbeat_addr = None
        self.running = 0
        self.ran = []          # ids of requests that began to run, with times
        self.listener = None
        self.writers = set()
        self.changed = asyncio.Event()

    async def listen(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, SERVER, limit=1 << 20)

    async def start(self):
        await self.listen()
        if self.beats:
            self.mill.tasks.append(asyncio.ensure_future(self.beat_forever()))

    def close(self):
        """Ends the server's process: no more heartbeats, its channels are closed."""
        self.beats = False
        if self.listener:
            self.listener.close()
        for it in list(self.writers):
            it.transport.abort()

    def says(self):
        return {"service": self.service, "address": f"{self.ip}:{SERVER}", "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "born": self.born}

    def heartbeat(self):
        self.sequence += 1
        return json.dumps(dict(self.says(), sequence=self.sequence)).encode()

    async def beat(self):
        body = self.heartbeat()
        nodes = [it.ip for it in self.mill.controls]
        if self.heartbeat_addr:
            try:
                status, _, _ = await http("PUT", self.heartbeat_addr, CONTROL, "/api/instances/" + self.id, body,
                                          timeout=1)
                if status == 200:
                    return
            except (OSError, asyncio.TimeoutError, EOFError):
                pass
            self.heartbeat_addr = None
        _, status, answer = await control_call(nodes, "PUT", "/api/instances/" + self.id, body, total=5)
        if status == 200:
            self.heartbeat_addr = (json.loads(answer).get("heartbeat_addr") or "").split(":")[0] or None

    async def beat_forever(self):
        while self.beats:
            self.changed.clear()
            await self.beat()
            try:
                await asyncio.wait_for(self.changed.wait(), 1.2)
            except asyncio.TimeoutError:
                pass

    async def leave(self):
        return await control_call([it.ip for it in self.mill.controls], "DELETE", "/api/instances/" + self.id)

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                line, headers = await read_head(reader)
                request = Request(line, headers, await read_body(reader, headers))
                if not await self.dispatch(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def dispatch(self, request, writer):
        path = request.target.split("?")[0]
        expected = request.headers.get("x-expect-instance")
        if expected and expected != self.id:
            self.answer(writer, request, 421, b"", {"X-Not-Executed": "1"})
            return True
        if path == "/healthz":
            self.answer(writer, request, 200 if self.state == "healthy" else 503, b"",
                        {"X-Instance-Id": self.id, "X-Server-Load": self.load()})
            return True
        if path == "/api/report":
            self.answer(writer, request, 200, json.dumps(self.report()).encode())
            return True
        if path == "/api/order":
            status = self.order(json.loads(request.body))
            self.answer(writer, request, status, b"")
            return True
        if reason := self.refusal(request):
            self.answer(writer, request, reason, b"", {"X-Not-Executed": "1", "X-Server-Load": self.load()})
            return True
        self.running += 1
        self.ran.append((request.id, time.monotonic()))
        self.mill.record.write(f"server {self.id} runs {request.id} {request.method} {request.target}")
        try:
            if self.handler:
                return await self.handler(self, request, writer)
            await asyncio.sleep(0.03)
            self.answer(writer, request, 200, b"x" * 800)
            return True
        finally:
            self.running -= 1

    def refusal(self, request):
        return 503 if self.running >= self.slots else 0

    def load(self):
        return f"{self.running},0,{self.slots}"

    def report(self):
        return {"phase": "unified", "models": [], "busy": False, "sequence": 0, "waiting": 0,
                "running": self.running, "kv_in_use": 0, "kv_size": 0, "kv_handles": 0}

    def order(self, order):
        return 400

    def seal(self, request):
        return f"{self.id}.{request.id}.200"

    def answer(self, writer, request, status, body, headers=None):
        text = f"HTTP/1.1 {status} X\r\n"
        if request.id:
            text += f"X-Attempt-Id: {request.id}\r\n"
        if status not in (421,):
            text += f"X-Server-Seal: {self.seal(request)}\r\n"
        for name, value in (headers or {}).items():
            text += f"{name}: {value}\r\n"
        writer.write(text.encode() + f"Content-Length: {len(body)}\r\nKeep-Alive: timeout=5\r\n\r\n".encode() + body)


class Engine(Server):
    """Stand-in of a model server: orders, groups and streams. Weights load before traffic in a tenth of the time."""

    def __init__(self, mill, number, domain, handler=None, events=10, step=0.04):
        super().__init__(mill, WRITERS, number, handler or Engine.stream, slots=26, zone=ZONES[domain % 3])
        self.domain = f"d{domain}"
        self.staged, self.models, self.last_model = [], [], None
        self.group = None
        self.fence = 0
        self.orders = 0
        self.busy = False
        self.epoch_seen = 0
        self.events, self.step = events, step

    def says(self):
        it = dict(super().says(), phase="unified", failure_domain=self.domain, staged_models=self.staged,
                  models=[{"name": m, "version": 1, "adapter_ids": []} for m in self.models])
        if self.group:
            it["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        return it

    def report(self):
        it = dict(super().report(), sequence=self.orders, busy=self.busy, kv_size=2470000)
        it.update({k: v for k, v in self.says().items() if k in ("models", "failure_domain", "staged_models", "group")})
        return it

    def refusal(self, request):
        if not self.group or self.group["rank"] != 0 or self.group["state"] != "open":
            return 421
        return 503 if self.running >= self.slots else 0

    def set_state(self, state):
        self.group["state"] = state
        self.mill.record.write(f"server {self.id} group {self.group['name']} {state}")
        self.changed.set()

    def order(self, order):
        self.mill.record.write(f"server {self.id} order {json.dumps(order)}")
        fence = order.get("fencing_token", 0)
        if fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        kind = order.get("operation")
        if kind == "phase":
            self.orders += 1
            self.later(1.2, lambda: self.stage(order["model_id"]))
            return 202
        if kind == "join":
            return self.join(order)
        if kind not in ("open", "close", "leave"):
            return 400
        if not self.group or (self.group["name"], self.group["epoch"]) != (order["group"], order["epoch"]):
            return 409
        self.orders += 1
        if kind == "leave":
            self.group = None
            self.changed.set()
            return 200
        if kind == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "healthy" or self.group["rank"] != 0:
                return 409
            self.when(self.group, 0.3, "healthy", "open")
            return 202
        if self.group["state"] == "open":
            self.set_state("healthy")
        return 200

    def when(self, group, delay, state, new):
        def change():
            if self.group is group and group["state"] == state:
                self.set_state(new)
        self.later(delay, change)

    def later(self, delay, action):
        asyncio.get_running_loop().call_later(delay, action)

    def stage(self, model):
        self.staged = [model]
        self.changed.set()

    def join(self, order):
        epoch = order["epoch"]
        if epoch < self.epoch_seen:
            return 412
        key = (order["group"], epoch, tuple(order["members"]))
        if self.group and (self.group["name"], self.group["epoch"]) == key[:2]:
            return 200 if self.group["key"] == key and self.group["state"] != "joining" else 202
        self.epoch_seen = epoch
        self.orders += 1
        model = order["model_id"]
        delay = 0.2 if self.last_model == model else 1.1 if model in self.staged else 1.3
        self.group = {"name": order["group"], "epoch": epoch, "rank": order["members"].index(self.id),
                      "state": "joining", "key": key}
        group = self.group

        def joined():
            if self.group is group:
                self.staged, self.models, self.last_model = [model], [model], model
                self.set_state("healthy")
        self.later(delay, joined)
        self.changed.set()
        return 202

    def head(self, request, length=False):
        return (f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.id}\r\nX-Server-Seal: {self.seal(request)}\r\n"
                f"Content-Type: text/event-stream\r\nX-Server-Load: {self.load()}\r\n"
                "Keep-Alive: timeout=5\r\nTransfer-Encoding: chunked\r\n\r\n").encode()

    @staticmethod
    def chunk(data):
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    async def stream(self, request, writer):
        """Writes events after the last one that the caller has."""
        first = int(request.headers.get("last-event-id", "0") or 0) + 1
        writer.write(self.head(request))
        for i in range(first, self.events + 1):
            await asyncio.sleep(self.step)
            writer.write(self.chunk(f"id: {i}\ndata: {'t' * 40}\n\n".encode()))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True


class Client:
    """A client's channel."""

    def __init__(self, mill, ip):
        self.mill, self.ip = mill, ip
        self.reader = self.writer = None

    async def open(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, FRONTEND, limit=1 << 20)

    def close(self):
        if self.writer:
            self.writer.close()
        self.reader = self.writer = None

    def head(self, method, path, deadline, headers, body):
        self.attempt = f"{random.getrandbits(64):016x}"
        text = (f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {self.attempt}\r\n"
                f"X-Deadline-Ms: {deadline}\r\nAuthorization: Bearer {KEY}\r\n")
        for name, value in headers.items():
            text += f"{name}: {value}\r\n"
        if body is not None:
            text += f"Content-Length: {len(body)}\r\n"
        return text.encode() + b"\r\n"

    async def request(self, method, path, deadline, body=None, headers=None, timeout=None):
        """Sends a request and reads its whole answer. Returns (attempt id, status, body); status 0 when the channel
        ended without a complete answer, -1 when there was none within the time limit."""
        if not self.writer:
            await self.open()
        head = self.head(method, path, deadline, headers or {}, body)
        attempt = self.attempt
        self.mill.record.write(f"client sends {attempt} {method} {path} to {self.ip}")
        body_read = b""

        async def exchange():
            nonlocal body_read
            self.writer.write(head + (body or b""))
            await self.writer.drain()
            line, got = await read_head(self.reader)
            status = int(line.split()[1])
            if "chunked" in got.get("transfer-encoding", ""):
                while chunk := await read_chunk(self.reader):
                    body_read += chunk
                await self.reader.readexactly(0)
            else:
                body_read = await read_body(self.reader, got)
            if got.get("connection", "").lower() == "close":
                self.close()
            return status
        try:
            status = await asyncio.wait_for(exchange(), timeout or deadline / 1000 + 1)
        except asyncio.TimeoutError:
            status = -1
            self.close()
        except (OSError, EOFError, asyncio.IncompleteReadError):
            status = 0
            self.close()
        self.mill.record.write(f"client got {attempt} status {status}, {len(body_read)} bytes")
        return attempt, status, body_read

    async def stream(self, path="/lohu930/2f", deadline=8000, tokens="1460,80", prefix="5c1e07a2:800,91bd3f06:410",
                     headers=None):
        it = {"X-Model": MODEL, "X-Token-Usage": tokens, "X-Prompt-Prefix": prefix}
        it.update(headers or {})
        return await self.request("POST", path, deadline, b"p" * 1500, it)


def main(play, folder, **nodes):
    """Runs a case. `play(mill, record)` returns whether the rule was broken."""
    record = Record(folder)
    mill = Mill(record, **nodes)

    async def run():
        try:
            mill.start()
            return await asyncio.wait_for(play(mill, record), 110)
        finally:
            tasks = [it for it in asyncio.all_tasks() if it is not asyncio.current_task()]
            for it in tasks:
                it.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)
    code = 2
    try:
        code = 1 if asyncio.run(run()) else 0
    except CannotRun as error:
        record.write(f"cannot run: {error}")
        print(f"cannot run: {error}")
    except Exception as error:  # pylint: disable=broad-except
        record.write(f"cannot run: {type(error).__name__} {error}")
        import traceback
        traceback.print_exc()
    finally:
        mill.stop()
    print({0: "the rule held", 1: "the rule was broken", 2: "the case could not run"}[code])
    sys.exit(code)
