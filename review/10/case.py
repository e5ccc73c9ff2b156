"""All nodes are killed at once and come back, while two software versions of a service
serve side by side. Callers take their streams up again."""

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
EVENTS = 40
EVENT_SECONDS = 0.15
DEADLINE_SECONDS = 14.0
MAX_TRIES = 4  # "Clients retry a few times within their deadline."
CONTACT_SECONDS = 3.0  # contactMs: from then on after their start, nodes are in touch.
DOWN_SECONDS = 0.5
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

    def __init__(self, number, deployment, record):
        self.number = number
        self.deployment = deployment
        self.record = record
        self.caller = rig_2.Caller(f"caller-{number}")
        self.address = deployment.nodes[number % len(deployment.nodes)].front
        self.received = 0
        self.is_whole = False
        self.tries = []  # (sent at, whether the stream went on, status)
        self.first = None

    def break_connection(self):
        connection = self.caller.connections.get(self.address)
        if connection is not None:
            connection[1].transport.abort()

    async def play(self):
        started = time.monotonic()
        self.first = await self.send(started, "")
        name = self.first.request_id
        for count in range(MAX_TRIES):
            if self.is_whole or time.monotonic() > started + DEADLINE_SECONDS - 0.5:
                break
            self.address = random.choice(self.deployment.nodes).front
            sent_at = time.monotonic()
            before = self.received
            attempt = await self.send(started, name)
            goes_on = self.is_whole or self.received > before
            self.tries.append((sent_at, goes_on, attempt.status))
            wait = float(attempt.headers.get("retry-after", 1.0))
            self.record(f"{name} after event {before}, try {count + 1}: status "
                        f"{attempt.status} {attempt.failure}, "
                        f"{'goes on' if goes_on else 'does not go on'}")
            if not self.is_whole:
                await asyncio.sleep(wait)
        await self.caller.close()

    async def send(self, started, resumes):
        left = max(0.5, started + DEADLINE_SECONDS - time.monotonic())
        attempt = await self.caller.send(
            "", self.address, "stream", "k", left, events=EVENTS, resumes=resumes,
            last_event_id=self.received,
        )
        if attempt.status == 200:
            self.received += attempt.response_body.count(b"\n\n")
            self.is_whole = attempt.is_complete
        return attempt


def play(deployment, record, with_trouble):
    rig_2.standins.EVENT_SECONDS = EVENT_SECONDS
    time.sleep(4)
    callers = [StreamCaller(n, deployment, record) for n in range(STREAMS)]
    loop = deployment.loop.loop
    tasks = [asyncio.run_coroutine_threadsafe(it.play(), loop) for it in callers]
    time.sleep(2)
    state = deployment.runners_state
    begun = {}
    for it in state.received_requests:
        if it.ran:
            begun[it.request_id] = it.version
    record(f"{len(begun)} streams run, by version: "
           f"{ {v: list(begun.values()).count(v) for v in set(begun.values())} }")
    in_touch_at = time.monotonic()
    if with_trouble:
        for node in deployment.nodes:
            node.process.kill()
        record("all nodes are killed")
        time.sleep(DOWN_SECONDS)
        for node in deployment.nodes:
            node.process.start()
        record("all nodes are started again")
        in_touch_at = time.monotonic() + CONTACT_SECONDS
    else:
        for it in callers:
            deployment.on_loop(it.break_connection)
        record("the callers' connections are broken")
    time.sleep(CONTACT_SECONDS + 0.5)
    fresh = [StreamCaller(100 + n, deployment, lambda text: None) for n in range(NEW_STREAMS)]
    news = [asyncio.run_coroutine_threadsafe(it.send(time.monotonic(), ""), loop)
            for it in fresh]
    for it in tasks + news:
        it.result(60)
    new_share = sum(it.received > 0 for it in fresh) / NEW_STREAMS
    serving = {v: sum(r.is_up and r.version == v and r.stage == "decode"
                      for r in deployment.runners) for v in ("v1", "v2")}
    taken_up = [it for it in callers if any(t[0] >= in_touch_at for t in it.tries)]
    gone_on = [it for it in taken_up if any(t[0] >= in_touch_at and t[1] for t in it.tries)]
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
