"""Runs peridothoist-node processes under load and under faults generated from a
seed, and checks invariants during the run.

    python3 SystemTests/soak/soak.py --seeds 1-50 --seconds 20
    python3 SystemTests/soak/soak.py --minutes 5        (random seeds)

Prints a line for each seed and the invariants that it violated. The logs of failed
seeds are copied to --keep. SystemTests/soak/seeds.txt lists the seeds that have
failed before.
"""

import argparse
import asyncio
import os
import random
import shutil
import sys
import time
from collections import Counter

sys.path.insert(0, os.path.join(os.path.dirname(__file__), ".."))

import harness  # noqa: E402, F401  pylint: disable=unused-import
from soak.faults import FaultSchedule  # noqa: E402
from soak.invariants import (  # noqa: E402
    MAX_EVACUATE_SECONDS, InvariantChecker, Record,
)
from users_platform.callers import Caller  # noqa: E402
from users_platform.nodes import NodeCluster, configuration  # noqa: E402

SEEDS_FILE = os.path.join(os.path.dirname(__file__), "seeds.txt")
CALLERS = 14
CALLER_TIMEOUT_SECONDS = {"post": 1.5, "look": 1.5, "stream": 5.0}
TENANTS = (
    {"name": "w1", "apiKeys": ["k1"]},
    {"name": "w2", "apiKeys": ["k2"], "ratePerS": 10, "burst": 10},
    {"name": "w3", "apiKeys": ["k3"]},
)
COLD = {"coldStartS": 3, "coldPerS": 4}  # See nodes.configuration().
RECOVERY_SECONDS = 8  # Time without new faults at the end of a soak.
RECOVERY_CHECK_SECONDS = 2.5  # Last part of it, in which requests must succeed.
MIN_RECOVERY_FRACTION = 0.98  # Minimum fraction of attempts that succeed then.


class Soak:
    """The soak of one seed."""

    def __init__(self, seed, seconds, fault_count):
        self.rng = random.Random(seed)
        self.seconds = seconds
        self.cluster = NodeCluster(
            nodes=4, prefills=4, cold=COLD,
            evacuate_ms=int(1000 * MAX_EVACUATE_SECONDS),
        )
        self.record = Record(self.cluster.shared_state, {"k2": (10, 10)})
        self.record.workspaces = {"k1": "w1", "k2": "w2", "k3": "w3", "k4": "w1"}
        self.record.node_of_host = {it.host: it.name for it in self.cluster.nodes}
        self.checker = InvariantChecker(self.record)
        path_rng = random.Random(f"paths of {seed}")
        zone_rng = random.Random(f"zones of {seed}")
        response_rng = random.Random(f"responses of {seed}")
        self.actions = FaultSchedule(
            self.rng, self.cluster, self.record, path_rng, zone_rng, response_rng
        ).generate(fault_count, seconds)
        self.keys = ["k1", "k1", "k2", "k3"]
        self.is_stopping = False
        self.action_log = []  # One line for each action that was carried out.

    def run(self):
        """Runs the soak and returns the violations: none when all invariants
        held."""
        self.cluster.start(TENANTS)
        callers = asyncio.run_coroutine_threadsafe(
            self._run_callers(), self.cluster.loop.loop
        )
        started = time.monotonic()
        self._run_actions(started)
        end = max(started + self.seconds, time.monotonic()) + RECOVERY_SECONDS
        while time.monotonic() < end:
            time.sleep(0.2)
            self.check_processes()
        self.checker.check()
        self._check_recovery(time.monotonic())
        self.is_stopping = True
        callers.result(10)
        self.checker.check()
        self.check_processes()
        return self.violations()

    def violations(self):
        """Returns those found so far."""
        return self.checker.violations + self.record.failed_exits

    def check_processes(self):
        """Checks that the processes of all nodes run that should."""
        self.checker.check_processes(self.cluster.nodes)

    def keep_logs(self, folder):
        """Replaces a folder by the logs, the actions, the violations, and the numbers
        of failed attempts by node and failure."""
        shutil.rmtree(folder, ignore_errors=True)
        shutil.copytree(self.cluster.folder, folder)
        failures = Counter(
            f"{it.node}: {it.failure}" for it in self.record.ended if it.failure
        )
        lines = [f"{count} of {name}" for name, count in sorted(failures.items())]
        with open(os.path.join(folder, "acts.txt"), "w") as file:
            file.write("\n".join(self.action_log + self.violations() + lines) + "\n")

    def _run_actions(self, started):
        key_change_time = started + self.rng.uniform(2, self.seconds)
        for action in self.actions:
            while time.monotonic() < started + action.start_time:
                if key_change_time and time.monotonic() >= key_change_time:
                    self._change_key()
                    key_change_time = None
                time.sleep(0.02)
                self.check_processes()
            self.check_processes()
            now = time.monotonic()
            self.action_log.append(f"{now - started:7.3f} ({now:.3f}) {action.text}")
            action.run()
            self.checker.check()

    def _change_key(self):
        """Writes a configuration version that adds one key and withdraws
        another."""
        tenants = [dict(it) for it in TENANTS]
        tenants[0]["apiKeys"] = ["k4"]
        self.cluster.store.put("op", "config", configuration(7, tenants, cold=COLD))
        self.record.withdrawn_at["k1"] = time.monotonic()
        self.keys = ["k1", "k4", "k4", "k2", "k3"]

    async def _run_callers(self):
        callers = [Caller(f"c{n}") for n in range(CALLERS)]
        await asyncio.gather(*(self._send_continuously(caller) for caller in callers))
        await asyncio.gather(*(caller.close() for caller in callers))

    async def _send_continuously(self, caller):
        rng = random.Random(self.rng.random())
        while not self.is_stopping:
            node = rng.choice(self.cluster.nodes)
            kind = rng.choice(["post", "look", "stream"])
            key = rng.choice(self.keys)
            attempt = await caller.send(
                node.name, node.address(), kind, key, CALLER_TIMEOUT_SECONDS[kind],
                before_send=self._add_attempt,
            )
            self.record.ended.append(attempt)
            await asyncio.sleep(rng.uniform(0.01, 0.15))

    def _add_attempt(self, attempt):
        self.record.attempts[attempt.request_id] = attempt

    def _check_recovery(self, now):
        """Checks that requests succeed again some time after the last fault.
        Excludes the withdrawn key and the rate-limited one."""
        ended = [
            it for it in self.record.ended
            if it.sent_at > now - RECOVERY_CHECK_SECONDS
            and it.key not in ("k1", "k2")
        ]
        served = [it for it in ended if it.status == 200 and it.is_complete]
        if len(served) < MIN_RECOVERY_FRACTION * len(ended) or not ended:
            missed = sorted({it.status for it in ended if it not in served})
            self.checker.violations.append(
                f"RECOVERY: {len(served)} of {len(ended)} attempts succeeded, "
                f"other statuses {missed}"
            )


