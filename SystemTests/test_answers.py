"""No request is answered twice, and each caller receives the whole answer to
its own request, also when streams break or answers come late."""

import threading
import unittest

from cluster import ClusterTest
from harness.caller import expected_text

TOKENS = 30


class AnswersTest(ClusterTest):
    def run_streams(self, cluster, count, prefix):
        """Runs streams side by side over all VMs, and returns them."""
        streams = [None] * count

        def run(number):
            caller = cluster.caller(vm=cluster.vms[number % len(cluster.vms)])
            stream = caller.stream(f"{prefix} {number}", TOKENS)
            streams[number] = stream.read_all()

        threads = [threading.Thread(target=run, args=(n,)) for n in range(count)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(60)
        return streams

    def check_whole(self, streams, prefix):
        for number, stream in enumerate(streams):
            self.assertIsNotNone(stream, f"stream {number} did not end")
            self.assertEqual(stream.status, 200)
            self.assertEqual(stream.text, expected_text(f"{prefix} {number}", TOKENS))
            self.assertTrue(stream.complete, f"stream {number}: {stream.error_event}")

    def test_streams_side_by_side_stay_apart(self):
        cluster = self.start_cluster()
        self.check_whole(self.run_streams(cluster, 24, "apart"), "apart")

    def test_broken_streams_resume_without_gap_or_repeat(self):
        cluster = self.start_cluster()
        for address in cluster.decode_addresses:
            cluster.engine_faults(address, drop_stream_after=7)
        self.check_whole(self.run_streams(cluster, 6, "broken"), "broken")

    def test_streams_survive_the_loss_of_an_engine(self):
        cluster = self.start_cluster(decodes=3)
        killer = threading.Timer(
            0.4, cluster.engine_faults, (cluster.decode_addresses[0],), {"alive": False}
        )
        killer.start()
        streams = self.run_streams(cluster, 9, "lost engine")
        killer.join()
        self.check_whole(streams, "lost engine")

    def test_whole_answers_are_whole(self):
        cluster = self.start_cluster()
        cluster.engine_faults(cluster.decode_addresses[0], drop_stream_after=5)
        answer = cluster.caller().complete("whole", TOKENS)
        self.assertEqual(answer.status, 200, answer.body)
        self.assertEqual(answer.json["choices"][0]["text"], expected_text("whole", TOKENS))

    def test_truncated_plain_answer_is_not_passed_on_as_whole(self):
        cluster = self.start_cluster()
        cluster.plain_faults(truncate_next=1)
        answer = cluster.caller().call("POST", "/lookups", "a raft")
        if answer.status == 200 and not answer.error:
            self.assertEqual(answer.json["bytes"], len("a raft"))


if __name__ == "__main__":
    unittest.main()
