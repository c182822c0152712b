"""Stand-ins for the platform around one dispatcher, by the operators' protocol page: clients (FastCGI), cache hosts,
parents and the origin (line protocol), and the notice board (server-sent events). Standard library only; loopback only.
"""
import asyncio
import json
import os
import random
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
PROGRAM = os.path.join(ROOT, "target", "release", "pointspindle")
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


class CannotRun(Exception):
    """The case could not be run: exit status 2."""


def unix_ms():
    return time.time() * 1000.0


class Record:
    """What was sent, answered and run, one line an event, in milliseconds since the start."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w")
        self.start = time.monotonic()

    def now(self):
        return (time.monotonic() - self.start) * 1000.0

    def write(self, text):
        self.file.write(f"{self.now():10.1f} {text}\n")

    def close(self):
        self.file.close()


def settings(**changes):
    """Settings like those of the site hill-heavy, for one dispatcher in zone edge-1."""
    value = {
        "Allowed": {"CpuUsPerRequest": 0.0, "CpuUsPerS": 500000, "DialTimeoutMs": 400.0, "KeepaliveMs": 30000.0,
                    "MaxAttempts": 8, "MaxOpen": 20000, "MaxRetryAfterMs": 2000.0, "MayCancel": True, "Peers": False,
                    "Probes": False, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 100},
        "Balancers": 1, "Callers": {"MarksRetry": True},
        "Classes": [
            {"AimMs": 600.0, "AimStretch": 1.6, "DeadlineMs": 5000.0, "Group": "all", "KeyTtlMs": 5000.0,
             "LateWorth": 0.15, "Name": "lesson-video", "Repeat": "idempotent", "Stream": False, "Worth": 2.0},
            {"AimMs": 250.0, "AimStretch": 2.0, "DeadlineMs": 2500.0, "Group": "all", "KeyTtlMs": 5000.0,
             "LateWorth": 0.2, "Name": "sign-page", "Repeat": "idempotent", "Stream": False, "Worth": 1.0},
            {"AimMs": 700.0, "DeadlineMs": 3000.0, "Group": "all", "KeyTtlMs": 2000.0, "LateWorth": 0.0,
             "Name": "test-submit", "Repeat": "deduplicated", "Stream": False, "Worth": 3.0}],
        "CountedBy": "request", "Discovery": "automatic",
        "FamilyInfo": {"GoneEverywhereMs": 6000.0, "InPieces": [True, False, False], "InstancesByZone": [0, 1],
                       "MasterKind": 2, "MaxAgeMs": [0.0, 20000.0, 0.0], "MergesFills": False,
                       "Neighbours": "location", "NeverKept": [False, False, True], "NoticeTimeMs": 500.0,
                       "OriginLimitFactor": 2.5, "ParentFallMultiple": 2.0, "ParentStartsAt": 0.067,
                       "RootFallMs": 3000.0, "SecondTierKind": 1, "Straight": True, "StreamKbPerS": 4100.0,
                       "Tells": "all", "UpperColdMs": 22000.0, "UsableAfterMs": [0.0, 20000.0, 0.0],
                       "WorthWhenOld": [0.7, 0.7, 0.7], "ZoneHub": [0, 0], "ZoneLinkKbPerS": [0.0, 0.0]},
        "KindOfService": "edge", "Kinds": ["small-box", "parent", "origin"], "Layer": 0,
        "LoadInfo": {"Fields": [], "Source": "none"}, "Me": 0, "OverShareWorth": 0.1, "Parties": [],
        "Rules": {"AnswerSlackMs": 8.0, "AskWithinMs": 10000.0, "DrainGraceMs": 1000.0, "FallMs": 1000.0,
                  "OverloadFactor": 3.0, "StartCapacity": 0.18, "WarmWithinMs": 18000.0},
        "TickMs": 2.0, "Tiers": ["lesson-cache"], "WeightSource": "rough", "Zone": 1, "Zones": ["hub", "edge-1"]}
    value.update(changes)
    return value


def entry(host, health="Ready", born_ms=0):
    return {"host": host.id, "dial": host.dial, "site": host.site, "class": host.kind, "block": host.block,
            "health": health, "share": host.share, "born_ms": born_ms}


def fields_of(text):
    return {} if text == "-" else dict(pair.split("=", 1) for pair in text.split(","))


class Request:
    """One PULL that a host has received whole."""

    def __init__(self, host, connection, id, fields, body):
        self.host, self.connection, self.id, self.fields, self.body = host, connection, id, fields, body
        self.received = time.monotonic()
        self.given_up = False

    def answer(self, word, fields="-", body=b""):
        if self.given_up or self.connection.is_closing():
            return False
        self.connection.write(f"{self.id} {word} {fields} {len(body)}\r\n".encode() + body + b"\r\n")
        return True


class Host:
    """A cache host, parent or origin: calls `handle(request)`, a coroutine, for each PULL."""

    def __init__(self, record, id, kind, handle, site=None, block=1, share=4):
        self.record, self.id, self.kind, self.handle = record, id, kind, handle
        self.site = site or ("edge-1" if kind == "small-box" else "hub")
        self.block, self.share = block, share
        self.connections = set()
        self.open = {}
        self.server = None
        self.dial = None

    async def start(self, port=0):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port)
        self.dial = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    async def stop(self):
        """The process dies: its connections are reset and new ones are refused."""
        self.server.close()
        for connection in list(self.connections):
            reset(connection)

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while line := await reader.readline():
                words = line.decode().split()
                if words[0] == "ECHO":
                    writer.write(f"{words[1]} green - 0\r\n\r\n".encode())
                elif words[0] == "KILL":
                    self.record.write(f"{self.id} receives KILL {words[1]}")
                    request = self.open.get((id(writer), words[1]))
                    if request:
                        request.given_up = True
                elif words[0] == "PULL":
                    body = (await reader.readexactly(int(words[3]) + 2))[:-2]
                    request = Request(self, writer, words[1], fields_of(words[2]), body)
                    self.open[(id(writer), words[1])] = request
                    asyncio.ensure_future(self.run(request))
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            for (connection, _), request in self.open.items():
                if connection == id(writer):
                    request.given_up = True
            self.connections.discard(writer)
            writer.close()

    async def run(self, request):
        await self.handle(request)


def reset(writer):
    sock = writer.get_extra_info("socket")
    if sock is not None and not writer.is_closing():
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
        writer.transport.abort()


class Board:
    """The notice board: keeps all events and tells those after Last-Event-ID; a comment each second."""

    def __init__(self, record):
        self.record = record
        self.events = []
        self.changed = asyncio.Event()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.dial = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]
        return self

    def add(self, **content):
        event = {"rev": len(self.events) + 1, **content}
        self.events.append(event)
        self.record.write(f"board tells {json.dumps(event)}")
        self.changed.set()
        self.changed = asyncio.Event()

    def known(self):
        return {"rev": len(self.events), "notices": list(self.events)}

    async def serve(self, reader, writer):
        try:
            head = (await reader.readuntil(b"\r\n\r\n")).decode().lower()
            next = int(head.split("last-event-id:")[1].split("\r\n")[0])
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n:\n\n")
            while not writer.is_closing():
                for event in self.events[next:]:
                    writer.write(f"id: {event['rev']}\ndata: {json.dumps(event)}\n\n".encode())
                next = len(self.events)
                await writer.drain()
                try:
                    await asyncio.wait_for(self.changed.wait(), 1.0)
                except asyncio.TimeoutError:
                    writer.write(b":\n\n")
        except (OSError, asyncio.IncompleteReadError, IndexError, asyncio.CancelledError):
            pass
        finally:
            writer.close()


def records(kind, id, content):
    out = b""
    pieces = [content[i:i + 32000] for i in range(0, len(content), 32000)]
    for piece in pieces:
        out += struct.pack(">BBHHBB", 1, kind, id, len(piece), 0, 0) + piece
    return out


def pairs(fields):
    def length(n):
        return bytes([n]) if n < 128 else struct.pack(">I", n | 0x80000000)
    return b"".join(length(len(k)) + length(len(v)) + k.encode() + v.encode() for k, v in fields.items())


def begin_record(id):
    return struct.pack(">BBHHBB", 1, 1, id, 8, 0, 0) + bytes([0, 1, 1, 0, 0, 0, 0, 0])


def end_of_stream(kind, id):
    return struct.pack(">BBHHBB", 1, kind, id, 0, 0, 0)


def encode_request(id, script, fields, body=b""):
    params = {"SCRIPT_NAME": script, "REQUEST_METHOD": "POST" if body else "GET", **fields}
    if body:
        params["CONTENT_LENGTH"] = str(len(body))
    return (begin_record(id) + records(4, id, pairs(params)) + end_of_stream(4, id) + records(5, id, body)
            + end_of_stream(5, id))


class Answer:
    def __init__(self, status, fields, body):
        self.status, self.fields, self.body = status, fields, body

    def meaning(self):
        if self.status == 200:
            return "served"
        return "refused" if self.status in (429, 503) else "failed"


class Connection:
    """A web server's connection to the dispatcher; requests are multiplexed on it."""

    def __init__(self):
        self.waiting = {}
        self.stdout = {}
        self.next_id = 1
        self.ended = asyncio.Event()

    async def connect(self, dial):
        host, port = dial.split(":")
        self.reader, self.writer = await asyncio.open_connection(host, int(port))
        sock = self.writer.get_extra_info("socket")
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        try:
            while True:
                _, kind, id, length, padding, _ = struct.unpack(">BBHHBB", await self.reader.readexactly(8))
                content = (await self.reader.readexactly(length + padding))[:length]
                if kind == 6:
                    self.stdout.setdefault(id, bytearray()).extend(content)
                elif kind == 3:
                    self.finish(id, content)
        except (OSError, asyncio.IncompleteReadError):
            pass
        self.ended.set()
        for future in self.waiting.values():
            if not future.done():
                future.set_result(None)

    def finish(self, id, content):
        raw = bytes(self.stdout.pop(id, b""))
        head, _, body = raw.partition(b"\r\n\r\n")
        fields = dict(line.split(": ", 1) for line in head.decode().split("\r\n") if ": " in line)
        status = int(fields.get("Status", "0").split()[0])
        if not raw and content[4] == 2:
            status = 503
        future = self.waiting.pop(id, None)
        if future and not future.done():
            future.set_result(Answer(status, fields, body))

    def take_id(self):
        id = self.next_id
        self.next_id = self.next_id % 60000 + 1
        self.waiting[id] = asyncio.get_event_loop().create_future()
        return id

    async def request(self, script, fields, body=b""):
        """Sends one request and returns its answer, or None if the connection ended without one."""
        id = self.take_id()
        future = self.waiting[id]
        self.writer.write(encode_request(id, script, fields, body))
        return await future

    def close(self):
        self.task.cancel()
        self.writer.close()


