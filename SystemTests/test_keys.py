"""A request runs only for the workspace whose key came with it, no upstream
sees a key, and a withdrawn key stops working within seconds."""

import json
import time
import unittest

from cluster import ClusterTest
from harness import items
from harness.caller import Caller

WITHDRAWN_SECONDS = 3.0


class KeysTest(ClusterTest):
    def test_keys_open_only_their_own_workspace(self):
        foreign = items.workspace("w2", pools=("pre", "dec"))
        cluster = self.start_cluster(edits=[foreign])
        secret = cluster.keys["w1"].secret
        cases = {
            "no key": (Caller(cluster.vms[0].listen), 401),
            "unknown name": (Caller(cluster.vms[0].listen, f"nobody.{secret}"), 401),
            "wrong secret": (Caller(cluster.vms[0].listen, "key-w1.wrong"), 401),
            "other name's secret": (Caller(cluster.vms[0].listen, f"key-w2.{secret}"), 401),
            "pool not allowed": (cluster.caller("w2"), 403),
            "own key": (cluster.caller("w1"), 200),
        }
        for name, (caller, status) in cases.items():
            with self.subTest(name):
                answer = caller.call("POST", "/lookups", "x")
                self.assertEqual(answer.status, status, answer.body)
                if status != 200:
                    self.assertEqual(answer.run, "not-run")
        self.assertEqual(sum(cluster.plain_ran().values()), 1)
        open_answer = Caller(cluster.vms[0].listen).call("POST", "/notices", "x")
        self.assertEqual(open_answer.status, 200, open_answer.body)

    def test_no_upstream_and_no_log_sees_a_key(self):
        cluster = self.start_cluster()
        secret = cluster.keys["w1"].secret
        for vm in cluster.vms:
            caller = cluster.caller(vm=vm)
            self.assertEqual(caller.call("POST", "/lookups", "x").status, 200)
            self.assertEqual(caller.once("/certificates", f"c-{vm.name}", "x").status, 200)
            self.assertEqual(caller.complete("a prompt", 3).status, 200)
        logs = [cluster.plain_log()]
        logs += [cluster.engine_log(it) for it in cluster.prefill_addresses]
        logs += [cluster.engine_log(it) for it in cluster.decode_addresses]
        received = json.dumps(logs)
        self.assertIn("/v1/prefill", received)
        self.assertNotIn(secret, received)
        self.assertNotIn("authorization", received.lower())
        for process in cluster.processes:
            self.assertNotIn(secret, process.log(), process.name)

    def test_withdrawn_key_stops_everywhere_within_seconds(self):
        cluster = self.start_cluster()
        callers = [cluster.caller(vm=vm) for vm in cluster.vms]
        for caller in callers:
            self.assertEqual(caller.call("POST", "/lookups", "x").status, 200)
        cluster.ctl("keys", "withdraw", "key-w1")
        time.sleep(WITHDRAWN_SECONDS)
        before = sum(cluster.plain_ran().values())
        for caller in callers:
            self.assertEqual(caller.call("POST", "/lookups", "x").status, 401)
        self.assertEqual(sum(cluster.plain_ran().values()), before)

    def test_withdrawn_key_stops_where_the_platform_is_cut_off(self):
        cluster = self.start_cluster()
        cut = cluster.vms[2]
        cluster.cut_platform(cut)
        cluster.ctl("keys", "withdraw", "key-w1")
        time.sleep(WITHDRAWN_SECONDS)
        answer = cluster.caller(vm=cut).call("POST", "/lookups", "x")
        self.assertIn(answer.status, (401, 503))
        self.assertEqual(answer.run, "not-run")

    def test_withdrawn_key_stops_where_everything_is_cut_off(self):
        cluster = self.start_cluster()
        cut = cluster.vms[2]
        cluster.cut_platform(cut)
        cluster.cut_peers(cut)
        cluster.ctl("keys", "withdraw", "key-w1")
        time.sleep(WITHDRAWN_SECONDS)
        answer = cluster.caller(vm=cut).call("POST", "/lookups", "x")
        self.assertIn(answer.status, (401, 503))
        self.assertEqual(answer.run, "not-run")


if __name__ == "__main__":
    unittest.main()
