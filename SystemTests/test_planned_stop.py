"""Stops one peridothoist-node process with SIGTERM while callers send to it, on kept
and on new connections, with bodies of every form that arrive at any moment of the grace
period. Guards against requests that are passed on to an upstream and then cut off
without an answer (LOST)."""

import asyncio
import itertools
import json
import time
import unittest
from dataclasses import dataclass

from test_nodes import NodeClusterTest
from users_platform.wire import chunk, head_bytes, read_body, read_head

CALLER_TIMEOUT_SECONDS = 4.0
GRACE_SECONDS = 8.0
CALLERS = 16
BODY = b"x" * 100
# Time that the body takes to arrive, for the callers in turn.
BODY_SECONDS = (0.0, 0.0, 0.6, 2.5)
MAX_PAUSE_SECONDS = 0.1
# After the signal: when no new work is taken any more, with a margin.
LATE_SECONDS = 3.9


@dataclass
class Sent:
    """One request. Times are seconds since the signal."""

    request_id: str
    whole_at: float = 0.0  # When its last byte was sent.
    status: int = 0
    body: bytes = b""
    is_answered: bool = False  # With a complete response.

    @property
    def says_not_run(self):
        return self.status == 503 and json.loads(self.body)["error"]["run"] == "not-run"


class PlannedStopTest(NodeClusterTest):
    LEDGERS = 3
    ENGINES = {"prefills": 1, "decodes": 1}

    def setUp(self):
        super().setUp()
        self.leaving = self.cluster.nodes[1]
        self.sent = []
        self.numbers = itertools.count(1)

    def since_signal(self):
        return time.monotonic() - self.signalled_at

    async def write_request(self, writer, sent, is_chunked, body_seconds):
        framing = {"Transfer-Encoding": "chunked"} if is_chunked else {"Content-Length": len(BODY)}
        headers = {
            "Host": "site",
            "Request-Id": sent.request_id,
            "Request-Deadline": int(CALLER_TIMEOUT_SECONDS * 1000),
            "Authorization": "Bearer k1",
            **framing,
        }
        writer.write(head_bytes("POST /post/x?p=/a/b HTTP/1.1", headers))
        for part in (BODY[:40], BODY[40:]):
            await asyncio.sleep(body_seconds / 2)
            writer.write(chunk(part) if is_chunked else part)
        writer.write(chunk(b"") if is_chunked else b"")
        await writer.drain()

    async def exchange(self, reader, writer, sent, is_chunked, body_seconds):
        """Sends one request. Returns whether the connection may be used again."""
        try:
            await self.write_request(writer, sent, is_chunked, body_seconds)
            sent.whole_at = self.since_signal()
            head = await asyncio.wait_for(read_head(reader), CALLER_TIMEOUT_SECONDS + 1)
            if head is None:
                return False
            sent.status = head.status
            async for data in read_body(reader, head):
                sent.body += data
            sent.is_answered = True
            return head.headers.get("connection", "").lower() != "close"
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError):
            return False

    async def keep_sending(self, is_chunked, body_seconds):
        """Sends one request after the other until the grace period has ended."""
        host, port = self.leaving.address().rsplit(":", 1)
        while self.since_signal() < GRACE_SECONDS:
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
            except OSError:
                await asyncio.sleep(MAX_PAUSE_SECONDS)
                continue
            is_open = True
            while is_open and self.since_signal() < GRACE_SECONDS:
                sent = Sent(f"q-{next(self.numbers)}")
                self.sent.append(sent)
                is_open = await self.exchange(reader, writer, sent, is_chunked, body_seconds)
                await asyncio.sleep(MAX_PAUSE_SECONDS)
            writer.transport.abort()

    async def stop_under_load(self, silent_from):
        async def silence():
            await asyncio.sleep(max(0.0, silent_from - self.since_signal()))
            for upstream in self.upstreams("ledger"):
                upstream.fault = "hang"

        callers = [
            self.keep_sending(n % 2 == 1, BODY_SECONDS[n // 2 % len(BODY_SECONDS)])
            for n in range(CALLERS)
        ]
        await asyncio.gather(silence(), *callers)

    def stop(self, silent_from=GRACE_SECONDS):
        """Stops the node under load. silent_from: seconds after the signal from which
        the upstreams don't answer."""
        self.signalled_at = time.monotonic() + 1.0
        load = asyncio.run_coroutine_threadsafe(
            self.stop_under_load(silent_from), self.cluster.loop.loop
        )
        time.sleep(max(0.0, -self.since_signal()))
        self.leaving.process.terminate()
        load.result(60)
        self.assertEqual(self.leaving.process.wait(2), 0)

    def passed_on(self):
        """Returns the ids of the requests that upstreams received."""
        return {it.request_id for it in self.cluster.shared_state.received_requests}

    def check_answers(self):
        passed_on = self.passed_on()
        lost = [
            it for it in self.sent if it.request_id in passed_on and not it.is_answered
        ]
        self.assertEqual(lost, [], self.leaving.process.log()[-4000:])
        untrue = [
            it for it in self.sent if it.request_id in passed_on and it.says_not_run
        ]
        self.assertEqual(untrue, [])
        self.assertGreater(sum(it.status == 200 for it in self.sent), 50)

    # Guards against requests that are cut off at the end of the grace period, since
    # their upstreams are silent.
    def test_requests_at_silent_upstreams_are_answered_before_the_end(self):
        self.stop(silent_from=2.8)
        self.check_answers()
        self.assertIn("may-have-run", {
            json.loads(it.body)["error"]["run"] for it in self.sent if it.status >= 500
        })

    # Guards against requests that come too late to be served and are passed on all
    # the same.
    def test_requests_that_are_complete_too_late_are_refused_as_not_run(self):
        self.stop()
        self.check_answers()
        late = [it for it in self.sent if it.whole_at > LATE_SECONDS]
        passed_on = self.passed_on()
        self.assertEqual([it for it in late if it.request_id in passed_on], [])
        answered = [it for it in late if it.is_answered]
        self.assertGreater(len(answered), 0)
        self.assertEqual([it for it in answered if not it.says_not_run], [])


if __name__ == "__main__":
    unittest.main()
