"""Runs rosemarymill's own programs on loopback and plays the platform around them.

Everything but the daemons lives in one asyncio loop: servers, operator, clients. Python 3.11, standard library only.
"""

import asyncio
import ctypes
import json
import os
import pathlib
import random
import shutil
import signal
import tempfile
import threading
import time
import tomllib
import traceback

REPOSITORY = pathlib.Path(__file__).resolve().parents[2]
ZONES = ["mixco", "villa-nueva", "antigua"]
REGION = "guate-central"
CONTROL_PORT = 8229
FRONT_PORT = 8227
READY_PORT = 8220
BOUNDS = {
    "seed_lag_s": 3, "reuse_after_s": 2, "contact_ms": 3000, "ack_ms": 4000, "catch_up_s": 4, "drain_ms": 2000,
    "grace_s": 8, "loss_slack_ms": 200, "config_apply_ms": 2000, "downgrade_ms": 250, "outer_ms": 5000,
    "fail_closed": False, "revoke_ms": 5000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 132,
    "cold_overshoot": 1.5, "cold_slack": 5, "evacuate_ms": 5000, "recover_s": 12, "event_delay_ms": 120,
    "retry_after_s": 0, "stall_ms": 5000, "fencing_required": True, "ceiling_window_s": 5, "origin_overshoot": 1.1,
}
ENGINE = {
    "slots": 26, "kv_capacity": 2470000, "kv_bytes": 35136, "link_mbps": 400000.0, "steps_per_pass": 6,
    "step_ms": 6.45, "per_seq_ms": 0.0967, "context_per_k": 0.00293, "read_per_s": 56100.0, "pairs_per_m": 0.309,
    "chunk": 2048, "report_lag_ms": 200.0, "loads_per_s": 5.5, "loads_at_once": 8, "delays": [],
    "usual": {"prompt": 1115, "answer": 152}, "max_staged": 1, "far_x": 3.0, "formation_ms": 300.0,
}


def end_with_parent():
    """In a child: the kernel ends it with this process, also when this one is killed."""
    pr_set_pdeathsig = 1
    ctypes.CDLL(None).prctl(pr_set_pdeathsig, signal.SIGKILL)


class Record:
    """Lines of what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")

    def __call__(self, *words):
        line = f"{time.monotonic() - self.start:8.3f} " + " ".join(str(it) for it in words)
        self.file.write(line + "\n")
        self.file.flush()

    def now(self):
        return time.monotonic() - self.start


# HTTP

class Message:
    def __init__(self, first, headers, body, complete=True):
        self.first, self.headers, self.body, self.complete = first, headers, body, complete

    def get(self, name, default=""):
        for key, value in self.headers:
            if key.lower() == name.lower():
                return value
        return default

    @property
    def status(self):
        return int(self.first.split()[1])


async def read_head(reader):
    """First line and headers, or None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    headers = [tuple(part.strip() for part in line.split(":", 1)) for line in lines[1:] if ":" in line]
    return Message(lines[0], headers, b"")


async def read_body(reader, message, request):
    """Reads the body that belongs to a head. Returns whether it is complete."""
    try:
        if "chunked" in message.get("Transfer-Encoding").lower():
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                data = await reader.readexactly(size + 2)
                if size == 0:
                    return True
                message.body += data[:-2]
        length = message.get("Content-Length")
        if length:
            message.body = await reader.readexactly(int(length))
        elif not request and message.status not in (204, 304):
            message.body = await reader.read()
        return True
    except (asyncio.IncompleteReadError, ConnectionError, ValueError):
        message.complete = False
        return False


async def read_message(reader, request):
    message = await read_head(reader)
    if message:
        await read_body(reader, message, request)
    return message


def encode(first, headers, body=b"", length=True):
    lines = [first] + [f"{key}: {value}" for key, value in headers]
    if length:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


async def call(address, method, path, body=None, timeout=1.0, headers=()):
    """One call on a new channel. Returns a Message, or None without a response."""
    host, port = address.rsplit(":", 1)
    writer = None

    async def go():
        nonlocal writer
        reader, writer = await asyncio.open_connection(host, int(port))
        data = b"" if body is None else json.dumps(body).encode()
        extra = [("Content-Type", "application/json")] if data else []
        writer.write(encode(f"{method} {path} HTTP/1.1", [("Host", address), *extra, *headers], data,
                            length=body is not None or method in ("PUT", "POST")))
        return await read_message(reader, False)

    try:
        return await asyncio.wait_for(go(), timeout)
    except (asyncio.TimeoutError, ConnectionError, OSError):
        return None
    finally:
        if writer:
            writer.close()


