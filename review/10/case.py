"""A parent that has just started cold gets more fills than it bears: renewals behind are not counted against it."""
import asyncio
import math
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform2 import TROUBLE, CannotRun, Copy, change, full_list, now, play, settings

PAGE_BYTES = 20_000
WORK_S = PAGE_BYTES / 310_000
FRESH_S = 20.0
PAGES, PER_S = 560, 160.0
SHARE = 8.0
DIES_S, RETURNS_S, TOLD_AFTER_S, AGAIN_S = 4.6, 15.8, 0.5, 16.5
FALL_S, MULTIPLE, STARTS_AT, WARM_S = 1.0, 2.0, 0.067, 22.0


class Parent:
    """What a parent is asked for by the caches that fill from it."""

    def __init__(self):
        self.up, self.started, self.told, self.fell = True, None, None, None
        self.fills, self.most = [], 0

    def bears(self):
        """The fills of mean work that it bears in `FALL_S` that end now, by its capacity at their end."""
        share = STARTS_AT + (1 - STARTS_AT) * min(1.0, (now() - self.started) / WARM_S)
        n = MULTIPLE * share * SHARE * FALL_S / WORK_S
        return n, n + (3 * math.sqrt(n) + 3 if n < 30 else 2 * math.sqrt(n) + 2)

    def takes(self, case, name, why):
        """Whether it takes a fill. A cold one falls over when it gets more than it bears."""
        if not self.up:
            return False
        if self.started is None or now() > self.started + WARM_S:
            return True
        self.fills.append(now())
        recent = [at for at in self.fills if at > now() - FALL_S]
        told = [at for at in recent if self.told is not None and at >= self.told]
        n, limit = self.bears()
        self.most = max(self.most, len(recent))
        if len(recent) > limit:
            self.up = False
            if 3 * len(told) > 2 * len(recent):
                self.fell = f"{name} fell {now() - self.started:.2f} s after its start: {len(recent)} fills within {FALL_S} s, {len(told)} of them from a dispatcher that was told, it bears {limit:.1f} (N {n:.1f})"
                case.record(self.fell)
            return False
        case.record(f"{name}: a fill, {why}; {len(recent)} within {FALL_S} s, it bears {limit:.1f}")
        return True


async def scenario(case):
    parents = {}
    renewing = set()

    async def fetch(host, pull, why):
        """Fills a copy from the named source; returns the note."""
        up = pull.fields.get("up", "")
        if up in parents:
            if not parents[up].takes(case, up, why):
                return "unreached"
            await asyncio.sleep(0.05)  # the parent asks the origin
        elif up == "s-store":
            await asyncio.sleep(0.03)
        else:
            return "absent"
        host.copies[pull.key] = Copy("3" * 16, int(now() * 1000), bytes(PAGE_BYTES))
        return "origin"

    async def handler(host, pull):
        cap = int(pull.fields.get("cap", "0")) or int(FRESH_S * 1000)
        copy = host.copies.get(pull.key)
        age = now() * 1000 - copy.since_ms if copy else None
        if copy and age <= cap:
            note = "mem" if age <= FRESH_S * 1000 else "old"
            await host.answer(pull, "served", {"rev": copy.rev, "since": copy.since_ms, "res": note}, copy.body)
            if "revalidate" in pull.how and age > 0.8 * FRESH_S * 1000 and pull.key not in renewing:
                renewing.add(pull.key)
                await fetch(host, pull, "renewed behind")
                renewing.discard(pull.key)
            return
        note = await fetch(host, pull, "a miss")
        copy = host.copies.get(pull.key)
        if note == "origin":
            await host.answer(pull, "served", {"rev": copy.rev, "since": copy.since_ms, "res": note, "fill": 50}, copy.body)
        else:
            await host.answer(pull, "not_here" if note == "absent" else "crashed", {"res": note})

    async def at_origin(host, pull):
        await host.answer(pull, "served", {"rev": "3" * 16, "since": int(now() * 1000), "res": "origin"}, bytes(PAGE_BYTES))

    board = await case.board()
    boxes = [await case.host(f"s-box{n}", weight=20.0, handler=handler) for n in (1, 2)]
    upper = [await case.host(f"s-trunk{n}", kind="parent", zone="upper-trunk", weight=SHARE, handler=at_origin) for n in (1, 2)]
    origin = await case.host("s-store", kind="origin", zone="upper-trunk", weight=40.0, handler=at_origin)
    parents.update({host.name: Parent() for host in upper})
    board.tell(full_list([*boxes, *upper, origin]))
    dispatcher = await case.dispatcher(board, settings(case))
    began = now()

    async def trouble():
        parent, host = parents[upper[0].name], upper[0]
        await asyncio.sleep(began + DIES_S - now())
        case.record(f"{host.name} dies")
        parent.up = False
        host.server.close()
        for writer in list(host.writers):
            writer.transport.abort()
        await asyncio.sleep(2)
        board.tell(change(2, host.entry("Gone")))
        await asyncio.sleep(began + RETURNS_S - now())
        await host.start()
        parent.up, parent.started, host.born_ms = True, now(), int(now() * 1000)
        case.record(f"{host.name} returns, cold and empty")
        await asyncio.sleep(TOLD_AFTER_S)
        parent.told = board.tell(change(3, host.entry("Ready")))

    troubled = asyncio.ensure_future(trouble()) if TROUBLE else None
    pages = [case.object() for _ in range(PAGES)]
    asked = []
    for begin in (0.0, AGAIN_S):
        await asyncio.sleep(max(0, began + begin - now()))
        clients = [await case.client(dispatcher) for _ in range(6)]
        for number, page in enumerate(pages):
            await asyncio.sleep(max(0, began + begin + number / PER_S - now()))
            asked.append(asyncio.ensure_future(clients[number % 6].ask("sign-page", page, ttl_ms=2500, batch=9)))
        await asyncio.gather(*asked)
        for client in clients:
            client.close()
    if troubled:
        await troubled
    await asyncio.sleep(1)
    kinds = {}
    for task in asked:
        kinds[task.result().kind] = kinds.get(task.result().kind, 0) + 1
    if kinds.get("served", 0) < PAGES:
        raise CannotRun(f"too few pages were served: {kinds}")
    fell = [parent.fell for parent in parents.values() if parent.fell]
    most = max(parent.most for parent in parents.values())
    return bool(fell), f"{fell[0] if fell else f'no cold parent fell; {most} fills within a second at most'}; answers: {kinds}"


play(os.path.dirname(os.path.abspath(__file__)), scenario)
