"""A refusal that says "not run" is true, and nothing that must not repeat runs
twice, under random faults of the platform and the services."""

import itertools
import random
import unittest

from cluster import ClusterTest

PATH = "/certificates"


class NotRunTest(ClusterTest):
    def runs_of(self, cluster, key):
        """How often the piece of work with this key ran."""
        return sum(n for k, n in cluster.plain_ran().items() if key in k)

    def test_random_faults_never_repeat_and_not_run_is_true(self):
        cluster = self.start_cluster(plains=2)
        chance = random.Random(7)
        numbers = itertools.count()
        outcomes = {}
        faults = [
            lambda: cluster.plain_faults(chance.randrange(2), close_next=2),
            lambda: cluster.plain_faults(chance.randrange(2), truncate_next=2),
            lambda: cluster.plain_faults(chance.randrange(2), refuse_next=2),
            lambda: cluster.platform_faults(lose_next_answers=2),
            lambda: cluster.platform_faults(outage=True),
            lambda: cluster.platform_faults(outage=False),
        ]
        for _ in range(40):
            chance.choice(faults)()
            key = f"random-{next(numbers):04d}"
            outcomes[key] = [
                cluster.caller(vm=chance.choice(cluster.vms)).once(PATH, key, "raft")
                for _ in range(chance.randrange(1, 4))
            ]
        cluster.platform_faults(outage=False)
        for key, answers in outcomes.items():
            runs = self.runs_of(cluster, key)
            self.assertLessEqual(runs, 1, key)
            if all(it.run == "not-run" for it in answers):
                self.assertEqual(runs, 0, key)
            if any(it.status == 200 for it in answers):
                self.assertEqual(runs, 1, key)


if __name__ == "__main__":
    unittest.main()
