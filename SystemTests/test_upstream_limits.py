"""Runs peridothoist-node processes against upstreams that state how many requests a
second they take from all nodes together."""

import asyncio
import time
import unittest

from test_nodes import NodeClusterTest
from users_platform.load import Load

CONTACT_SECONDS = 3.0  # For which nodes in touch may not know of a limit.
WINDOW_SECONDS = 4.0
OVERRUN_FACTOR = 1.5
OVERRUN_REQUESTS = 5
BEFORE_SECONDS = 1.0  # Without a limit.
LIMITED_SECONDS = 12.0
INTERVAL_SECONDS = 0.03
LIMIT = 4.4
PROMPT_SECONDS = 0.5  # Within which a refusal counts as prompt.


class UpstreamLimitsTest(NodeClusterTest):
    NODES = 6
    LEDGERS = 3
    ENGINES = {"prefills": 3, "decodes": 3}

    def arrivals(self, upstream):
        return [
            it.received_at
            for it in self.cluster.shared_state.received_requests
            if it.upstream == upstream.id
        ]

    def check_limit(self, upstream, limit, until):
        """Checks each window from the time by which the limit must be known."""
        known_at = upstream.limited_since + CONTACT_SECONDS
        times = [it for it in self.arrivals(upstream) if known_at <= it < until]
        allowed = OVERRUN_FACTOR * limit * WINDOW_SECONDS + OVERRUN_REQUESTS
        for first in times:
            count = len([it for it in times if first <= it < first + WINDOW_SECONDS])
            self.assertLessEqual(count, allowed, f"{upstream.id} at {first - known_at}")

    async def run_limited(self, load, upstreams, limit, seconds=LIMITED_SECONDS):
        """Runs a load, in which upstreams state a limit after a while."""
        running = asyncio.ensure_future(
            load.send_at_intervals(INTERVAL_SECONDS, BEFORE_SECONDS + seconds)
        )
        await asyncio.sleep(BEFORE_SECONDS)
        for upstream in upstreams:
            upstream.set_limit(limit)
        await running

    def check_load(self, load, limited, limit):
        load.run(self.run_limited(load, limited, limit))
        for upstream in limited:
            self.check_limit(upstream, limit, time.monotonic())

    # Guards against an upstream that gets more requests than the limit that it
    # stated, from all nodes together (LIMIT).
    def test_limited_upstreams_get_no_more_than_they_stated(self):
        load = Load(self.cluster, "look")
        ledgers = self.upstreams("ledger")
        self.check_load(load, ledgers[:2], LIMIT)
        # The others take what these can't.
        since = ledgers[0].limited_since + CONTACT_SECONDS
        sent = load.sent_between(since, time.monotonic())
        served = [it for it in sent if it.status == 200]
        self.assertGreater(len(served), 0.95 * len(sent))

    # Guards against a limit of which each node uses a share that it does not need.
    def test_the_limit_follows_the_demand(self):
        load = Load(self.cluster, "look", nodes=self.cluster.nodes[:1])
        ledgers = self.upstreams("ledger")
        self.check_load(load, ledgers, LIMIT)
        since = ledgers[0].limited_since + CONTACT_SECONDS
        for upstream in ledgers:
            got = [it for it in self.arrivals(upstream) if it >= since]
            used = len(got) / (time.monotonic() - since)
            self.assertGreater(used, LIMIT / 2, upstream.id)

    # Guards against callers that wait for what can't be served, or come back before
    # it can be.
    def test_requests_beyond_all_limits_are_refused_at_once(self):
        load = Load(self.cluster, "look")
        ledgers = self.upstreams("ledger")
        self.check_load(load, ledgers, LIMIT)
        since = ledgers[0].limited_since + CONTACT_SECONDS
        sent = load.sent_between(since, time.monotonic())
        refused = [it for it in sent if it.status == 503]
        self.assertGreater(len(refused), len(sent) / 4)
        for attempt in refused:
            self.assertLess(attempt.ended_at - attempt.sent_at, PROMPT_SECONDS + 1)
            self.assertTrue(attempt.says_not_run)
            self.assertIn("retry-after", attempt.headers)

    # Guards against the same at engines, where prompts are read and memory is
    # reserved as well.
    def test_limited_engines_get_no_more_than_they_stated(self):
        load = Load(self.cluster, "stream")
        limited = [self.upstreams("lm", "decode")[0], self.upstreams("lm", "prefill")[0]]
        self.check_load(load, limited, LIMIT)

    # Guards against a limit that stays in force after the upstream has ceased to
    # state it, and against an unreadable or zero limit.
    def test_the_load_returns_when_the_limit_ends(self):
        load = Load(self.cluster, "look")
        ledger = self.upstreams("ledger")[0]
        load.run(self.run_limited(load, [ledger], "0", 8.0))
        self.check_limit(ledger, 0, time.monotonic())
        ledger.set_limit("many")
        load.run(load.send_at_intervals(INTERVAL_SECONDS, 1.0))
        ledger.set_limit(None)
        load.run(load.send_at_intervals(INTERVAL_SECONDS, 8.0))
        since = time.monotonic() - 2.0
        got = [it for it in self.arrivals(ledger) if it >= since]
        self.assertGreater(len(got), 10)


if __name__ == "__main__":
    unittest.main()
