"""Runs nodes with upstreams of two software versions. Guards against streams whose
events come from more than one version."""

import time
import unittest

from test_nodes import NodeClusterTest
from users_platform.upstreams import HEARTBEAT_SECONDS

STREAMS = 8  # By chance alone, all would go on at their version once in 256 times.
EVENTS = 6


class SoftwareVersionsTest(NodeClusterTest):
    ENGINES = {"prefills": 2, "decodes": 4, "versions": ("v1", "v2")}

    def send_stream(self, node, resumes="", last_event_id=0):
        node = self.cluster.nodes[node]
        return self.cluster.loop.run(
            self.caller.send(
                node.name, node.address(), "stream", "k1", 4.0, EVENTS,
                resumes=resumes, last_event_id=last_event_id,
            )
        )

    def begin_broken_streams(self, count):
        """Begins streams at node 0 whose engines break them, and returns the
        attempts."""
        self.inject_fault("lm", "decode", "half")
        attempts = [self.send_stream(0) for _ in range(count)]
        self.inject_fault("lm", "decode", None)
        for attempt in attempts:
            self.assertFalse(attempt.is_complete)
            self.assertNotEqual(attempt.response_body, b"")
            self.assertTrue(attempt.expected.startswith(attempt.response_body))
        return attempts

    def resume(self, attempt, node):
        """Resumes a broken stream after the last complete event."""
        received = attempt.response_body.count(b"\n\n")
        return self.send_stream(node, attempt.request_id, received)

    def runs_of(self, attempt):
        """Returns the runs of an attempt at decode engines, first to last."""
        return [
            it
            for it in self.cluster.shared_state.received_requests
            if it.request_id == attempt.request_id and it.ran
        ]

    def versions_of(self, attempt):
        return {it.version for it in self.runs_of(attempt)}

    def check_resumed(self, attempt, resumed):
        self.assertEqual(resumed.status, 200, attempt.request_id)
        self.assertEqual(resumed.response_body, resumed.expected)
        began = self.runs_of(attempt)[0].version
        self.assertEqual(self.versions_of(resumed), {began}, attempt.request_id)

    # Guards against a node that goes on with a stream at another version.
    def test_node_continues_stream_at_its_version_only(self):
        for upstream in self.upstreams("lm", "decode"):
            upstream.fault = "half" if upstream.version == "v1" else None
        attempts = [self.send_stream(0) for _ in range(STREAMS)]
        began = {self.runs_of(it)[0].version for it in attempts}
        self.assertEqual(began, {"v1", "v2"})
        for attempt in attempts:
            self.assertEqual(len(self.versions_of(attempt)), 1, attempt.request_id)

    # Guards against a node that resumes at any version a stream of another node.
    def test_another_node_resumes_stream_at_its_version(self):
        for attempt in self.begin_broken_streams(STREAMS):
            self.check_resumed(attempt, self.resume(attempt, 1))

    # Guards against origins that are lost together with the node of the stream.
    def test_stream_of_killed_node_is_resumed_at_its_version(self):
        attempts = self.begin_broken_streams(STREAMS)
        self.cluster.nodes[0].process.kill()
        for number, attempt in enumerate(attempts):
            self.check_resumed(attempt, self.resume(attempt, 1 + number % 2))

    # Guards against another version that takes over if the first one is gone.
    def test_stream_is_refused_after_its_version_is_gone(self):
        attempt = self.begin_broken_streams(1)[0]
        began = self.runs_of(attempt)[0].version
        for upstream in self.cluster.upstreams:
            if upstream.service == "lm" and upstream.version == began:
                self.cluster.loop.run(upstream.crash())
        time.sleep(4 * HEARTBEAT_SECONDS)  # Until the entries have expired.
        for node in (0, 1, 2):
            resumed = self.resume(attempt, node)
            self.assertEqual(resumed.status, 503, node)
            self.assertEqual(self.runs_of(resumed), [], node)


if __name__ == "__main__":
    unittest.main()
