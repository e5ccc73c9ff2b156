"""A request that crashes each upstream that runs it is quarantined, and the
requests beside it are answered."""

import threading
import unittest

from cluster import ClusterTest
from harness.caller import expected_text

TOKENS = 40


class CrashingRequestsTest(ClusterTest):
    def test_request_that_crashes_engines_is_stopped(self):
        cluster = self.start_cluster(
            prefills=5, decodes=3, engine_flags=["--crash_on=BOOM"]
        )
        bystanders = [None] * 6

        def run(number):
            stream = cluster.caller("w2").stream(f"bystander {number}", TOKENS)
            bystanders[number] = stream.read_all()

        threads = [threading.Thread(target=run, args=(n,)) for n in range(6)]
        for thread in threads:
            thread.start()
        crashing = [
            cluster.caller("w1", vm).complete("BOOM goes the engine", 5)
            for vm in cluster.vms * 2
        ]
        for thread in threads:
            thread.join(60)
        for answer in crashing:
            self.assertGreaterEqual(answer.status, 400)
        deaths = sum(it["deaths"] for it in cluster.engine_stats().values())
        self.assertLessEqual(deaths, 2)
        for number, stream in enumerate(bystanders):
            self.assertEqual(
                stream.text, expected_text(f"bystander {number}", TOKENS), stream.error_event
            )
            self.assertTrue(stream.complete)


if __name__ == "__main__":
    unittest.main()
