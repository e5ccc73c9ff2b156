"""What must hold whatever happens, from what callers and upstreams saw.

Each check looks at everything seen so far and adds what it finds broken. Nodes
that are or just were out of touch (killed, frozen, leaving, without the store)
are held only to what holds always.
"""

import bisect
from collections import Counter, defaultdict

KEY_BOUND = 5.0  # A withdrawn key works no longer: --revoke_limit_ms.
LEAVE_BOUND = 2.0  # A leaving upstream gets nothing new.
TOUCH_SECONDS = 3.0  # After its trouble a node is in touch again.
ANSWER_SLACK = 1.0  # After a request's patience.
REPEAT_RATIO, REPEAT_FIXED, REPEAT_WINDOW = 0.2, 50, 10.0
# The platform's own tolerance, with its 140,000 tokens as requests of 4,600.
ALLOWANCE_WINDOW, ALLOWANCE_OVERAGE, ALLOWANCE_SLACK = 8.0, 0.1, 30
SERVICE_OF = {"post": "ledger", "look": "ledger", "stream": "lm"}


class Record:
    """What happened: tries, what upstreams saw, and the soak's own acts."""

    def __init__(self, world, limits):
        self.world = world
        self.limits = limits  # Key -> (tokens a second, burst), each try 1.
        self.tries = {}  # By request id; entered when sent.
        self.ended = []
        self.out_of_touch = defaultdict(list)  # Node -> [from, to or None].
        self.withdrawn = {}  # Key -> when the store took its withdrawal.
        self.leaving = {}  # Upstream id -> when the store took that word.
        self.node_leaves = defaultdict(list)  # Node -> [from, to] of SIGTERMs.
        self.workspaces = {}  # Key -> workspace.
        self.exits = []  # Processes that didn't leave as they should.

    def lose_touch(self, node, now):
        self.out_of_touch[node].append([now, None])

    def regain_touch(self, node, now):
        for span in self.out_of_touch[node]:
            if span[1] is None:
                span[1] = now
                return

    def in_touch(self, node, start, end):
        """Whether the node had no trouble in this time, nor shortly before."""
        return not any(
            began <= end and (over is None or start <= over + TOUCH_SECONDS)
            for began, over in self.out_of_touch[node]
        )