def run_seed(seed, seconds, fault_count, keep):
    """Runs the soak of one seed and prints its violations. Returns whether there
    were none."""
    soak = Soak(seed, seconds, fault_count)
    try:
        violations = soak.run()
        record = soak.record
        served_count = sum(it.status == 200 for it in record.ended)
        print(
            f"seed {seed}: {len(record.ended)} attempts, {served_count} served, "
            f"{len(soak.action_log)} actions, {len(violations)} violations",
            flush=True,
        )
        for line in violations[:20]:
            print("   ", line)
        if violations and keep:
            soak.keep_logs(os.path.join(keep, f"seed-{seed}"))
        return not violations
    finally:
        soak.cluster.stop()


def read_failed_seeds():
    """Returns the seeds that have failed before, from SEEDS_FILE."""
    with open(SEEDS_FILE) as file:
        lines = (line.split("#")[0].split() for line in file)
        return [int(fields[0]) for fields in lines if fields]


def seeds_to_run(arguments):
    """Yields the seeds to run."""
    if arguments.minutes:
        end = time.monotonic() + 60 * arguments.minutes
        while time.monotonic() < end:
            yield random.SystemRandom().randrange(10**6, 10**9)
        return
    for part in arguments.seeds.split(","):
        if part == "kept":
            yield from read_failed_seeds()
            continue
        first, _, last = part.partition("-")
        yield from range(int(first), int(last or first) + 1)


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "--seeds", default="1", help="such as 1,7-9,kept; kept: those in seeds.txt"
    )
    parser.add_argument(
        "--minutes", type=float, help="run random seeds for this many minutes"
    )
    parser.add_argument(
        "--seconds", type=float, default=20
    )
    parser.add_argument("--troubles", type=int, default=10)
    parser.add_argument("--keep", help="folder for the logs of failed seeds")
    arguments = parser.parse_args()
    failed = [
        seed
        for seed in seeds_to_run(arguments)
        if not run_seed(seed, arguments.seconds, arguments.troubles, arguments.keep)
    ]
    print("failed seeds:", failed or "none")
    return 1 if failed else 0


if __name__ == "__main__":
    sys.exit(main())
