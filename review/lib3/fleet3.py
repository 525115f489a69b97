"""Starts the project's processes on loopback with stand-ins of servers and clients.

Each machine has an address of its own in 127.0.0.0/8, and ports are the same on all machines, as on the platform. The
processes are started with the command of their role in deploy/system.toml and with settings that hold the fields of the
platform's settings file.
"""

import asyncio
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["zone-tilburg", "zone-breda", "zone-den-bosch"]
REGION = "nl-west"
HOST = "ficu95.example"
LINK_PORT, LINK_LAST, FRONT_PORT, READY_PORT, CONTROL_PORT, SERVER_PORT = 7340, 7355, 8227, 8220, 8229, 8080
BOUNDS = {"seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
          "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "outer_ms": 5000,
          "fail_closed": False, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 130,
          "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "event_delay_ms": 120,
          "retry_after_s": 0, "stall_ms": 5000, "fencing_required": True, "ceiling_window_s": 5,
          "origin_overshoot": 1.1}


class CannotRun(Exception):
    """The case could not be played: exit status 2."""


def trouble():
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Lines of record.txt with the time since the start of the case."""

    def __init__(self, folder):
        self.file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self.begin = time.monotonic()

    def __call__(self, text):
        self.file.write(f"{time.monotonic() - self.begin:9.3f} {text}\n")
        self.file.flush()


# HTTP

class Message:
    def __init__(self, start, headers, body=b""):
        self.start, self.headers, self.body = start, headers, body

    def get(self, name, default=""):
        return self.headers.get(name.lower(), default)

    @property
    def status(self):
        return int(self.start.split(" ")[1])


async def read_head(reader):
    raw = await reader.readuntil(b"\r\n\r\n")
    lines = raw.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return Message(lines[0], headers)


async def read_chunk(reader):
    size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
    data = await reader.readexactly(size)
    await reader.readexactly(2)
    return data


async def read_message(reader):
    """Reads a message with a length or chunks; one with neither has no body."""
    head = await read_head(reader)
    if head.get("transfer-encoding") == "chunked":
        while data := await read_chunk(reader):
            head.body += data
    elif head.get("content-length"):
        head.body = await reader.readexactly(int(head.get("content-length")))
    return head


def format_message(start, headers, body=b""):
    lines = [start] + [f"{n}: {v}" for n, v in headers] + [f"Content-Length: {len(body)}", "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


async def connect(address, timeout=1.0):
    ip, _, port = address.rpartition(":")
    return await asyncio.wait_for(asyncio.open_connection(ip, int(port)), timeout)


async def call(address, method, path, body=b"", headers=(), timeout=1.0):
    """One request on a channel of its own. Returns None without an answer."""
    writer = None
    try:
        reader, writer = await connect(address, timeout)
        host = [] if any(name == "Host" for name, _ in headers) else [("Host", address)]
        writer.write(format_message(f"{method} {path} HTTP/1.1", [*host, *headers], body))
        return await asyncio.wait_for(read_message(reader), timeout)
    except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, ValueError):
        return None
    finally:
        if writer:
            writer.close()


def reset(writer):
    """Closes a channel with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
    writer.transport.abort()


# The project's processes

class Process:
    def __init__(self, fleet, role, ip, zone, index):
        self.fleet, self.role, self.ip, self.zone, self.index = fleet, role, ip, zone, index
        self.name = f"{role}-{zone}-{index}"
        self.folder = fleet.folder / self.name
        self.process = None
        self.starts = 0
        self.ends = 0
        self.expected_end = False

    def settings(self, bootstrap):
        edge = self.role != "control"
        listen = {"control_plane": f"{self.ip}:{CONTROL_PORT}"}
        if self.role == "entry":
            listen = {"frontend": f"{self.ip}:{FRONT_PORT}", "ready": f"{self.ip}:{READY_PORT}"}
        limits = {"cpu_quota": 0.25 if edge else 0.3, "cores": 1, "memory_mb": 260 if edge else 256,
                  "max_fds": 4200 if edge else 4096, "link_mbps": 1000.0, "disk_mb": 0 if edge else 128}
        return {"node": self.name, "role": self.role, "machine_class": "edge" if edge else "core",
                "serves": ["edge" if self.role == "entry" else "control"], "ip": self.ip, "zone": self.zone,
                "region": REGION, "zones": {z: REGION for z in ZONES}, "listen": listen,
                "internal_ports": [LINK_PORT, LINK_LAST], "seeds": self.fleet.seeds, "bootstrap": bootstrap,
                "in_tolerance": not edge, "limits": limits, "data_dir": None if edge else str(self.folder / "data"),
                "discovery": "self_register", "entry": "anycast", "heartbeat_ms": 1200,
                "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                              "places", "pressure", "gangs"],
                "fault_tolerance": {"machine_count": 1, "zones": 1, "region_count": 0}, "bounds": BOUNDS,
                "config_mode": "highest"}

    async def start(self):
        self.folder.mkdir(parents=True, exist_ok=True)
        path = self.folder / "settings.json"
        path.write_text(json.dumps(self.settings(self.starts == 0)))
        command = self.fleet.deploy["roles"][self.role]["run"].split(" ")
        if not (ROOT / command[0]).exists():
            raise CannotRun(f"{command[0]} is missing: run the build of the deploy file")
        log = open(self.folder / f"log-{self.starts}.txt", "wb")
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["ROSEMARYMILL_NODE_FILE"] = str(path)
        self.process = await asyncio.create_subprocess_exec(
            str(ROOT / command[0]), *command[1:], cwd=ROOT, env=env, stdin=asyncio.subprocess.DEVNULL, stdout=log,
            stderr=log)
        self.starts += 1
        self.expected_end = False
        self.fleet.record(f"process {self.name} {self.ip} started")

    def running(self):
        return self.process is not None and self.process.returncode is None

    def signal(self, number):
        if self.running():
            if number in (signal.SIGKILL, signal.SIGTERM):
                self.expected_end = True
            self.fleet.record(f"process {self.name} gets {signal.Signals(number).name}")
            self.process.send_signal(number)

    def ended_by_itself(self):
        return self.process is not None and self.process.returncode is not None and not self.expected_end


