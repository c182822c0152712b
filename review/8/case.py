"""Requests of usual clients are never answered beside bad clients that send a body without end in records of one byte."""
import asyncio
import os
import struct
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform2 import LOOPBACK, TROUBLE, CannotRun, Front, fcgi_pair, fcgi_record, full_list, now, play, settings

BAD = 200
SOCKETS = 1024
SECONDS = 8.0
LATE_S = 0.5 + 0.05
assert BAD <= SOCKETS // 3 - 8


async def flood(port):
    """The bad clients, in a process of their own. Each reads what it is sent, and connects again when it is closed."""
    stop = now() + SECONDS
    fields = {"SCRIPT_NAME": "/ops/test-submit", "REQUEST_METHOD": "POST", "HTTP_X_TXN": "0123456789abcdef", "HTTP_X_TTL_MS": "3000",
              "HTTP_X_ROW": "0123456789abcdef", "HTTP_X_NTH": "0", "HTTP_X_BATCH": "1", "HTTP_X_TXN_KEY": "01" * 16}
    pairs = b"".join(fcgi_pair(k.encode(), v.encode()) for k, v in fields.items())
    begin = fcgi_record(1, 1, struct.pack(">HB5x", 1, 1)) + fcgi_record(4, 1, pairs) + fcgi_record(4, 1, b"")
    endless = fcgi_record(5, 1, b"z") * 2000
    counts = {"connections": 0, "sent": 0, "longest": 0.0}

    async def bad():
        while now() < stop:
            try:
                reader, writer = await asyncio.open_connection(LOOPBACK, port)
            except OSError:
                await asyncio.sleep(0.05)
                continue
            opened, heard = now(), []

            async def read():
                while await reader.read(65536):
                    heard.append(now())

            reading = asyncio.ensure_future(read())
            try:
                writer.write(begin)
                while now() < stop and not reading.done():
                    writer.write(endless)
                    await asyncio.wait_for(writer.drain(), max(0.1, stop - now()))
                    counts["sent"] += len(endless)
            except (OSError, asyncio.TimeoutError):
                pass
            counts["connections"] += 1
            counts["longest"] = max(counts["longest"], (heard[0] if heard else now()) - opened)
            writer.transport.abort()
            reading.cancel()

    await asyncio.gather(*(bad() for _ in range(BAD)))
    print(f"{counts['connections']} connections, {counts['sent'] // 1000} kB sent, {counts['longest']:.2f} s at most without an answer or a close")


async def scenario(case):
    board = await case.board()
    boxes = [await case.host(f"s-box{n}") for n in range(1, 4)]
    origin = await case.host("s-store", kind="origin", zone="upper-trunk", weight=50.0)
    board.tell(full_list([*boxes, origin]))
    dispatcher = await case.dispatcher(board, settings(case), memory_mb=64, sockets=SOCKETS)
    front = Front(case, dispatcher, most=8, width=8)
    asked, slowest = [], 0.0

    async def usual(seconds):
        nonlocal slowest
        stop, last = now() + seconds, now()
        while now() < stop:
            client = await front.client()
            if client:
                asked.append(asyncio.ensure_future(client.ask("sign-page", case.object(), ttl_ms=2500)))
            await asyncio.sleep(0.025)
            slowest, last = max(slowest, now() - last - 0.025), now()

    await usual(1)
    bad = None
    if TROUBLE:
        case.record(f"{BAD} bad clients begin")
        bad = await asyncio.create_subprocess_exec(
            sys.executable, os.path.abspath(__file__), "flood", str(dispatcher.port), stdout=asyncio.subprocess.PIPE)
    try:
        await usual(SECONDS)
        answers = await asyncio.gather(*asked)
    finally:
        if bad:
            told, _ = await asyncio.wait_for(bad.communicate(), 15)
            case.record(f"bad clients: {told.decode().strip()}")
    if slowest > 0.5:
        raise CannotRun(f"this machine held the stand-ins back for {slowest:.2f} s")
    never = sum(a.kind == "lost" for a in answers)
    late = sum(a.kind != "lost" and a.at > a.sent + 2.5 + LATE_S for a in answers)
    kinds = {}
    for answer in answers:
        kinds[answer.kind] = kinds.get(answer.kind, 0) + 1
    return never + late > 0, f"{never} of {len(answers)} usual requests not answered 1 s after their time, {late} more answered over {LATE_S} s after it; answers: {kinds}"


if sys.argv[1:2] == ["flood"]:
    asyncio.run(flood(int(sys.argv[2])))
else:
    play(os.path.dirname(os.path.abspath(__file__)), scenario)
