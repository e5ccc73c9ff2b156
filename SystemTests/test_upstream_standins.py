"""Tests of the stand-ins for the users' upstreams and of the invariant that the soak
checks on their records, without any process of the product."""

import json
import os
import time
import unittest

from harness.caller import call
from harness.process import wait_until
from harness.tcp_proxy import ProxyLoop
from soak.invariants import InvariantChecker, Record
from users_platform.callers import RequestAttempt
from users_platform.store import Store
from users_platform.upstreams import (
    BROKEN, CLOSED, PAUSE_SECONDS, WHOLE, Arrival, ReceivedRequest, SharedState, Upstream,
)

NETWORK = f"127.{90 + os.getpid() // 250 % 20}.{1 + os.getpid() % 250}"
SLOTS = 2


class UpstreamTest(unittest.TestCase):
    def setUp(self):
        loop = ProxyLoop()
        self.addCleanup(loop.stop)
        self.shared_state = SharedState(Store(f"{NETWORK}.2:8226"))
        self.upstream = Upstream(
            self.shared_state, "lm", "zone-a", f"{NETWORK}.3:9000", slots=SLOTS
        )
        loop.run(self.upstream.start())
        self.addCleanup(lambda: loop.run(self.upstream.crash()))

    def send(self, method, path, body="", headers=None, timeout=4):
        return call(
            self.upstream.address, method, path, body, headers or {}, timeout=timeout
        )

    def reserve(self, lifetime_ms=5000):
        """Returns the status, and the id of the reservation if there is one."""
        body = json.dumps({"tokens": 10, "ttlMs": lifetime_ms})
        response = self.send("POST", "/-/hold-take", body)
        name = json.loads(response.body)["hold"] if response.status == 200 else None
        return response.status, name

    def stream(self, request_id, events=6, headers=None, timeout=4):
        headers = {
            "Request-Id": request_id, "Token-Count": f"10,{events}", **(headers or {})
        }
        return self.send("POST", "/stream/x", "", headers, timeout)

    def last_run(self):
        return [it for it in self.shared_state.received_requests if it.ran][-1]

    def wait_for_end(self):
        """Returns how the last run ended. The stand-in records that just after the
        caller can read the response."""
        return wait_until(lambda: self.last_run().end, 1, "the run has ended")

    # Guards against an engine that takes an order to the one that had its address
    # before.
    def test_order_to_another_instance_is_not_taken(self):
        self.upstream.stage = "prefill"
        order = {"op": "stage", "stage": "decode", "holder": "vm", "fence": 1}
        body = json.dumps(order)
        other = self.send("POST", "/-/order", body, {"Expect-Instance": "i-other"})
        self.assertEqual(other.status, 421)
        self.assertEqual(self.shared_state.orders, [])
        own = self.send("POST", "/-/order", body, {"Expect-Instance": self.upstream.id})
        self.assertEqual(own.status, 202)
        self.assertEqual(len(self.shared_state.orders), 1)

    # Guards against tests that pass because a full engine accepts reservations.
    def test_reservations_take_slots_until_used_dropped_or_expired(self):
        names = [self.reserve()[1] for _ in range(SLOTS)]
        self.assertEqual(len(set(names)), SLOTS)
        self.assertEqual(self.reserve()[0], 503)
        self.send("DELETE", f"/-/hold-drop/{names[0]}")
        status, name = self.reserve(lifetime_ms=200)
        self.assertEqual(status, 200)
        self.assertEqual(self.reserve()[0], 503)
        time.sleep(0.3)
        self.assertEqual(self.reserve()[0], 200)
        self.assertEqual(self.reserve()[0], 503)
        used = self.stream("r1", headers={"Kv-Hold": names[1]})
        self.assertEqual(used.status, 200)
        self.assertEqual(self.wait_for_end(), WHOLE)
        wait_until(lambda: not self.upstream.open_runs, 1, "the slot is free")
        self.assertEqual(self.reserve()[0], 200)

    # Guards against tests in which an engine sheds requests, yet reserves.
    def test_shedding_upstream_refuses_reservations(self):
        self.upstream.fault = "shed"
        self.assertEqual(self.reserve()[0], 503)

    # Guards against tests whose faults do not happen, and against wrong records.
    def test_paused_stream_is_whole_and_late(self):
        self.upstream.fault = "pause"
        started = time.monotonic()
        self.assertEqual(self.stream("r1").body.count(b"\n\n"), 6)
        duration = time.monotonic() - started
        self.assertGreater(duration, PAUSE_SECONDS)
        self.assertLess(duration, 2 * PAUSE_SECONDS)
        self.assertEqual(self.wait_for_end(), WHOLE)

    def test_record_states_how_runs_ended(self):
        self.upstream.fault = "half"
        self.stream("r1")
        self.assertEqual(self.wait_for_end(), BROKEN)
        self.upstream.fault = "pause"
        self.stream("r2", timeout=0.5)
        self.assertEqual(self.wait_for_end(), CLOSED)
        self.assertFalse(self.last_run().is_at_fault)
        self.upstream.fault = "stall"
        self.stream("r3", timeout=0.5)
        self.assertTrue(self.last_run().is_at_fault)


