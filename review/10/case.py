"""Two attempts of one request are out at once: the first is given up, but its KILL isn't written while memory is short."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform2 import TROUBLE, Copy, Front, full_list, now, play, settings

SIZE = {"lesson-video": 20_000, "sign-page": 3_000, "large": 240_000}
PACE = 310_000
EPISODES = 6
BOXES = 4
BURST = 120
PER_S = 800.0
LONG_S = 0.05


async def scenario(case):
    async def handler(host, pull):
        cls = pull.fields["kind"]
        size = SIZE["large"] if pull.key[0] in large else SIZE[cls]
        copy = host.copies.get(pull.key)
        if copy is None:
            copy = host.copies[pull.key] = Copy(case.object(), int(now() * 1000), bytes(size))
        pace = PACE if cls == "lesson-video" else None
        await host.answer(pull, "served", {"rev": copy.rev, "since": copy.since_ms, "res": "mem"}, copy.body, pace)

    board = await case.board()
    boxes = [await case.host(f"s-box{n}", weight=20.0, handler=handler) for n in range(1, 1 + BOXES)]
    origin = await case.host("s-store", kind="origin", zone="upper-trunk", weight=100.0, handler=handler)
    board.tell(full_list([*boxes, origin]))
    dispatcher = await case.dispatcher(board, settings(case), memory_mb=32, sockets=512)
    front = Front(case, dispatcher)
    videos, pages = [case.object() for _ in range(200)], [case.object() for _ in range(200)]
    large = {case.object() for _ in range(40)}
    asked = []

    async def ask(cls, objects, ttl):
        client = await front.client()
        if client is not None:
            asked.append(asyncio.ensure_future(client.ask(cls, case.rng.choice(objects), nth=case.rng.randrange(8), ttl_ms=ttl)))

    async def quiet(seconds):
        """Ordinary traffic."""
        until = now() + seconds
        while now() < until:
            await ask("lesson-video", videos, 5000)
            for _ in range(3):
                await ask("sign-page", pages, 2500)
            await asyncio.sleep(0.05)

    await quiet(3)
    for _ in range(EPISODES):
        if TROUBLE:
            boxes[0].hang()
        for _ in range(20):
            await ask("sign-page", pages, 2500)
        started = now()
        for n in range(BURST):
            await ask("lesson-video", sorted(large), 5000)
            if n % 5 == 0:
                await asyncio.sleep(max(0, started + n / PER_S - now()))
        await quiet(3)
        boxes[0].resume()
        await quiet(5)
    answers = await asyncio.gather(*asked)
    kinds = {}
    for answer in answers:
        kinds[answer.kind] = kinds.get(answer.kind, 0) + 1

    pulls = {}
    for host in [*boxes, origin]:
        for pull in host.pulls:
            pulls.setdefault(pull.id, []).append(pull)
    twice = []
    for number, attempts in pulls.items():
        attempts.sort(key=lambda p: p.at)
        for first, second in zip(attempts, attempts[1:]):
            # Out until its end is written or it is given up, as its host sees it.
            ends = [at for at in (first.killed_at, first.ended_at, second.killed_at, second.ended_at) if at]
            both = min([*ends, now()]) - second.at
            if both > LONG_S:
                twice.append(both)
                case.record(f"two attempts of {number} out for {1000 * both:.0f} ms: at {first.host.name} since {first.at - case.record.began:.3f}, at {second.host.name}", second.at)
    longest = 1000 * max(twice, default=0)
    return bool(twice), f"{len(twice)} requests had two attempts out at once, for up to {longest:.0f} ms; answers: {kinds}"


play(os.path.dirname(os.path.abspath(__file__)), scenario)
