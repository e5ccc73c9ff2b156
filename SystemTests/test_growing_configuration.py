"""Runs peridothoist-node processes whose links to the store are narrow while the
configuration grows by many routes. Guards against a change that comes in force too
late, or never, because its bytes take longer than one read may last (CONFIG)."""

import time
import unittest

from harness.caller import call
from harness.process import wait_until
from test_nodes import NodeClusterTest
from users_platform.callers import get_status
from users_platform.nodes import METRICS, ROUTES, configuration

APPLY_SECONDS = 3.0  # Within which a change must be in force everywhere.
GROWTH = 1400  # Routes that are added.
# A read of the grown configuration alone takes half of APPLY_SECONDS.
LINK_BYTES_PER_SECOND = 400_000
TENANTS = ({"name": "w1", "apiKeys": ["k1"]},)


def grown_routes(count):
    """Returns the usual routes and as many more, to the same plain service."""
    added = [
        {"name": f"grown-{n}", "pathPrefix": f"/grown-{n}/", "kind": "safe",
         "service": "ledger", "targetLatencyMs": 300, "priority": 2, "public": False}
        for n in range(count)
    ]
    return (*ROUTES, *added)


class GrowingConfigurationTest(NodeClusterTest):
    NODES = 3

    def setUp(self):
        super().setUp()
        limit = int(APPLY_SECONDS * 1000)
        extra = f"--change_limit_ms={limit}\n--leave_limit_ms={limit}"
        for node in self.cluster.nodes:
            node.write_settings(self.cluster.seeds(), extra)
            node.process.send_sighup()

    def grow(self, version, count, bytes_per_second):
        """Narrows all links to the store and adds routes. Returns when the change
        was acknowledged."""
        for node in self.cluster.nodes:
            node.store_proxy.narrow(bytes_per_second)
        grown = configuration(version, TENANTS, grown_routes(count))
        self.cluster.store.put("op", "config", grown)
        return time.monotonic()

    def status_of_last_route(self, node, count):
        return get_status(node.address(), f"/grown-{count - 1}/x", "k1")

    def check_in_force(self, acknowledged_at, count):
        """Checks that all nodes serve the last added route in time."""
        for node in self.cluster.nodes:
            left = acknowledged_at + APPLY_SECONDS - time.monotonic()
            wait_until(
                lambda: self.status_of_last_route(node, count) == 200,
                max(left, 0.05),
                f"{node.name} serves a route {APPLY_SECONDS} s after it was added",
            )

    def test_grown_configuration_is_in_force_in_time_over_narrow_links(self):
        acknowledged_at = self.grow(2, GROWTH, LINK_BYTES_PER_SECOND)
        self.check_in_force(acknowledged_at, GROWTH)

    def test_unchanged_configuration_leaves_narrow_links_free(self):
        acknowledged_at = self.grow(2, GROWTH, LINK_BYTES_PER_SECOND * 10)
        self.check_in_force(acknowledged_at, GROWTH)
        before = [it.store_proxy.bytes_forwarded for it in self.cluster.nodes]
        time.sleep(2 * APPLY_SECONDS)
        for node, count in zip(self.cluster.nodes, before):
            used = node.store_proxy.bytes_forwarded - count
            self.assertLess(used, LINK_BYTES_PER_SECOND / 10, node.name)

    def test_metrics_tell_reads_from_peers(self):
        self.check_in_force(self.grow(2, GROWTH, 0), GROWTH)
        node = self.cluster.nodes[2]  # The first two read the store.
        metrics = call(node.address(METRICS), "GET", "/metrics").body.decode()
        self.assertIn('peridothoist_peer_view_bytes_total{part="configuration"}', metrics)


if __name__ == "__main__":
    unittest.main()