class CutInvariantTest(unittest.TestCase):
    """Each test changes one thing about a stream that was cut."""

    def setUp(self):
        self.record = Record(SharedState(None), {})
        self.record.workspaces = {"k": "w"}
        self.attempt = RequestAttempt(
            "r", "stream", "vm-0", "k", b"", 6, caller_timeout=5.0, sent_at=100.0,
            ended_at=101.0, status=200, headers={"request-id": "r"},
        )
        self.add_run("i-1", 100.0, CLOSED, 101.0)
        self.record.attempts["r"] = self.attempt
        self.record.ended.append(self.attempt)

    def add_run(self, upstream, received_at, end, ended_at):
        self.record.shared_state.received_requests.append(
            ReceivedRequest(
                received_at, "r", upstream, "lm", {"tenant-id": "w"}, ran=True,
                end=end, ended_at=ended_at,
            )
        )

    def first_run(self):
        return self.record.shared_state.received_requests[0]

    def check(self, is_violation):
        checker = InvariantChecker(self.record)
        checker.check()
        kinds = [it.split(":")[0] for it in checker.violations]
        self.assertEqual(kinds, ["CUT"] if is_violation else [])

    def test_stream_closed_by_its_node_is_cut(self):
        self.check(True)

    def test_stream_sent_whole_by_its_upstream_is_cut(self):
        self.first_run().end = WHOLE
        self.check(True)

    def test_stream_whose_retry_was_closed_is_cut(self):
        self.first_run().end = BROKEN
        self.add_run("i-2", 101.1, CLOSED, 102.1)
        self.attempt.ended_at = 102.1
        self.check(True)

    def test_complete_stream_is_not_cut(self):
        self.attempt.is_complete = True
        self.attempt.response_body = self.attempt.expected
        self.check(False)

    def test_stream_broken_by_its_upstream_is_not_cut(self):
        self.first_run().end = BROKEN
        self.check(False)

    def test_stream_of_failing_upstream_is_not_cut(self):
        self.first_run().is_at_fault = True
        self.check(False)

    def test_stream_of_leaving_upstream_is_not_cut(self):
        self.record.left_at["i-1"] = 99.0
        self.check(False)

    def test_stream_that_still_runs_is_not_cut_yet(self):
        self.first_run().end = ""
        self.check(False)

    def test_stream_broken_after_another_run_was_closed_is_not_cut(self):
        self.add_run("i-2", 100.5, BROKEN, 100.9)
        self.check(False)

    def test_stream_of_disconnected_node_is_not_cut(self):
        self.record.mark_disconnected("vm-0", 100.5)
        self.check(False)

    def test_stream_at_its_deadline_is_not_cut(self):
        self.attempt.ended_at = self.first_run().ended_at = 104.0
        self.check(False)


class ZoneInvariantsTest(unittest.TestCase):
    """Guards against invariants of evacuations and cold upstreams that can't fail."""

    def setUp(self):
        self.record = Record(SharedState(None), {})
        self.record.node_of_host = {"h": "vm-0"}

    def add(self, received_at, zone="a", cold_rate=0.0):
        self.record.shared_state.arrivals.append(
            Arrival(received_at, "i-1", zone, "/-/report", "h", cold_rate)
        )

    def check(self, *violations):
        checker = InvariantChecker(self.record)
        checker.check()
        self.assertEqual([it.split(":")[0] for it in checker.violations], [*violations])

    def test_check_after_the_bound_is_reported(self):
        self.record.evacuations.append(["a", 100.0, 110.0])
        self.add(105.1)
        self.check("EVACUATED")

    def test_requests_before_the_bound_after_the_end_and_elsewhere_are_allowed(self):
        self.record.evacuations.append(["a", 100.0, 110.0])
        for received_at, zone in ((104.9, "a"), (110.1, "a"), (106.0, "b")):
            self.add(received_at, zone)
        self.check()

    def test_disconnected_node_is_not_reported(self):
        self.record.evacuations.append(["a", 100.0, None])
        self.record.mark_disconnected("vm-0", 101.0)
        self.add(105.1)
        self.check()

    def test_cold_upstream_that_is_overrun_is_reported(self):
        for n in range(12):  # 4 x 1.5 + 5 is 11.
            self.add(100.0 + n / 20, cold_rate=4.0)
        self.check("COLD")

    def test_as_many_as_it_bears_are_allowed(self):
        for n in range(22):
            self.add(100.0 + n / 11, cold_rate=4.0)
        self.check()

    def test_warm_upstream_takes_any_number(self):
        for n in range(50):
            self.add(100.0 + n / 100)
        self.check()


if __name__ == "__main__":
    unittest.main()
