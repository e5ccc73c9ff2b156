"""Runs peridothoist-node processes under load and troubles drawn from a seed,
and checks the promises while it runs.

    python3 SystemTests/soak/soak.py --seeds 1-50 --seconds 20
    python3 SystemTests/soak/soak.py --minutes 5        (fresh seeds)

A seed that breaks a promise is printed with what was broken, and its logs are
kept in --keep. Seeds that ever failed stand in SystemTests/soak/seeds.txt.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

import harness  # noqa: E402, F401  pylint: disable=unused-import
from soak.faults import Faults  # noqa: E402
from soak.promises import Promises, Record  # noqa: E402
from users_platform.callers import Caller  # noqa: E402
from users_platform.nodes import NodeCluster, configuration  # noqa: E402

SEEDS_FILE = os.path.join(os.path.dirname(__file__), "seeds.txt")
CALLERS = 14
PATIENCE = {"post": 1.5, "look": 1.5, "stream": 5.0}
TENANTS = (
    {"name": "w1", "apiKeys": ["k1"]},
    {"name": "w2", "apiKeys": ["k2"], "ratePerS": 10, "burst": 10},
    {"name": "w3", "apiKeys": ["k3"]},
)
CALM_SECONDS = 8  # Without new troubles, for all to be well again.
CALM_CHECKED = 2.5  # The last part of it, in which all is served.
CALM_SERVED = 0.98  # That part of the tries at least.


class Soak:
    """One seed's run."""

    def __init__(self, seed, seconds, troubles):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.cluster = NodeCluster(nodes=4, prefills=4)
        self.record = Record(self.cluster.world, {"k2": (10, 10)})
        self.record.workspaces = {"k1": "w1", "k2": "w2", "k3": "w3", "k4": "w1"}
        self.promises = Promises(self.record)
        self.acts = Faults(self.rng, self.cluster, self.record).draw(
            troubles, seconds
        )
        self.keys = ["k1", "k1", "k2", "k3"]
        self.stopping = False
        self.done = []  # The acts as they were done.

    def run(self):
        """What was broken; empty when all promises held."""
        self.cluster.start(TENANTS)
        callers = asyncio.run_coroutine_threadsafe(
            self._call_all(), self.cluster.loop.loop
        )
        started = time.monotonic()
        self._do_acts(started)
        calm_until = max(started + self.seconds, time.monotonic()) + CALM_SECONDS
        while time.monotonic() < calm_until:
            time.sleep(0.2)
        self.promises.check()
        self._check_calm(time.monotonic())
        self.stopping = True
        callers.result(10)
        self.promises.check()
        return self.promises.broken + self.record.exits

    def _do_acts(self, started):
        change_key = started + self.rng.uniform(2, self.seconds)
        for act in self.acts:
            while time.monotonic() < started + act.at:
                if change_key and time.monotonic() >= change_key:
                    self._change_key()
                    change_key = None
                time.sleep(0.02)
            now = time.monotonic()
            self.done.append(f"{now - started:7.3f} ({now:.3f}) {act.text}")
            act.do()
            self.promises.check()

    def _change_key(self):
        """A new version brings a key and withdraws another."""
        tenants = [dict(it) for it in TENANTS]
        tenants[0]["apiKeys"] = ["k4"]
        self.cluster.store.put("op", "config", configuration(7, tenants))
        self.record.withdrawn["k1"] = time.monotonic()
        self.keys = ["k1", "k4", "k4", "k2", "k3"]

    async def _call_all(self):
        callers = [Caller(f"c{n}") for n in range(CALLERS)]
        await asyncio.gather(*(self._call(caller) for caller in callers))
        await asyncio.gather(*(caller.close() for caller in callers))

    async def _call(self, caller):
        rng = random.Random(self.rng.random())
        while not self.stopping:
            node = rng.choice(self.cluster.nodes)
            kind = rng.choice(["post", "look", "stream"])
            key = rng.choice(self.keys)
            one = await caller.send(
                node.name, node.address(), kind, key, PATIENCE[kind],
                note=self._note,
            )
            self.record.ended.append(one)
            await asyncio.sleep(rng.uniform(0.01, 0.15))

    def _note(self, one):
        self.record.tries[one.request_id] = one

    def _check_calm(self, now):
        """All troubles are over for some time: who may be served is."""
        ended = [
            it for it in self.record.ended
            if it.sent_at > now - CALM_CHECKED and it.key not in ("k1", "k2")
        ]
        served = [it for it in ended if it.status == 200 and it.whole]
        if len(served) < CALM_SERVED * len(ended) or not ended:
            missed = sorted({it.status for it in ended if it not in served})
            self.promises.broken.append(
                f"RECOVERY: {len(served)} of {len(ended)} served, else {missed}"
            )


def run_seed(seed, seconds, troubles, keep):
    """Plays one seed and prints what it found; True when nothing."""
    soak = Soak(seed, seconds, troubles)
    try:
        broken = soak.run()
        record = soak.record
        good = sum(it.status == 200 for it in record.ended)
        print(
            f"seed {seed}: {len(record.ended)} tries, {good} served, "
            f"{len(soak.done)} acts, {len(broken)} broken",
            flush=True,
        )
        for line in broken[:20]:
            print("   ", line)
        if broken and keep:
            folder = os.path.join(keep, f"seed-{seed}")
            shutil.copytree(soak.cluster.folder, folder, dirs_exist_ok=True)
            with open(os.path.join(folder, "acts.txt"), "w") as file:
                file.write("\n".join(soak.done + broken) + "\n")
        return not broken
    finally:
        soak.cluster.stop()


def kept_seeds():
    """The seeds that ever failed, from the file beside this one."""
    with open(SEEDS_FILE) as file:
        lines = (line.split("#")[0].split() for line in file)
        return [int(fields[0]) for fields in lines if fields]


def chosen_seeds(arguments):
    """The seeds to play, one after the other."""
    if arguments.minutes:
        end = time.monotonic() + 60 * arguments.minutes
        while time.monotonic() < end:
            yield random.SystemRandom().randrange(10**6, 10**9)
        return
    for part in arguments.seeds.split(","):
        if part == "kept":
            yield from kept_seeds()
            continue
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", default="1", help="1,7-9,kept")
    parser.add_argument("--minutes", type=float, help="fresh seeds for so long")
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--troubles", type=int, default=10)
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    arguments = parser.parse_args()
    failed = [
        seed
        for seed in chosen_seeds(arguments)
        if not run_seed(seed, arguments.seconds, arguments.troubles, arguments.keep)
    ]
    print("failed seeds:", failed or "none")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
