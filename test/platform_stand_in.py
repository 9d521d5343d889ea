"""A stand-in for the users' platform on loopback: its store, rate-limited links to the store, and gateways.

Every process is a child of the caller and is stopped through its handle.
"""
import asyncio
import base64
import http.client
import json
import os
import pathlib
import random
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "utils"))
from fleetlib import BUILD, Fleet, free_ports  # noqa: E402

CONFIG_KEY = "op/config"
CHUNK_BYTES = 4096


class Store:
    """An in-memory store of items with revisions, watches and conditional writes over HTTP."""

    def __init__(self):
        self.revision = 1
        self.items = {}
        self.history = []
        self.changed = asyncio.Condition()

    async def put(self, key, value):
        """Stores text under `key` and returns the new revision."""
        async with self.changed:
            self.revision += 1
            encoded = base64.b64encode(value.encode()).decode()
            self.items[key] = {"key": key, "value": encoded, "rev": self.revision}
            self.history.append(self.items[key])
            self.changed.notify_all()
            return self.revision

    async def remove(self, key):
        """Removes a key and returns the new revision."""
        async with self.changed:
            self.revision += 1
            del self.items[key]
            self.history.append({"key": key, "rev": self.revision, "deleted": True})
            self.changed.notify_all()
            return self.revision

    async def handle(self, target, body):
        """Returns the status and the JSON document of the response to a request."""
        url = urllib.parse.urlsplit(target)
        query = dict(urllib.parse.parse_qsl(url.query))
        if url.path == "/kv-key":
            item = self.items.get(query["key"])
            return (200, {**item, "currentRev": self.revision}) if item else (404, {})
        if url.path == "/kv-range":
            items = [item for key, item in sorted(self.items.items()) if key.startswith(query["pathPrefix"])]
            return 200, {"items": items, "truncated": False, "currentRev": self.revision}
        if url.path == "/kv-watch":
            return await self.watch(query["pathPrefix"], int(query["after"]), int(query["waitMs"]) / 1000)
        if url.path == "/kv-txn":
            return await self.transact(json.loads(body))
        return 404, {}

    def events(self, prefix, after):
        return [item for item in self.history if item["rev"] > after and item["key"].startswith(prefix)]

    async def watch(self, prefix, after, seconds):
        async with self.changed:
            try:
                await asyncio.wait_for(self.changed.wait_for(lambda: self.events(prefix, after)), seconds)
            except asyncio.TimeoutError:
                pass
        return 200, {"events": self.events(prefix, after), "currentRev": self.revision}

    async def transact(self, request):
        missing = {"rev": 0}
        current = [self.items.get(row["key"], {**missing, "key": row["key"]}) for row in request["expectRev"]]
        if any(item["rev"] != row["rev"] for item, row in zip(current, request["expectRev"])):
            return 412, {"items": current}
        for row in request["puts"]:
            await self.put(row["key"], base64.b64decode(row["value"]).decode())
        return 200, {"rev": self.revision}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            lines = head.split("\r\n")
            length = next((int(line.split(":")[1]) for line in lines if line.lower().startswith("content-length")), 0)
            body = await reader.readexactly(length)
            status, document = await self.handle(lines[0].split(" ")[1], body)
            content = json.dumps(document).encode()
            writer.write(b"HTTP/1.1 %d OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n" % (status, len(content)) + content)
            await writer.drain()
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Link:
    """A TCP proxy. All responses together are limited to `bytes_per_second`, which may change at any time."""

    def __init__(self, target_port, bytes_per_second):
        self.target_port = target_port
        self.bytes_per_second = bytes_per_second
        self.free_at = 0.0
        self.port = None

    async def forward(self, reader, writer, is_limited):
        try:
            while data := await reader.read(CHUNK_BYTES):
                if is_limited:
                    now = time.monotonic()
                    self.free_at = max(self.free_at, now) + len(data) / self.bytes_per_second
                    await asyncio.sleep(self.free_at - now)
                writer.write(data)
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve(self, reader, writer):
        try:
            target_reader, target_writer = await asyncio.open_connection("127.0.0.1", self.target_port)
            await asyncio.gather(
                self.forward(reader, target_writer, False), self.forward(target_reader, writer, True)
            )
        except (asyncio.CancelledError, ConnectionError):
            writer.close()


class Platform:
    """The store, which runs in its own thread, and the gateways that use it."""

    def __init__(self):
        self.directory = tempfile.TemporaryDirectory()
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()
        self.caller_port, self.ready_port, self.peer_port = free_ports(3)
        # A network of its own: ports are free on 127.0.0.1, but gateways of another test may use them elsewhere.
        self.network = "127.%d.%d" % (random.randrange(1, 255), random.randrange(256))
        self.gateways = []
        self.store = self.run_in_loop(self.start_store())

    def run_in_loop(self, coroutine):
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(30)

    async def listen(self, serve):
        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        return server.sockets[0].getsockname()[1]

    async def start_store(self):
        store = Store()
        self.store_port = await self.listen(store.serve)
        return store

    def link_to_store(self, bytes_per_second):
        """Starts a rate-limited link to the store; clients connect to its `port`."""
        link = Link(self.store_port, bytes_per_second)
        link.port = self.run_in_loop(self.listen(link.serve))
        return link

    def put(self, key, document):
        return self.run_in_loop(self.store.put(key, json.dumps(document)))

    def start_gateway(self, number, link_mbps, store_port=None, seeds=(), bounds=None, limits=None):
        """Starts a gateway on its own loopback address, which is returned; the ports are the same for all gateways."""
        ip = f"{self.network}.{number}"
        settings = {
            "node": f"front-{number}", "zone": "z", "ip": ip,
            "listen": {"front": f"{ip}:{self.caller_port}", "ready": f"{ip}:{self.ready_port}"},
            "portRange": [self.peer_port, self.peer_port], "seeds": [f"{peer}:1" for peer in seeds],
            "limits": {"linkMbps": link_mbps, **(limits or {})},
            "bounds": {"configMs": 3000, **(bounds or {})},
            "provider": {"addr": f"127.0.0.1:{store_port or self.store_port}"},
        }
        path = pathlib.Path(self.directory.name) / f"{number}.json"
        path.write_text(json.dumps(settings))
        log = open(pathlib.Path(self.directory.name) / f"{number}.log", "wb")
        self.gateways.append(subprocess.Popen(
            [str(BUILD / "bin" / "bergamotpaddle-gateway"), "--settings", str(path)], stdout=log, stderr=log,
            env={"PATH": os.environ["PATH"]}))
        log.close()
        return ip

    def error_name(self, ip, path, timeout=1):
        """Returns the name of the error in a gateway's response, or None without a response."""
        connection = http.client.HTTPConnection(ip, self.caller_port, timeout=timeout)
        try:
            connection.request("POST", path, "x", {
                "Host": "desk.example", "Bergamotpaddle-Attempt-Id": "a1", "Bergamotpaddle-Timeout-Ms": "500"})
            return json.loads(connection.getresponse().read())["error"]["name"]
        except (OSError, http.client.HTTPException):
            return None
        finally:
            connection.close()

    def wait_until(self, condition, seconds):
        Fleet.wait_until(condition, seconds)

    def logs(self, number):
        return (pathlib.Path(self.directory.name) / f"{number}.log").read_text(errors="replace")

    def close(self):
        for gateway in self.gateways:
            gateway.kill()
            gateway.wait()
        asyncio.run_coroutine_threadsafe(self.cancel_tasks(), self.loop).result(30)
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join()
        self.directory.cleanup()

    @staticmethod
    async def cancel_tasks():
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
