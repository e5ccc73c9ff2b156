"""All machines' processes are killed at the same moment, while a route leads to two services
by weight. Clients take up the streams that this broke."""

import asyncio
import itertools
import os
import random
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import rig_3  # noqa: E402

HAS_TROUBLE = os.environ.get("TROUBLE", "1") != "0"
MACHINES = 6
RUNNERS = [  # Of one software version.
    ("lm", "prefill", 4), ("lm", "decode", 8),
    ("lm-next", "prefill", 2), ("lm-next", "decode", 4),
]
SPLIT = [{"service": "lm", "weight": 90}, {"service": "lm-next", "weight": 10}]
LEAD_SECONDS = 10  # "Traffic starts 10 s after the machines do."
KILL_SECONDS = 40  # After the start of the traffic.
RESTART_SECONDS = 1  # From the kill to the next start.
TRAFFIC_SECONDS = 56
STREAMS_PER_SECOND = 12  # The sheet has 18.2.
EVENTS = 120  # 1.8 s.
DEADLINE_SECONDS = 14.0
MAX_TRIES = 5
CONTACT_SECONDS = 3.0


def split_configuration():
    """Returns a configuration whose route leads to two services by weight."""
    configuration = rig_3.stream_configuration(14000)
    route = configuration["routes"][0]
    del route["service"]
    route["trafficSplit"] = SPLIT
    services = configuration["services"]
    services.append({**services[0], "name": "lm-next"})
    return configuration


async def send_streams(deployment, clients):
    rng = random.Random(15)
    began = time.monotonic()
    tasks = []
    for number in itertools.count():
        due = number / STREAMS_PER_SECOND
        if due > TRAFFIC_SECONDS:
            break
        await asyncio.sleep(max(0, began + due - time.monotonic()))
        clients.append(
            rig_3.StreamClient(
                deployment, number, rng, EVENTS, DEADLINE_SECONDS, MAX_TRIES
            )
        )
        tasks.append(asyncio.ensure_future(clients[-1].run()))
    await asyncio.gather(*tasks)


def kill_all(deployment):
    """Kills all processes, and starts them again. Returns when they had started."""
    deployment.note("all processes are killed")
    for machine in deployment.machines:
        machine.process.kill()
    time.sleep(RESTART_SECONDS)
    for machine in deployment.machines:
        machine.process.start()
    deployment.note("all processes are started")
    return time.monotonic()


def main():
    deployment = rig_3.Deployment(MACHINES, RUNNERS, split_configuration())
    clients = []
    started_again_at = None
    try:
        deployment.start()
        time.sleep(max(0, deployment.started_at + LEAD_SECONDS - time.monotonic()))
        streams = asyncio.run_coroutine_threadsafe(
            send_streams(deployment, clients), deployment.loop.loop
        )
        time.sleep(KILL_SECONDS)
        if HAS_TROUBLE:
            started_again_at = kill_all(deployment)
        streams.result(80)
    finally:
        deployment.stop()
    in_touch_at = (started_again_at or 0) + CONTACT_SECONDS

    def is_in_touch(attempt):
        return started_again_at is not None and attempt.sent_at >= in_touch_at

    take_ups = rig_3.TakeUps(clients, is_in_touch)
    lines = [line for it in clients for line in it.lines()]
    summary = (
        f"{len(clients)} streams, {sum(it.is_whole for it in clients)} whole; at machines "
        f"in touch after the kill: {take_ups.describe()}"
    )
    deployment.write_record(
        FOLDER, [*lines, *rig_3.lines_of_runs(deployment), "", summary]
    )
    print(summary)
    if sum(it.is_whole for it in clients) < len(clients) // 2:
        rig_3.could_not_run("too few streams were served")
    return 1 if take_ups.break_rule() else 0


if __name__ == "__main__":
    sys.exit(main())
