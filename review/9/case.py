"""After a silence of discovery of 4 s the dispatcher doesn't ask again for 6 s more, and sends to a draining host."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform2 import TROUBLE, change, full_list, now, play, settings

SILENCE_S = 4.0
GRACE_S = 1.0 + 0.05


async def scenario(case):
    board = await case.board()
    boxes = [await case.host(f"s-box{n}") for n in range(1, 4)]
    origin = await case.host("s-store", kind="origin", zone="upper-trunk", weight=50.0)
    board.tell(full_list([*boxes, origin]))
    dispatcher = await case.dispatcher(board, settings(case))
    client = await case.client(dispatcher)
    await asyncio.sleep(1.5)

    began = now()
    if TROUBLE:
        board.silence()
    ended = began + SILENCE_S
    asked, stop_at = [], began + 14.0
    told = None
    objects = [case.object() for _ in range(40)]
    while now() < stop_at:
        if board.mode == "silent" and now() >= ended:
            await board.recover()
        # A cache host begins to drain within a second of the return.
        if told is None and now() >= ended + 0.2:
            told = board.tell(change(2, boxes[0].entry("Terminating")))
        asked.append(asyncio.ensure_future(client.ask("sign-page", case.rng.choice(objects), ttl_ms=2000)))
        await asyncio.sleep(0.025)
    answers = await asyncio.gather(*asked)
    if told is None:
        raise RuntimeError("no event was told")
    # Told: it is in the notice board, which answers; or 4 s after the silence began, whichever is later.
    told_at = max(told, began + 4.0)
    late = [p for p in boxes[0].pulls if p.at > told_at + GRACE_S]
    late += [p for host in [*boxes, origin] for p in host.pulls
             if host is not boxes[0] and p.fields.get("up") == boxes[0].name and p.at > told_at + GRACE_S]
    last = max((p.at for p in late), default=told_at) - told_at
    lost = sum(a.kind == "lost" for a in answers)
    case.record(f"drain told at {told_at - case.record.began:.3f}; asked {len(answers)}, lost {lost}")
    return bool(late), f"{len(late)} requests to the draining host after its grace, the last one {last:.2f} s after it was told"


play(os.path.dirname(os.path.abspath(__file__)), scenario)
