"""Runs several peridothoist-node processes against stand-ins for the users'
platform. Guards against failures after the loss of a VM and against failed requests
whose cause the logs do not show."""

import asyncio
import os
import subprocess
import time
import unittest

from harness.caller import call
from harness.process import wait_until
from users_platform.callers import Caller
from users_platform.nodes import BUILD, DIRECTORY, METRICS, NodeCluster


class NodeClusterTest(unittest.TestCase):
    """Base of tests that start a cluster and a caller each."""

    NODES = 3
    LEDGERS = 2
    ENGINES = {"prefills": 1, "decodes": 2}
    EXTRA = {}  # Further arguments of NodeCluster.

    def setUp(self):
        self.cluster = NodeCluster(
            nodes=self.NODES, ledgers=self.LEDGERS, **self.ENGINES, **self.EXTRA
        )
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.caller = Caller("c")
        self.addCleanup(lambda: self.cluster.loop.run(self.caller.close()))
        wait_until(
            lambda: self.listed_node_count() == self.NODES, 10,
            "the directory lists all nodes"
        )

    def listed_node_count(self):
        """Returns how many nodes the directory of the first node lists."""
        node = self.cluster.nodes[0]
        response = call(node.address(DIRECTORY), "GET", "/-/resolve?name=site")
        return len(response.json.get("addresses", []))

    def send(self, kind, node=0, key="k1", caller_timeout=4.0, body=None):
        node = self.cluster.nodes[node]
        return self.cluster.loop.run(
            self.caller.send(
                node.name, node.address(), kind, key, caller_timeout, body=body
            )
        )

    def upstreams(self, service, stage=None):
        return [
            it
            for it in self.cluster.upstreams
            if it.service == service and it.stage == stage
        ]

    def inject_fault(self, service, stage, kind):
        """Sets a fault on all upstreams of a service and stage."""
        for upstream in self.upstreams(service, stage):
            upstream.fault = kind

    def explain(self, request_id):
        """Returns what "peridothoistctl explain" prints for the logs of all nodes."""
        return subprocess.run(
            [os.path.join(BUILD, "peridothoistctl"), "explain", request_id],
            input=self.cluster.logs(), capture_output=True, text=True, timeout=20,
        ).stdout

    def wait_for_explanation(self, request_id, *texts):
        """Waits until the explanation contains these texts in this order."""

        def find_texts():
            explanation = self.explain(request_id)
            position = -1
            for text in texts:
                position = explanation.find(text, position + 1)
                if position < 0:
                    return None
            return explanation

        return wait_until(
            find_texts, 5, f"{texts} in this order in the explanation of {request_id}"
        )


class NodesTest(NodeClusterTest):
    def test_every_node_serves_every_route_kind(self):
        for node in range(3):
            for kind in ("post", "look", "stream"):
                attempt = self.send(kind, node)
                self.assertEqual(attempt.status, 200, (node, kind))
                self.assertEqual(attempt.response_body, attempt.expected)
                self.assertEqual(attempt.headers["request-id"], attempt.request_id)

    def test_killed_vm_is_absent_from_directory_until_restarted(self):
        self.cluster.nodes[2].process.kill()
        wait_until(
            lambda: self.listed_node_count() == 2, 10,
            "the directory omits the killed node"
        )
        self.assertEqual(self.send("post").status, 200)
        self.cluster.nodes[2].process.start()
        wait_until(
            lambda: self.listed_node_count() == self.NODES, 10,
            "the directory lists the restarted node"
        )
        self.assertEqual(self.send("post", node=2).status, 200)

    def test_terminated_node_finishes_open_request_and_exits_in_time(self):
        leaving = self.cluster.nodes[1]
        self.inject_fault("ledger", None, "slow")
        address = leaving.address()
        open_request = asyncio.run_coroutine_threadsafe(
            self.caller.send(leaving.name, address, "post", "k1", 4.0),
            self.cluster.loop.loop,
        )
        time.sleep(0.1)
        leaving.process.terminate()
        self.assertEqual(open_request.result(5).status, 200)
        self.assertEqual(leaving.process.wait(8), 0)

    def test_metrics_report_calls_retry_budgets_and_lost_log_lines(self):
        self.send("stream")
        self.inject_fault("ledger", None, "errors")
        self.send("look")
        node = self.cluster.nodes[0]
        metrics = call(node.address(METRICS), "GET", "/metrics").body.decode()
        for series in (
            'peridothoist_call_seconds_count{call="prefill",good="yes"}',
            'peridothoist_store_calls_total{call="read",result="none"}',
            'peridothoist_upstreams{state="ready"}',
            'peridothoist_repeats_left{service="lm"}',
            'peridothoist_log_lines_lost_total{kind="routine"}',
            'peridothoist_longest_gap_seconds_bucket{kind="stream"',
        ):
            self.assertTrue(series in metrics, series)

    # Explanations of failures, as docs/OPERATIONS.md shows them.

    def test_explain_shows_cause_of_refusal(self):
        """The engines are reachable but refuse for lack of capacity."""
        self.inject_fault("lm", "prefill", "shed")
        self.inject_fault("lm", "decode", "shed")
        attempt = self.send("stream")
        self.assertEqual(attempt.status, 503)
        self.wait_for_explanation(
            attempt.request_id, "event=configuration_in_force", "event=call_ended",
            "not_run=true", "event=request_refused", "run=not-run", "upstreams=",
            "list_age_ms=", f"event=request_done id={attempt.request_id}",
            "status=503",
        )

    def test_explain_shows_cause_of_unknown_outcome(self):
        self.inject_fault("ledger", None, "lost")
        attempt = self.send("post")
        self.assertEqual(attempt.status, 502)
        self.wait_for_explanation(
            attempt.request_id, "event=call_ended", "end=broken", "sent=true",
            "not_run=false", "event=request_refused", "run=may-have-run",
            f"event=request_done id={attempt.request_id}", "status=502",
        )
        runs = [it for it in self.cluster.shared_state.received_requests if it.ran]
        self.assertEqual(len(runs), 1)

    def test_explain_shows_cause_of_broken_stream(self):
        self.inject_fault("lm", "decode", "half")
        attempt = self.send("stream")
        self.assertFalse(attempt.is_complete)
        self.assertTrue(attempt.expected.startswith(attempt.response_body))
        self.wait_for_explanation(
            attempt.request_id, "event=call_ended", "call=stream", "end=broken",
            f"event=request_done id={attempt.request_id}", "outcome=upstream_failed",
        )


class StageOrdersTest(NodeClusterTest):
    ENGINES = {"prefills": 4, "decodes": 2}

    def test_idle_prefill_engines_are_ordered_to_decode_once(self):
        """Of six engines, four of them for prefill, two remain prefill engines."""

        def prefill_engine_count():
            return len(self.upstreams("lm", "prefill"))

        wait_until(
            lambda: prefill_engine_count() == 2, 15,
            "two engines have changed to decode"
        )
        attempt = self.send("stream")
        self.assertEqual((attempt.status, attempt.response_body), (200, attempt.expected))
        time.sleep(3)  # Longer than the interval between stage decisions.
        orders = self.cluster.shared_state.orders
        self.assertEqual(len(orders), 2)
        self.assertEqual(len({it.upstream for it in orders}), 2)
        self.assertEqual(len({it.holder for it in orders}), 1)
        self.assertEqual(prefill_engine_count(), 2)


if __name__ == "__main__":
    unittest.main()