# Daemons

class Daemon:
    def __init__(self, site, name, role, ip, zone, extra):
        self.site, self.name, self.role, self.ip, self.zone, self.extra = site, name, role, ip, zone, extra
        self.process = None
        self.started = 0
        self.exits = []

    def settings(self, bootstrap):
        seeds = [f"{it.ip}:{CONTROL_PORT}" for it in self.site.seeds()]
        return {
            "node": self.name, "role": self.role, "ip": self.ip, "zone": self.zone, "region": REGION,
            "internal_ports": [7340, 7355], "seeds": seeds, "bootstrap": bootstrap, "in_tolerance": self.role == "control",
            "discovery": "self_register", "entry": "anycast", "heartbeat_ms": 1200, "config_mode": "highest",
            "contracts": ["base", "drain", "config", "cost", "retry", "recover", "engine", "stream", "tenants",
                          "places", "pressure", "gangs"],
            "zones": {it: REGION for it in ZONES}, "bounds": BOUNDS,
            "fault_tolerance": {"machine_count": 1, "zones": 1, "region_count": 0}, **self.extra,
        }

    async def start(self, bootstrap=False):
        path = self.site.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings(bootstrap)))
        log = open(self.site.folder / f"{self.name}.log", "ab")
        self.started += 1
        self.process = await asyncio.create_subprocess_exec(
            *self.site.command[self.role], cwd=REPOSITORY, preexec_fn=end_with_parent, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": "/tmp", "LANG": "C",
                 "ROSEMARYMILL_NODE_FILE": str(path)})
        log.close()

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.process.send_signal(number)

    async def wait(self, timeout):
        try:
            return await asyncio.wait_for(self.process.wait(), timeout)
        except asyncio.TimeoutError:
            return None

    def alive(self):
        return self.process is not None and self.process.returncode is None

    def memory(self, field="VmHWM"):
        """Peak memory in bytes."""
        try:
            for line in open(f"/proc/{self.process.pid}/status", encoding="ascii"):
                if line.startswith(field + ":"):
                    return int(line.split()[1]) * 1024
        except OSError:
            pass
        return 0

    def log(self):
        return (self.site.folder / f"{self.name}.log").read_text(errors="replace")


