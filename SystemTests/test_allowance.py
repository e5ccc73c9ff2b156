"""No workspace gets more than its rate and burst over all VMs together, and
one that stays within them isn't refused."""

import threading
import time
import unittest

from cluster import ClusterTest
from harness import items

RATE = 400.0
BURST = 800.0
PROMPT = "x" * 80
ANSWER_TOKENS = 20
COST = len(PROMPT) / 4 + ANSWER_TOKENS
SECONDS = 6.0


class AllowanceTest(ClusterTest):
    def test_hammering_all_vms_gets_no_more_than_rate_and_burst(self):
        limited = items.workspace("w1", rate=RATE, burst=BURST)
        cluster = self.start_cluster(edits=[limited])
        answers = []
        stop = threading.Event()

        def hammer(number):
            caller = cluster.caller(vm=cluster.vms[number % len(cluster.vms)])
            while not stop.is_set():
                answers.append(caller.complete(PROMPT, ANSWER_TOKENS))

        started = time.monotonic()
        threads = [threading.Thread(target=hammer, args=(n,)) for n in range(9)]
        for thread in threads:
            thread.start()
        time.sleep(SECONDS)
        stop.set()
        for thread in threads:
            thread.join(30)
        lasted = time.monotonic() - started
        answered = sum(1 for it in answers if it.status == 200)
        refused = sum(1 for it in answers if it.status == 429)
        self.assertGreater(refused, 0)
        self.assertLessEqual(answered * COST, BURST + RATE * lasted)
        # All of it is to be had, though: most of what was due was given.
        self.assertGreater(answered * COST, 0.5 * RATE * SECONDS)

    def test_caller_at_one_vm_within_its_rate_is_not_refused(self):
        limited = items.workspace("w1", rate=RATE, burst=BURST)
        cluster = self.start_cluster(edits=[limited])
        caller = cluster.caller()
        gap = COST / (0.7 * RATE)
        statuses = []
        for _ in range(30):
            statuses.append(caller.complete(PROMPT, ANSWER_TOKENS).status)
            time.sleep(max(0.0, gap - 0.1))
        self.assertEqual(statuses.count(429), 0, statuses)


if __name__ == "__main__":
    unittest.main()
