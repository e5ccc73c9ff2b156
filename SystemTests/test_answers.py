"""Guards against mixed, incomplete or duplicated responses when requests run
concurrently, upstream streams break or an engine is lost."""

import threading
import unittest

from cluster import ClusterTest
from harness.caller import expected_text

TOKENS = 30


class ResponsesTest(ClusterTest):
    def run_streams(self, cluster, count, prefix):
        """Runs concurrent streams, spread over all VMs, and returns them."""
        streams = [None] * count

        def run(index):
            caller = cluster.caller(vm=cluster.vms[index % len(cluster.vms)])
            stream = caller.open_stream(f"{prefix} {index}", TOKENS)
            streams[index] = stream.read_all()

        threads = [threading.Thread(target=run, args=(n,)) for n in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        return streams

    def check_complete_streams(self, streams, prefix):
        for index, stream in enumerate(streams):
            self.assertIsNotNone(stream, f"stream {index} did not end")
            self.assertEqual(stream.status, 200)
            self.assertEqual(stream.text, expected_text(f"{prefix} {index}", TOKENS))
            self.assertTrue(stream.is_complete, f"stream {index}: {stream.error_event}")

    def test_concurrent_streams_are_not_mixed_up(self):
        cluster = self.start_cluster()
        self.check_complete_streams(self.run_streams(cluster, 24, "apart"), "apart")

    def test_broken_streams_resume_without_missing_or_duplicate_tokens(self):
        cluster = self.start_cluster()
        for address in cluster.decode_addresses:
            cluster.set_engine_faults(address, drop_stream_after=7)
        self.check_complete_streams(self.run_streams(cluster, 6, "broken"), "broken")

    def test_streams_complete_when_a_decode_engine_is_lost(self):
        cluster = self.start_cluster(decodes=3)
        kill_timer = threading.Timer(
            0.4, cluster.set_engine_faults, (cluster.decode_addresses[0],), {"alive": False}
        )
        kill_timer.start()
        streams = self.run_streams(cluster, 9, "lost engine")
        kill_timer.join()
        self.check_complete_streams(streams, "lost engine")

    def test_unstreamed_completion_is_complete_after_upstream_stream_breaks(self):
        cluster = self.start_cluster()
        cluster.set_engine_faults(cluster.decode_addresses[0], drop_stream_after=5)
        response = cluster.caller().request_completion("whole", TOKENS)
        self.assertEqual(response.status, 200, response.body)
        self.assertEqual(
            response.json["choices"][0]["text"], expected_text("whole", TOKENS)
        )

    def test_truncated_plain_response_is_not_forwarded_as_complete(self):
        cluster = self.start_cluster()
        cluster.set_plain_faults(truncate_next=1)
        response = cluster.caller().call("POST", "/lookups", "a raft")
        if response.status == 200 and not response.error:
            self.assertEqual(response.json["bytes"], len("a raft"))


if __name__ == "__main__":
    unittest.main()
