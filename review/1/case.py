"""Bad clients that send half a write and leave fill the dispatcher's memory: the platform kills it over its limit."""
import asyncio
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standin import *

MEMORY_MB = int(os.environ.get("MEMORY_MB", "32"))
SOCKETS = int(os.environ.get("SOCKETS", "256"))
BAD_CLIENTS = int(os.environ.get("BAD_CLIENTS", "20"))
OPEN_ON_ONE_CONNECTION = 32
WRITE_BYTES = 48_000
USUAL_S = 8.0
USUAL_INTERVAL_S = 0.02


def anonymous_mb(pid):
    """Memory of the process without mapped files, which is less than the platform counts."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon"):
                return int(line.split()[1]) / 1024
    return 0.0


async def serve(request):
    await asyncio.sleep(0.02)
    request.answer("served", f"rev=77aa77aa77aa77aa,since={int(unix_ms())},res=mem", b"p" * 20_000)


async def bad_client(record, dial, number):
    """Sends 32 writes at once, each without its last bytes and its end; leaves after a second."""
    await asyncio.sleep(number * 0.01)
    try:
        reader, writer = await asyncio.open_connection(*dial.split(":"))
        for id in range(1, OPEN_ON_ONE_CONNECTION + 1):
            params = {"SCRIPT_NAME": "/ops/test-submit", "HTTP_X_TXN": transaction(), "HTTP_X_TTL_MS": "3000",
                      "HTTP_X_TXN_KEY": transaction() + transaction(), "HTTP_X_ROW": transaction(),
                      "HTTP_X_NTH": "0", "HTTP_X_BATCH": "3", "CONTENT_LENGTH": str(WRITE_BYTES)}
            writer.write(begin_record(id) + records(4, id, pairs(params)) + end_of_stream(4, id)
                         + records(5, id, b"w" * (WRITE_BYTES - 100)))
        record.write(f"bad client {number} sends {OPEN_ON_ONE_CONNECTION} half writes")
        try:
            while await asyncio.wait_for(reader.read(65536), 1.0):
                pass
        except asyncio.TimeoutError:
            pass
        writer.close()
        record.write(f"bad client {number} leaves")
    except OSError as error:
        record.write(f"bad client {number}: {error!r}")


async def usual_client(record, connection, outcomes):
    id = transaction()
    fields = {"HTTP_X_TXN": id, "HTTP_X_TTL_MS": "2500", "HTTP_X_ROW": "%016x" % random.randrange(50),
              "HTTP_X_NTH": "0", "HTTP_X_BATCH": "17"}
    try:
        answer = await asyncio.wait_for(connection.request("/ops/sign-page", fields), 3.1)
    except (asyncio.TimeoutError, OSError):
        answer = None
    meaning = answer.meaning() if answer else "no answer"
    record.write(f"usual client {id}: {meaning}")
    outcomes[meaning] = outcomes.get(meaning, 0) + 1


async def platform(record, dispatcher, state):
    """Watches the memory of the dispatcher and kills it over its limit."""
    while dispatcher.process.returncode is None:
        used = anonymous_mb(dispatcher.process.pid)
        if used > state["peak"]:
            state["peak"] = used
        if used > MEMORY_MB and not state["killed"]:
            state["killed"] = True
            record.write(f"the dispatcher uses {used:.1f} MB without files, {MEMORY_MB} MB allowed: killed")
            if os.environ.get("KILL", "1") != "0":
                dispatcher.process.kill()
        await asyncio.sleep(0.005)


async def case(record):
    cache = await Host(record, "s-1", "small-box", serve).start()
    origin = await Host(record, "o-1", "origin", serve, block=65535, share=1).start()
    board = await Board(record).start()
    board.add(pool={"seq": 1, "whole": True, "hosts": [entry(cache), entry(origin)]})
    dispatcher = await Dispatcher(record, board, settings(), MEMORY_MB, SOCKETS).start()
    state = {"peak": 0.0, "killed": False}
    outcomes = {}
    broken = []
    try:
        watch = asyncio.ensure_future(platform(record, dispatcher, state))
        connections = [await Connection().connect(dispatcher.dial) for _ in range(4)]
        usual, bad = [], []
        started = time.monotonic()
        while time.monotonic() - started < USUAL_S and dispatcher.process.returncode is None:
            if TROUBLE and not bad and time.monotonic() - started > 2.0:
                bad = [asyncio.ensure_future(bad_client(record, dispatcher.dial, n)) for n in range(BAD_CLIENTS)]
            usual.append(asyncio.ensure_future(usual_client(record, random.choice(connections), outcomes)))
            await asyncio.sleep(USUAL_INTERVAL_S)
        await asyncio.gather(*usual, *bad)
        watch.cancel()
        text = f"peak {state['peak']:.1f} MB without files, {MEMORY_MB} MB allowed; usual requests: {outcomes}"
        record.write(text)
        print(text)
        if state["killed"]:
            broken.append(f"the dispatcher went over its memory limit and was killed; {text}")
        elif dispatcher.process.returncode is not None:
            broken.append(f"the dispatcher ended with {dispatcher.process.returncode}")
    finally:
        await dispatcher.stop()
    return broken


main(HERE, case)
