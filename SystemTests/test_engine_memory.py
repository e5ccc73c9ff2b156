"""Guards against engine memory that stays held by requests whose caller has
disconnected or whose entry process has terminated."""

import unittest

from cluster import ClusterTest
from harness.process import wait_until

FREE_SECONDS = 1.0
RECLAIM_SECONDS = 15.0
LONG_RESPONSE_TOKENS = 400


class EngineMemoryTest(ClusterTest):
    def test_caller_disconnect_frees_memory_within_a_second(self):
        cluster = self.start_cluster()
        streams = [
            cluster.caller().open_stream(f"gone {n}", LONG_RESPONSE_TOKENS)
            for n in range(5)
        ]
        for stream in streams:
            stream.read_all(max_tokens=3)
        self.assertEqual(cluster.held_request_count(), 5)
        for stream in streams:
            stream.close()
        wait_until(lambda: cluster.held_request_count() == 0, FREE_SECONDS, "memory freed")

    def test_lost_cancels_are_retried(self):
        cluster = self.start_cluster(decodes=1)
        stream = cluster.caller().open_stream("lost cancel", LONG_RESPONSE_TOKENS)
        stream.read_all(max_tokens=3)
        cluster.set_engine_faults(cluster.decode_addresses[0], lose_cancels=2)
        stream.close()
        wait_until(
            lambda: cluster.held_request_count() == 0, RECLAIM_SECONDS, "memory freed"
        )

    def test_memory_held_by_killed_entry_is_reclaimed(self):
        cluster = self.start_cluster()
        stream = cluster.caller().open_stream("dead entry", LONG_RESPONSE_TOKENS)
        stream.read_all(max_tokens=3)
        self.assertEqual(cluster.held_request_count(), 1)
        cluster.vms[0].entry.restart()
        wait_until(
            lambda: cluster.held_request_count() == 0, RECLAIM_SECONDS, "memory reclaimed"
        )


if __name__ == "__main__":
    unittest.main()
