"""Guards the rate limit of a workspace: calls to all VMs together must not exceed
its rate and burst, and calls within them must not be refused."""

import threading
import time
import unittest

from cluster import ClusterTest
from harness import items

RATE = 400.0
BURST = 800.0
PROMPT = "x" * 80
RESPONSE_TOKENS = 20
COST = len(PROMPT) / 4 + RESPONSE_TOKENS
SECONDS = 6.0


class AllowanceTest(ClusterTest):
    def test_load_on_all_vms_does_not_exceed_rate_and_burst(self):
        limited = items.workspace("w1", rate=RATE, burst=BURST)
        cluster = self.start_cluster(edits=[limited])
        responses = []
        stop = threading.Event()

        def send_continuously(thread_index):
            caller = cluster.caller(vm=cluster.vms[thread_index % len(cluster.vms)])
            while not stop.is_set():
                responses.append(caller.request_completion(PROMPT, RESPONSE_TOKENS))

        started = time.monotonic()
        threads = [
            threading.Thread(target=send_continuously, args=(n,)) for n in range(9)
        ]
        for thread in threads:
            thread.start()
        time.sleep(SECONDS)
        stop.set()
        for thread in threads:
            thread.join(30)
        elapsed = time.monotonic() - started
        accepted = sum(1 for it in responses if it.status == 200)
        refused = sum(1 for it in responses if it.status == 429)
        self.assertGreater(refused, 0)
        self.assertLessEqual(accepted * COST, BURST + RATE * elapsed)
        # The limit must not be too strict either: at least half of the rate must
        # be granted.
        self.assertGreater(accepted * COST, 0.5 * RATE * SECONDS)

    def test_caller_at_one_vm_within_its_rate_is_not_refused(self):
        limited = items.workspace("w1", rate=RATE, burst=BURST)
        cluster = self.start_cluster(edits=[limited])
        caller = cluster.caller()
        interval = COST / (0.7 * RATE)
        statuses = []
        for _ in range(30):
            statuses.append(caller.request_completion(PROMPT, RESPONSE_TOKENS).status)
            time.sleep(max(0.0, interval - 0.1))
        self.assertEqual(statuses.count(429), 0, statuses)


if __name__ == "__main__":
    unittest.main()
