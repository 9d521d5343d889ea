"""Upstreams that follow a script and callers that read raw responses, for tests of a real gateway.

Everything runs in the event loop of the caller. Times are those of `time.monotonic()`.
"""
import asyncio
import itertools
import socket
import time

NOT_EXECUTED = "Bergamotpaddle-Not-Executed"
SEAL = "Bergamotpaddle-Response-Seal"
ATTEMPT_ID = "Bergamotpaddle-Attempt-Id"
TIMEOUT_MS = "Bergamotpaddle-Timeout-Ms"
EVENT_INTERVAL_SECONDS = 0.05


def fields_of(head):
    """Returns the first line of a head and its fields, with names in lower case."""
    lines = head.decode("latin-1").rstrip("\r\n").split("\r\n")
    pairs = (line.split(":", 1) for line in lines[1:] if ":" in line)
    return lines[0], {name.strip().lower(): value.strip() for name, value in pairs}


async def read_body(reader, fields):
    """Returns the body after a head and whether it is complete."""
    body = b""
    try:
        if fields.get("transfer-encoding", "").lower() == "chunked":
            while size := int(await reader.readuntil(b"\r\n"), 16):
                body += (await reader.readexactly(size + 2))[:-2]
            await reader.readuntil(b"\r\n")
        else:
            body = await reader.readexactly(int(fields.get("content-length", 0)))
        return body, True
    except asyncio.IncompleteReadError as error:
        return body + error.partial, False
    except ConnectionError:
        return body, False


def event(number):
    return f"id: {number}\ndata: piece {number}\n\n".encode()


class Arrival:
    """A request that an upstream received, and what became of it."""

    def __init__(self, line, fields, body):
        self.at = time.monotonic()
        self.line = line
        self.fields = fields
        self.body = body
        self.response_at = None
        self.ended_at = None
        self.is_finished = False
        self.is_sound = False
        self.has_run = True
        self.is_broken_off = False

    @property
    def attempt_id(self):
        return self.fields.get(ATTEMPT_ID.lower(), "")

    @property
    def time_limit(self):
        """The time limit in seconds that the upstream was given."""
        return int(self.fields[TIMEOUT_MS.lower()]) / 1000


class Exchange:
    """One request at a scripted upstream. Scripts use it to respond."""

    def __init__(self, upstream, arrival, writer):
        self.upstream = upstream
        self.arrival = arrival
        self.writer = writer

    async def send(self, data):
        if self.arrival.response_at is None:
            self.arrival.response_at = time.monotonic()
        self.writer.write(data)
        await self.writer.drain()

    def head(self, status, *lines):
        common = [f"{ATTEMPT_ID}: {self.arrival.attempt_id}", f"{SEAL}: seal-{self.upstream.id}-{status}"]
        return "\r\n".join([f"HTTP/1.1 {status} Scripted", *common, *lines, "", ""]).encode()

    async def respond(self, status, text="", *lines):
        await self.send(self.head(status, f"Content-Length: {len(text)}", *lines) + text.encode())

    async def sleep_within_time_limit(self, seconds):
        """Sleeps; responds with 504 and returns False if the time limit passes before."""
        limit = self.arrival.time_limit
        await asyncio.sleep(min(seconds, limit))
        if seconds <= limit:
            return True
        await self.respond(504, "time limit")
        return False


def answer(after=0):
    """Responds with 200 after a time in seconds, which the field Work-Ms of a request overrides."""

    async def script(exchange):
        seconds = int(exchange.arrival.fields.get("work-ms", after * 1000)) / 1000
        if await exchange.sleep_within_time_limit(seconds):
            await exchange.respond(200, f"answer of {exchange.upstream.id}")

    return script


