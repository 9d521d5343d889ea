"""Stand-ins for the cases of this review: the platform's store, servers, clients and gateways as processes.

Everything but the gateways runs in one event loop. Times are those of `time.monotonic()` relative to the start of the
world. All addresses are loopback addresses, and every process that a world starts is ended by `World.close`.
"""
import asyncio
import base64
import itertools
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
# The command of `deploy/system.toml`, split at spaces, from the root of the repository.
COMMAND = ["target/bin/bergamotpaddle-gateway", "--metrics_port=9464"]
# As in the settings of the small sites, `bounds`.
BOUNDS = {"seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "syncS": 4, "drainMs": 2000, "graceS": 8,
          "lostSlackMs": 200, "configMs": 2000, "rollbackSlackMs": 250, "outerMs": 5000, "strictRevoke": False,
          "revokeMs": 5000, "retryBudget": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "recoveryS": 12,
          "passMs": 120, "reuseWindowS": 8.5, "settle_ms": 1500}
STORE_ANSWER_SECONDS = 0.004
# A case that takes longer could not run; a script may take 120 s.
MAX_SECONDS = 110
HOST = "desk.example"


class Record:
    """The file with what was sent, answered and run."""

    def __init__(self, path, world):
        self.file = open(path, "w")
        self.world = world

    def line(self, *parts):
        print(f"{self.world.now():9.4f}", *parts, file=self.file)

    def say(self, *parts):
        self.line(*parts)
        print(f"{self.world.now():9.4f}", *parts, flush=True)


async def read_head(reader):
    """Returns the first line and the fields, with names in lower case."""
    lines = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


class Store:
    """The platform's store: items with revisions, watches and conditional writes.

    `mode` is `up`, `silent` (calls get no answer) or `reset`.
    """

    def __init__(self):
        self.revision = 10
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()
        self.mode = "up"
        self.writers = set()
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def impair(self, mode):
        """Begins an impairment. Calls that wait are never answered."""
        self.mode = mode
        for writer in self.writers if mode == "reset" else ():
            writer.transport.abort()

    def put(self, key, value):
        """Stores text; returns when the store has confirmed it, which takes no time for the writer."""
        self.revision += 1
        item = {"key": key, "value": base64.b64encode(value.encode()).decode(), "rev": self.revision,
                "createdRev": self.items.get(key, {}).get("createdRev", self.revision), "lease": 0}
        self.items[key] = item
        self.history.append(item)

    def remove(self, key):
        self.revision += 1
        self.items.pop(key, None)
        self.history.append({"key": key, "rev": self.revision, "deleted": True})

    async def tell(self):
        async with self.changed:
            self.changed.notify_all()

    async def operate(self, *changes):
        """Applies changes (key, document or None) as the operator or a server does."""
        for key, document in changes:
            self.put(key, json.dumps(document)) if document is not None else self.remove(key)
        await self.tell()

    def events(self, prefix, after):
        return [item for item in self.history if item["rev"] > after and item["key"].startswith(prefix)]

    async def handle(self, target, body):
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            items = [item for key, item in sorted(self.items.items())
                     if key.startswith(query["pathPrefix"]) and key > query.get("after", "")]
            return 200, {"items": items[:500], "truncated": len(items) > 500, "currentRev": self.revision}
        if url.path == "/kv-watch":
            prefix, after = query["pathPrefix"], int(query["after"])
            async with self.changed:
                try:
                    await asyncio.wait_for(self.changed.wait_for(lambda: self.events(prefix, after)),
                                           int(query["waitMs"]) / 1000)
                except asyncio.TimeoutError:
                    pass
            return 200, {"events": self.events(prefix, after), "currentRev": self.revision}
        if url.path == "/kv-txn":
            request = json.loads(body)
            current = [self.items.get(row["key"], {"key": row["key"], "rev": 0}) for row in request["expectRev"]]
            if any(item["rev"] != row["rev"] for item, row in zip(current, request["expectRev"])):
                return 412, {"items": [item for item in current if item["rev"]]}
            for row in request["puts"]:
                self.put(row["key"], base64.b64decode(row["value"]).decode())
            for key in request.get("delete", []):
                self.remove(key)
            await self.tell()
            return 200, {"rev": self.revision}
        return 404, {}

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            if self.mode == "reset":
                writer.transport.abort()
                return
            line, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            if self.mode != "up":
                await reader.read()  # Until the caller gives up.
                return
            status, document = await self.handle(line.split(" ")[1], body)
            await asyncio.sleep(STORE_ANSWER_SECONDS)
            if self.mode != "up":
                await reader.read()
                return
            content = json.dumps(document).encode()
            writer.write(b"HTTP/1.1 %d OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n"
                         b"Connection: close\r\n\r\n" % (status, len(content)) + content)
            await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()


