"""Guards against a second run of a non-idempotent request after concurrent sends,
retries, lost responses and crashes."""

import threading
import unittest

from cluster import ClusterTest

PATH = "/certificates"


class AtMostOnceTest(ClusterTest):
    def run_count(self, cluster, key):
        """Returns how often the request with this idempotency key ran."""
        counts = [n for k, n in cluster.plain_run_counts().items() if key in k]
        return sum(counts)

    def test_same_key_sent_to_all_vms_concurrently_runs_once(self):
        cluster = self.start_cluster(plain_flags=["--run_ms=200"])
        responses = []

        def send(vm):
            responses.append(
                cluster.caller(vm=vm).send_non_idempotent(PATH, "same-key", "raft 1")
            )

        threads = [threading.Thread(target=send, args=(it,)) for it in cluster.vms * 3]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(30)
        self.assertEqual(self.run_count(cluster, "same-key"), 1)
        bodies = {it.body for it in responses if it.status == 200}
        self.assertEqual(len(bodies), 1)
        for response in responses:
            self.assertIn(response.status, (200, 409), response.body)
        again = cluster.caller(vm=cluster.vms[1]).send_non_idempotent(
            PATH, "same-key", "raft 1"
        )
        self.assertEqual({again.body}, bodies)

    def test_reused_key_with_different_body_is_rejected(self):
        cluster = self.start_cluster()
        first = cluster.caller().send_non_idempotent(PATH, "one-key", "raft 1")
        self.assertEqual(first.status, 200, first.body)
        other = cluster.caller(vm=cluster.vms[1]).send_non_idempotent(
            PATH, "one-key", "raft 2"
        )
        self.assertEqual(other.status, 422, other.body)
        self.assertEqual(self.run_count(cluster, "one-key"), 1)

    def test_idempotency_key_is_required(self):
        cluster = self.start_cluster()
        response = cluster.caller().call("POST", PATH, "raft 1")
        self.assertEqual(response.status, 400, response.body)
        self.assertEqual(response.run_header, "not-run")
        self.assertEqual(sum(cluster.plain_run_counts().values()), 0)

    def test_request_is_not_resent_when_upstream_closes_after_running_it(self):
        cluster = self.start_cluster()
        cluster.set_plain_faults(close_next=1)
        first = cluster.caller().send_non_idempotent(PATH, "closed", "raft 1")
        self.assertNotEqual(first.status, 200)
        self.assertEqual(first.run_header, "may-have-run")
        for vm in cluster.vms:
            again = cluster.caller(vm=vm).send_non_idempotent(PATH, "closed", "raft 1")
            self.assertNotEqual(again.run_header, "not-run")
        self.assertEqual(self.run_count(cluster, "closed"), 1)

    def test_request_is_not_rerun_when_its_entry_is_killed_while_it_runs(self):
        cluster = self.start_cluster(plain_flags=["--run_ms=500"])
        sender = threading.Thread(
            target=lambda: cluster.caller().send_non_idempotent(PATH, "dying", "raft 1")
        )
        sender.start()
        kill_timer = threading.Timer(0.25, cluster.vms[0].entry.kill)
        kill_timer.start()
        sender.join(30)
        kill_timer.join()
        again = cluster.caller(vm=cluster.vms[1]).send_non_idempotent(
            PATH, "dying", "raft 1"
        )
        self.assertNotEqual(again.run_header, "not-run")
        self.assertLessEqual(self.run_count(cluster, "dying"), 1)

    def test_lost_claim_insert_responses_cause_no_second_run(self):
        cluster = self.start_cluster()
        cluster.set_platform_faults(lose_next_answers=2)
        for n in range(4):
            cluster.caller(vm=cluster.vms[n % 3]).send_non_idempotent(
                PATH, f"lost-{n}", "raft"
            )
        for n in range(4):
            again = cluster.caller().send_non_idempotent(PATH, f"lost-{n}", "raft")
            runs = self.run_count(cluster, f"lost-{n}")
            self.assertLessEqual(runs, 1)
            if again.status == 200:
                self.assertEqual(runs, 1)

    def test_platform_outage_refuses_as_not_run_and_later_send_succeeds(self):
        cluster = self.start_cluster()
        cluster.set_platform_faults(outage=True)
        response = cluster.caller().send_non_idempotent(PATH, "outage", "raft 1")
        self.assertEqual(response.status, 503, response.body)
        self.assertEqual(response.run_header, "not-run")
        self.assertEqual(self.run_count(cluster, "outage"), 0)
        cluster.set_platform_faults(outage=False)
        again = cluster.caller().send_non_idempotent(PATH, "outage", "raft 1")
        self.assertEqual(again.status, 200, again.body)
        self.assertEqual(self.run_count(cluster, "outage"), 1)


if __name__ == "__main__":
    unittest.main()
