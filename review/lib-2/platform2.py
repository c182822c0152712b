"""Stand-ins for the platform around one dispatcher: notice board, cache hosts, clients, and a proxy that drops.

Written from the operators' protocol page. Only the standard library is used; all addresses are loopback, all ports
are chosen by the system, and everything that was started is ended by `Case.close`.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import struct
import sys
import tempfile
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
LOOPBACK = "127.0.0.1"


class CannotRun(Exception):
    """The case could not be played, so nothing is known about the rule."""


def now():
    return time.time()


class Record:
    """`record.txt`: what was sent, answered and run, with the time in seconds since the case began."""

    def __init__(self, folder):
        self.file = open(os.path.join(folder, "record.txt"), "w", encoding="utf-8")
        self.began = now()

    def __call__(self, text, at=None):
        at = now() if at is None else at
        self.file.write(f"{at - self.began:9.3f} {text}\n")
        self.file.flush()

    def close(self):
        self.file.close()


# ---------------------------------------------------------------------------------------------------- notice board


class Board:
    """The notice board. `mode` is 'up', 'silent' (accepts and reads, and sends nothing on any connection that was
    open or is opened meanwhile, also later) or 'down' (refuses and has closed what was open)."""

    def __init__(self, record, first_revision=1):
        self.record = record
        self.events = []
        self.next_revision = first_revision
        self.mode = "up"
        self.lost = set()
        self.open = {}
        self.changed = asyncio.Event()
        self.server = None
        self.port = None
        self.polls = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port or 0)
        self.port = self.server.sockets[0].getsockname()[1]

    @property
    def address(self):
        return f"{LOOPBACK}:{self.port}"

    def tell(self, content):
        event = {"rev": self.next_revision, **content}
        self.next_revision += 1
        self.events.append((now(), event))
        self.record(f"board: event {json.dumps(event)}")
        self.wake()
        return self.events[-1][0]

    def wake(self):
        self.changed.set()
        self.changed = asyncio.Event()

    def silence(self):
        """From now on every open connection, and every one opened until `recover`, stays open and silent."""
        self.mode = "silent"
        self.lost.update(self.open)
        self.record("board: falls silent; connections stay open")

    async def go_down(self):
        self.mode = "down"
        self.server.close()
        for writer in list(self.open.values()):
            writer.transport.abort()
        self.record("board: down; connections are closed, new ones refused")

    async def recover(self):
        if self.mode == "down":
            await self.start()
        self.mode = "up"
        self.record("board: answers again")

    async def serve(self, reader, writer):
        me = object()
        self.open[me] = writer
        if self.mode == "silent":
            self.lost.add(me)
        try:
            await self.answer(me, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            pass
        finally:
            self.open.pop(me, None)
            self.lost.discard(me)
            writer.close()

    async def answer(self, me, reader, writer):
        head = await reader.readuntil(b"\r\n\r\n")
        last = 0
        for line in head.decode("latin-1").split("\r\n"):
            name, _, value = line.partition(":")
            if name.lower() == "last-event-id":
                last = int(value.strip() or 0)
        self.polls += 1
        self.record(f"board: asked from {last}{' (no answer)' if me in self.lost else ''}")
        if me in self.lost:
            await reader.read()
            return
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n: here\n\n")
        comment_at = now() + 1.0
        while True:
            if me in self.lost:
                await reader.read()
                return
            if writer.transport.is_closing():
                return
            changed = self.changed
            for _, event in self.events:
                if event["rev"] > last:
                    last = event["rev"]
                    writer.write(f"id: {last}\ndata: {json.dumps(event)}\n\n".encode())
            await writer.drain()
            try:
                await asyncio.wait_for(changed.wait(), max(0.001, comment_at - now()))
            except asyncio.TimeoutError:
                comment_at = now() + 1.0
                if me not in self.lost:
                    writer.write(b": still here\n\n")


# ---------------------------------------------------------------------------------------------------- cache hosts


class Pull:
    """A request as a cache host has received it."""

    def __init__(self, words, body, connection, host):
        self.id = words[1]
        pairs = [] if words[2] == "-" else [f.split("=", 1) for f in words[2].split(",")]
        self.fields = dict(pairs)
        self.body = body
        self.at = now()
        self.connection = connection
        self.host = host
        self.killed_at = None
        self.ended_at = None
        self.task = None

    @property
    def key(self):
        return self.fields.get("obj"), int(self.fields.get("seg", "0"))

    @property
    def how(self):
        return self.fields.get("do", "").split("+")


class Host:
    """A cache host, a parent or the origin. `handler(host, pull)` is a coroutine that answers; the default one serves
    from what is kept and fills from the named source as the protocol page says."""

    def __init__(self, case, name, kind="box", zone="branch-1", weight=10.0, handler=None, cell=1, born_ms=0):
        self.case = case
        self.record = case.record
        self.name = name
        self.kind = kind
        self.zone = zone
        self.weight = weight
        self.cell = cell
        self.born_ms = born_ms
        self.handler = handler or serve_as_cache
        self.copies = {}
        self.pulls = []
        self.kills = []
        self.writers = set()
        self.tasks = set()
        self.runs = asyncio.Event()
        self.runs.set()
        self.server = None
        self.port = None

    def hang(self):
        """From now on it takes requests and writes nothing, also none of the answers that it has begun."""
        self.runs.clear()
        self.record(f"{self.name}: takes requests and answers none")

    def resume(self):
        self.runs.set()
        self.record(f"{self.name}: answers again")

    async def start(self):
        self.server = await asyncio.start_server(self.serve, LOOPBACK, self.port or 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self, health="Ready"):
        return {
            "host": self.name, "dial": f"{LOOPBACK}:{self.port}", "site": self.zone, "class": self.kind,
            "block": self.cell, "health": health, "share": self.weight, "born_ms": self.born_ms,
        }

    async def serve(self, reader, writer):
        self.writers.add(writer)
        open_pulls = {}
        try:
            while True:
                line = await reader.readuntil(b"\r\n")
                words = line.decode("latin-1").strip().split(" ")
                if words[0] == "PULL" and len(words) == 4:
                    body = await reader.readexactly(int(words[3]) + 2)
                    pull = Pull(words, body[:-2], writer, self)
                    self.pulls.append(pull)
                    open_pulls[pull.id] = pull
                    self.record(f"{self.name}: PULL {pull.id} {words[2]} {words[3]}", pull.at)
                    pull.task = asyncio.ensure_future(self.run(pull))
                    self.tasks.add(pull.task)
                    pull.task.add_done_callback(self.tasks.discard)
                elif words[0] == "KILL" and len(words) == 2:
                    self.record(f"{self.name}: KILL {words[1]}")
                    self.kills.append((now(), words[1]))
                    pull = open_pulls.get(words[1])
                    if pull and pull.killed_at is None:
                        pull.killed_at = now()
                        if pull.ended_at is None and self.stops_on_kill(pull):
                            pull.task.cancel()
                elif words[0] == "ECHO" and len(words) == 2:
                    await self.on_echo(words[1], writer)
                else:
                    return
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.LimitOverrunError, OSError):
            pass
        finally:
            self.writers.discard(writer)
            closed_at = now()
            for pull in open_pulls.values():
                if pull.ended_at is None and pull.killed_at is None:
                    # Closing a connection gives up all that is open on it.
                    pull.killed_at = closed_at
                    self.record(f"{self.name}: connection closed under {pull.id}", closed_at)
                    if self.stops_on_kill(pull):
                        pull.task.cancel()
            writer.close()

    def stops_on_kill(self, _pull):
        return True

    async def on_echo(self, tag, writer):
        if self.runs.is_set():
            writer.write(f"{tag} green - 0\r\n".encode())

    async def run(self, pull):
        try:
            await self.handler(self, pull)
        except (ConnectionError, OSError):
            pass

    async def answer(self, pull, word, fields=None, body=b"", bytes_per_s=None):
        """Writes an answer; with `bytes_per_s` at that pace."""
        text = ",".join(f"{k}={v}" for k, v in (fields or {}).items()) or "-"
        head = f"{pull.id} {word} {text} {len(body)}\r\n".encode()
        writer = pull.connection
        lock = self.case.write_locks.setdefault(writer, asyncio.Lock())
        async with lock:
            await self.runs.wait()
            if pull.killed_at is not None:
                return
            data = head + body + b"\r\n"
            if bytes_per_s:
                step = max(1, int(bytes_per_s * 0.02))
                started, sent = now(), 0
                try:
                    while sent < len(data):
                        if not self.runs.is_set():
                            paused = now()
                            await self.runs.wait()
                            started += now() - paused
                        writer.write(data[sent:sent + step])
                        sent += step
                        await writer.drain()
                        await asyncio.sleep(max(0, started + sent / bytes_per_s - now()))
                except asyncio.CancelledError:
                    # An answer that has begun can't be taken back: without its rest the connection is of no further use.
                    writer.transport.abort()
                    raise
            else:
                writer.write(data)
                await writer.drain()
            pull.ended_at = now()
            self.record(f"{self.name}: answer {pull.id} {word} {text} {len(body)}", pull.ended_at)

    async def close(self):
        if self.server:
            self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()
        for task in list(self.tasks):
            task.cancel()


class Copy:
    def __init__(self, rev, since_ms, body):
        self.rev, self.since_ms, self.body = rev, since_ms, body


class Source:
    """The objects at the origin. An object's bytes change with each purge."""

    def __init__(self, size=2000):
        self.versions = {}
        self.size = size

    def current(self, key):
        version = self.versions.get(key[0], 0)
        rev = f"{abs(hash((key, version))) & 0xffffffffffffffff:016x}"
        text = f"{key[0]}/{key[1]} version {version} ".encode()
        body = (text * (self.size // len(text) + 1))[:self.size]
        return Copy(rev, int(now() * 1000), body)

    def change(self, obj):
        self.versions[obj] = self.versions.get(obj, 0) + 1


async def serve_as_cache(host, pull):
    case = host.case
    cls = pull.fields.get("kind", "")
    cap = int(pull.fields.get("cap", "0")) or case.fresh_ms.get(cls, 0)
    copy = host.copies.get(pull.key)
    note = "mem"
    if copy is not None and cap and int(pull.at * 1000) - copy.since_ms > cap:
        copy = None
    if copy is None:
        up = pull.fields.get("up", "")
        if not up or up == host.name or "local" in pull.how:
            return await host.answer(pull, "not_here")
        await asyncio.sleep(0.01)
        copy, note = case.source.current(pull.key), "origin"
        if pull.fields.get("store", "0") != "0":
            host.copies[pull.key] = copy
    elif "revalidate" in pull.how and cap and int(pull.at * 1000) - copy.since_ms > 0.8 * cap:
        host.copies[pull.key] = case.source.current(pull.key)
    fields = {"rev": copy.rev, "since": copy.since_ms, "res": note, "fill": 10 if note == "origin" else 0}
    if pull.fields.get("inm") == copy.rev:
        return await host.answer(pull, "still_good", fields)
    pull.served = copy
    await host.answer(pull, "served", fields, copy.body)


# ---------------------------------------------------------------------------------------------------- clients


def fcgi_record(kind, number, content):
    return struct.pack(">BBHHBB", 1, kind, number, len(content), 0, 0) + content


def fcgi_pair(name, value):
    out = b""
    for part in (name, value):
        out += bytes([len(part)]) if len(part) < 128 else struct.pack(">I", len(part) | 0x80000000)
    return out + name + value


class Answer:
    def __init__(self):
        self.raw = b""
        self.status = None
        self.headers = {}
        self.body = b""
        self.protocol_status = None
        self.at = None
        self.lost = None

    @property
    def kind(self):
        if self.lost:
            return "lost"
        if self.protocol_status == 2 or self.status in (429, 503):
            return "refused"
        return "served" if self.status == 200 else "failed"

    def finish(self):
        head, _, self.body = self.raw.partition(b"\r\n\r\n")
        for line in head.decode("latin-1").split("\r\n"):
            name, _, value = line.partition(":")
            self.headers[name.strip().lower()] = value.strip()
        if "status" in self.headers:
            self.status = int(self.headers["status"].split()[0])


class Client:
    """A front's connection to a dispatcher, with up to 32 requests open."""

    def __init__(self, case, address):
        self.case = case
        self.address = address
        self.open = {}
        self.answers = {}
        self.last = 0
        self.closed = False
        self.used_at = now()
        self.reader = self.writer = self.task = None

    async def connect(self):
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        self.task = asyncio.ensure_future(self.read())
        return self

    async def read(self):
        reason = "closed"
        try:
            while True:
                head = await self.reader.readexactly(8)
                _, kind, number, length, padding, _ = struct.unpack(">BBHHBB", head)
                content = (await self.reader.readexactly(length + padding))[:length]
                answer = self.answers.get(number)
                if answer is None:
                    continue
                if kind == 6:
                    answer.raw += content
                elif kind == 3:
                    answer.protocol_status = content[4]
                    answer.at = now()
                    answer.finish()
                    self.done(number)
        except (ConnectionError, asyncio.IncompleteReadError, OSError) as error:
            reason = type(error).__name__
        self.closed = True
        self.writer.close()
        for number in list(self.open):
            self.answers[number].lost = reason
            self.answers[number].at = now()
            self.done(number)

    def done(self, number):
        future = self.open.pop(number, None)
        self.used_at = now()
        answer = self.answers.pop(number)
        if future and not future.done():
            future.set_result(answer)

    def start(self, cls, obj, txn=None, ttl_ms=2500, nth=0, batch=1, key=None, second=False, got=None, body=b""):
        """Sends a request whole; returns its transaction id and the future of its answer."""
        while True:
            self.last = self.last % 60000 + 1
            if self.last not in self.open:
                break
        number = self.last
        txn = txn or self.case.transaction()
        params = {"SCRIPT_NAME": f"/ops/{cls}", "REQUEST_METHOD": "POST" if body else "GET", "HTTP_X_TXN": txn,
                  "HTTP_X_TTL_MS": str(int(ttl_ms)), "HTTP_X_ROW": obj, "HTTP_X_NTH": str(nth), "HTTP_X_BATCH": str(batch)}
        if body:
            params["CONTENT_LENGTH"] = str(len(body))
        if key:
            params["HTTP_X_TXN_KEY"] = key
        if second:
            params["HTTP_X_SECOND_TRY"] = "1"
        if got:
            params["HTTP_X_GOT"] = got
        self.answers[number] = Answer()
        future = self.open[number] = asyncio.get_running_loop().create_future()
        pairs = b"".join(fcgi_pair(k.encode(), v.encode()) for k, v in params.items())
        out = fcgi_record(1, number, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, number, pairs) + fcgi_record(4, number, b"")
        if body:
            out += fcgi_record(5, number, body)
        out += fcgi_record(5, number, b"")
        self.writer.write(out)
        self.used_at = now()
        self.case.record(f"client: {txn} {cls} {obj}/{nth} ttl={int(ttl_ms)}{' key=' + key if key else ''}{' second try' if second else ''}")
        return txn, future

    def start_half(self, cls, obj, ttl_ms, key, body):
        """Sends a request without the record that ends its body."""
        self.last = self.last % 60000 + 1
        params = {"SCRIPT_NAME": f"/ops/{cls}", "REQUEST_METHOD": "POST", "HTTP_X_TXN": self.case.transaction(), "HTTP_X_TTL_MS": str(int(ttl_ms)),
                  "HTTP_X_ROW": obj, "HTTP_X_NTH": "0", "HTTP_X_BATCH": "1", "HTTP_X_TXN_KEY": key}
        pairs = b"".join(fcgi_pair(k.encode(), v.encode()) for k, v in params.items())
        self.writer.write(fcgi_record(1, self.last, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, self.last, pairs)
                          + fcgi_record(4, self.last, b"") + fcgi_record(5, self.last, body))
        self.case.record(f"client: half of {params['HTTP_X_TXN']} {cls} {obj}/0")

    async def ask(self, cls, obj, **more):
        sent = now()
        wait = more.get("ttl_ms", 2500) / 1000 + 1.0
        txn, future = self.start(cls, obj, **more)
        try:
            answer = await asyncio.wait_for(future, wait)
        except asyncio.TimeoutError:
            answer = Answer()
            answer.lost = "no answer"
        self.case.record(f"client: {txn} {answer.kind} {answer.status or answer.lost} after {int(1000 * (now() - sent))} ms, {len(answer.body)} bytes")
        answer.txn, answer.sent = txn, sent
        return answer

    async def alive(self):
        """Asks for /alive; returns the status."""
        self.last = self.last % 60000 + 1
        number = self.last
        self.answers[number] = Answer()
        future = self.open[number] = asyncio.get_running_loop().create_future()
        pairs = fcgi_pair(b"SCRIPT_NAME", b"/alive") + fcgi_pair(b"REQUEST_METHOD", b"GET")
        self.writer.write(fcgi_record(1, number, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, number, pairs)
                          + fcgi_record(4, number, b"") + fcgi_record(5, number, b""))
        return (await asyncio.wait_for(future, 2)).status

    def close(self):
        if self.writer:
            self.writer.close()


class Front:
    """A front with up to `most` connections to one dispatcher. It uses the one with the fewest requests open, opens
    another when all carry `width`, and closes those that have been idle for 4 s."""

    def __init__(self, case, dispatcher, most=40, width=8):
        self.case, self.dispatcher, self.most, self.width = case, dispatcher, most, width
        self.clients = []

    async def client(self):
        for client in self.clients:
            if not client.closed and not client.open and now() > client.used_at + 4.0:
                client.closed = True
                client.close()
        self.clients = [c for c in self.clients if not c.closed]
        best = min(self.clients, key=lambda c: len(c.open), default=None)
        if (best is None or len(best.open) >= self.width) and len(self.clients) < self.most:
            best = await self.case.client(self.dispatcher)
            self.clients.append(best)
        return best if len(best.open) < 32 else None

    async def ask(self, cls, obj, **more):
        client = await self.client()
        if client is None:
            return None
        return await client.ask(cls, obj, **more)


# ---------------------------------------------------------------------------------------------------- the dispatcher


class Dispatcher:
    """One dispatcher, started by the deploy file's `run`."""

    def __init__(self, case, name, config):
        self.case = case
        self.name = name
        self.config = config
        self.process = None
        self.path = os.path.join(case.temp, f"{name}.json")
        self.port = int(config["listen"].rsplit(":", 1)[1])
        self.address = (LOOPBACK, self.port)

    def write_config(self):
        with open(self.path + ".new", "w", encoding="utf-8") as file:
            json.dump(self.config, file)
        os.replace(self.path + ".new", self.path)

    async def start(self):
        self.write_config()
        with open(os.path.join(ROOT, "deploy", "balancer.toml"), encoding="utf-8") as file:
            command = re.search(r'^run = "([^"]*)"$', file.read(), re.MULTILINE).group(1)
        environment = {**os.environ, "BALANCER_NAME": self.name, "BALANCER_LISTEN": self.config["listen"],
                       "BALANCER_CONFIG": self.path, "TMPDIR": self.case.temp}
        log = open(os.path.join(self.case.temp, f"{self.name}.log"), "ab")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", command, cwd=ROOT, env=environment, stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        self.case.record(f"{self.name}: started")
        deadline = now() + 20
        while now() < deadline:
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended at its start: {self.log()}")
            client = Client(self.case, self.address)
            try:
                await client.connect()
                if await client.alive() == 200:
                    self.case.record(f"{self.name}: ready")
                    return
            except (OSError, asyncio.TimeoutError):
                pass
            finally:
                client.close()
            await asyncio.sleep(0.05)
        raise CannotRun(f"{self.name} is not ready after 20 s")

    def log(self):
        with open(os.path.join(self.case.temp, f"{self.name}.log"), encoding="utf-8", errors="replace") as file:
            return file.read()[-2000:]

    def signal(self, number):
        if self.process and self.process.returncode is None:
            self.case.record(f"{self.name}: {signal.Signals(number).name}")
            self.process.send_signal(number)

    def crashed(self):
        """Whether it ended though nothing told it to."""
        return self.process is not None and self.process.returncode is not None


def free_port():
    import socket
    with socket.socket() as listener:
        listener.bind((LOOPBACK, 0))
        return listener.getsockname()[1]


class Case:
    """One play of a case."""

    def __init__(self, folder):
        self.folder = folder
        self.temp = tempfile.mkdtemp(prefix="review-")
        self.record = Record(folder)
        self.hosts = []
        self.boards = []
        self.dispatchers = []
        self.clients = []
        self.write_locks = {}
        self.fresh_ms = {}
        self.source = Source()
        self.transactions = 0
        self.rng = __import__("random").Random(62)

    def transaction(self):
        return f"{self.rng.getrandbits(64):016x}"

    def object(self):
        return f"{self.rng.getrandbits(64):016x}"

    async def board(self):
        board = Board(self.record)
        await board.start()
        self.boards.append(board)
        return board

    async def host(self, name, **more):
        host = Host(self, name, **more)
        await host.start()
        self.hosts.append(host)
        return host

    async def dispatcher(self, board, settings, name="n0", memory_mb=64, sockets=512):
        known = {"rev": board.next_revision - 1, "notices": [event for _, event in board.events]}
        config = {"name": name, "listen": f"{LOOPBACK}:{free_port()}", "seed": f"{self.rng.getrandbits(64):016x}",
                  "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}, "board": board.address,
                  "flow_bytes_per_s": 310000, "link_bytes_per_s": 1240000, "known": known, "settings": settings}
        dispatcher = Dispatcher(self, name, config)
        self.dispatchers.append(dispatcher)
        await dispatcher.start()
        return dispatcher

    async def client(self, dispatcher):
        client = await Client(self, dispatcher.address).connect()
        self.clients.append(client)
        return client

    async def close(self):
        for client in self.clients:
            client.close()
        for dispatcher in self.dispatchers:
            if dispatcher.process and dispatcher.process.returncode is None:
                dispatcher.process.kill()
                await dispatcher.process.wait()
        for board in self.boards:
            if board.server:
                board.server.close()
            for writer in list(board.open.values()):
                writer.transport.abort()
        for host in self.hosts:
            await host.close()
        self.record.close()
        shutil.rmtree(self.temp, ignore_errors=True)


VIDEO, PAGE, SUBMIT = 0, 1, 2


def settings(case, balancers=1, me=0, **changes):
    """Settings like those of the deployment for the hills, with one branch: two classes that are kept and one that is
    written through with a key."""
    classes = [
        {"Name": "lesson-video", "Worth": 2.0, "AimMs": 600.0, "AimStretch": 1.6, "LateWorth": 0.2, "DeadlineMs": 5000.0,
         "Repeat": "idempotent", "Group": "all", "KeyTtlMs": 2000.0, "Stream": False},
        {"Name": "sign-page", "Worth": 1.0, "AimMs": 250.0, "AimStretch": 2.0, "LateWorth": 0.1, "DeadlineMs": 2500.0,
         "Repeat": "idempotent", "Group": "all", "KeyTtlMs": 2000.0, "Stream": False},
        {"Name": "test-submit", "Worth": 3.0, "AimMs": 700.0, "AimStretch": 0.0, "LateWorth": 0.1, "DeadlineMs": 3000.0,
         "Repeat": "deduplicated", "Group": "all", "KeyTtlMs": 2000.0, "Stream": False},
    ]
    document = {
        "Allowed": {"CpuUsPerRequest": 0.0, "CpuUsPerS": 500000, "DialTimeoutMs": 400.0, "KeepaliveMs": 30000.0,
                    "MaxAttempts": 8, "MaxOpen": 20000, "MaxRetryAfterMs": 1000.0, "MayCancel": True, "Peers": False,
                    "Probes": False, "RetryAfter": True, "SecondCopies": False, "StreamsPerConn": 100},
        "Balancers": balancers, "Callers": {"MarksRetry": True},
        "Classes": classes, "CountedBy": "request", "Discovery": "automatic",
        "FamilyInfo": {"GoneEverywhereMs": 6000.0, "InPieces": [True, False, False], "InstancesByZone": [0, balancers],
                       "MasterKind": 2, "MaxAgeMs": [0.0, 20000.0, 0.0], "MergesFills": False, "Neighbours": "location",
                       "NeverKept": [False, False, True], "NoticeTimeMs": 500.0, "OriginLimitFactor": 2.5,
                       "ParentFallMultiple": 2.0, "ParentStartsAt": 0.067, "PriceOfLink": 0.04, "RootFallMs": 3000.0,
                       "SecondTierKind": 1, "Straight": True, "StreamKbPerS": 310.0, "Tells": "all",
                       "UpperColdMs": 22000.0, "UsableAfterMs": [0.0, 20000.0, 0.0], "WorthWhenOld": [0.7, 0.7, 0.7],
                       "ZoneHub": [0, 0], "ZoneLinkKbPerS": [0.0, 0.0]},
        "KindOfService": "edge", "Kinds": ["box", "parent", "origin"], "Layer": 0, "LoadInfo": {"Fields": [], "Source": "none"},
        "Me": me, "OverShareWorth": 0.1, "Parties": [],
        "Rules": {"AnswerSlackMs": 8.0, "AskWithinMs": 10000.0, "DrainGraceMs": 1000.0, "FallMs": 1000.0,
                  "OverloadFactor": 3.0, "StartCapacity": 0.18, "WarmWithinMs": 18000.0},
        "TickMs": 2.0, "Tiers": ["content-cache"], "WeightSource": "nominal", "Zone": 1, "Zones": ["upper-trunk", "branch-1"],
    }
    for name, value in changes.items():
        section, _, key = name.partition("__")
        if key:
            document[section][key] = value
        else:
            document[section] = value
    for index, entry in enumerate(document["Classes"]):
        case.fresh_ms[entry["Name"]] = int(document["FamilyInfo"]["MaxAgeMs"][index])
    return document


def full_list(hosts, healths=None):
    healths = healths or {}
    return {"pool": {"seq": 1, "whole": True, "hosts": [h.entry(healths.get(h.name, "Ready")) for h in hosts]}}


def change(sequence, *entries):
    return {"pool": {"seq": sequence, "whole": False, "hosts": list(entries)}}


def play(folder, scenario, limit_s=110):
    """Plays `scenario(case)`, a coroutine that returns (broken, summary), and exits with 1, 0 or 2."""

    async def run():
        case = Case(folder)
        # A signal ends the play, and with it all that it started.
        for number in (signal.SIGTERM, signal.SIGINT):
            asyncio.get_running_loop().add_signal_handler(number, asyncio.current_task().cancel)
        try:
            broken, summary = await asyncio.wait_for(scenario(case), limit_s)
            for dispatcher in case.dispatchers:
                if dispatcher.crashed() and not getattr(dispatcher, "killed", False):
                    broken, summary = True, f"{dispatcher.name} ended by itself; {summary}"
            case.record(f"verdict: {'BROKEN' if broken else 'held'}: {summary}")
            print(f"{'BROKEN' if broken else 'held'}: {summary}")
            return 1 if broken else 0
        except (CannotRun, asyncio.TimeoutError, asyncio.CancelledError, OSError) as error:
            case.record(f"cannot run: {error!r}")
            print(f"cannot run: {error!r}", file=sys.stderr)
            return 2
        finally:
            await case.close()

    sys.exit(asyncio.run(run()))
