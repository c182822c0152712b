"""A keyed request whose attempt has run is refused after its key was forgotten; the client's retry runs it again."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standin import *

WINDOW_S = 2.0
REQUESTS = 20
INTERVAL_S = 0.5
LOST = (5, 12)
RESET_AFTER_S = 2.1
WORK_S = 0.05
TOTAL_MS = 3000
BODY = b"answers" * 100


class Origin:
    """Runs each key once and discards its repeats for WINDOW_S after that."""

    def __init__(self, record):
        self.record = record
        self.runs = {}
        self.lost = set()
        self.promised = set()

    async def handle(self, request):
        key = request.fields["token"]
        runs = self.runs.setdefault(key, [])
        now = time.monotonic()
        if runs and now - runs[-1] < WINDOW_S:
            self.record.write(f"origin receives {request.id} key {key}, discards the repeat")
        else:
            runs.append(now)
            self.record.write(f"origin receives {request.id} key {key}, runs it (run {len(runs)})")
        if key in self.lost:
            self.lost.remove(key)
            await asyncio.sleep(RESET_AFTER_S)
            self.record.write(f"the connection of {request.id} is reset, its answer is lost")
            reset(request.connection)
            return
        await asyncio.sleep(WORK_S)
        request.answer("served", f"rev=77aa77aa77aa77aa,since={int(unix_ms())},res=origin", b"done")


async def submit(record, dispatcher, key, promised):
    """One client's request: the first try and, on a refusal, the retries that the answer and the total time allow."""
    started = time.monotonic()
    tries = 0
    while tries < 3:
        left_ms = int(TOTAL_MS - (time.monotonic() - started) * 1000)
        ttl = random.randint(2200, 2600) if tries == 0 else left_ms
        if left_ms < 100:
            return "given up"
        id = transaction()
        fields = {"HTTP_X_TXN": id, "HTTP_X_TTL_MS": str(ttl), "HTTP_X_TXN_KEY": key,
                  "HTTP_X_ROW": "7f3a9c21e0b4d655", "HTTP_X_NTH": "0", "HTTP_X_BATCH": "17"}
        if tries:
            fields["HTTP_X_SECOND_TRY"] = "1"
        connection = await Connection().connect(dispatcher.dial)
        record.write(f"client sends {id} key {key} try {tries + 1} ttl {ttl}")
        try:
            answer = await asyncio.wait_for(connection.request("/ops/test-submit", fields, BODY), ttl / 1000 + 0.55)
        except asyncio.TimeoutError:
            answer = None
        connection.close()
        meaning = answer.meaning() if answer else "no answer"
        wait = int(answer.fields.get("X-Throttle-Ms", "0")) if answer else 0
        record.write(f"client gets {id}: {meaning} {answer and answer.status} throttle {wait}")
        if meaning != "refused":
            return meaning
        promised.add(key)
        await asyncio.sleep(max(wait, random.randint(50, 400)) / 1000)
        tries += 1
    return "refused"


async def case(record):
    origin_state = Origin(record)
    origin = await Host(record, "o-1", "origin", origin_state.handle).start()
    cache = await Host(record, "s-1", "small-box", origin_state.handle).start()
    board = await Board(record).start()
    board.add(pool={"seq": 1, "whole": True, "hosts": [entry(cache), entry(origin)]})
    dispatcher = await Dispatcher(record, board, settings()).start()
    try:
        clients = []
        for number in range(REQUESTS):
            key = "%032x" % random.getrandbits(128)
            if TROUBLE and number in LOST:
                origin_state.lost.add(key)
            clients.append(asyncio.ensure_future(submit(record, dispatcher, key, origin_state.promised)))
            await asyncio.sleep(INTERVAL_S)
        outcomes = await asyncio.gather(*clients)
        record.write(f"outcomes {outcomes}")
    finally:
        await dispatcher.stop()
    return [f"key {key} was refused and then ran again, {[round(r - runs[0], 2) for r in runs[1:]]} s after its first run"
            for key, runs in origin_state.runs.items() if len(runs) > 1 and key in origin_state.promised]


main(HERE, case)
