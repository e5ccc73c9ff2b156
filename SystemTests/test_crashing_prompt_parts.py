"""Runs peridothoist-node processes while requests arrive whose prompts share a part
that crashes each engine that begins to write on it. No two of them are alike."""

import asyncio
import itertools
import time
import unittest

from test_nodes import NodeClusterTest
from users_platform.load import Load
from users_platform.upstreams import shared_parts

CONTACT_SECONDS = 3.0  # For which VMs in touch may not know of a crash.
MAX_CRASHES = 5  # After these, VMs in touch must know the part.
MAX_LATE_SENDS = 3
BAD = "bad00bad"
COMMON = "c0330110"  # Shared by sound requests and crashing ones.
BAD_INTERVAL_SECONDS = 0.25
SOUND_INTERVAL_SECONDS = 0.1
BEFORE_SECONDS = 2.0  # Sound requests only.
BAD_SECONDS = 12.0
EVENTS = 40  # A stream takes more than half a second.


class CrashingPromptPartsTest(NodeClusterTest):
    NODES = 6
    ENGINES = {"prefills": 2, "decodes": 8}

    def setUp(self):
        super().setUp()
        self.sound = Load(self.cluster, "stream", events=EVENTS)
        self.bad = Load(self.cluster, "stream", events=EVENTS)

    async def run_load(self, bad_parts):
        total = BEFORE_SECONDS + BAD_SECONDS
        sound_parts = itertools.repeat((COMMON, "50044d01"))
        running = asyncio.ensure_future(
            self.sound.send_at_intervals(SOUND_INTERVAL_SECONDS, total, sound_parts)
        )
        await asyncio.sleep(BEFORE_SECONDS)
        self.cluster.shared_state.crashing_part = BAD
        await self.bad.send_at_intervals(BAD_INTERVAL_SECONDS, BAD_SECONDS, bad_parts)
        await running

    def late_sends(self):
        """Returns the requests with the part that reached upstreams later than VMs
        may need to know of it."""
        crashes = self.cluster.shared_state.crash_times
        if len(crashes) < MAX_CRASHES:
            return []
        known_at = crashes[MAX_CRASHES - 1] + CONTACT_SECONDS
        return [
            it
            for it in self.cluster.shared_state.received_requests
            if BAD in shared_parts(it.headers) and it.received_at > known_at
        ]

    def served_fraction(self, since, until):
        """Returns the fraction of the sound requests of this time that were served."""
        sent = self.sound.sent_between(since, until)
        served = [it for it in sent if it.status == 200]
        self.assertGreater(len(sent), 10)
        return len(served) / len(sent)

    def check(self, bad_parts):
        started_at = time.monotonic()
        self.sound.run(self.run_load(bad_parts))
        crashes = self.cluster.shared_state.crash_times
        late = self.late_sends()
        self.assertLessEqual(
            len(late), MAX_LATE_SENDS, f"{len(crashes)} engines crashed"
        )
        bad_since = started_at + BEFORE_SECONDS
        last_counted = crashes[min(len(crashes), MAX_CRASHES) - 1]
        before = self.served_fraction(started_at, bad_since)
        after = self.served_fraction(
            last_counted + 2 * CONTACT_SECONDS, bad_since + BAD_SECONDS
        )
        self.assertGreaterEqual(after, before / 2)

    # Guards against a prompt part that crashes one engine after the other (BUDGET),
    # and against sound requests that are refused for a part they share with it.
    def test_part_in_the_middle_stops_reaching_engines(self):
        self.check(itertools.repeat((COMMON, BAD)))

    # Guards against the same when the part is the first one and the others differ.
    def test_part_beside_different_ones_stops_reaching_engines(self):
        others = itertools.cycle(((BAD, COMMON), (BAD, "0be00002"), (BAD,)))
        self.check(others)


if __name__ == "__main__":
    unittest.main()