class Server:
    """A server of a service. `work(server, fields, body, send)` answers a request.

    It records each arrival in `arrivals` as (time, attempt id, fields).
    """

    def __init__(self, world, server_id, service, zone, work):
        self.world, self.id, self.service, self.zone, self.work = world, server_id, service, zone, work
        self.arrivals = []
        self.server = None
        self.address = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.world.server_ip, 0, backlog=1024)
        self.address = "%s:%d" % self.server.sockets[0].getsockname()[:2]
        return self

    def entry(self, state="ready", seq=1):
        return {"service": self.service, "addr": self.address, "zone": self.zone, "version": "v1", "slots": 32,
                "state": state, "coldLeftMs": 0, "seq": seq, "born": 1_700_000_000_000}

    async def serve(self, reader, writer):
        try:
            line, fields = await read_head(reader)
            body = await reader.readexactly(int(fields.get("content-length", 0)))
            attempt = fields["bergamotpaddle-attempt-id"]
            if fields.get("bergamotpaddle-expect-instance", self.id) != self.id:
                writer.write(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
                return
            self.arrivals.append((self.world.now(), attempt, fields))
            self.world.record.line("server", self.id, "runs", attempt)
            await self.work(self, line, fields, body, reader, writer)
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def head(self, attempt, status=200, *lines):
        return "\r\n".join([f"HTTP/1.1 {status} OK", f"Bergamotpaddle-Attempt-Id: {attempt}",
                            f"Bergamotpaddle-Response-Seal: {self.id}.{status}", *lines, "", ""]).encode()


def plain_work(seconds=0.002):
    """Answers with a short body after a time."""

    async def work(server, _line, fields, _body, _reader, writer):
        await asyncio.sleep(seconds)
        text = f"answer of {server.id}".encode()
        writer.write(server.head(fields["bergamotpaddle-attempt-id"], 200, f"Content-Length: {len(text)}",
                                 "Connection: close") + text)
        await writer.drain()

    return work


def stream_work(interval, stride):
    """Streams events of `stride` tokens until the maximum output of the request is reached."""

    async def work(server, _line, fields, _body, _reader, writer):
        tokens = int(fields["bergamotpaddle-token-usage"].split(",")[1])
        writer.write(server.head(fields["bergamotpaddle-attempt-id"], 200, "Content-Type: text/event-stream",
                                 "Transfer-Encoding: chunked", "Connection: close"))
        for number in range(1, -(-tokens // stride) + 1):
            await asyncio.sleep(interval)
            data = b"id: %d\ndata: piece\n\n" % number
            writer.write(b"%x\r\n" % len(data) + data + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return work


class Answer:
    """What a client got: `status` is None without a whole head, `is_whole` tells of a whole answer."""

    def __init__(self, attempt):
        self.attempt = attempt
        self.status = None
        self.fields = {}
        self.body = b""
        self.is_whole = False
        self.was_connected = False


class Client:
    """A client that keeps its channel."""

    numbers = itertools.count(1)

    def __init__(self, world, gateway):
        self.world, self.gateway = world, gateway
        self.reader = self.writer = None

    async def call(self, path, timeout_ms, fields=(), body=b"x"):
        answer = Answer(f"{next(self.numbers):08x}")
        record = self.world.record
        try:
            if self.writer is None:
                self.reader, self.writer = await asyncio.wait_for(
                    asyncio.open_connection(self.gateway.ip, self.world.front_port), 1)
            answer.was_connected = True
            head = [f"POST {path} HTTP/1.1", f"Host: {HOST}", f"Bergamotpaddle-Attempt-Id: {answer.attempt}",
                    f"Bergamotpaddle-Timeout-Ms: {timeout_ms}", f"Content-Length: {len(body)}", *fields, "", ""]
            record.line("client sends", answer.attempt, path, "to", self.gateway.name)
            self.writer.write("\r\n".join(head).encode() + body)
            await asyncio.wait_for(self.read(answer), timeout_ms / 1000 + 1)
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.TimeoutError):
            pass
        record.line("client gets", answer.attempt, answer.status, "whole" if answer.is_whole else "not whole")
        if not answer.is_whole or answer.fields.get("connection", "").lower() == "close":
            self.close()
        return answer

    async def read(self, answer):
        line, answer.fields = await read_head(self.reader)
        answer.status = int(line.split(" ")[1])
        if answer.fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await self.reader.readuntil(b"\r\n"), 16):
                answer.body += (await self.reader.readexactly(size + 2))[:-2]
            await self.reader.readuntil(b"\r\n")
        else:
            answer.body = await self.reader.readexactly(int(answer.fields["content-length"]))
        answer.is_whole = True

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None


class Gateway:
    """A machine of the class `front` with its process."""

    def __init__(self, world, number, zone, link_mbps):
        self.world, self.number, self.zone, self.link_mbps = world, number, zone, link_mbps
        self.name = f"front-{zone}-{number}"
        self.ip = f"{world.network}.{number}"
        self.process = None
        self.started_at = None

    def start(self):
        world = self.world
        ip = self.ip
        settings = {
            "node": self.name, "role": "router", "class": "front", "serves": ["front", "control"], "ip": ip,
            "zone": self.zone, "region": "r", "zones": {self.zone: "r"},
            "listen": {"front": f"{ip}:{world.front_port}", "ready": f"{ip}:{world.ready_port}",
                       "control": f"{ip}:{world.control_port}"},
            "portRange": [world.peer_port, world.peer_port + 15],
            "seeds": [f"{gateway.ip}:{world.control_port}" for gateway in world.gateways[:3]],
            "bootstrap": True, "countsAsLoss": False,
            "limits": {"cpuShare": 0.19, "cores": 1, "memoryMb": 260, "maxFds": 4200,
                       "linkMbps": self.link_mbps, "diskMb": 0},
            "dataDir": None, "discovery": "platform", "entry": "vip", "heartbeatMs": 1200, "bounds": BOUNDS,
            "provider": {"addr": world.store_address, "form": "kv", "writesPerS": 400, "readsPerS": 2000,
                         "historyS": 20, "valueBytes": 1048576, "ttlMinMs": 1000}}
        path = pathlib.Path(world.directory.name) / f"{self.name}.json"
        path.write_text(json.dumps(settings))
        log = open(pathlib.Path(world.directory.name) / f"{self.name}.log", "ab")
        self.process = subprocess.Popen(
            COMMAND, cwd=ROOT, stdin=subprocess.DEVNULL, stdout=log, stderr=log,
            env={"PATH": os.environ.get("PATH", ""), "HOME": world.directory.name, "LANG": "C",
                 "BERGAMOTPADDLE_NODE_FILE": str(path)})
        log.close()
        self.started_at = world.now()
        world.record.line("start of", self.name, "process", self.process.pid)

    def kill(self):
        self.process.send_signal(signal.SIGKILL)
        self.process.wait()
        self.world.record.say("SIGKILL of", self.name)

    def log(self):
        return (pathlib.Path(self.world.directory.name) / f"{self.name}.log").read_text(errors="replace")


def free_port_block(count):
    """Returns the first of `count` ports in a row that are free on 127.0.0.1."""
    for first in random.SystemRandom().sample(range(20000, 31000), 500):
        holders = []
        try:
            for port in range(first, first + count):
                holders.append(socket.socket())
                holders[-1].bind(("127.0.0.1", port))
            return first
        except OSError:
            continue
        finally:
            for holder in holders:
                holder.close()
    raise RuntimeError("no free ports")


class World:
    """The store, gateways, servers and the record of one case."""

    def __init__(self, folder):
        self.began = time.monotonic()
        self.record = Record(pathlib.Path(folder) / "record.txt", self)
        self.directory = tempfile.TemporaryDirectory()
        first = free_port_block(20)
        self.front_port, self.ready_port, self.control_port, self.peer_port = first, first + 1, first + 2, first + 3
        number = random.SystemRandom().randrange(1, 250)
        self.network = f"127.{number}.{random.SystemRandom().randrange(1, 250)}"
        self.server_ip = f"{self.network}.200"
        self.store = Store()
        self.store_address = None
        self.gateways = []
        self.servers = []

    def now(self):
        return time.monotonic() - self.began

    async def start_store(self):
        self.store_address = await self.store.start()

    async def add_server(self, server_id, service, zone, work):
        server = await Server(self, server_id, service, zone, work).start()
        self.servers.append(server)
        await self.store.operate((f"servers/{server_id}", server.entry()))
        return server

    def add_gateways(self, links_mbps, zone="a"):
        """Starts a gateway for each link."""
        self.gateways = [Gateway(self, number + 2, zone, link) for number, link in enumerate(links_mbps)]
        for gateway in self.gateways:
            gateway.start()

    async def wait_until_ready(self, seconds=20):
        """Waits until every gateway says that it is ready; raises TimeoutError otherwise."""
        until = self.now() + seconds
        for gateway in self.gateways:
            while not await self.is_ready(gateway):
                if self.now() > until:
                    raise TimeoutError(f"{gateway.name} is not ready")
                await asyncio.sleep(0.05)

    async def is_ready(self, gateway):
        try:
            reader, writer = await asyncio.open_connection(gateway.ip, self.ready_port)
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
            line = await asyncio.wait_for(reader.readline(), 1)
            writer.close()
            return b" 200 " in line
        except (OSError, asyncio.TimeoutError):
            return False

    def ended_by_themselves(self):
        return [gateway.name for gateway in self.gateways if gateway.process.poll() is not None]

    def close(self):
        for gateway in self.gateways:
            if gateway.process is not None and gateway.process.poll() is None:
                gateway.process.kill()
            if gateway.process is not None:
                gateway.process.wait()
        self.record.file.close()
        self.directory.cleanup()


def play(folder, case):
    """Runs the coroutine function `case(world, has_trouble)`; ends the process with the exit status of a run.sh.

    The case returns a list of breaches. A case that cannot run raises.
    """
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    world = World(folder)

    async def run():
        try:
            breaches = await case(world, has_trouble)
            for breach in breaches[:20]:
                world.record.say("BROKEN:", breach)
            world.record.say("result:", f"{len(breaches)} breaches" if breaches else "the rule held")
            return 1 if breaches else 0
        except Exception as error:  # pylint: disable=broad-except
            world.record.say("the case could not run:", type(error).__name__, error)
            return 2
        finally:
            world.close()
            sys.stdout.flush()

    def stop():
        world.close()
        os._exit(2)

    loop = asyncio.new_event_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop)
    loop.call_later(MAX_SECONDS, stop)
    # The stand-ins' tasks still wait on their channels: end without a clean-up of the event loop.
    os._exit(loop.run_until_complete(run()))
