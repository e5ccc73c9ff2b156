"""Guards against a request that crashes every upstream it runs on: it must be
quarantined, and concurrent requests must complete."""

import threading
import unittest

from cluster import ClusterTest
from harness.caller import expected_text

TOKENS = 40


class CrashingRequestsTest(ClusterTest):
    def test_request_that_crashes_engines_is_quarantined(self):
        cluster = self.start_cluster(
            prefills=5, decodes=3, engine_flags=["--crash_on=BOOM"]
        )
        other_streams = [None] * 6

        def run(index):
            stream = cluster.caller("w2").open_stream(f"bystander {index}", TOKENS)
            other_streams[index] = stream.read_all()

        threads = [threading.Thread(target=run, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        crashing_responses = [
            cluster.caller("w1", vm).request_completion("BOOM goes the engine", 5)
            for vm in cluster.vms * 2
        ]
        for thread in threads:
            thread.join(60)
        for response in crashing_responses:
            self.assertGreaterEqual(response.status, 400)
        deaths = sum(it["deaths"] for it in cluster.engine_stats().values())
        self.assertLessEqual(deaths, 2)
        for index, stream in enumerate(other_streams):
            self.assertEqual(
                stream.text,
                expected_text(f"bystander {index}", TOKENS),
                stream.error_event
            )
            self.assertTrue(stream.is_complete)


if __name__ == "__main__":
    unittest.main()
