"""Runs peridothoist-node processes against upstreams and a store whose responses have
a broken head. No caller may get any part of such a response (MIXED)."""

import time
import unittest

from harness.caller import call
from harness.process import wait_until
from test_nodes import NodeClusterTest
from users_platform.nodes import METRICS
from users_platform.upstreams import LARGE_BYTES
from users_platform.wire import BROKEN_HEADS

KINDS = (("post", "ledger", None), ("look", "ledger", None), ("stream", "lm", "decode"))
BUDGET_SECONDS = 1.5  # From the start of a node until it may retry.
STORE_SECONDS = 1.5  # Time during which the store's responses are broken.
UPLOADS = 5  # Of each kind.


class BrokenResponsesTest(NodeClusterTest):
    def runs(self, attempt):
        """Returns the runs of a request."""
        return [
            it
            for it in self.cluster.shared_state.received_requests
            if it.request_id == attempt.request_id and it.ran
        ]

    def send_until_run(self, kind, service, stage, fault):
        """Sends requests while all upstreams have a fault, until one of them has run
        one. Returns the attempt and the number of its runs."""

        def send():
            self.inject_fault(service, stage, fault)
            attempt = self.send(kind)
            runs = self.runs(attempt)
            return (attempt, len(runs)) if runs else None

        return wait_until(send, 10, f"an upstream runs a {kind} request")

    def check_whole(self, attempt):
        self.assertEqual(attempt.status, 200, self.explain(attempt.request_id))
        self.assertEqual(attempt.response_body, attempt.expected)

    def check_repeated(self, kind, service, stage, fault):
        """Checks that another upstream completes what one with a fault has begun."""
        time.sleep(BUDGET_SECONDS)
        faulty = self.upstreams(service, stage)[0]

        def send():
            faulty.fault = fault
            attempt = self.send(kind)
            runs = self.runs(attempt)
            is_first = runs and runs[0].upstream == faulty.id
            return (attempt, len(runs)) if is_first else None

        attempt, runs = wait_until(send, 10, "the upstream is chosen")
        self.check_whole(attempt)
        self.assertEqual(runs, 2)

    def check_served(self):
        """Waits until requests of all kinds are served again."""
        for kind, service, stage in KINDS:
            self.inject_fault(service, stage, None)
            attempt = wait_until(
                lambda kind=kind: next(
                    (it for it in [self.send(kind)] if it.status == 200), None
                ), 10, f"{kind} requests are served",
            )
            self.check_whole(attempt)

    # Guards against broken responses that reach callers as complete ones, against
    # repeats of what must not run twice, and against an untrue "not run".
    def test_broken_heads_never_reach_callers(self):
        for fault in BROKEN_HEADS:
            for kind, service, stage in KINDS:
                with self.subTest(fault=fault, kind=kind):
                    attempt, runs = self.send_until_run(kind, service, stage, fault)
                    self.assertEqual(attempt.status, 502)
                    self.assertFalse(attempt.says_not_run)
                    self.assertNotIn("response-seal", attempt.headers)
                    if kind == "post":
                        self.assertEqual(runs, 1)
            self.check_served()

    # Guards against an idempotent request that fails although another upstream would
    # serve it.
    def test_idempotent_request_is_repeated_elsewhere(self):
        for kind, service, stage in KINDS[1:]:
            self.check_repeated(kind, service, stage, "broken_line")

    # Guards against broken responses that an operator can't tell from resets.
    def test_logs_and_metrics_show_what_is_broken(self):
        attempt, _ = self.send_until_run("post", "ledger", None, "broken_control_elsewhere")
        self.wait_for_explanation(
            attempt.request_id, "the head has control characters", "X\\\\x1bNote: odd"
        )
        node = self.cluster.nodes[0]
        metrics = call(node.address(METRICS), "GET", "/metrics").body.decode()
        self.assertRegex(metrics, 'malformed_responses_total{reason="the head has control')

    # Guards against a stream that goes on after a malformed chunk.
    def test_stream_goes_on_elsewhere_after_a_broken_chunk(self):
        self.check_repeated("stream", "lm", "decode", "broken_chunk")

    # Guards against a broken response that is passed on since the caller already has
    # a part of the stream.
    def test_broken_response_to_a_resumed_stream(self):
        time.sleep(BUDGET_SECONDS)
        first, second = self.upstreams("lm", "decode")
        first.fault = "half"
        second.fault = "broken_blank"
        attempt = self.send("stream")
        self.assertEqual({it.upstream for it in self.runs(attempt)}, {first.id, second.id})
        self.assertFalse(attempt.is_complete)
        self.assertTrue(attempt.expected.startswith(attempt.response_body))

    # Guards against a part of a response that a caller gets as a complete one, since
    # the end of its connection was noticed by the writer of the request.
    def test_early_response_to_a_long_upload(self):
        self.inject_fault("ledger", None, "early")
        for kind in ("post", "look") * UPLOADS:
            attempt = self.send(kind, body=b"u" * LARGE_BYTES)
            self.assertEqual(attempt.status, 502)
            self.assertFalse(attempt.says_not_run)
            if kind == "post":
                self.assertLessEqual(len(self.runs(attempt)), 1)

    # Guards against a handle of a broken response that is used: the decode engine
    # does the prefill itself, or another engine does.
    def test_broken_responses_to_prefills(self):
        time.sleep(BUDGET_SECONDS)
        self.inject_fault("lm", "prefill", "broken_blank")
        for node in range(self.NODES):
            self.check_whole(self.send("stream", node))
        sources = [
            it.headers.get("kv-source")
            for it in self.cluster.shared_state.received_requests if it.ran
        ]
        self.assertEqual(set(sources), {None})

    # Guards against rows of a broken response that are taken for the store's.
    def test_broken_responses_of_the_store(self):
        for fault in BROKEN_HEADS:
            self.cluster.store.fault = fault
            time.sleep(STORE_SECONDS / len(BROKEN_HEADS))
        for kind, _, _ in KINDS:
            self.check_whole(self.send(kind))
        self.cluster.store.fault = None
        wait_until(
            lambda: "event=store_regained" in self.cluster.logs(), 10,
            "the nodes read the store again",
        )
        self.check_served()


if __name__ == "__main__":
    unittest.main()