class Site:
    """Control, entry and gateway processes as the deploy file runs them."""

    def __init__(self, record, entries=2, gateways=0, controls=3):
        self.record = record
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="rosemarymill-review-"))
        roles = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())["roles"]
        self.command = {it: [str(REPOSITORY / roles[it]["run"].split()[0]), *roles[it]["run"].split()[1:]]
                        for it in ("entry", "control", "gateway")}
        self.net = f"127.{random.SystemRandom().randint(20, 250)}.{os.getpid() % 250}"
        self.controls, self.entries, self.gateways = [], [], []
        for i in range(controls):
            ip = f"{self.net}.{11 + i}"
            data = self.folder / f"data-{i}"
            data.mkdir()
            self.controls.append(Daemon(self, f"core-{i}", "control", ip, ZONES[i % 3], {
                "machine_class": "core", "serves": ["control"], "listen": {"control_plane": f"{ip}:{CONTROL_PORT}"},
                "data_dir": str(data),
                "limits": {"cpu_quota": 0.15, "cores": 1, "memory_mb": 256, "max_fds": 4096, "link_mbps": 170.0,
                           "disk_mb": 128}}))
        for i in range(entries):
            ip = f"{self.net}.{51 + i}"
            self.entries.append(Daemon(self, f"edge-{i}", "entry", ip, ZONES[i % 3], {
                "machine_class": "edge", "serves": ["edge"],
                "listen": {"frontend": f"{ip}:{FRONT_PORT}", "ready": f"{ip}:{READY_PORT}"},
                "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                           "disk_mb": 0}}))
        for i in range(gateways):
            ip = f"{self.net}.{91 + i}"
            self.gateways.append(Daemon(self, f"gate-{i}", "gateway", ip, ZONES[i % 3], {
                "machine_class": "edge", "serves": ["control"], "listen": {"control_plane": f"{ip}:{CONTROL_PORT}"},
                "limits": {"cpu_quota": 0.25, "cores": 1, "memory_mb": 260, "max_fds": 4100, "link_mbps": 1000.0,
                           "disk_mb": 0}}))

    def seeds(self):
        return self.controls[:3]

    def all(self):
        return self.controls + self.entries + self.gateways

    def control_addresses(self):
        return [f"{it.ip}:{CONTROL_PORT}" for it in self.controls + self.gateways]

    async def start(self):
        for it in self.all():
            await it.start(bootstrap=True)

    async def ready(self, timeout=20):
        """Waits until each entry process says that it is ready."""
        until = time.monotonic() + timeout
        for it in self.entries:
            while True:
                answer = await call(f"{it.ip}:{READY_PORT}", "GET", "/api/readyz")
                if answer and answer.status == 200:
                    break
                if time.monotonic() > until:
                    raise RuntimeError(f"{it.name} isn't ready")
                await asyncio.sleep(0.1)

    async def leader(self):
        """The control process that leads: the one that does not redirect a heartbeat's call."""
        for _ in range(100):
            for it in self.controls:
                if it.alive():
                    lines = [line for line in it.log().splitlines() if '"changed log role"' in line]
                    if lines and '"role":"2"' in lines[-1]:
                        return it
            await asyncio.sleep(0.1)
        raise RuntimeError("no control process leads")

    async def order(self, method, path, body=None, limit=30, first=None):
        """An operator's call: sent again to other processes until it gets a clear response."""
        addresses = self.control_addresses()
        random.shuffle(addresses)
        if first:
            addresses.insert(0, first)
        until = time.monotonic() + limit
        i = 0
        while time.monotonic() < until:
            address = addresses[i % len(addresses)]
            i += 1
            path_now = path
            for _ in range(3):
                answer = await call(address, method, path_now, body)
                if answer and answer.status == 307:
                    host, _, rest = answer.get("Location").removeprefix("http://").partition("/")
                    address, path_now = host, "/" + rest
                    continue
                break
            if answer and answer.status < 500 and answer.status not in (408, 429, 307):
                self.record("operator", method, path, "->", answer.status, "by", address)
                return answer
            await asyncio.sleep(0.1)
        raise RuntimeError(f"no answer to {method} {path}")

    async def stop(self):
        for it in self.all():
            it.signal(signal.SIGCONT)
            it.signal(signal.SIGKILL)
        for it in self.all():
            if it.process:
                await it.wait(5)
        shutil.rmtree(self.folder, ignore_errors=True)


# Servers

class Server:
    """A server of a service: heartbeats, health, orders of a group, and requests that `run` answers.

    `run(server, message, reader, writer)` is called for each request and returns whether the channel is kept.
    """

    def __init__(self, site, id, ip, service, zone, run, slots=26, domain=None, load_s=1.0, port=8080):
        self.site, self.id, self.ip, self.service, self.zone, self.run = site, id, ip, service, zone, run
        self.slots, self.domain, self.load_s, self.port = slots, domain, load_s, port
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.state = "healthy"
        self.models, self.staged, self.group, self.members = [], [], None, []
        self.orders_seen = 0
        self.fence = 0
        self.epoch = 0
        self.home = None
        self.silent = False
        self.writers = set()
        self.tasks = []
        self.listener = None
        self.on_order = None
        self.now_beat = asyncio.Event()
        self.running = 0

    @property
    def address(self):
        return f"{self.ip}:{self.port}"

    async def start(self):
        self.listener = await asyncio.start_server(self.serve, self.ip, self.port, limit=1 << 20)
        self.tasks.append(asyncio.create_task(self.beat()))

    async def crash(self):
        """Ends as a killed process does: its port closes and its channels are reset."""
        for it in self.tasks:
            it.cancel()
        self.tasks = []
        self.listener.close()
        for it in list(self.writers):
            it.transport.abort()
        self.writers.clear()

    def body(self):
        self.sequence += 1
        body = {"service": self.service, "address": self.address, "zone": self.zone, "version": "v1",
                "slots": self.slots, "state": self.state, "cold_left_ms": 0, "sequence": self.sequence,
                "born": self.born}
        if self.domain:
            body |= {"phase": "unified", "failure_domain": self.domain, "staged_models": self.staged,
                     "models": [{"name": it, "version": 1, "adapter_ids": []} for it in self.models]}
            if self.group:
                body["group"] = dict(self.group)
        return body

    async def send_beat(self):
        addresses = self.site.control_addresses()
        random.shuffle(addresses)
        for address in ([self.home] if self.home else []) + addresses:
            path = f"/api/instances/{self.id}"
            body = self.body()
            for _ in range(3):
                answer = await call(address, "PUT", path, body)
                if answer and answer.status == 307:
                    address = answer.get("Location").removeprefix("http://").partition("/")[0]
                    continue
                break
            if answer and answer.status == 200:
                self.home = (json.loads(answer.body or b"{}")).get("heartbeat_addr") or self.home
                return True
            self.home = None
        return False

    async def beat(self):
        while True:
            self.now_beat.clear()
            if not self.silent:
                await self.send_beat()
            try:
                await asyncio.wait_for(self.now_beat.wait(), 1.2)
            except asyncio.TimeoutError:
                pass

    def changed(self):
        self.now_beat.set()

    async def leave(self, drain_s=2.0):
        """Says that it drains, serves on, then leaves and ends."""
        self.state = "draining"
        self.changed()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                message = await read_message(reader, True)
                if message is None or not message.complete:
                    return
                if not await self.handle(message, reader, writer):
                    return
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, message, reader, writer):
        method, path, _ = message.first.split(" ")
        expected = message.get("X-Expect-Instance")
        if expected and expected != self.id:
            writer.write(encode("HTTP/1.1 421 Misdirected Request", [("X-Instance-Id", self.id),
                                ("X-Attempt-Id", message.get("X-Attempt-Id")), ("X-Not-Executed", "1")]))
            return True
        if path == "/healthz":
            writer.write(encode("HTTP/1.1 200 OK", [("X-Instance-Id", self.id)]))
            return True
        if path == "/api/report":
            writer.write(encode("HTTP/1.1 200 OK", [("Content-Type", "application/json")],
                                json.dumps({"phase": "unified", "models": [], "busy": False}).encode()))
            return True
        if path == "/api/order":
            status = await self.order(json.loads(message.body))
            if status is None:
                return False
            writer.write(encode(f"HTTP/1.1 {status} X", [("Content-Type", "application/json")], b"{}"))
            return True
        return await self.run(self, message, reader, writer)

    async def order(self, it):
        if self.on_order:
            handled = await self.on_order(self, it)
            if handled is not None:
                return None if handled == "silent" else handled
        return self.execute(it)

    def execute(self, it):
        """Carries out an order as PROTOCOL.md says. Returns the status."""
        operation = it.get("operation")
        self.site.record("order", self.id, json.dumps(it))
        fence = it.get("fencing_token")
        if fence is not None:
            if fence < self.fence:
                return 412
            self.fence = max(self.fence, fence)
        if operation == "join":
            if it["epoch"] < self.epoch:
                return 412
            if self.group and self.group["name"] == it["group"] and self.group["epoch"] == it["epoch"]:
                return 200 if self.members == it["members"] else 412
            self.epoch = it["epoch"]
            again = self.models == [it["model_id"]]
            wait = 0.2 if again else (0.3 if it["model_id"] in self.staged else self.load_s)
            self.group = {"name": it["group"], "epoch": it["epoch"], "rank": it["members"].index(self.id),
                          "state": "joining"}
            self.members = it["members"]
            self.models = []
            self.changed()
            asyncio.get_running_loop().call_later(wait, self.joined, it["group"], it["epoch"], it["model_id"])
            return 202
        if operation == "phase":
            asyncio.get_running_loop().call_later(self.load_s, self.stage, it["model_id"])
            return 202
        if not self.group or self.group["name"] != it.get("group") or self.group["epoch"] != it.get("epoch"):
            return 409
        if operation == "open":
            if self.group["state"] == "open":
                return 200
            if self.group["state"] != "healthy" or self.group["rank"] != 0:
                return 409
            asyncio.get_running_loop().call_later(0.3, self.opened, it["group"], it["epoch"])
            return 202
        if operation == "close":
            if self.group["state"] == "healthy":
                return 200
            self.group["state"] = "healthy"
            self.changed()
            return 202
        if operation == "leave":
            self.group = None
            self.changed()
            return 202
        return 400

    def joined(self, group, epoch, model):
        if self.group and self.group["name"] == group and self.group["epoch"] == epoch:
            self.group["state"] = "healthy"
            self.models = [model]
            self.stage(model)

    def stage(self, model):
        self.staged = [model]
        self.changed()

    def opened(self, group, epoch):
        if self.group and self.group["name"] == group and self.group["epoch"] == epoch \
                and self.group["state"] == "healthy":
            self.group["state"] = "open"
            self.changed()


def config(version, routes, services, tenants=(), limits=None):
    return {"version": version, "routes": routes, "services": services,
            "limits": limits or {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
                                 "idle_timeout_ms": 15000},
            "tenants": list(tenants)}


def route(name, prefix, kind, service, timeout_ms=1000, max_attempts=1, **more):
    return {"name": name, "host": "kits.example", "path_prefix": prefix, "route_kind": kind, "timeout_ms": timeout_ms,
            "latency_goal_ms": 100, "priority": 1, "service": service, "max_attempts": max_attempts, "public": False,
            "sticky": False, "resumable": False, **more}


def plain_service(name):
    return {"name": name, "health_path": "/healthz", "max_conns": 100, "protocol": "h1", "tls": False,
            "cold_start_s": 0.0, "cold_per_s": 0.0}


def engine_service(name, models):
    return {"name": name, "health_path": "/healthz", "max_conns": 464, "protocol": "h1", "tls": False,
            "cold_start_s": 3.0, "cold_per_s": 36.0, "inference_engine": {**ENGINE, "models": models}}


def model(name, size, load_time_s=12.0, warmup_s=1.1, pace=1.0, work_share=1.0):
    return {"name": name, "size": size, "work_share": work_share, "pace": pace, "load_time_s": load_time_s,
            "warmup_s": warmup_s}


TENANT = {"name": "limonada", "api_keys": ["key-limonada"], "priority": 1}


class Client:
    """One client attempt on a channel of its own, or on a kept channel."""

    ids = 0

    @classmethod
    def id(cls):
        cls.ids += 1
        return f"{os.getpid() % 0xffff:04x}{cls.ids:012x}"

    def __init__(self, address):
        self.address = address
        self.reader = self.writer = None

    async def connect(self):
        host, port = self.address.rsplit(":", 1)
        self.reader, self.writer = await asyncio.open_connection(host, int(port), limit=1 << 22)

    def send(self, method, path, attempt, deadline_ms, body=b"", headers=(), key="key-limonada"):
        base = [("Host", "kits.example"), ("X-Attempt-Id", attempt), ("X-Deadline-Ms", deadline_ms)]
        if key:
            base.append(("Authorization", f"Bearer {key}"))
        self.writer.write(encode(f"{method} {path} HTTP/1.1", [*base, *headers], body,
                                 length=bool(body) or method == "POST"))

    async def request(self, method, path, attempt, deadline_ms, body=b"", headers=(), patience=None):
        """Sends one request and reads its answer. Returns a Message, or None when the channel ended."""
        if not self.writer:
            await self.connect()
        self.send(method, path, attempt, deadline_ms, body, headers)
        try:
            return await asyncio.wait_for(read_message(self.reader, False), patience or deadline_ms / 1000 + 1)
        except (asyncio.TimeoutError, ConnectionError):
            return None

    def close(self):
        if self.writer:
            self.writer.close()


def main(case, folder, limit=112):
    """Runs `case(record, trouble)`, which returns whether the rule held. Exits with 0, 1 or 2.

    The process ends in the loop: tasks that are left at the end needn't be waited for, and the daemons end with it.
    """
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record = Record(pathlib.Path(folder) / "record.txt")
    record("trouble", "on" if trouble else "off")

    async def run():
        try:
            held = await asyncio.wait_for(case(record, trouble), limit)
        except BaseException as error:  # The case could not run.
            record("could not run:", traceback.format_exc())
            print("could not run:", repr(error), flush=True)
            os._exit(2)
        record("held" if held else "broken")
        print("held" if held else "broken", flush=True)
        os._exit(0 if held else 1)

    watchdog = threading.Timer(limit + 5, os._exit, (2,))
    watchdog.daemon = True
    watchdog.start()
    asyncio.run(run())
