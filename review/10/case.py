"""An unsafe request that may have run is sent again: the try for an old copy after a failed fill isn't checked."""
import asyncio
import json
import os
import sys
import tomllib

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib-2"))
from platform2 import ROOT, TROUBLE, CannotRun, now, play, settings

TURNS = 20
BOXES = ["127.0.0.11:5050", "127.0.0.12:5050", "127.0.0.13:5050"]
PARENT, STORE = "127.0.0.21:5050", "127.0.0.31:5050"


class Wire:
    """The simulator's side of the wire, with the real clock as the batch clock."""

    def __init__(self, case, process):
        self.case, self.process, self.round, self.began = case, process, 0, now()

    async def batch(self, *events):
        self.round += 1
        clock = 1000.0 * (now() - self.began) + 1000.0
        lines = [{"ROUND": {"TMs": clock, "round": self.round}}, *events, {"OVER_TO_YOU": {}}]
        for event in events:
            self.case.record(f"to the dispatcher: {json.dumps(event)[:300]}")
        self.process.stdin.write("".join(json.dumps(line) + "\n" for line in lines).encode())
        await self.process.stdin.drain()
        actions = []
        while True:
            line = await asyncio.wait_for(self.process.stdout.readline(), 10)
            if not line:
                raise CannotRun("the adapter has ended")
            action = json.loads(line)
            if "EOR" in action:
                return actions
            self.case.record(f"from the dispatcher: {line.decode().strip()}")
            actions.append(action)


def sends(actions, request):
    found = [a.get("DISPATCH") or a.get("ANSWER_FROM") for a in actions]
    return [s for s in found if s and s["Req"] == request]


async def scenario(case):
    document = settings(case)
    page = document["Classes"][1]
    # Another effect than the site's, as the days at close range may give a class; it keeps its fresh time and its grace.
    page["Repeat"] = "at_most_once"
    with open(os.path.join(ROOT, "deploy", "balancer.toml"), "rb") as file:
        command = tomllib.load(file)["sim"]
    process = await asyncio.create_subprocess_exec(
        "/bin/sh", "-c", command, cwd=ROOT, stdin=asyncio.subprocess.PIPE, stdout=asyncio.subprocess.PIPE)
    wire = Wire(case, process)
    try:
        def member(host, kind, zone):
            return {"Pod": 1, "Availability": "IN", "Scale": 10.0, "Hall": zone, "Sku": kind, "Host": host, "CameUpMs": None}

        members = [*(member(box, 0, 1) for box in BOXES), member(PARENT, 1, 0), member(STORE, 2, 0)]
        await wire.batch({"PROVISION": {"Dispatcher": 0, "Nonce64": 62, "Config": document}},
                         {"SYNC": {"Dispatcher": 0, "Form": "cached", "SeqNo": 1, "Members": members}})
        broken = 0
        for request in range(1, TURNS + 1):
            sent = sends(await wire.batch({"INCOMING": {
                "Dispatcher": 0, "Req": request, "Cls": 1, "Owner": 0, "ContentId": f"obj:{case.object()}", "ExpiresInMs": 2400.0,
                "Kbytes": 0, "SetNo": 3, "Slice": 0, "Repeat": False, "Write": False}}), request)
            if not sent:
                continue  # not sent at all, which is no fault
            again, attempt = [], 0
            may_have_run = False
            while sent:
                case.record(f"request {request}: attempt {attempt} at {sent[0]['Host']}{', although an earlier one may have run' if may_have_run else ''}")
                again += [sent[0]] if may_have_run else []
                await asyncio.sleep(0.03)
                code, remark = ("fault", 7) if TROUBLE and attempt == 0 else ("pass", 3)
                may_have_run = may_have_run or code == "fault"
                sent = sends(await wire.batch({"ENDED": {
                    "Dispatcher": 0, "Req": request, "StateCode": code, "RoundNo": attempt, "ElapsedMs": 30.0, "UpstreamWaitMs": 25.0,
                    "Host": sent[0]["Host"], "Remark": remark, "Over": code == "pass"}}), request)
                attempt += 1
            broken += bool(again)
        return broken > 0, f"{broken} of {TURNS} unsafe requests were sent again after an attempt that may have run"
    finally:
        process.stdin.close()
        if process.returncode is None:
            process.terminate()
            await process.wait()


play(os.path.dirname(os.path.abspath(__file__)), scenario)
