"""No engine memory stays held by requests that are gone."""

import unittest

from cluster import ClusterTest
from harness.process import wait_until

FREE_SECONDS = 1.0
RECLAIM_SECONDS = 15.0
LONG_ANSWER = 400


class EngineMemoryTest(ClusterTest):
    def test_caller_that_goes_away_frees_memory_within_a_second(self):
        cluster = self.start_cluster()
        streams = [cluster.caller().stream(f"gone {n}", LONG_ANSWER) for n in range(5)]
        for stream in streams:
            stream.read_all(max_tokens=3)
        self.assertEqual(cluster.held_requests(), 5)
        for stream in streams:
            stream.close()
        wait_until(lambda: cluster.held_requests() == 0, FREE_SECONDS, "memory freed")

    def test_lost_cancels_are_sent_again(self):
        cluster = self.start_cluster(decodes=1)
        stream = cluster.caller().stream("lost cancel", LONG_ANSWER)
        stream.read_all(max_tokens=3)
        cluster.engine_faults(cluster.decode_addresses[0], lose_cancels=2)
        stream.close()
        wait_until(lambda: cluster.held_requests() == 0, RECLAIM_SECONDS, "memory freed")

    def test_memory_of_a_killed_entry_is_reclaimed(self):
        cluster = self.start_cluster()
        stream = cluster.caller().stream("dead entry", LONG_ANSWER)
        stream.read_all(max_tokens=3)
        self.assertEqual(cluster.held_requests(), 1)
        cluster.vms[0].entry.restart()
        wait_until(lambda: cluster.held_requests() == 0, RECLAIM_SECONDS, "memory reclaimed")


if __name__ == "__main__":
    unittest.main()
