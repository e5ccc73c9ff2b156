"""Guards against a configuration change that does not reach all VMs within
IN_FORCE_SECONDS, is lost, or is reverted by a restart, an outage or a partition."""

import time
import unittest

from cluster import ClusterTest
from harness import items
from harness.caller import Caller

IN_FORCE_SECONDS = 3.0


def marker_route(number):
    """Returns an edit of a route whose path shows which change is in force."""
    return items.set_item(
        "route",
        "marker",
        path=f"/marker-{number}",
        open_to_all=True,
        plain_pool="registry",
        **{"class": "lookup"},
    )


class ConfigurationTest(ClusterTest):
    def is_in_force(self, vm, number):
        """Returns whether the entry of a VM has this change in force. With an
        older or newer change it responds with 404."""
        return Caller(vm.listen).call("POST", f"/marker-{number}", "x").status == 200

    def test_changes_are_in_force_on_all_vms_in_time(self):
        cluster = self.start_cluster()
        for number in range(3):
            cluster.submit_change([marker_route(number)], vm=cluster.vms[number])
            time.sleep(IN_FORCE_SECONDS)
            for vm in cluster.vms:
                self.assertTrue(self.is_in_force(vm, number), vm.name)

    def test_restarted_processes_never_serve_an_older_configuration(self):
        cluster = self.start_cluster()
        cluster.submit_change([marker_route(1)])
        time.sleep(IN_FORCE_SECONDS)
        vm = cluster.vms[0]
        vm.control.restart()
        vm.entry.restart()
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and not self.is_in_force(vm, 1):
            response = Caller(vm.listen).call("POST", "/lookups", "x")
            # The entry is either not ready or has the new configuration.
            self.assertNotEqual(response.status, 404)
        self.assertTrue(self.is_in_force(vm, 1))

    def test_lost_commit_response_leaves_all_vms_in_agreement(self):
        cluster = self.start_cluster()
        cluster.set_platform_faults(lose_next_answers=1)
        cluster.submit_change([marker_route(1)], check=False)
        time.sleep(IN_FORCE_SECONDS)
        in_force_states = {self.is_in_force(vm, 1) for vm in cluster.vms}
        self.assertEqual(len(in_force_states), 1)

    def test_platform_outage_keeps_serving_and_rejects_changes(self):
        cluster = self.start_cluster()
        cluster.set_platform_faults(outage=True)
        response = cluster.submit_change([marker_route(1)], check=False)
        self.assertNotEqual(response.status, 200, response.body)
        time.sleep(6)
        for vm in cluster.vms:
            response = cluster.caller(vm=vm).call("POST", "/lookups", "x")
            self.assertEqual(response.status, 200, response.body)
            self.assertFalse(self.is_in_force(vm, 1))
        cluster.set_platform_faults(outage=False)
        time.sleep(1)
        self.assertEqual(cluster.submit_change([marker_route(2)]).status, 200)

    def test_isolated_vm_refuses_once_its_view_is_stale(self):
        cluster = self.start_cluster()
        isolated_vm = cluster.vms[2]
        cluster.cut_platform(isolated_vm)
        cluster.cut_peers(isolated_vm)
        time.sleep(6)
        response = cluster.caller(vm=isolated_vm).call("POST", "/lookups", "x")
        self.assertEqual(response.status, 503, response.body)
        self.assertEqual(response.run_header, "not-run")
        cluster.heal()
        time.sleep(IN_FORCE_SECONDS)
        response = cluster.caller(vm=isolated_vm).call("POST", "/lookups", "x")
        self.assertEqual(response.status, 200, response.body)

    def test_second_change_on_same_base_version_gets_conflict(self):
        cluster = self.start_cluster()
        version = cluster.config_version()
        first = cluster.submit_change([marker_route(1)], base=version, check=False)
        second = cluster.submit_change(
            [marker_route(2)], base=version, vm=cluster.vms[1], check=False
        )
        self.assertEqual(first.status, 200, first.body)
        self.assertEqual(second.status, 409, second.body)
        self.assertEqual(cluster.config_version(), version + 1)


if __name__ == "__main__":
    unittest.main()
