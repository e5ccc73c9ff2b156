#!/usr/bin/env python3
"""Measures the processor time, memory and network bytes of control processes, idle
and under configuration changes, for several numbers of VMs.

    python3 PerformanceTest/control_cost.py --vms 3 6 12 --seconds 20

Prints key=value lines. The bytes are those that the proxies in front of the control
processes and of the platform forwarded, in both directions.
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

# 60,000 changes per day.
CHANGES_PER_SECOND = 60000 / 86400


def processor_seconds(pid):
    """Returns the processor time that a process has used so far."""
    with open(f"/proc/{pid}/stat") as stat:
        fields = stat.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")


def resident_bytes(pid):
    with open(f"/proc/{pid}/statm") as statm:
        return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def total_bytes_forwarded(cluster):
    """Returns the bytes exchanged by all control processes with each other and with
    the platform."""
    return sum(
        proxy.bytes_forwarded
        for (_, kind), proxy in cluster.proxies.items()
        if kind in ("platform", "control_peer")
    )


def measure(cluster, seconds, changes):
    """Returns the costs of a control process: the mean, and the maximum of processor
    time and memory, over the run."""
    pids = [it.control.pid for it in cluster.vms]
    count = len(pids)
    cpu_before = [processor_seconds(it) for it in pids]
    bytes_before = total_bytes_forwarded(cluster)
    start = time.monotonic()
    sent = 0
    while time.monotonic() - start < seconds:
        if changes and time.monotonic() - start >= sent / CHANGES_PER_SECOND:
            burst = 1e6 + sent
            cluster.submit_change([items.workspace("changing", burst=burst)])
            sent += 1
        time.sleep(0.02)
    elapsed = time.monotonic() - start
    used = [processor_seconds(it) - before for it, before in zip(pids, cpu_before)]
    forwarded = total_bytes_forwarded(cluster) - bytes_before
    return {
        "changes": sent,
        "cpu_percent_mean": 100 * sum(used) / count / elapsed,
        "cpu_percent_worst": 100 * max(used) / elapsed,
        "resident_mib_worst": max(resident_bytes(it) for it in pids) / 2**20,
        # A byte between two control processes counts once, although one sends it
        # and the other receives it.
        "bytes_per_second": forwarded / count / elapsed,
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