def transaction():
    return "%016x" % random.getrandbits(64)


class Dispatcher:
    """One dispatcher, started by the deploy file's `run`."""

    def __init__(self, record, board, settings, memory_mb=64, sockets=512, name="n0"):
        self.record, self.board, self.name = record, board, name
        self.folder = tempfile.mkdtemp(prefix="review-")
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.dial = "127.0.0.1:%d" % probe.getsockname()[1]
        self.config = {"name": name, "listen": self.dial, "seed": transaction(),
                       "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "board": board.dial,
                       "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "settings": settings}
        self.process = None

    async def start(self):
        if not os.path.exists(PROGRAM):
            raise CannotRun(f"{PROGRAM} is not built")
        self.config["known"] = self.board.known()
        path = os.path.join(self.folder, "config.json")
        with open(path, "w") as file:
            json.dump(self.config, file)
        environment = {**os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": self.dial,
                       "BALANCER_CONFIG": path, "TMPDIR": self.folder}
        self.log = open(os.path.join(self.folder, "log"), "wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", "exec target/release/pointspindle run", cwd=ROOT, env=environment,
            stdin=asyncio.subprocess.DEVNULL, stdout=self.log, stderr=self.log)
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline:
            if await self.alive():
                self.record.write(f"dispatcher {self.name} is ready, process {self.process.pid}")
                return self
            await asyncio.sleep(0.05)
        raise CannotRun("the dispatcher is not ready after 10 s")

    async def alive(self):
        try:
            connection = await Connection().connect(self.dial)
        except OSError:
            return False
        answer = await connection.request("/alive", {})
        connection.close()
        return answer is not None and answer.status == 200

    def signal(self, number):
        self.record.write(f"platform sends {signal.Signals(number).name} to {self.name}")
        self.process.send_signal(number)

    async def stop(self):
        if self.process and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()
        self.log.close()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, case):
    """Runs `case(record)`, which returns the list of broken rules, and exits with the status of the case."""
    random.seed(int(os.environ.get("SEED", "1")))
    # An end by SIGTERM stops the processes that the case started, as one by SIGINT does.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    record = Record(folder)
    try:
        broken = asyncio.run(asyncio.wait_for(case(record), 110))
    except (Exception, KeyboardInterrupt) as error:
        record.write(f"the case could not run: {error!r}")
        print(f"the case could not run: {error!r}")
        sys.exit(2)
    finally:
        record.file.flush()
    for line in broken:
        record.write(f"BROKEN {line}")
        print(f"BROKEN {line}")
    record.write("the rule was broken" if broken else "the rule held")
    print("the rule was broken" if broken else "the rule held")
    record.close()
    sys.exit(1 if broken else 0)
