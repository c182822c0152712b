"""Renewals behind, which the dispatcher takes back from its budget, push a parent over that has just started cold."""
import asyncio
import math
import os
import random
import sys
import time

HERE = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(os.path.dirname(HERE), "lib"))
from standin import *

PAGES = 560
PAGES_PER_S = 140
PAGE_BYTES = 20_000
SENDING_S = PAGE_BYTES / 310_000
FRESH_MS = 20_000.0
PARENT_SHARE = 8
PARENT_DIES_S = 5.0
PARENT_RETURNS_S = 15.5
TOLD_AFTER_S = 0.7
RENEWED_FROM_S = 16.6
RULES = settings()["FamilyInfo"]
FALL_S = settings()["Rules"]["FallMs"] / 1000


class Parent:
    """A parent: answers fills, and falls over when a cold one gets more than the settings allow."""

    def __init__(self, record, id):
        self.record, self.id = record, id
        self.copies = {}
        self.started = None
        self.told = None
        self.up = True
        self.fills = []
        self.fell = None

    def allowed(self, now):
        """The requests of mean work that it bears in the time of the settings, by its greatest capacity in it."""
        warm = min(1.0, (now - self.started) * 1000 / RULES["UpperColdMs"])
        share = RULES["ParentStartsAt"] + (1 - RULES["ParentStartsAt"]) * warm
        n = RULES["ParentFallMultiple"] * share * PARENT_SHARE * FALL_S / SENDING_S
        return n, n + (3 * math.sqrt(n) + 3 if n < 30 else 2 * math.sqrt(n) + 2)

    async def fill(self, page, cap_ms, why):
        """Returns (word, since): what a fill from this parent gives."""
        now = time.monotonic()
        if not self.up:
            return "unreached", 0
        cold = self.started is not None and now < self.started + RULES["UpperColdMs"] / 1000
        if cold:
            self.fills.append((now, now >= self.told))
            recent = [told for at, told in self.fills if at > now - FALL_S]
            n, limit = self.allowed(now)
            if len(recent) > limit and self.fell is None:
                self.fell = (f"parent {self.id} got {len(recent)} fills within {FALL_S} s, {now - self.started:.2f} s "
                             f"after its start: N {n:.1f}, it bears {limit:.1f}; {sum(recent)} of them from a "
                             f"dispatcher that was told of the start")
                self.record.write(f"FALLS: {self.fell}")
                if sum(recent) * 3 <= len(recent) * 2:
                    self.fell = None
                self.up = False
                return "unreached", 0
            self.record.write(f"cold parent {self.id} gets a fill of {page}, {why}: {len(recent)} within {FALL_S} s")
        since = self.copies.get(page, 0)
        word = "parent"
        if unix_ms() - since > cap_ms:
            await asyncio.sleep(0.03)
            since = self.copies[page] = unix_ms()
            word = "origin"
        await asyncio.sleep(0.02)
        return word, since


class Cache:
    """A cache host: keeps pages, and renews a copy in the last fifth of its fresh time, or past it, when asked to."""

    def __init__(self, record, parents):
        self.record, self.parents = record, parents
        self.copies = {}
        self.renewing = set()

    async def handle(self, request):
        fields = request.fields
        page, cap = fields["obj"], float(fields.get("cap", 0)) or FRESH_MS
        since = self.copies.get(page)
        age = unix_ms() - since if since else None
        if age is not None and age <= cap:
            await asyncio.sleep(0.004)
            note = "mem" if age <= FRESH_MS else "old"
            request.answer("served", f"rev=77aa77aa77aa77aa,since={int(since)},res={note}", b"p" * PAGE_BYTES)
            if "revalidate" in fields.get("do", "") and age > 0.8 * FRESH_MS and page not in self.renewing:
                self.renewing.add(page)
                await self.fetch(page, fields.get("up"), FRESH_MS * 0.8, "renewed behind")
                self.renewing.discard(page)
            return
        word, since = await self.fetch(page, fields.get("up"), cap, "a miss")
        if since:
            request.answer("served", f"rev=77aa77aa77aa77aa,since={int(since)},res={word}", b"p" * PAGE_BYTES)
        elif word == "absent":
            request.answer("not_here", "res=absent")
        else:
            request.answer("crashed", f"res={word}")

    async def fetch(self, page, source, cap, why):
        if source in self.parents:
            word, since = await self.parents[source].fill(page, cap, why)
        elif source == "o-1":
            await asyncio.sleep(0.05)
            word, since = "origin", unix_ms()
        else:
            return "absent", 0
        if since:
            self.copies[page] = since
        return word, since


