"""An accepted configuration is in force everywhere within seconds and never
reverts, whatever dies, is cut off or is lost on the way."""

import time
import unittest

from cluster import ClusterTest
from harness import items
from harness.caller import Caller

IN_FORCE_SECONDS = 3.0


def marker(number):
    """A route whose path shows which change is in force."""
    return items.item(
        "route",
        "marker",
        path=f"/marker-{number}",
        open_to_all=True,
        plain_pool="registry",
        **{"class": "lookup"},
    )


class ConfigurationTest(ClusterTest):
    def in_force(self, vm, number):
        """Whether a VM's entry has this change: 200, or 404 with an older or
        newer one."""
        return Caller(vm.listen).call("POST", f"/marker-{number}", "x").status == 200

    def test_changes_are_in_force_everywhere_within_seconds(self):
        cluster = self.start_cluster()
        for number in range(3):
            cluster.change([marker(number)], vm=cluster.vms[number])
            time.sleep(IN_FORCE_SECONDS)
            for vm in cluster.vms:
                self.assertTrue(self.in_force(vm, number), vm.name)

    def test_restarted_processes_never_serve_an_older_configuration(self):
        cluster = self.start_cluster()
        cluster.change([marker(1)])
        time.sleep(IN_FORCE_SECONDS)
        vm = cluster.vms[0]
        vm.control.restart()
        vm.entry.restart()
        deadline = time.monotonic() + 10
        while time.monotonic() < deadline and not self.in_force(vm, 1):
            old = Caller(vm.listen).call("POST", "/lookups", "x")
            # Not ready yet, or ready with the new configuration.
            self.assertNotEqual(old.status, 404)
        self.assertTrue(self.in_force(vm, 1))

    def test_lost_commit_answers_are_settled(self):
        cluster = self.start_cluster()
        cluster.platform_faults(lose_next_answers=1)
        cluster.change([marker(1)], check=False)
        time.sleep(IN_FORCE_SECONDS)
        states = {self.in_force(vm, 1) for vm in cluster.vms}
        self.assertEqual(len(states), 1)

    def test_outage_keeps_serving_and_accepts_no_change(self):
        cluster = self.start_cluster()
        cluster.platform_faults(outage=True)
        answer = cluster.change([marker(1)], check=False)
        self.assertNotEqual(answer.status, 200, answer.body)
        time.sleep(6)
        for vm in cluster.vms:
            answer = cluster.caller(vm=vm).call("POST", "/lookups", "x")
            self.assertEqual(answer.status, 200, answer.body)
            self.assertFalse(self.in_force(vm, 1))
        cluster.platform_faults(outage=False)
        time.sleep(1)
        self.assertEqual(cluster.change([marker(2)]).status, 200)

    def test_cut_off_vm_refuses_once_its_view_is_old(self):
        cluster = self.start_cluster()
        cut = cluster.vms[2]
        cluster.cut_platform(cut)
        cluster.cut_peers(cut)
        time.sleep(6)
        answer = cluster.caller(vm=cut).call("POST", "/lookups", "x")
        self.assertEqual(answer.status, 503, answer.body)
        self.assertEqual(answer.run, "not-run")
        cluster.heal()
        time.sleep(IN_FORCE_SECONDS)
        answer = cluster.caller(vm=cut).call("POST", "/lookups", "x")
        self.assertEqual(answer.status, 200, answer.body)

    def test_racing_operators_lose_no_change(self):
        cluster = self.start_cluster()
        version = cluster.version()
        first = cluster.change([marker(1)], base=version, check=False)
        second = cluster.change(
            [marker(2)], base=version, vm=cluster.vms[1], check=False
        )
        self.assertEqual(first.status, 200, first.body)
        self.assertEqual(second.status, 409, second.body)
        self.assertEqual(cluster.version(), version + 1)


if __name__ == "__main__":
    unittest.main()