def stream(count, pauses=None, end=None):
    """Sends events up to number `count`, resumed after Last-Event-Id.

    `pauses` maps the number of an event to the pause after it in seconds. `end` maps it to a coroutine function
    that takes the place of the rest.
    """

    async def script(exchange):
        last = int(exchange.arrival.fields.get("last-event-id") or 0)
        await exchange.send(exchange.head(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked"))
        for number in range(last + 1, count + 1):
            data = event(number)
            await exchange.send(b"%x\r\n" % len(data) + data + b"\r\n")
            if end and number in end:
                return await end[number](exchange)
            await asyncio.sleep((pauses or {}).get(number, EVENT_INTERVAL_SECONDS))
        await exchange.send(b"0\r\n\r\n")
        return None

    return script


async def refuse(exchange):
    """Refuses the request with a proof that it did not run."""
    exchange.arrival.has_run = False
    await exchange.respond(503, "full", f"{NOT_EXECUTED}: 1")


async def fail(exchange):
    await exchange.respond(500, "failure")


async def break_off(exchange):
    """Resets the connection."""
    exchange.arrival.is_broken_off = True
    exchange.writer.transport.abort()


def later(seconds, script):
    """Plays `script` after a time in seconds."""

    async def delayed(exchange):
        await asyncio.sleep(seconds)
        await script(exchange)

    return delayed


async def stay_silent(_exchange):
    await asyncio.sleep(3600)


def cut(data):
    """Sends `data` as a response and closes the connection in order."""

    async def script(exchange):
        exchange.arrival.is_broken_off = True
        await exchange.send(data)

    return script


def sound(script):
    """Plays `script`, which finishes unless the gateway closes the connection or the upstream is stopped."""

    async def marked(exchange):
        exchange.arrival.is_sound = True
        await script(exchange)

    return marked


def closed_port():
    """Returns a socket whose port refuses connections until the socket is closed."""
    holder = socket.socket()
    holder.bind(("127.0.0.1", 0))
    return holder


class ScriptedUpstream:
    """An upstream that plays `script` for each request and records the requests in `arrivals`."""

    def __init__(self, upstream_id, service, script):
        self.id = upstream_id
        self.service = service
        self.script = script
        self.arrivals = []
        self.address = None
        self.arrived = asyncio.Event()
        self.server = None
        self.open_exchanges = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def kill(self):
        """Closes the port and resets all connections, as the end of a process does."""
        self.server.close()
        for exchange in self.open_exchanges:
            exchange.arrival.is_broken_off = True
            exchange.writer.transport.abort()

    async def serve(self, reader, writer):
        try:
            line, fields = fields_of(await reader.readuntil(b"\r\n\r\n"))
            body, _ = await read_body(reader, fields)
            arrival = Arrival(line, fields, body)
            self.arrivals.append(arrival)
            self.arrived.set()
            await self.play(arrival, reader, writer)
        except (asyncio.CancelledError, asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    async def play(self, arrival, reader, writer):
        """Plays the script until it ends or the gateway closes the connection."""
        exchange = Exchange(self, arrival, writer)
        self.open_exchanges.add(exchange)
        script = asyncio.ensure_future(self.script(exchange))
        close = asyncio.ensure_future(reader.read(1))
        try:
            await asyncio.wait([script, close], return_when=asyncio.FIRST_COMPLETED)
            if script.done():
                script.result()
                arrival.is_finished = True
        finally:
            arrival.ended_at = time.monotonic()
            self.open_exchanges.discard(exchange)
            for task in (script, close):
                task.cancel()
            await asyncio.gather(script, close, return_exceptions=True)


class Answer:
    """What a caller received, and when in seconds after the start of its request."""

    def __init__(self, attempt_id):
        self.attempt_id = attempt_id
        self.began_at = time.monotonic()
        self.ended_after = None
        self.status = None
        self.fields = {}
        self.body = b""
        self.is_complete = False
        self.has_given_up = False
        self.was_refused = False
        self.is_on_kept_connection = False
        self.longest_pause = 0.0

    @property
    def event_ids(self):
        return [int(line[3:]) for line in self.body.decode().split("\n") if line.startswith("id:")]

    def __str__(self):
        if self.was_refused:
            return "connection refused"
        what = f"status {self.status}"
        if "text/event-stream" in self.fields.get("content-type", ""):
            what += f", events {self.event_ids}"
        if not self.is_complete:
            what = f"caller left ({what})" if self.has_given_up else f"connection closed ({what})"
        return f"{what} at {self.ended_after:.2f} s"


class Caller:
    """A caller on a connection that it keeps; `patience` is how long it waits for the next bytes, in seconds."""

    numbers = itertools.count(1)

    def __init__(self, ip, port, patience):
        self.ip = ip
        self.port = port
        self.patience = patience
        self.reader = None
        self.writer = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(self.ip, self.port)

    async def call(self, path, timeout_ms, body=b"x", rest_at=None, fields=()):
        """Sends a request and returns the Answer. The second half of the body is sent at the time `rest_at`."""
        answer_ = Answer(f"a{next(self.numbers):06x}")
        try:
            answer_.is_on_kept_connection = self.writer is not None
            if self.writer is None:
                await self.connect()
            head = [f"POST {path} HTTP/1.1", "Host: desk.example", f"{ATTEMPT_ID}: {answer_.attempt_id}",
                    f"{TIMEOUT_MS}: {timeout_ms}", f"Content-Length: {len(body)}", *fields, "", ""]
            half = len(body) // 2 if rest_at else len(body)
            self.writer.write("\r\n".join(head).encode() + body[:half])
            reading = asyncio.ensure_future(self.read(answer_))
            if rest_at:
                # A response may arrive before the whole request was sent.
                await asyncio.wait([reading], timeout=rest_at - time.monotonic())
                if not reading.done():
                    self.writer.write(body[half:])
            await reading
        except ConnectionRefusedError:
            answer_.was_refused = True
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        except asyncio.TimeoutError:
            answer_.has_given_up = True
        answer_.ended_after = time.monotonic() - answer_.began_at
        if not answer_.is_complete or answer_.fields.get("connection") == "close":
            self.close()
        return answer_

    async def wait_for(self, coroutine, answer_):
        began_at = time.monotonic()
        try:
            return await asyncio.wait_for(coroutine, self.patience)
        finally:
            answer_.longest_pause = max(answer_.longest_pause, time.monotonic() - began_at)

    async def read(self, answer_):
        head = await self.wait_for(self.reader.readuntil(b"\r\n\r\n"), answer_)
        line, answer_.fields = fields_of(head)
        answer_.status = int(line.split(" ")[1])
        if answer_.fields.get("transfer-encoding", "").lower() != "chunked":
            answer_.body, answer_.is_complete = await self.wait_for(read_body(self.reader, answer_.fields), answer_)
            return
        while size := int(await self.wait_for(self.reader.readuntil(b"\r\n"), answer_), 16):
            answer_.body += (await self.wait_for(self.reader.readexactly(size + 2), answer_))[:-2]
        await self.reader.readuntil(b"\r\n")
        answer_.is_complete = True

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.reader = self.writer = None
