"""Runs peridothoist-node processes against engines that fall silent in the middle of
a stream: for a while, as an engine in good order may, or for good."""

import asyncio
import time
import unittest
from unittest import mock

from harness.process import wait_until
from test_nodes import NodeClusterTest
from users_platform import upstreams

EVENTS = 80  # Takes more than a second without a fault.
BEGIN_SECONDS = 0.3  # Time for which a stream has run when the faults set in.
LONG_PAUSE_SECONDS = 1.9  # Longer than a node waits until it tries another engine.


class SilentUpstreamsTest(NodeClusterTest):
    def run_of(self, request_id):
        """Returns the first run of a stream, or None before it has started."""
        for it in self.cluster.shared_state.received_requests:
            if it.request_id == request_id and it.ran:
                return it
        return None

    def stream_with_faults(self, own_fault, other_fault):
        """Sends a stream and, when it has begun, injects a fault into the engine
        that runs it and one into the other engine. Returns the attempt and the
        runs of the stream."""
        node = self.cluster.nodes[0]
        sent = []
        pending = asyncio.run_coroutine_threadsafe(
            self.caller.send(
                node.name, node.address(), "stream", "k1", 4.0, events=EVENTS,
                before_send=sent.append,
            ),
            self.cluster.loop.loop,
        )
        first = wait_until(
            lambda: sent and self.run_of(sent[0].request_id), 2, "the stream runs"
        )
        time.sleep(BEGIN_SECONDS)
        self.assertNotEqual(sent[0].response_body, b"", "the stream has begun")
        self.assertEqual(first.end, "", "the stream has not ended")
        for upstream in self.upstreams("lm", "decode"):
            is_own = upstream.id == first.upstream
            upstream.fault = own_fault if is_own else other_fault
        attempt = pending.result(8)
        runs = [
            it for it in self.cluster.shared_state.received_requests
            if it.request_id == attempt.request_id and it.ran
        ]
        return attempt, runs

    def check_whole(self, attempt):
        events = attempt.response_body.count(b"\n\n")
        explanation = self.explain(attempt.request_id)
        self.assertEqual(attempt.status, 200, explanation)
        self.assertTrue(
            attempt.is_complete, f"{events} of {EVENTS} events\n{explanation}"
        )
        self.assertEqual(attempt.response_body, attempt.expected)

    # Guards against streams cut when their engine pauses and no other has capacity.
    def test_stream_survives_pause_while_the_other_engine_refuses(self):
        attempt, _ = self.stream_with_faults("pause", "shed")
        self.check_whole(attempt)

    # Guards against streams cut when no other engine takes them over in a pause
    # that is long enough for the node to try.
    def test_stream_survives_long_pause_while_the_other_engine_refuses(self):
        with mock.patch.object(upstreams, "PAUSE_SECONDS", LONG_PAUSE_SECONDS):
            attempt, runs = self.stream_with_faults("pause", "shed")
        self.check_whole(attempt)
        self.assertEqual(len(runs), 1)

    # Guards against streams that wait for an engine that is silent for good.
    def test_stream_of_stalled_engine_continues_at_the_other_engine(self):
        attempt, runs = self.stream_with_faults("stall", None)
        self.check_whole(attempt)
        self.assertEqual(len({it.upstream for it in runs}), 2)


if __name__ == "__main__":
    unittest.main()
