#!/usr/bin/env python3
"""Measures what control processes cost: processor time, memory and bytes, at
rest and with configuration changes, for several numbers of VMs.

    python3 PerformanceTest/control_cost.py --vms 3 6 12 --seconds 20

Prints key=value lines. Bytes are those that the relays before the control
processes and the platform passed on, in both directions.
"""

import argparse
import os
import sys
import time

sys.path.insert(
    0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "SystemTests")
)

from cluster import Cluster  # noqa: E402
from harness import items  # noqa: E402

# 60,000 changes a day.
CHANGES_PER_SECOND = 60000 / 86400


def processor_seconds(pid):
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def bytes_passed(cluster):
    """Bytes to and from all control processes, the platform included."""
    return sum(
        relay.bytes_passed
        for (_, what), relay in cluster.relays.items()
        if what in ("platform", "control_peer")
    )


def measure(cluster, seconds, changes):
    """Costs of one control process on average over a run."""
    pids = [it.control.pid for it in cluster.vms]
    count = len(pids)
    time_before = [processor_seconds(it) for it in pids]
    bytes_before = bytes_passed(cluster)
    start = time.monotonic()
    sent = 0
    while time.monotonic() - start < seconds:
        if changes and time.monotonic() - start >= sent / CHANGES_PER_SECOND:
            burst = 1e6 + sent
            cluster.change([items.workspace("changing", burst=burst)])
            sent += 1
        time.sleep(0.02)
    elapsed = time.monotonic() - start
    used = [processor_seconds(it) - before for it, before in zip(pids, time_before)]
    passed = bytes_passed(cluster) - bytes_before
    return {
        "changes": sent,
        "cpu_percent_mean": 100 * sum(used) / count / elapsed,
        "cpu_percent_worst": 100 * max(used) / elapsed,
        "resident_mib_worst": max(resident_bytes(it) for it in pids) / 2**20,
        # Each byte between two control processes is sent by one and received
        # by the other.
        "bytes_per_second": passed / count / elapsed,
    }


def main():
    parser = argparse.ArgumentParser(description=__doc__.split("\n", 1)[0])
    parser.add_argument("--vms", type=int, nargs="+", default=[3, 6, 12])
    parser.add_argument("--seconds", type=float, default=20)
    arguments = parser.parse_args()
    for vms in arguments.vms:
        with Cluster(vms=vms) as cluster:
            for changes in (False, True):
                result = measure(cluster, arguments.seconds, changes)
                name = "changes" if changes else "rest"
                for key, value in result.items():
                    print(f"vms={vms} load={name} {key}={value:.3f}", flush=True)


if __name__ == "__main__":
    main()
