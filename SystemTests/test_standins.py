"""Tests of the harness and the stand-ins themselves, without any process of the
product."""

import unittest

from cluster import Cluster
from harness.caller import call, expected_text, call_json
from harness.process import wait_until
from harness.tcp_proxy import TcpProxy


class StandInsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.cluster = Cluster(vms=1, engine_flags=["--crash_on=BOOM"])
        cls.addClassCleanup(cls.cluster.stop)
        cls.cluster.start_stand_ins()
        cls.decode = cls.cluster.decode_addresses[0]
        cls.prefill = cls.cluster.prefill_addresses[0]

    def prepare_decode(self, request, prompt):
        """Reserves memory, prefills and imports, so that the request can be
        decoded."""
        body = {"request": request, "pieces": 1, "priority": 0}
        call_json(self.decode, "POST", "/v1/reservations", body)
        body = {"request": request, "model": "m1", "prompt": prompt, "priority": 0}
        kv = call_json(self.prefill, "POST", "/v1/prefill", body)["kv"]
        body = {"request": request, "source": self.prefill, "kv": kv}
        call_json(self.decode, "POST", "/v1/import", body)

    def decode_text(self, request, tokens, start=0):
        """Decodes a request from token number start. Returns the text and whether
        the stream was complete."""
        body = {"request": request, "max_tokens": tokens, "resume_from": start}
        response = call(self.decode, "POST", "/v1/decode", body)
        lines = response.body.decode().splitlines()
        texts = [it.split('"text":"')[1][:-2] for it in lines if '"text"' in it]
        return "".join(texts), any('"done":true' in it for it in lines)

    def test_decode_returns_expected_text(self):
        self.prepare_decode("i1/1/1", "a prompt")
        text, done = self.decode_text("i1/1/1", 5)
        self.assertEqual(text, expected_text("a prompt", 5))
        self.assertTrue(done)
        self.assertEqual(self.cluster.held_request_count(), 0)

    def test_broken_stream_resumes_after_last_token(self):
        self.prepare_decode("i1/2/1", "a prompt")
        self.cluster.set_engine_faults(self.decode, drop_stream_after=3)
        first, done = self.decode_text("i1/2/1", 8)
        self.assertFalse(done)
        second, done = self.decode_text("i1/2/1", 8, start=3)
        self.assertTrue(done)
        self.assertEqual(first + second, expected_text("a prompt", 8))

    def test_crashed_engine_responds_again_after_revival(self):
        body = {"request": "i1/3/1", "prompt": "BOOM", "priority": 0}
        self.assertTrue(call(self.prefill, "POST", "/v1/prefill", body).error)
        self.assertTrue(call(self.prefill, "GET", "/v1/load").error)
        self.cluster.set_engine_faults(self.prefill, alive=True)
        self.assertEqual(call(self.prefill, "GET", "/v1/load").status, 200)

    def test_write_with_lost_response_takes_effect(self):
        self.cluster.set_platform_faults(lose_next_answers=1)
        address = self.cluster.platform_address
        body = {"conditions": [], "writes": [{"key": "lost", "value": "1"}]}
        self.assertTrue(call(address, "POST", "/tables/txn", body).error)
        rows = call_json(address, "GET", "/tables/rows?from=lost&to=losu")["rows"]
        self.assertEqual(len(rows), 1)

    def test_plain_service_counts_runs(self):
        address = self.cluster.plain_addresses[0]
        self.cluster.set_plain_faults(close_next=1)
        headers = {"Idempotency-Key": "w1/k"}
        self.assertTrue(call(address, "POST", "/certificates", "x", headers).error)
        self.assertEqual(self.cluster.plain_run_counts()["w1/k /certificates"], 1)

    def test_proxy_blocks_after_cut_and_forwards_after_heal(self):
        proxy = TcpProxy(
            self.cluster.proxy_loop,
            self.cluster.vms[0].listen,
            self.cluster.platform_address,
        )
        proxy.start()
        self.addCleanup(proxy.stop)
        self.assertEqual(call(proxy.listen, "GET", "/stats").status, 200)
        proxy.cut()
        self.assertTrue(call(proxy.listen, "GET", "/stats", timeout=0.2).error)
        proxy.heal()
        wait_until(
            lambda: call(proxy.listen, "GET", "/stats", timeout=1).status == 200,
            5,
            "200 through the proxy after heal",
        )


if __name__ == "__main__":
    unittest.main()