async def serve(request):
    request.answer("served", f"rev=77aa77aa77aa77aa,since={int(unix_ms())},res=origin", b"p" * PAGE_BYTES)


async def ask(record, connection, page, outcomes):
    id = transaction()
    fields = {"HTTP_X_TXN": id, "HTTP_X_TTL_MS": "2500", "HTTP_X_ROW": page, "HTTP_X_NTH": "0", "HTTP_X_BATCH": "9"}
    answer = await connection.request("/ops/sign-page", fields)
    meaning = answer.meaning() if answer else "no answer"
    record.write(f"client asks {page} as {id}: {meaning}")
    outcomes[meaning] = outcomes.get(meaning, 0) + 1


async def case(record):
    parents = {id: Parent(record, id) for id in ("p-1", "p-2")}
    hosts = [await Host(record, id, "small-box", Cache(record, parents).handle, block=1).start()
             for id in ("s-1", "s-2")]
    upper = [await Host(record, id, "parent", serve, block=1000, share=PARENT_SHARE).start() for id in parents]
    origin = await Host(record, "o-1", "origin", serve, block=65535, share=1).start()
    board = await Board(record).start()
    board.add(pool={"seq": 1, "whole": True, "hosts": [entry(h) for h in hosts + upper + [origin]]})
    dispatcher = await Dispatcher(record, board, settings()).start()
    outcomes = {}
    started = time.monotonic()

    async def trouble():
        parent, host = parents["p-1"], upper[0]
        await asyncio.sleep(PARENT_DIES_S)
        record.write("parent p-1 dies")
        parent.up = False
        await host.stop()
        await asyncio.sleep(1.5)
        board.add(pool={"seq": 2, "whole": False, "hosts": [entry(host, "Gone")]})
        await asyncio.sleep(started + PARENT_RETURNS_S - time.monotonic())
        record.write("parent p-1 returns, cold and empty")
        parent.copies, parent.up, parent.started = {}, True, time.monotonic()
        parent.told = parent.started + TOLD_AFTER_S
        born = unix_ms()
        await host.start(int(host.dial.split(":")[1]))
        await asyncio.sleep(TOLD_AFTER_S)
        board.add(pool={"seq": 3, "whole": False, "hosts": [entry(host, "Ready", born)]})

    try:
        connections = [await Connection().connect(dispatcher.dial) for _ in range(6)]
        background = asyncio.ensure_future(trouble()) if TROUBLE else None
        pages = ["%016x" % random.getrandbits(64) for _ in range(PAGES)]
        for begin in (0.0, RENEWED_FROM_S):
            requests = []
            for number, page in enumerate(pages):
                await asyncio.sleep(max(0, started + begin + number / PAGES_PER_S - time.monotonic()))
                requests.append(asyncio.ensure_future(ask(record, connections[number % 6], page, outcomes)))
            await asyncio.gather(*requests)
            for index in range(6):
                connections[index].close()
            if begin == 0.0:
                await asyncio.sleep(started + RENEWED_FROM_S - time.monotonic() - 0.1)
                connections = [await Connection().connect(dispatcher.dial) for _ in range(6)]
        if background:
            await background
    finally:
        await dispatcher.stop()
    record.write(f"outcomes {outcomes}")
    print(outcomes)
    return [parent.fell for parent in parents.values() if parent.fell]


main(HERE, case)
