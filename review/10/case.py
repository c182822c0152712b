"""Discovery is down for 8 s: an object purged meanwhile is served from older copies after it counts as told."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform2 import TROUBLE, full_list, now, play, settings

OUTAGE_S = 8.0
TOLD_AFTER_S = 4.0
NOTICE_S = 0.5 + 0.05
DROPPED_AFTER_S = 6.0


async def scenario(case):
    board = await case.board()
    boxes = [await case.host(f"s-box{n}") for n in range(1, 4)]
    origin = await case.host("s-store", kind="origin", zone="upper-trunk", weight=50.0)
    board.tell(full_list([*boxes, origin]))
    dispatcher = await case.dispatcher(board, settings(case))
    client = await case.client(dispatcher)
    objects = [case.object() for _ in range(12)]
    for _ in range(2):
        for obj in objects:
            await client.ask("lesson-video", obj, ttl_ms=4000)
    await asyncio.sleep(1.0)

    began = now()
    if TROUBLE:
        await board.go_down()
    await asyncio.sleep(0.5)
    purged = {}
    for obj in objects[:6]:
        case.source.change(obj)
        purged[obj] = now()
        board.tell({"flush": {"asset": obj, "ms": int(now() * 1000)}})

    async def drop_older():
        # Within 6 s all older copies are dropped, wherever they are.
        for obj, at in purged.items():
            await asyncio.sleep(max(0, at + DROPPED_AFTER_S - now()))
            for box in boxes:
                for key in [k for k in box.copies if k[0] == obj and box.copies[k].since_ms < at * 1000]:
                    del box.copies[key]

    dropping = asyncio.ensure_future(drop_older())
    lost = 0
    while now() < began + OUTAGE_S:
        for obj in objects:
            answer = await client.ask("lesson-video", obj, ttl_ms=4000)
            lost += answer.kind == "lost"
        await asyncio.sleep(0.05)
    if TROUBLE:
        await board.recover()
    for _ in range(10):
        for obj in objects:
            await client.ask("lesson-video", obj, ttl_ms=4000)
        await asyncio.sleep(0.1)
    await dropping

    stale = []
    for box in boxes:
        for pull in box.pulls:
            at = purged.get(pull.key[0])
            copy = getattr(pull, "served", None)
            told = began + TOLD_AFTER_S if TROUBLE else at
            if at and copy and pull.at > told + NOTICE_S and copy.since_ms < int(at * 1000):
                stale.append(pull)
                case.record(f"older than the purge: {pull.id} sent {pull.at - told:.2f} s after it was told, copy {at - copy.since_ms / 1000:.2f} s older", pull.at)
    return bool(stale), f"{len(stale)} requests answered from copies older than a purge that counts as told; {lost} lost"


play(os.path.dirname(os.path.abspath(__file__)), scenario)