class Promises:
    """Checks a record; `broken` holds a line for each thing found."""

    def __init__(self, record):
        self.record = record
        self.broken = []
        self._found = set()

    def check(self):
        seen = list(self.record.world.seen)
        runs = Counter(it.request_id for it in seen if it.ran)
        for one in list(self.record.ended):
            self._check_answer(one)
            self._check_truth(one, runs)
            self._check_answered(one, runs)
        for it in seen:
            self._check_seen(it, runs)
        self._check_orders()
        self._check_repeats(seen)
        self._check_allowance(seen)

    def _break(self, promise, identity, text):
        if (promise, identity) not in self._found:
            self._found.add((promise, identity))
            self.broken.append(f"{promise}: {identity}: {text}")

    def _check_answer(self, one):
        if one.status != 200:
            return
        if one.headers.get("request-id") != one.request_id:
            self._break("OWN", one.request_id, "another request's answer")
        if one.whole and one.answer != one.expected:
            self._break("WHOLE", one.request_id, f"ended with {one.answer[-60:]!r}")
        if not one.expected.startswith(one.answer) and not one.whole:
            self._break("ORDER", one.request_id, f"got {one.answer[-60:]!r}")

    def _check_truth(self, one, runs):
        not_run = one.says_not_run or one.status in (429, 503)
        if one.whole and not_run and runs[one.request_id] > 0:
            self._break("TRUTH", one.request_id, f"{one.status} and it had run")

    def _check_answered(self, one, runs):
        if one.status != 0 and (one.whole or one.kind == "stream"):
            return
        if self.record.in_touch(one.node, one.sent_at, one.ended_at):
            text = f"{one.kind} at {one.sent_at:.3f} to {one.node}: status "
            text += f"{one.status} after {one.ended_at - one.sent_at:.3f} s"
            self._break("ANSWERED", one.request_id, text)
            return
        ran = runs[one.request_id] > 0
        spans = self.record.node_leaves[one.node]
        if ran and any(began <= one.sent_at <= over for began, over in spans):
            self._break("LEFT", one.request_id, f"cut when {one.node} left")

    def _check_seen(self, it, runs):
        one = self.record.tries.get(it.request_id)
        if one is None:
            self._break("STRANGE", it.request_id, "nobody sent it")
            return
        if "authorization" in it.headers:
            self._break("KEY", it.request_id, "an upstream got the key")
        if it.headers.get("tenant-id") != self.record.workspaces.get(one.key):
            self._break("WORKSPACE", it.request_id, "under another workspace")
        if it.service != SERVICE_OF[one.kind]:
            self._break("ROUTE", it.request_id, f"came to {it.service}")
        if one.kind == "post" and runs[it.request_id] > 1:
            self._break("ONCE", it.request_id, f"ran {runs[it.request_id]} times")
        withdrawn = self.record.withdrawn.get(one.key)
        if it.ran and withdrawn is not None and it.at > withdrawn + KEY_BOUND:
            late = it.at - withdrawn
            self._break("WITHDRAWN", it.request_id, f"ran {late:.2f} s after")
        left = self.record.leaving.get(it.upstream)
        touch = self.record.in_touch(one.node, it.at - LEAVE_BOUND, it.at)
        if left is not None and touch and it.at > left + LEAVE_BOUND:
            self._break("LEAVING", it.request_id, f"{it.at - left:.2f} s after")

    def _check_orders(self):
        """Each life of an engine has one order at most, all by fences of their
        own."""
        orders = list(self.record.world.orders)
        lives = Counter(it.upstream for it in orders)
        fences = Counter(it.fence for it in orders)
        for it in orders:
            if lives[it.upstream] > 1 or fences[it.fence] > 1:
                self._break("ONE", it.upstream, f"ordered again by {it.holder}")

    def _check_repeats(self, seen):
        for service in set(SERVICE_OF.values()):
            asked = sorted(
                it.sent_at
                for it in list(self.record.tries.values())
                if SERVICE_OF[it.kind] == service
            )
            met = set()
            repeats = []
            for it in seen:
                if it.service != service or it.prefill:
                    continue
                if it.request_id in met:
                    repeats.append(it.at)
                met.add(it.request_id)
            for n, end in enumerate(repeats):
                start = end - REPEAT_WINDOW
                count = n + 1 - bisect.bisect_right(repeats, start)
                requests = self._most_requests(asked, end)
                if count > REPEAT_RATIO * requests + REPEAT_FIXED:
                    text = f"{count} repeats of {requests} requests"
                    self._break("BUDGET", service, text)

    @staticmethod
    def _most_requests(asked, end):
        """In the window up to then, or in one that began up to one earlier."""
        return max(
            bisect.bisect_right(asked, end - shift * REPEAT_WINDOW)
            - bisect.bisect_right(asked, end - (1 + shift) * REPEAT_WINDOW)
            for shift in (0, 0.5, 1)
        )

    def _check_allowance(self, seen):
        for key, (rate, burst) in self.record.limits.items():
            first_runs = {}
            for it in seen:
                one = self.record.tries.get(it.request_id)
                if it.ran and one is not None and one.key == key:
                    first_runs.setdefault(it.request_id, it.at)
            runs = list(first_runs.values())
            most = (rate * ALLOWANCE_WINDOW + burst) * (1 + ALLOWANCE_OVERAGE)
            most += ALLOWANCE_SLACK
            for n, end in enumerate(runs):
                count = n + 1 - bisect.bisect_right(runs, end - ALLOWANCE_WINDOW)
                if count > most:
                    self._break("ALLOWANCE", key, f"{count} runs, at most {most:.0f}")
