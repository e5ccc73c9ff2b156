"""Guards against requests that run under the wrong workspace, caller keys that
leak to upstreams or logs, and withdrawn keys that stay valid."""

import json
import time
import unittest

from cluster import ClusterTest
from harness import items
from harness.caller import Caller

WITHDRAWAL_SECONDS = 3.0


class KeysTest(ClusterTest):
    def test_keys_authorize_only_their_own_workspace(self):
        restricted = items.workspace("w2", pools=("pre", "dec"))
        cluster = self.start_cluster(edits=[restricted])
        secret = cluster.keys["w1"].secret
        cases = {
            "no key": (Caller(cluster.vms[0].listen), 401),
            "unknown name": (Caller(cluster.vms[0].listen, f"nobody.{secret}"), 401),
            "wrong secret": (Caller(cluster.vms[0].listen, "key-w1.wrong"), 401),
            "other name's secret": (
                Caller(cluster.vms[0].listen, f"key-w2.{secret}"),
                401
            ),
            "pool not allowed": (cluster.caller("w2"), 403),
            "own key": (cluster.caller("w1"), 200),
        }
        for case, (caller, status) in cases.items():
            with self.subTest(case):
                response = caller.call("POST", "/lookups", "x")
                self.assertEqual(response.status, status, response.body)
                if status != 200:
                    self.assertEqual(response.run_header, "not-run")
        self.assertEqual(sum(cluster.plain_run_counts().values()), 1)
        public_response = Caller(cluster.vms[0].listen).call("POST", "/notices", "x")
        self.assertEqual(public_response.status, 200, public_response.body)

    def test_keys_reach_no_upstream_and_no_log(self):
        cluster = self.start_cluster()
        secret = cluster.keys["w1"].secret
        for vm in cluster.vms:
            caller = cluster.caller(vm=vm)
            self.assertEqual(caller.call("POST", "/lookups", "x").status, 200)
            self.assertEqual(
                caller.send_non_idempotent(
                    "/certificates", f"c-{vm.name}", "x"
                ).status,
                200
            )
            self.assertEqual(caller.request_completion("a prompt", 3).status, 200)
        logs = [cluster.plain_log()]
        logs += [cluster.engine_log(it) for it in cluster.prefill_addresses]
        logs += [cluster.engine_log(it) for it in cluster.decode_addresses]
        received = json.dumps(logs)
        self.assertIn("/v1/prefill", received)
        self.assertNotIn(secret, received)
        self.assertNotIn("authorization", received.lower())
        for process in cluster.processes:
            self.assertNotIn(secret, process.log(), process.name)

    def test_withdrawn_key_is_rejected_on_all_vms_in_time(self):
        cluster = self.start_cluster()
        callers = [cluster.caller(vm=vm) for vm in cluster.vms]
        for caller in callers:
            self.assertEqual(caller.call("POST", "/lookups", "x").status, 200)
        cluster.run_ctl("keys", "withdraw", "key-w1")
        time.sleep(WITHDRAWAL_SECONDS)
        before = sum(cluster.plain_run_counts().values())
        for caller in callers:
            self.assertEqual(caller.call("POST", "/lookups", "x").status, 401)
        self.assertEqual(sum(cluster.plain_run_counts().values()), before)

    def test_withdrawn_key_is_rejected_on_vm_without_platform(self):
        cluster = self.start_cluster()
        isolated_vm = cluster.vms[2]
        cluster.cut_platform(isolated_vm)
        cluster.run_ctl("keys", "withdraw", "key-w1")
        time.sleep(WITHDRAWAL_SECONDS)
        response = cluster.caller(vm=isolated_vm).call("POST", "/lookups", "x")
        self.assertIn(response.status, (401, 503))
        self.assertEqual(response.run_header, "not-run")

    def test_withdrawn_key_is_rejected_on_isolated_vm(self):
        cluster = self.start_cluster()
        isolated_vm = cluster.vms[2]
        cluster.cut_platform(isolated_vm)
        cluster.cut_peers(isolated_vm)
        cluster.run_ctl("keys", "withdraw", "key-w1")
        time.sleep(WITHDRAWAL_SECONDS)
        response = cluster.caller(vm=isolated_vm).call("POST", "/lookups", "x")
        self.assertIn(response.status, (401, 503))
        self.assertEqual(response.run_header, "not-run")


if __name__ == "__main__":
    unittest.main()
