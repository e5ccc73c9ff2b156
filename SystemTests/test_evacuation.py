"""Runs peridothoist-node processes while an availability zone is evacuated under load
and taken back, with upstreams that are cold by then."""

import asyncio
import time
import unittest

from harness.process import wait_until
from soak.invariants import cold_overruns
from test_nodes import NodeClusterTest
from users_platform.load import Load

EVACUATE_SECONDS = 5.0
COLD = {"coldStartS": 8, "coldPerS": 4}
ZONE = "zone-a"
INTERVAL_SECONDS = 0.02
WARM_SECONDS = 9.0  # From the start of the upstreams.
EVACUATED_SECONDS = 9.0
RETURNED_SECONDS = 12.0
USED_SECONDS = 4.0  # After the return, within which the zone gets requests again.


class EvacuationTest(NodeClusterTest):
    NODES = 6
    LEDGERS = 3
    ENGINES = {"prefills": 3, "decodes": 3}
    EXTRA = {"cold": COLD, "evacuate_ms": int(1000 * EVACUATE_SECONDS)}

    def arrivals(self, since, until):
        return [
            it
            for it in self.cluster.shared_state.arrivals
            if it.zone == ZONE and since <= it.received_at < until
        ]

    def served_fraction(self, load, since, until):
        sent = load.sent_between(since, until)
        self.assertGreater(len(sent), 50)
        return sum(it.status == 200 and it.is_complete for it in sent) / len(sent)

    async def evacuate_and_return(self):
        store = self.cluster.store
        await asyncio.sleep(WARM_SECONDS)
        store.evacuate(ZONE)
        self.evacuated_at = time.monotonic()
        await asyncio.sleep(EVACUATED_SECONDS)
        # They become cold a moment before the return, and their entries do not say
        # so yet.
        for upstream in self.cluster.upstreams:
            if upstream.zone == ZONE:
                upstream.cool()
        store.take_back(ZONE)
        self.returned_at = time.monotonic()
        await asyncio.sleep(RETURNED_SECONDS)

    async def run_loads(self, loads):
        seconds = WARM_SECONDS + EVACUATED_SECONDS + RETURNED_SECONDS
        await asyncio.gather(
            self.evacuate_and_return(),
            *(it.send_at_intervals(INTERVAL_SECONDS, seconds) for it in loads),
        )

    # Guards against requests that still reach a zone after the bound, against
    # requests that fail although other zones could serve them, and against upstreams
    # that are overrun or stay idle when they return cold.
    def test_a_zone_is_emptied_and_taken_back(self):
        loads = [Load(self.cluster, "look"), Load(self.cluster, "stream")]
        loads[0].run(self.run_loads(loads), timeout=90)
        evacuated, returned = self.evacuated_at, self.returned_at
        self.assertTrue(self.arrivals(evacuated - 2, evacuated))
        late = self.arrivals(evacuated + EVACUATE_SECONDS, returned)
        self.assertEqual(late, [])
        for load in loads:
            served = self.served_fraction(load, evacuated, returned)
            self.assertGreater(served, 0.98, load.kind)
        self.assertTrue(self.arrivals(returned, returned + USED_SECONDS))
        self.assertEqual(cold_overruns(self.cluster.shared_state.arrivals), [])
        self.assertEqual(self.cluster.shared_state.overrun_times, [])
        wait_until(
            lambda: self.cluster.logs().count("event=zone_evacuated") >= 2 * self.NODES,
            5, "all nodes log the evacuation and its end",
        )


if __name__ == "__main__":
    unittest.main()
