"""A request that must not repeat runs at most once."""

import threading
import unittest

from cluster import ClusterTest

PATH = "/certificates"


class AtMostOnceTest(ClusterTest):
    def runs_of(self, cluster, key):
        """How often the piece of work with this key ran."""
        counts = [n for k, n in cluster.plain_ran().items() if key in k]
        return sum(counts)

    def test_same_key_at_all_vms_at_once_runs_once(self):
        cluster = self.start_cluster(plain_flags=["--run_ms=200"])
        answers = []

        def send(vm):
            answers.append(cluster.caller(vm=vm).once(PATH, "same-key", "raft 1"))

        threads = [threading.Thread(target=send, args=(it,)) for it in cluster.vms * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        self.assertEqual(self.runs_of(cluster, "same-key"), 1)
        whole = {it.body for it in answers if it.status == 200}
        self.assertEqual(len(whole), 1)
        for answer in answers:
            self.assertIn(answer.status, (200, 409), answer.body)
        again = cluster.caller(vm=cluster.vms[1]).once(PATH, "same-key", "raft 1")
        self.assertEqual({again.body}, whole)

    def test_same_key_with_another_body_is_an_error(self):
        cluster = self.start_cluster()
        first = cluster.caller().once(PATH, "one-key", "raft 1")
        self.assertEqual(first.status, 200, first.body)
        other = cluster.caller(vm=cluster.vms[1]).once(PATH, "one-key", "raft 2")
        self.assertEqual(other.status, 422, other.body)
        self.assertEqual(self.runs_of(cluster, "one-key"), 1)

    def test_key_is_required(self):
        cluster = self.start_cluster()
        answer = cluster.caller().call("POST", PATH, "raft 1")
        self.assertEqual(answer.status, 400, answer.body)
        self.assertEqual(answer.run, "not-run")
        self.assertEqual(sum(cluster.plain_ran().values()), 0)

    def test_closed_connection_after_running_is_not_sent_again(self):
        cluster = self.start_cluster()
        cluster.plain_faults(close_next=1)
        first = cluster.caller().once(PATH, "closed", "raft 1")
        self.assertNotEqual(first.status, 200)
        self.assertEqual(first.run, "may-have-run")
        for vm in cluster.vms:
            again = cluster.caller(vm=vm).once(PATH, "closed", "raft 1")
            self.assertNotEqual(again.run, "not-run")
        self.assertEqual(self.runs_of(cluster, "closed"), 1)

    def test_entry_that_dies_while_it_runs_leaves_the_outcome_in_doubt(self):
        cluster = self.start_cluster(plain_flags=["--run_ms=500"])
        sender = threading.Thread(
            target=lambda: cluster.caller().once(PATH, "dying", "raft 1")
        )
        sender.start()
        killer = threading.Timer(0.25, cluster.vms[0].entry.kill)
        killer.start()
        sender.join(30)
        killer.join()
        again = cluster.caller(vm=cluster.vms[1]).once(PATH, "dying", "raft 1")
        self.assertNotEqual(again.run, "not-run")
        self.assertLessEqual(self.runs_of(cluster, "dying"), 1)

    def test_lost_insert_answers_are_settled(self):
        cluster = self.start_cluster()
        cluster.platform_faults(lose_next_answers=2)
        for n in range(4):
            cluster.caller(vm=cluster.vms[n % 3]).once(PATH, f"lost-{n}", "raft")
        for n in range(4):
            again = cluster.caller().once(PATH, f"lost-{n}", "raft")
            runs = self.runs_of(cluster, f"lost-{n}")
            self.assertLessEqual(runs, 1)
            if again.status == 200:
                self.assertEqual(runs, 1)

    def test_platform_outage_refuses_truthfully(self):
        cluster = self.start_cluster()
        cluster.platform_faults(outage=True)
        answer = cluster.caller().once(PATH, "outage", "raft 1")
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(answer.run, "not-run")
        self.assertEqual(self.runs_of(cluster, "outage"), 0)
        cluster.platform_faults(outage=False)
        again = cluster.caller().once(PATH, "outage", "raft 1")
        self.assertEqual(again.status, 200, again.body)
        self.assertEqual(self.runs_of(cluster, "outage"), 1)


if __name__ == "__main__":
    unittest.main()
