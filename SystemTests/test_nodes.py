"""Several node processes on the users' platform's stand-ins: requests are
served, survive the loss of VMs, and failures can be explained from logs."""

import asyncio
import os
import subprocess
import time
import unittest

from harness.caller import call
from harness.process import wait_until
from users_platform.callers import Caller
from users_platform.nodes import BUILD, DIRECTORY, METRICS, NodeCluster


class NodesCase(unittest.TestCase):
    """A cluster and a caller for each test."""

    ENGINES = {"prefills": 1, "decodes": 2}

    def setUp(self):
        self.cluster = NodeCluster(nodes=3, ledgers=2, **self.ENGINES)
        self.addCleanup(self.cluster.stop)
        self.cluster.start()
        self.caller = Caller("c")
        self.addCleanup(lambda: self.cluster.loop.run(self.caller.close()))
        wait_until(lambda: self.addresses() == 3, 10, "all know each other")

    def addresses(self):
        """How many nodes the directory of the first names."""
        node = self.cluster.nodes[0]
        answer = call(node.address(DIRECTORY), "GET", "/-/resolve?name=site")
        return len(answer.json.get("addresses", []))

    def send(self, kind, node=0, key="k1", patience=4.0):
        node = self.cluster.nodes[node]
        return self.cluster.loop.run(
            self.caller.send(node.name, node.address(), kind, key, patience)
        )

    def upstreams(self, service, stage=None):
        return [
            it
            for it in self.cluster.upstreams
            if it.service == service and it.stage == stage
        ]

    def trouble(self, service, stage, kind):
        for upstream in self.upstreams(service, stage):
            upstream.trouble = kind

    def explain(self, request_id):
        """What peridothoistctl makes of the logs of all nodes."""
        return subprocess.run(
            [os.path.join(BUILD, "peridothoistctl"), "explain", request_id],
            input=self.cluster.logs(), capture_output=True, text=True, timeout=20,
        ).stdout

    def chain(self, request_id, *texts):
        """Waits until the explanation has these texts in this order."""

        def found():
            story = self.explain(request_id)
            at = -1
            for text in texts:
                at = story.find(text, at + 1)
                if at < 0:
                    return None
            return story

        return wait_until(found, 5, f"{texts} in the story of {request_id}")


class NodesTest(NodesCase):
    def test_every_node_serves_every_kind(self):
        for node in range(3):
            for kind in ("post", "look", "stream"):
                one = self.send(kind, node)
                self.assertEqual(one.status, 200, (node, kind))
                self.assertEqual(one.answer, one.expected)
                self.assertEqual(one.headers["request-id"], one.request_id)

    def test_a_lost_vm_leaves_the_directory_and_comes_back(self):
        self.cluster.nodes[2].process.kill()
        wait_until(lambda: self.addresses() == 2, 10, "the lost one is left out")
        self.assertEqual(self.send("post").status, 200)
        self.cluster.nodes[2].process.start()
        wait_until(lambda: self.addresses() == 3, 10, "it is back")
        self.assertEqual(self.send("post", node=2).status, 200)

    def test_leaving_answers_what_came_and_ends_in_time(self):
        leaving = self.cluster.nodes[1]
        self.trouble("ledger", None, "slow")
        node = leaving.address()
        open_one = asyncio.run_coroutine_threadsafe(
            self.caller.send(leaving.name, node, "post", "k1", 4.0),
            self.cluster.loop.loop,
        )
        time.sleep(0.1)
        leaving.process.terminate()
        self.assertEqual(open_one.result(5).status, 200)
        self.assertEqual(leaving.process.wait(8), 0)

    def test_metrics_tell_calls_budgets_and_losses(self):
        self.send("stream")
        self.trouble("ledger", None, "errors")
        self.send("look")
        node = self.cluster.nodes[0]
        page = call(node.address(METRICS), "GET", "/metrics").body.decode()
        for series in (
            'peridothoist_call_seconds_count{call="prefill",good="yes"}',
            'peridothoist_store_calls_total{call="read",result="none"}',
            'peridothoist_upstreams{state="ready"}',
            'peridothoist_repeats_left{service="lm"}',
            'peridothoist_log_lines_lost_total{kind="routine"}',
            'peridothoist_longest_gap_seconds_bucket{kind="stream"',
        ):
            self.assertTrue(series in page, series)

    # Explaining a failure: docs/OPERATIONS.md shows these chains.

    def test_a_refusal_is_explained(self):
        """Refused though an engine is there: it gives no room."""
        self.trouble("lm", "prefill", "shed")
        self.trouble("lm", "decode", "shed")
        one = self.send("stream")
        self.assertEqual(one.status, 503)
        self.chain(
            one.request_id, "event=configuration_in_force", "event=call_ended",
            "not_run=true", "event=request_refused", "run=not-run", "upstreams=",
            "list_age_ms=", f"event=request_done id={one.request_id}",
            "status=503",
        )

    def test_an_unknown_outcome_is_explained(self):
        self.trouble("ledger", None, "lost")
        one = self.send("post")
        self.assertEqual(one.status, 502)
        self.chain(
            one.request_id, "event=call_ended", "end=broken", "sent=true",
            "not_run=false", "event=request_refused", "run=may-have-run",
            f"event=request_done id={one.request_id}", "status=502",
        )
        runs = [it for it in self.cluster.world.seen if it.ran]
        self.assertEqual(len(runs), 1)

    def test_a_cut_stream_is_explained(self):
        self.trouble("lm", "decode", "half")
        one = self.send("stream")
        self.assertFalse(one.whole)
        self.assertTrue(one.expected.startswith(one.answer))
        self.chain(
            one.request_id, "event=call_ended", "call=stream", "end=broken",
            f"event=request_done id={one.request_id}", "outcome=upstream_failed",
        )


class OrdersTest(NodesCase):
    ENGINES = {"prefills": 4, "decodes": 2}

    def test_idle_prefill_engines_are_ordered_to_decode_once(self):
        """Of six engines with four on prompts, two are kept there."""
        def readers():
            return len(self.upstreams("lm", "prefill"))

        wait_until(lambda: readers() == 2, 15, "two engines are ordered")
        one = self.send("stream")
        self.assertEqual((one.status, one.answer), (200, one.expected))
        time.sleep(3)  # Longer than the looks at the engines.
        orders = self.cluster.world.orders
        self.assertEqual(len(orders), 2)
        self.assertEqual(len({it.upstream for it in orders}), 2)
        self.assertEqual(len({it.holder for it in orders}), 1)
        self.assertEqual(readers(), 2)


if __name__ == "__main__":
    unittest.main()
