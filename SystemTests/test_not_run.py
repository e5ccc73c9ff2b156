"""Guards against a refusal that wrongly claims "not run", and against a second run
of a non-idempotent request, under random faults of the platform and the services."""

import itertools
import random
import unittest

from cluster import ClusterTest

PATH = "/certificates"


class NotRunTest(ClusterTest):
    def run_count(self, cluster, key):
        """Returns how often the request with this idempotency key ran."""
        return sum(n for k, n in cluster.plain_run_counts().items() if key in k)

    def test_random_faults_cause_no_second_run_and_not_run_is_true(self):
        cluster = self.start_cluster(plains=2)
        rng = random.Random(7)
        key_numbers = itertools.count()
        responses_by_key = {}
        faults = [
            lambda: cluster.set_plain_faults(rng.randrange(2), close_next=2),
            lambda: cluster.set_plain_faults(rng.randrange(2), truncate_next=2),
            lambda: cluster.set_plain_faults(rng.randrange(2), refuse_next=2),
            lambda: cluster.set_platform_faults(lose_next_answers=2),
            lambda: cluster.set_platform_faults(outage=True),
            lambda: cluster.set_platform_faults(outage=False),
        ]
        for _ in range(40):
            rng.choice(faults)()
            key = f"random-{next(key_numbers):04d}"
            responses_by_key[key] = [
                cluster.caller(vm=rng.choice(cluster.vms)).send_non_idempotent(
                    PATH, key, "raft"
                )
                for _ in range(rng.randrange(1, 4))
            ]
        cluster.set_platform_faults(outage=False)
        for key, responses in responses_by_key.items():
            runs = self.run_count(cluster, key)
            self.assertLessEqual(runs, 1, key)
            if all(it.run_header == "not-run" for it in responses):
                self.assertEqual(runs, 0, key)
            if any(it.status == 200 for it in responses):
                self.assertEqual(runs, 1, key)


if __name__ == "__main__":
    unittest.main()
