"""Five of six nodes are stopped and started in turn, as planned work, while two software
versions of a service serve side by side. Then the sixth, which serves long streams, is
killed, and their callers take them up again."""

import asyncio
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
sys.dont_write_bytecode = True
import rig_2  # noqa: E402

STREAMS = 24
EVENTS = 86
EVENT_SECONDS = 0.15
DEADLINE_SECONDS = 14.0
MAX_TRIES = 4  # "Clients retry a few times within their deadline."
CONTACT_SECONDS = 3.0  # contactMs
DOWN_SECONDS = 0.5
GAP_SECONDS = 1.2  # From one SIGTERM to the next; gap_s.
GRACE_SECONDS = 8.0  # graceS: then a process is killed.
# What is done: "roll,kill"; to compare, "kill" or "roll" alone, where the callers'
# connections break instead of the node.
DONE = os.environ.get("DONE", "roll,kill")
BREAK_SECONDS = 8.5  # From the first SIGTERM until the streams break.
NEW_STREAMS = 24

ROUTE = {
    "host": "site", "name": "stream", "pathPrefix": "/stream/", "kind": "streaming",
    "service": "lm", "maxAttempts": 2, "timeoutMs": 14000, "targetLatencyMs": 900,
    "gapAimMs": 300, "resumable": True, "sticky": True,
}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [{"name": "lm", "engine": {"slots": 64, "stride": 1, "kvCapacity": 390101,
                                           "handleTtlS": 0.5}}],
    "tenants": [{"name": "t", "apiKeys": ["k"]}],
}


class StreamCaller:
    """One caller with one stream, which it takes up again after it broke."""

    def __init__(self, number, node, play):
        self.play = play
        self.caller = rig_2.Caller(f"caller-{number}")
        self.node = node
        self.received = 0
        self.is_whole = False
        self.judged = []  # Of each try at a node in touch: whether the stream went on.

    def break_connection(self):
        connection = self.caller.connections.get(self.node.front)
        if connection is not None:
            connection[1].transport.abort()

    async def run(self):
        started = time.monotonic()
        first = await self.send(started, "")
        name = first.request_id
        self.play.record(f"{name} at {self.node.name}: status {first.status}, "
                         f"{self.received} events, "
                         f"{'whole' if self.is_whole else first.failure}")
        for count in range(MAX_TRIES):
            if self.is_whole or time.monotonic() > started + DEADLINE_SECONDS - 0.5:
                break
            self.node = random.choice(self.play.deployment.nodes)
            is_in_touch = self.play.is_in_touch(self.node)
            before = self.received
            attempt = await self.send(started, name)
            goes_on = self.is_whole or self.received > before
            if is_in_touch:
                self.judged.append(goes_on)
            self.play.record(f"{name} after event {before}, try {count + 1} at "
                             f"{self.node.name}{'' if is_in_touch else ' (not in touch)'}: "
                             f"status {attempt.status} {attempt.failure}, "
                             f"{'goes on' if goes_on else 'does not go on'}")
            if not self.is_whole:
                await asyncio.sleep(float(attempt.headers.get("retry-after", 1.0)))
        await self.caller.close()

    async def send(self, started, resumes):
        left = max(0.5, started + DEADLINE_SECONDS - time.monotonic())
        attempt = await self.caller.send(
            "", self.node.front, "stream", "k", left, events=EVENTS, resumes=resumes,
            last_event_id=self.received,
        )
        if attempt.status == 200:
            self.received += attempt.response_body.count(b"\n\n")
            self.is_whole = attempt.is_complete
        return attempt


class Play:
    def __init__(self, deployment, record):
        self.deployment = deployment
        self.record = record
        self.disturbed_at = {}  # Node -> when it was last stopped or started.

    def is_in_touch(self, node):
        return time.monotonic() > self.disturbed_at.get(node, 0) + CONTACT_SECONDS

    def roll(self):
        """Sends SIGTERM to one node after the other but the first, and starts each again
        when it has ended, or is killed after the grace period."""
        begun = time.monotonic()
        stopping = {}
        waiting = list(self.deployment.nodes[1:])
        while waiting or stopping:
            now = time.monotonic()
            number = len(self.deployment.nodes) - 1 - len(waiting)
            if waiting and now >= begun + number * GAP_SECONDS:
                node = waiting.pop(0)
                node.process.terminate()
                stopping[node] = now
                self.record(f"SIGTERM to {node.name}")
            for node, at in list(stopping.items()):
                self.disturbed_at[node] = now
                if node.process.is_running() and now < at + GRACE_SECONDS:
                    continue
                node.process.kill()
                node.process.start()
                del stopping[node]
                self.record(f"{node.name} has ended after {now - at:.1f} s and is started again")
            time.sleep(0.02)


def play(deployment, record, with_trouble):
    rig_2.standins.EVENT_SECONDS = EVENT_SECONDS
    time.sleep(4)
    this = Play(deployment, record)
    loop = deployment.loop.loop
    callers = [StreamCaller(n, deployment.nodes[0], this) for n in range(STREAMS)]
    tasks = [asyncio.run_coroutine_threadsafe(it.run(), loop) for it in callers]
    time.sleep(0.7)
    begun = {it.request_id: it.version for it in deployment.runners_state.received_requests
             if it.ran}
    record(f"{len(begun)} streams run, by version: "
           f"{ {v: list(begun.values()).count(v) for v in sorted(set(begun.values()))} }")
    broken_at = time.monotonic() + BREAK_SECONDS
    if with_trouble and "roll" in DONE:
        this.roll()
    time.sleep(max(0, broken_at - time.monotonic()))
    if with_trouble and "kill" in DONE:
        node = deployment.nodes[0]
        node.process.kill()
        record(f"{node.name} is killed")
        time.sleep(DOWN_SECONDS)
        node.process.start()
        this.disturbed_at[node] = time.monotonic()
        record(f"{node.name} is started again")
    else:
        for it in callers:
            deployment.on_loop(it.break_connection)
        record("the callers' connections are broken")
    in_touch = [it for it in deployment.nodes if this.is_in_touch(it)]
    fresh = [StreamCaller(100 + n, in_touch[n % len(in_touch)], this)
             for n in range(NEW_STREAMS)]
    news = [asyncio.run_coroutine_threadsafe(it.send(time.monotonic(), ""), loop)
            for it in fresh]
    for it in tasks + news:
        it.result(60)
    new_share = sum(it.received > 0 for it in fresh) / NEW_STREAMS
    serving = {v: sum(r.is_up and r.version == v and r.stage == "decode"
                      for r in deployment.runners) for v in ("v1", "v2")}
    taken_up = [it for it in callers if it.judged]
    gone_on = [it for it in taken_up if any(it.judged)]
    record(f"decode runners that serve, by version: {serving}")
    record(f"of {NEW_STREAMS} new streams, {new_share:.0%} began; of {len(taken_up)} streams "
           f"taken up again at machines in touch, {len(gone_on)} went on")
    if min(serving.values()) < 2 or new_share < 0.5:
        return None
    share = len(gone_on) / max(1, len(taken_up))
    return len(taken_up) < 12 or share >= new_share / 2


# TROUBLE=0: the same without the disruption.
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

if __name__ == "__main__":
    rig_2.main(FOLDER, play, WITH_TROUBLE, configuration=CONFIGURATION, nodes=6, plain=0, prefills=4,
               decodes=8, versions=("v1", "v2"))