class Fleet:
    def __init__(self, record, cores=3, entries=2, gateways=0):
        self.record = record
        self.deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review3-"))
        self.net = self._free_net()
        self.hosts = 0
        self.cores = [Process(self, "control", self.next_ip(), ZONES[i % 3], i // 3 + 1) for i in range(cores)]
        self.seeds = [f"{it.ip}:{CONTROL_PORT}" for it in self.cores[:3]]
        self.entries = [Process(self, "entry", self.next_ip(), ZONES[i % 3], i // 3 + 1) for i in range(entries)]
        self.gateways = [Process(self, "gateway", self.next_ip(), ZONES[i % 3], i // 3 + 1) for i in range(gateways)]
        self.processes = self.cores + self.entries + self.gateways
        self.servers = []

    @staticmethod
    def _free_net():
        for _ in range(200):
            net = f"127.{random.randrange(16, 250)}.{random.randrange(1, 250)}"
            try:
                for port in (LINK_PORT, FRONT_PORT, CONTROL_PORT, SERVER_PORT):
                    with socket.socket() as it:
                        it.bind((f"{net}.1", port))
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def next_ip(self):
        self.hosts += 1
        return f"{self.net}.{self.hosts}"

    async def start(self, config, ready_timeout=25.0):
        for it in self.processes:
            await it.start()
        await self.put_config(config)
        for it in self.servers:
            await it.start()
        limit = time.monotonic() + ready_timeout
        while not all([await self.ready(it) for it in self.entries]):
            if time.monotonic() > limit:
                raise CannotRun("the entry processes did not become ready")
            await asyncio.sleep(0.2)
        self.record("all entry processes are ready")

    async def ready(self, entry):
        answer = await call(f"{entry.ip}:{READY_PORT}", "GET", "/api/readyz")
        return answer is not None and answer.status == 200

    async def operator(self, method, path, body=b"", limit=20.0, at=None):
        """Sends an order like an operator: to another node after a failure, until it gets a clear answer."""
        end = time.monotonic() + limit
        nodes = self.cores + self.gateways
        turn = nodes.index(at) if at else 0
        while time.monotonic() < end:
            node = nodes[turn % len(nodes)]
            turn += 1
            address = f"{node.ip}:{CONTROL_PORT}"
            for _ in range(3):
                answer = await call(address, method, path, body, [("Content-Type", "application/json")])
                if answer is None or answer.status != 307:
                    break
                address = answer.get("location").split("/")[2]
            if answer and (answer.status < 300 or answer.status in (400, 409, 412, 413, 422)):
                self.record(f"operator {method} {path} -> {answer.status} by {address}")
                return answer
            await asyncio.sleep(0.1)
        return None

    async def put_config(self, config):
        answer = await self.operator("PUT", "/api/config", json.dumps(config).encode())
        if answer is None or answer.status != 200:
            raise CannotRun("the config was not acknowledged")
        return answer

    async def stop(self):
        for it in self.servers:
            await it.stop()
        for it in self.processes:
            if it.running():
                it.expected_end = True
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
                await it.process.wait()
        if os.environ.get("KEEP"):
            print("kept", self.folder)
        else:
            shutil.rmtree(self.folder, ignore_errors=True)

    def ended(self):
        return [it.name for it in self.processes if it.ended_by_itself()]


# Servers

class Server:
    """A server of a plain service, or a model server that joins groups. It behaves as the pages say."""

    def __init__(self, fleet, service, zone, slots=26, domain=None, models=None, formation_s=0.3):
        self.fleet, self.service, self.zone, self.slots, self.domain = fleet, service, zone, slots, domain
        self.models = models  # name -> (load_s, warm_s); None for a plain service
        self.formation_s = formation_s
        self.ip = fleet.next_ip()
        self.address = f"{self.ip}:{SERVER_PORT}"
        self.id = f"i-{random.randrange(1 << 32):08x}"
        self.born = 0
        self.sequence = 0
        self.orders = 0
        self.state = "healthy"
        self.group = None
        self.loaded = None
        self.staged = None
        self.last_model = None
        self.fence = 0
        self.epoch = 0
        self.seen_members = {}
        self.tasks = set()
        self.writers = set()
        self.listener = None
        self.beat_task = None
        self.beat_address = None
        self.running = 0
        self.count = 0
        self.on_request = None   # coroutine(server, message, reader, writer) -> keep the channel
        self.on_order = None     # coroutine(server, body) -> True: no answer is given
        self.on_call = None
        fleet.servers.append(self)

    async def start(self):
        self.born = int(time.time() * 1000)
        self.listener = await asyncio.start_server(self.serve, self.ip, SERVER_PORT, limit=1 << 23, backlog=512)
        self.beat_task = asyncio.create_task(self.beats())

    async def stop(self):
        if self.beat_task:
            self.beat_task.cancel()
            self.beat_task = None
        if self.listener:
            self.listener.close()
            self.listener = None
        for it in list(self.writers):
            reset(it)
        for it in list(self.tasks):
            it.cancel()

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    # Heartbeats

    def beat(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence,
                "born": self.born}
        if self.models is not None:
            body["phase"] = "unified"
            body["failure_domain"] = self.domain
            body["models"] = [{"name": self.loaded, "version": 1, "adapter_ids": []}] if self.loaded else []
            body["staged_models"] = [self.staged] if self.staged else []
            if self.group:
                body["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        return body

    async def send_beat(self):
        body = json.dumps(self.beat()).encode()
        nodes = [f"{it.ip}:{CONTROL_PORT}" for it in self.fleet.cores + self.fleet.gateways]
        random.shuffle(nodes)
        if self.beat_address:
            nodes.insert(0, self.beat_address)
        for address in nodes:
            for _ in range(3):
                answer = await call(address, "PUT", f"/api/instances/{self.id}", body,
                                    [("Content-Type", "application/json")])
                if answer is None or answer.status != 307:
                    break
                address = answer.get("location").split("/")[2]
            if answer and answer.status == 200:
                self.beat_address = json.loads(answer.body).get("heartbeat_addr", self.beat_address)
                return True
            self.beat_address = None
        return False

    async def beats(self):
        while True:
            await self.send_beat()
            await asyncio.sleep(1.2)

    def changed(self):
        self.spawn(self.send_beat())

    # Requests

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader)
                if not await self.handle(message, reader, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer):
        method, target, _ = message.start.split(" ")
        expected = message.get("x-expect-instance")
        attempt = message.get("x-attempt-id")
        echo = [("X-Attempt-Id", attempt)] if attempt else []
        if expected and expected != self.id:
            writer.write(format_message("HTTP/1.1 421 Misdirected Request", [("X-Instance-Id", self.id), *echo]))
            return True
        if method == "GET" and target == "/api/report":
            writer.write(format_message("HTTP/1.1 200 OK", [("Content-Type", "application/json")],
                                        json.dumps(self.report()).encode()))
            return message.get("connection") != "close"
        if method == "POST" and target == "/api/order":
            body = json.loads(message.body)
            if self.on_order and await self.on_order(self, body):
                return False
            status = self.order(body)
            writer.write(format_message(f"HTTP/1.1 {status} Order", [("Content-Type", "application/json")], b"{}"))
            return message.get("connection") != "close"
        if self.models is not None and not self.opens():
            writer.write(format_message("HTTP/1.1 421 Misdirected Request", [("X-Instance-Id", self.id), *echo]))
            return True
        return await self.on_request(self, message, reader, writer)

    def opens(self):
        return self.group is not None and self.group["rank"] == 0 and self.group["state"] == "open"

    def report(self):
        body = {"phase": "unified", "busy": False, "sequence": self.orders, "waiting": 0, "running": self.running,
                "kv_in_use": 0, "kv_size": 2470000, "kv_handles": 0, "pace": 1.0, "born": self.born,
                "models": [{"name": self.loaded, "version": 1, "adapter_ids": []}] if self.loaded else []}
        if self.group:
            body["group"] = {k: self.group[k] for k in ("name", "epoch", "rank", "state")}
        return body

    def order(self, body):
        kind = body.get("operation")
        fence = body.get("fencing_token", 0)
        self.fleet.record(f"order {self.id} {json.dumps(body)}")
        if fence < self.fence:
            return 412
        self.fence = max(self.fence, fence)
        if kind == "phase":
            if self.staged == body["model_id"]:
                return 200
            self.orders += 1
            self.spawn(self.stage(body["model_id"]))
            return 202
        if kind == "join":
            key = (body["group"], body["epoch"])
            if body["epoch"] < self.epoch or self.seen_members.get(key, body["members"]) != body["members"]:
                return 412
            if self.group and (self.group["name"], self.group["epoch"]) == key:
                return 200
            self.epoch = body["epoch"]
            self.seen_members[key] = body["members"]
            self.orders += 1
            self.group = {"name": body["group"], "epoch": body["epoch"], "rank": body["members"].index(self.id),
                          "state": "joining", "members": body["members"], "model": body["model_id"]}
            self.spawn(self.join(self.group))
            return 202
        group = self.group
        if kind not in ("open", "close", "leave"):
            return 400
        if not group or group["name"] != body["group"] or group["epoch"] != body["epoch"]:
            return 409
        if kind == "open":
            if group["state"] == "open" or group.get("opening"):
                return 200
            if group["state"] != "healthy" or group["rank"] != 0:
                return 409
            group["opening"] = True
            self.orders += 1
            self.spawn(self.open(group))
            return 202
        self.orders += 1
        if kind == "close":
            group["state"] = "healthy" if group["state"] in ("open", "closing") else group["state"]
        else:
            self.group = None
        self.changed()
        return 200

    async def stage(self, model):
        await asyncio.sleep(self.models[model][0])
        self.staged = model
        self.changed()

    async def join(self, group):
        load, warm = self.models[group["model"]]
        self.changed()
        await asyncio.sleep(0.2 if self.last_model == group["model"] else warm if self.staged == group["model"]
                            else load)
        if self.group is not group:
            return
        self.loaded = self.staged = self.last_model = group["model"]
        group["state"] = "healthy"
        self.changed()

    async def open(self, group):
        await asyncio.sleep(self.formation_s)
        if self.group is group:
            group["state"] = "open"
            self.fleet.record(f"head {self.id} opens {group['name']} members {group['members']}")
            self.changed()


def config(version=1, routes=(), services=(), tenants=()):
    return {"version": version, "routes": list(routes), "services": list(services),
            "limits": {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                       "idle_timeout_ms": 15000}, "tenants": list(tenants)}


def route(name, prefix, kind, service, timeout_ms=1000, attempts=2, resumable=False, public=False):
    it = {"name": name, "host": HOST, "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms,
          "latency_goal_ms": 400, "priority": 1, "service": service, "max_attempts": attempts, "public": public}
    if kind == "streaming":
        it.update({"sticky": True, "resumable": resumable, "itl_target_ms": 250})
    return it


def plain_service(name, max_conns=48):
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}


def model_service(name, models, max_conns=374):
    """`models`: (name, size, share, load_s, warm_s)."""
    return {"name": name, "health_path": "/healthz", "max_conns": max_conns, "protocol": "h1", "tls": False,
            "cold_start_s": 3.0, "cold_per_s": 36.0, "inference_engine": {
                "slots": 26, "kv_capacity": 2470000, "kv_bytes": 35136, "link_mbps": 400000.0, "steps_per_pass": 6,
                "models": [{"name": n, "size": size, "work_share": share, "pace": 1.0, "load_time_s": load,
                            "warmup_s": warm} for n, size, share, load, warm in models],
                "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0,
                "pairs_per_m": 0.309, "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8,
                "delays": [], "usual": {"prompt": 1115, "answer": 152}, "max_staged": 1, "far_x": 3.0,
                "formation_ms": 300.0}}


def run_case(folder, play, limit=115.0):
    """Plays a case. `play(record)` returns whether the rule was broken."""
    record = Record(folder)

    async def limited():
        # A signal from outside ends the case like its time limit does, so that its processes are ended too.
        task = asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            asyncio.get_running_loop().add_signal_handler(number, task.cancel)
        return await asyncio.wait_for(play(record), limit)

    try:
        broken = asyncio.run(limited())
    except CannotRun as error:
        record(f"cannot run: {error}")
        sys.exit(2)
    except (asyncio.TimeoutError, asyncio.CancelledError) as error:
        record(f"cannot run: {'the case took too long' if isinstance(error, asyncio.TimeoutError) else 'interrupted'}")
        sys.exit(2)
    record("the rule was broken" if broken else "the rule held")
    print("broken" if broken else "held")
    sys.exit(1 if broken else 0)
