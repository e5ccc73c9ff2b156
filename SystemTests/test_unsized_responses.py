"""Runs peridothoist-node processes against upstreams whose responses have neither a
length nor chunks and end with their connection."""

import time
import unittest

from test_nodes import NodeClusterTest

BUDGET_SECONDS = 1.5  # From the start of a node until it may retry.


class UnsizedResponsesTest(NodeClusterTest):
    def setUp(self):
        super().setUp()
        time.sleep(BUDGET_SECONDS)

    def send_to_faulty(self, kind, service, stage, fault):
        """Sends a request while one upstream has a fault, until that one has run
        it. Returns the attempt and the number of its runs."""
        faulty, *others = self.upstreams(service, stage)
        for _ in range(20):
            faulty.fault = fault
            attempt = self.send(kind)
            runs = [
                it
                for it in self.cluster.shared_state.received_requests
                if it.request_id == attempt.request_id and it.ran
            ]
            if runs and runs[0].upstream == faulty.id:
                return attempt, len(runs)
        self.fail("the upstream was not chosen")

    def check_whole(self, attempt):
        self.assertEqual(attempt.status, 200, self.explain(attempt.request_id))
        self.assertTrue(attempt.is_complete)
        self.assertEqual(attempt.response_body, attempt.expected)

    # Guards against complete responses that are taken for broken ones.
    def test_complete_responses_are_passed_on(self):
        for kind, service, stage in (("look", "ledger", None), ("stream", "lm", "decode")):
            attempt, runs = self.send_to_faulty(kind, service, stage, "unsized")
            self.check_whole(attempt)
            self.assertEqual(runs, 1)

    def check_broken_off(self, kind, service, stage, fault):
        """Checks that another upstream completes what a faulty one broke off."""
        attempt, runs = self.send_to_faulty(kind, service, stage, fault)
        self.check_whole(attempt)
        self.assertEqual(runs, 2)

    # Guards against a stream that ends inside an event and is taken for complete, or
    # given up: it goes on at another engine.
    def test_stream_that_ends_inside_an_event_is_broken_off(self):
        self.check_broken_off("stream", "lm", "decode", "unsized_half")

    # Guards against the same when its connection is reset.
    def test_stream_that_is_reset_is_broken_off(self):
        self.check_broken_off("stream", "lm", "decode", "unsized_reset")

    # Guards against a response whose connection is reset and that is taken for
    # complete.
    def test_plain_response_that_is_reset_is_not_complete(self):
        self.check_broken_off("look", "ledger", None, "unsized_reset")


if __name__ == "__main__":
    unittest.main()
