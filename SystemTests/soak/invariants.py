"""Invariants that must hold under all faults, checked on the observations of
callers and upstreams.

Each check looks at everything observed so far and records violations. Some
invariants are not required of nodes that are or recently were disconnected: killed,
suspended, terminated, or without the store.
"""

import bisect
import time
from collections import Counter, defaultdict

from users_platform.upstreams import BROKEN, COLD_OVERAGE, COLD_SLACK

# Longest time for which a withdrawn key may still be used: --revoke_limit_ms.
MAX_REVOKE_SECONDS = 5.0
# Longest time for which a leaving upstream may still get new requests.
MAX_LEAVING_SECONDS = 2.0
# Longest time for which an evacuated zone may still get requests.
MAX_EVACUATE_SECONDS = 5.0
RECONNECT_SECONDS = 3.0  # Recovery time of a node after the end of a fault.
RESPONSE_SLACK_SECONDS = 1.0  # Time for a response after the caller timeout.
ROUTE_TIMEOUT_SECONDS = 4.0  # timeoutMs of all routes.
# Time before its deadline from which the end of a stream may be due to the deadline.
DEADLINE_SLACK_SECONDS = 0.5
# Longest time until an upstream in good order records that a node has closed the
# connection of a run.
CLOSE_NOTICE_SECONDS = 0.5
# Retry budget of a service: a fraction of the requests of the window, and a fixed
# number of retries besides.
RETRY_RATIO, RETRY_FIXED_COUNT, RETRY_WINDOW_SECONDS = 0.2, 50, 10.0
# The tolerance that the platform specifies. Its fixed part of 140,000 tokens is
# expressed as 30 requests of 4,600 tokens.
ALLOWANCE_WINDOW_SECONDS, ALLOWANCE_OVERAGE, ALLOWANCE_FIXED_COUNT = 8.0, 0.1, 30
LAST_LOG_LINES = 10  # Of a process that has ended by itself.
SERVICE_OF = {"post": "ledger", "look": "ledger", "stream": "lm"}


def cold_overruns(arrivals):
    """Returns a line for each upstream that got more in a second than it bore while
    it was cold."""
    times = defaultdict(list)
    rates = {}
    for it in arrivals:
        if it.cold_rate > 0:
            times[it.upstream].append(it.received_at)
            rates[it.upstream] = it.cold_rate
    lines = []
    for upstream, all_times in times.items():
        most = max(
            n + 1 - bisect.bisect_right(all_times, end - 1)
            for n, end in enumerate(all_times)
        )
        allowed = COLD_OVERAGE * rates[upstream] + COLD_SLACK
        if most > allowed:
            lines.append(f"{upstream}: {most} in a second, borne {allowed}")
    return lines


class Record:
    """The history of a soak: attempts of callers, requests at upstreams, and
    injected faults."""

    def __init__(self, shared_state, limits):
        self.shared_state = shared_state
        # Key -> (tokens per second, burst); an attempt costs one token.
        self.limits = limits
        self.attempts = {}  # Request id -> attempt; added before it is sent.
        self.ended = []  # Attempts that have ended.
        # Node -> [start, end or None].
        self.disconnected_spans = defaultdict(list)
        # Key -> time at which the store accepted its withdrawal.
        self.withdrawn_at = {}
        # Upstream id -> time at which the store accepted its draining state.
        self.left_at = {}
        # Zone, time at which the store accepted its evacuation, and the end or None.
        self.evacuations = []
        self.node_of_host = {}  # Address from which a node calls -> its name.
        # Node -> [time of SIGTERM, time of exit].
        self.termination_spans = defaultdict(list)
        self.workspaces = {}  # Key -> workspace.
        self.failed_exits = []  # Processes that did not exit with 0 after SIGTERM.

    def mark_disconnected(self, node, now):
        self.disconnected_spans[node].append([now, None])

    def mark_reconnected(self, node, now):
        for span in self.disconnected_spans[node]:
            if span[1] is None:
                span[1] = now
                return

    def was_connected(self, node, start, end):
        """Returns whether the node had no fault in this span, nor within
        RECONNECT_SECONDS before it."""
        return not any(
            span_start <= end
            and (span_end is None or start <= span_end + RECONNECT_SECONDS)
            for span_start, span_end in self.disconnected_spans[node]
        )


