"""Usual clients that write slowly on a shared connection make the dispatcher drop whole requests of the others."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standin import *

DURATION_S = 20.0
PAGES_PER_S = 40
PAGES_FOR_A_SUBMIT = 30
BODY = b"a" * 12_000
PIECES = 12
WRITING_S = 1.5 if TROUBLE else 0.0
CROSSES_S = 0.05 + 0.05
SLACK_S = 0.05 + 0.5


async def serve(request):
    await asyncio.sleep(random.uniform(0.1, 0.3))
    request.answer("served", f"rev=77aa77aa77aa77aa,since={int(unix_ms())},res=mem", b"p" * 5_000)


class Front:
    """A web server: one connection for all its clients, opened again when it has ended."""

    def __init__(self, record, dispatcher):
        self.record, self.dispatcher = record, dispatcher
        self.connection = None
        self.opening = asyncio.Lock()

    async def current(self):
        async with self.opening:
            if self.connection is None or self.connection.ended.is_set():
                self.connection = await Connection().connect(self.dispatcher.dial)
                self.record.write("front opens a connection")
            return self.connection


async def ask(record, front, outcomes, lost, script, fields, body, writing_s, ttl_ms):
    connection = await front.current()
    fields = {"HTTP_X_TXN": transaction(), "HTTP_X_TTL_MS": str(ttl_ms), "HTTP_X_ROW": transaction(),
              "HTTP_X_NTH": "0", "HTTP_X_BATCH": "9", **fields}
    id = connection.take_id()
    answer = connection.waiting[id]
    params = {"SCRIPT_NAME": script, "REQUEST_METHOD": "POST" if body else "GET", **fields}
    if body:
        params["CONTENT_LENGTH"] = str(len(body))
    name = f"{script} {fields['HTTP_X_TXN']} as {id}"
    started = time.monotonic()
    whole = None
    connection.writer.write(begin_record(id) + records(4, id, pairs(params)) + end_of_stream(4, id))
    size = max(1, len(body) // PIECES)
    for piece in range(0, len(body), size):
        if writing_s:
            await asyncio.sleep(writing_s / PIECES)
        if not answer.done():
            connection.writer.write(records(5, id, body[piece:piece + size]))
    if not answer.done():
        connection.writer.write(end_of_stream(5, id))
        whole = time.monotonic()
        record.write(f"front has written {name} whole")
    result = None
    try:
        result = await asyncio.wait_for(answer, max(0.0, started + ttl_ms / 1000 + SLACK_S - time.monotonic()))
        ended = "its connection is ended"
    except asyncio.TimeoutError:
        ended = "its time is up"
    now = time.monotonic()
    meaning = result.meaning() if result else ("no answer" if whole else "not written whole")
    if result is None and whole and now - whole > CROSSES_S:
        lost.append(f"{name}: no answer, {ended} {now - whole:.2f} s after its last byte")
    record.write(f"{name}: {meaning} {result.status if result else ended}")
    outcomes[(script, meaning)] = outcomes.get((script, meaning), 0) + 1


async def case(record):
    caches = [await Host(record, id, "small-box", serve).start() for id in ("s-1", "s-2")]
    origin = await Host(record, "o-1", "origin", serve, block=65535, share=1).start()
    board = await Board(record).start()
    board.add(pool={"seq": 1, "whole": True, "hosts": [entry(host) for host in caches + [origin]]})
    dispatcher = await Dispatcher(record, board, settings()).start()
    outcomes, lost, requests = {}, [], []
    try:
        front = Front(record, dispatcher)
        started = time.monotonic()
        for number in range(int(DURATION_S * PAGES_PER_S)):
            await asyncio.sleep(max(0, started + number / PAGES_PER_S - time.monotonic()))
            requests.append(asyncio.ensure_future(
                ask(record, front, outcomes, lost, "/ops/sign-page", {}, b"", 0, 2500)))
            if number % PAGES_FOR_A_SUBMIT == 0:
                key = {"HTTP_X_TXN_KEY": transaction() + transaction()}
                requests.append(asyncio.ensure_future(
                    ask(record, front, outcomes, lost, "/ops/test-submit", key, BODY, WRITING_S, 3000)))
        await asyncio.gather(*requests)
    finally:
        await dispatcher.stop()
    text = ", ".join(f"{script} {meaning}: {count}" for (script, meaning), count in sorted(outcomes.items()))
    record.write(text)
    print(text)
    return lost


main(HERE, case)
