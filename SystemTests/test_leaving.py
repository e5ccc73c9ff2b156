"""Guards against new requests to an upstream that is leaving, and against requests
that a graceful shutdown breaks off."""

import threading
import time
import unittest

from cluster import ClusterTest
from harness import items
from harness.caller import BackgroundLoad, expected_text

LEAVING_SECONDS = 3.0
EXIT_SECONDS = 60


class LeavingTest(ClusterTest):
    def test_leaving_upstream_gets_no_new_requests(self):
        cluster = self.start_cluster(plains=2)
        leaving = cluster.plain_addresses[0]

        def lookup(thread_index, iteration):
            vm = cluster.vms[thread_index % len(cluster.vms)]
            return cluster.caller(vm=vm).call(
                "POST", "/lookups", f"x {thread_index} {iteration}"
            )

        with BackgroundLoad(lookup, threads=6, pause_seconds=0.02) as lookups:
            time.sleep(0.5)
            edit = items.set_item(
                "upstream",
                "registry1",
                pool="registry",
                address=leaving,
                zone="zone-a",
                leaving=True,
            )
            cluster.submit_change([edit])
            time.sleep(LEAVING_SECONDS)
            before = len(cluster.plain_log(0)["ran"])
            time.sleep(1.0)
            after = len(cluster.plain_log(0)["ran"])
        self.assertGreater(before, 0)
        self.assertEqual(after, before)
        self.assertEqual(lookups.failures, [])
        self.assertEqual({it.status for it in lookups.results}, {200})

    def test_terminated_entry_finishes_its_streams(self):
        cluster = self.start_cluster()
        vm = cluster.vms[0]
        streams = [
            cluster.caller(vm=vm).open_stream(f"drain {n}", 60) for n in range(6)
        ]
        for stream in streams:
            stream.read_all(max_tokens=2)
        vm.entry.terminate()
        readers = [threading.Thread(target=it.read_all) for it in streams]
        for reader in readers:
            reader.start()
        for reader in readers:
            reader.join(30)
        for n, stream in enumerate(streams):
            self.assertEqual(stream.text, expected_text(f"drain {n}", 60))
            self.assertTrue(stream.is_complete, stream.error_event)
        self.assertEqual(vm.entry.wait(EXIT_SECONDS), 0)
        self.assertEqual(cluster.held_request_count(), 0)

    def test_callers_fail_over_from_terminated_entry_without_errors(self):
        cluster = self.start_cluster()
        vm = cluster.vms[0]

        def lookup(thread_index, iteration):
            addresses = [it.listen for it in cluster.vms]
            for address in addresses[thread_index % 3:] + addresses[: thread_index % 3]:
                caller = cluster.caller()
                caller.address = address
                response = caller.call(
                    "POST", "/lookups", f"x {thread_index} {iteration}"
                )
                if "ConnectionRefused" not in response.error:
                    return response
            return response

        with BackgroundLoad(lookup, threads=6, pause_seconds=0.02) as lookups:
            time.sleep(0.5)
            vm.entry.terminate()
            self.assertEqual(vm.entry.wait(EXIT_SECONDS), 0)
            time.sleep(0.5)
        self.assertEqual(lookups.failures, [])
        failed = [it for it in lookups.results if it.status != 200]
        self.assertEqual(failed, [])


if __name__ == "__main__":
    unittest.main()
