"""Runs nodes with upstreams of two software versions. Guards against streams whose
events come from more than one version."""

import json
import time
import unittest

from harness.process import wait_until

from test_nodes import NodeClusterTest
from users_platform.upstreams import HEARTBEAT_SECONDS

STREAMS = 8  # By chance alone, all would go on at their version once in 256 times.
EVENTS = 6

# Nodes count as witnesses of all origins after 30 s.
WITNESS_SECONDS = 31

# Reading the list takes 0.8 s and asking a reader for it 0.35 s; the record takes
# a write and a read. The stream itself takes a part of a second.
RELEASE_SECONDS = 3

# An origin is in the store within a write interval (0.05 s).
ROW_SECONDS = 0.5

# The store's clock is set ahead by this instead of waiting until the record is
# older than a stream can be.
LONG_MS = 60_000


class VersionsClusterTest(NodeClusterTest):
    """Base of tests that break and resume streams."""

    ENGINES = {"prefills": 2, "decodes": 4, "versions": ("v1", "v2")}

    def send_stream(self, node, resumes="", last_event_id=0, body=None):
        node = self.cluster.nodes[node]
        return self.cluster.loop.run(
            self.caller.send(
                node.name, node.address(), "stream", "k1", 4.0, EVENTS,
                resumes=resumes, last_event_id=last_event_id, body=body,
            )
        )

    def begin_broken_streams(self, count, node=0):
        """Begins streams at a node whose engines break them, and returns the
        attempts."""
        self.inject_fault("lm", "decode", "half")
        attempts = [self.send_stream(node) for _ in range(count)]
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

    def resume_unnamed(self, attempt, node):
        """Resumes a broken stream with the same content, without naming it."""
        received = attempt.response_body.count(b"\n\n")
        return self.send_stream(node, "", received, attempt.body)

    def wait_for_record(self, versions):
        """Waits until the store lists these versions of the engines."""

        def is_recorded():
            rows = self.cluster.store.tables.get("service_versions", {})
            return "lm" in rows and json.loads(rows["lm"][1])["listed"] == versions

        wait_until(is_recorded, 5, f"{versions} are recorded")

    def restart_all_nodes(self):
        for node in self.cluster.nodes:
            node.process.kill()
        for node in self.cluster.nodes:
            node.process.start()
        for node in self.cluster.nodes:
            self.cluster.wait_ready(node)

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


class SoftwareVersionsTest(VersionsClusterTest):
    """Two versions serve."""

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

    # Guards against a stream of which only the content is known.
    def test_stream_is_resumed_by_content(self):
        time.sleep(WITNESS_SECONDS)
        attempts = self.begin_broken_streams(STREAMS)
        self.cluster.nodes[0].process.kill()
        for number, attempt in enumerate(attempts):
            self.check_resumed(attempt, self.resume_unnamed(attempt, 1 + number % 2))

    # Guards against a stream that goes on at another version after the loss of all
    # nodes, while two versions serve.
    def test_streams_of_two_versions_are_not_mixed_after_loss_of_all_nodes(self):
        self.wait_for_record(["v1", "v2"])
        attempts = self.begin_broken_streams(STREAMS)
        self.cluster.store.clock_ahead_ms += LONG_MS
        self.restart_all_nodes()
        for number, attempt in enumerate(attempts):
            resumed = self.resume_unnamed(attempt, number % 3)
            began = self.runs_of(attempt)[0].version
            if resumed.status == 200:
                self.assertEqual(self.versions_of(resumed), {began})
            else:
                self.assertEqual(resumed.status, 503)
                self.assertTrue(resumed.says_not_run)
                self.assertEqual(self.runs_of(resumed), [])


    # Guards against streams that nobody can resume after the loss of all nodes, while
    # two versions serve.
    def test_streams_of_two_versions_go_on_after_loss_of_all_nodes(self):
        self.wait_for_record(["v1", "v2"])
        attempts = self.begin_broken_streams(STREAMS)
        time.sleep(ROW_SECONDS)
        self.restart_all_nodes()
        for number, attempt in enumerate(attempts):
            self.check_resumed(attempt, self.resume(attempt, number % 3))

    # Guards against the same for streams that begin after a restart, at each node:
    # those that follow others get no list to read after their start.
    def test_streams_that_begin_after_a_restart_go_on_after_loss_of_all_nodes(self):
        self.wait_for_record(["v1", "v2"])
        self.restart_all_nodes()
        attempts = []
        for node in range(self.NODES):
            attempts += self.begin_broken_streams(STREAMS // 2, node)
        time.sleep(ROW_SECONDS)
        self.restart_all_nodes()
        for number, attempt in enumerate(attempts):
            self.check_resumed(attempt, self.resume(attempt, number % 3))


class SingleVersionTest(VersionsClusterTest):
    """One version serves."""

    ENGINES = {"prefills": 2, "decodes": 4, "versions": ("v1",)}

    # Guards against streams that nobody can resume after the loss of all nodes.
    def test_streams_go_on_after_loss_of_all_nodes(self):
        self.wait_for_record(["v1"])
        attempts = self.begin_broken_streams(STREAMS)
        self.cluster.store.clock_ahead_ms += LONG_MS
        self.restart_all_nodes()
        for number, attempt in enumerate(attempts):
            self.check_resumed(attempt, self.resume_unnamed(attempt, number % 3))

    # Guards against a release whose engines serve no streams that can be resumed,
    # or other requests that wait for the record.
    def test_released_version_serves_streams_within_a_second_of_its_entry(self):
        self.wait_for_record(["v1"])
        for upstream in self.upstreams("lm", "decode"):
            self.cluster.loop.run(upstream.crash())
            upstream.version = "v2"
            self.cluster.loop.run(upstream.start())
        listed_at = time.monotonic()
        waits = {node: None for node in range(self.NODES)}
        while None in waits.values() and time.monotonic() < listed_at + 10:
            for node in [it for it in waits if waits[it] is None]:
                attempt = self.send_stream(node)
                if attempt.status == 200 and self.versions_of(attempt) == {"v2"}:
                    waits[node] = attempt.ended_at - listed_at
                self.assertEqual(self.send("post", node).status, 200)
        print("seconds until a whole stream of the new version, by node:", waits)
        for node, wait in waits.items():
            self.assertIsNotNone(wait, node)
            self.assertLess(wait, RELEASE_SECONDS, node)


if __name__ == "__main__":
    unittest.main()