class InvariantChecker:
    """Checks the invariants on a record. `violations` holds one line for each
    violation."""

    def __init__(self, record):
        self.record = record
        self.violations = []
        self._reported = set()
        # Node, upstream and its start -> when a response told it of its leaving.
        self.told_at = {}

    def check(self):
        """Checks everything recorded so far."""
        received_requests = list(self.record.shared_state.received_requests)
        runs = Counter(it.request_id for it in received_requests if it.ran)
        for attempt in list(self.record.ended):
            self._check_response(attempt)
            self._check_not_run(attempt, runs)
            self._check_completion(attempt, runs)
        self._check_streams(received_requests)
        for it in received_requests:
            self._check_upstream_request(it, runs)
        self._check_orders()
        self._check_retries(received_requests)
        self._check_allowance(received_requests)
        arrivals = list(self.record.shared_state.arrivals)
        self._check_evacuations(arrivals)
        for line in cold_overruns(arrivals):
            self._report("COLD", *line.split(": ", 1))

    def check_processes(self, nodes):
        """Checks that no process of a node has ended without being asked to."""
        for process in (it.process for it in nodes):
            if process.has_ended_by_itself():
                text = f"exit code {process.child.returncode}, seen at "
                text += f"{time.monotonic():.3f}; the last lines of its log:\n"
                text += "\n".join(process.log().splitlines()[-LAST_LOG_LINES:])
                self._report("ENDED", f"{process.name} (pid {process.pid})", text)

    def _report(self, invariant, identity, text):
        if (invariant, identity) not in self._reported:
            self._reported.add((invariant, identity))
            self.violations.append(f"{invariant}: {identity}: {text}")

    def _check_response(self, attempt):
        if attempt.status != 200:
            return
        if attempt.headers.get("request-id") != attempt.request_id:
            self._report("OWN", attempt.request_id, "response of another request")
        if attempt.is_complete and attempt.response_body != attempt.expected:
            self._report(
                "WHOLE", attempt.request_id,
                f"complete response ends with {attempt.response_body[-60:]!r}"
            )
        if (
            not attempt.expected.startswith(attempt.response_body)
            and not attempt.is_complete
        ):
            self._report(
                "ORDER", attempt.request_id,
                f"partial response ends with {attempt.response_body[-60:]!r}"
            )

    def _check_not_run(self, attempt, runs):
        not_run = attempt.says_not_run or attempt.status in (429, 503)
        if attempt.is_complete and not_run and runs[attempt.request_id] > 0:
            self._report(
                "TRUTH", attempt.request_id,
                f"{attempt.status} claims not run, but it ran"
            )

    def _check_completion(self, attempt, runs):
        if attempt.status != 0 and (attempt.is_complete or attempt.kind == "stream"):
            return
        if self.record.was_connected(attempt.node, attempt.sent_at, attempt.ended_at):
            text = f"{attempt.kind} at {attempt.sent_at:.3f} to {attempt.node}: status "
            text += f"{attempt.status} after {attempt.ended_at - attempt.sent_at:.3f} s"
            connection = "new" if attempt.is_connection_new else "kept"
            text += f", {attempt.failure} ({connection} connection)"
            self._report("ANSWERED", attempt.request_id, text)
            return
        ran = runs[attempt.request_id] > 0
        spans = self.record.termination_spans[attempt.node]
        if ran and any(
            span_start <= attempt.sent_at <= span_end
            for span_start, span_end in spans
        ):
            self._report(
                "LEFT", attempt.request_id,
                f"broken off when {attempt.node} was terminated"
            )

    def _check_streams(self, received_requests):
        """Checks that no connected node ends a stream that its last upstream would
        have continued or has sent whole."""
        runs_by_id = defaultdict(list)
        for it in received_requests:
            if it.ran:
                runs_by_id[it.request_id].append(it)
        for attempt in list(self.record.ended):
            if self._was_cut(attempt, runs_by_id[attempt.request_id]):
                last = max(runs_by_id[attempt.request_id], key=lambda it: it.ended_at)
                duration = attempt.ended_at - attempt.sent_at
                events = attempt.response_body.count(b"\n\n")
                text = f"sent at {attempt.sent_at:.3f} to {attempt.node}, ended after "
                text += f"{duration:.3f} s with {events} of {attempt.events} events; "
                text += f"run at {last.upstream}: {last.end}"
                self._report("CUT", attempt.request_id, text)

    def _was_cut(self, attempt, runs):
        """Returns whether the stream certainly ended incomplete by a decision of its
        node alone."""
        if attempt.kind != "stream" or attempt.status != 200 or attempt.is_complete:
            return False
        timeout = min(attempt.caller_timeout, ROUTE_TIMEOUT_SECONDS)
        if attempt.ended_at > attempt.sent_at + timeout - DEADLINE_SLACK_SECONDS:
            return False
        if not self.record.was_connected(
            attempt.node, attempt.sent_at, attempt.ended_at
        ):
            return False
        if not runs or any(not it.end for it in runs):
            return False  # The last run is not known, or not yet.
        last_end = max(it.ended_at for it in runs)
        # The node may have closed another run shortly before that is recorded.
        return not any(
            it.ended_at >= last_end - CLOSE_NOTICE_SECONDS
            and (
                it.end == BROKEN
                or it.is_at_fault
                or it.upstream in self.record.left_at
            )
            for it in runs
        )

    def _check_upstream_request(self, received, runs):
        attempt = self.record.attempts.get(received.request_id)
        if attempt is None:
            self._report("STRANGE", received.request_id, "no caller sent this request")
            return
        if "authorization" in received.headers:
            self._report("KEY", received.request_id, "upstream got the caller key")
        if received.headers.get("tenant-id") != self.record.workspaces.get(attempt.key):
            self._report(
                "WORKSPACE", received.request_id, "sent under another workspace"
            )
        if received.service != SERVICE_OF[attempt.kind]:
            self._report(
                "ROUTE", received.request_id, f"sent to service {received.service}"
            )
        if attempt.kind == "post" and runs[received.request_id] > 1:
            self._report(
                "ONCE", received.request_id, f"ran {runs[received.request_id]} times"
            )
        withdrawn_at = self.record.withdrawn_at.get(attempt.key)
        if (
            received.ran
            and withdrawn_at is not None
            and received.received_at > withdrawn_at + MAX_REVOKE_SECONDS
        ):
            late = received.received_at - withdrawn_at
            self._report(
                "WITHDRAWN", received.request_id,
                f"ran {late:.2f} s after withdrawal of its key"
            )
        self._check_stated_leaving(received, attempt)
        left_at = self.record.left_at.get(received.upstream)
        connected = self.record.was_connected(
            attempt.node, received.received_at - MAX_LEAVING_SECONDS,
            received.received_at
        )
        if (
            left_at is not None
            and connected
            and received.received_at > left_at + MAX_LEAVING_SECONDS
        ):
            self._report(
                "LEAVING", received.request_id,
                f"sent {received.received_at - left_at:.2f} s after leaving"
            )

    def _check_stated_leaving(self, received, attempt):
        """Checks that a node sends nothing to an upstream process whose response has
        told it some time before that the process leaves."""
        key = (attempt.node, received.upstream, received.born)
        told_at = self.told_at.get(key)
        is_late = (
            told_at is not None
            and attempt.sent_at > told_at + MAX_LEAVING_SECONDS
            and self.record.was_connected(attempt.node, told_at, received.received_at)
        )
        if is_late:
            self._report(
                "STATED", received.request_id,
                f"sent {attempt.sent_at - told_at:.2f} s after it was told"
            )
        if received.told_leaving and received.ran and received.end == "whole":
            self.told_at[key] = min(received.ended_at, told_at or received.ended_at)

    def _check_evacuations(self, arrivals):
        """Checks that no node in touch with the store sends anything to an evacuated
        zone after the bound."""
        for zone, start, end in self.record.evacuations:
            for it in arrivals:
                is_late = (
                    it.zone == zone
                    and it.received_at > start + MAX_EVACUATE_SECONDS
                    and (end is None or it.received_at < end)
                )
                node = self.record.node_of_host.get(it.source)
                if is_late and self.record.was_connected(
                    node, it.received_at - MAX_EVACUATE_SECONDS, it.received_at
                ):
                    text = f"{it.path} of {node} {it.received_at - start:.2f} s after"
                    self._report("EVACUATED", it.upstream, f"{text} evacuation")

    def _check_orders(self):
        """Checks that each incarnation of an engine gets one order at most, and
        that no two orders have the same fencing number."""
        orders = list(self.record.shared_state.orders)
        orders_by_process = Counter((it.upstream, it.born) for it in orders)
        orders_by_fence = Counter(it.fence for it in orders)
        for it in orders:
            is_repeated = orders_by_process[it.upstream, it.born] > 1
            if is_repeated or orders_by_fence[it.fence] > 1:
                self._report(
                    "ONE", it.upstream,
                    f"repeated order or fencing number from {it.holder}"
                )

    def _check_retries(self, received_requests):
        """Checks that retries stay within the retry budget of each service."""
        for service in set(SERVICE_OF.values()):
            sent_times = sorted(
                it.sent_at
                for it in list(self.record.attempts.values())
                if SERVICE_OF[it.kind] == service
            )
            known_ids = set()
            retry_times = []
            for it in received_requests:
                if it.service != service or it.prefill:
                    continue
                if it.request_id in known_ids:
                    retry_times.append(it.received_at)
                known_ids.add(it.request_id)
            for n, end in enumerate(retry_times):
                start = end - RETRY_WINDOW_SECONDS
                count = n + 1 - bisect.bisect_right(retry_times, start)
                requests = self._max_requests(sent_times, end)
                if count > RETRY_RATIO * requests + RETRY_FIXED_COUNT:
                    text = f"{count} retries of {requests} requests"
                    self._report("BUDGET", service, text)

    @staticmethod
    def _max_requests(sent_times, end):
        """Returns the largest number of requests in the window that ends at this
        time, half a window earlier or a window earlier."""
        return max(
            bisect.bisect_right(sent_times, end - shift * RETRY_WINDOW_SECONDS)
            - bisect.bisect_right(sent_times, end - (1 + shift) * RETRY_WINDOW_SECONDS)
            for shift in (0, 0.5, 1)
        )

    def _check_allowance(self, received_requests):
        """Checks that no key exceeds its rate and burst by more than the
        tolerance."""
        for key, (rate, burst) in self.record.limits.items():
            first_runs = {}
            for it in received_requests:
                attempt = self.record.attempts.get(it.request_id)
                if it.ran and attempt is not None and attempt.key == key:
                    first_runs.setdefault(it.request_id, it.received_at)
            runs = list(first_runs.values())
            limit = (rate * ALLOWANCE_WINDOW_SECONDS + burst) * (1 + ALLOWANCE_OVERAGE)
            limit += ALLOWANCE_FIXED_COUNT
            for n, end in enumerate(runs):
                count = n + 1 - bisect.bisect_right(
                    runs, end - ALLOWANCE_WINDOW_SECONDS
                )
                if count > limit:
                    self._report("ALLOWANCE", key, f"{count} runs, limit {limit:.0f}")
