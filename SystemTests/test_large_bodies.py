"""Sends bodies of nearly the largest size that callers may send, many at once, to
peridothoist-node processes, beside small requests on kept connections. No node may
need more memory than the smallest VM has, since the platform kills a process that
does."""

import asyncio
import json
import time
import unittest
from dataclasses import dataclass, field

from harness.memory import VM_MEMORY_MB, peak_mb
from test_nodes import NodeClusterTest
from users_platform.callers import Caller
from users_platform.upstreams import complete_body
from users_platform.wire import chunk, head_bytes, read_message

LARGE_BODY = b"z" * (4 * 1024 * 1024 - 1024)  # Callers send 4 MiB at most.
CHUNK_BYTES = 64 * 1024
LARGE_CALLERS = 16  # At each of two nodes, at once.
LARGE_ROUNDS = 3
ROUND_SECONDS = 1.5
SMALL_CALLERS = 4  # At each of two nodes.
SMALL_INTERVAL_SECONDS = 0.1
CALLER_TIMEOUT_SECONDS = 4.0


@dataclass
class LargeRequest:
    request_id: str
    status: int = 0  # 0: no complete response.
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    error: str = ""


class LargeBodiesTest(NodeClusterTest):
    LEDGERS = 3
    ENGINES = {"prefills": 1, "decodes": 1}

    def setUp(self):
        super().setUp()
        self.large = []
        self.first_statuses = []  # Of the requests before the large ones.
        self.attempts = []  # With small bodies.

    async def send_large(self, node, request_id, is_chunked):
        """Sends a small request and then a large one on the same connection."""
        request = LargeRequest(request_id)
        self.large.append(request)
        host, port = node.address().rsplit(":", 1)
        reader, writer = await asyncio.open_connection(host, int(port))
        try:
            first = await self.exchange(reader, writer, request_id + "-first", False, b"z")
            self.first_statuses.append(first.status)
            response = await asyncio.wait_for(
                self.exchange(reader, writer, request_id, is_chunked, LARGE_BODY),
                CALLER_TIMEOUT_SECONDS + 1,
            )
            if response is not None:
                request.status = response.status
                request.headers = response.headers
                request.body = response.body
        except (OSError, asyncio.IncompleteReadError, asyncio.TimeoutError) as error:
            request.error = repr(error)
        finally:
            writer.transport.abort()

    async def exchange(self, reader, writer, request_id, is_chunked, body):
        """Sends a request while it waits for the response, which it returns."""
        framing = {"Transfer-Encoding": "chunked"} if is_chunked else {"Content-Length": len(body)}
        headers = {
            "Host": "site",
            "Request-Id": request_id,
            "Request-Deadline": int(CALLER_TIMEOUT_SECONDS * 1000),
            "Authorization": "Bearer k1",
            **framing,
        }
        writer.write(head_bytes("POST /post/x HTTP/1.1", headers))
        if is_chunked:
            for start in range(0, len(body), CHUNK_BYTES):
                writer.write(chunk(body[start : start + CHUNK_BYTES]))
            writer.write(chunk(b""))
        else:
            writer.write(body)
        return await read_message(reader)

    async def keep_sending_small(self, node, number, end):
        caller = Caller(f"small-{node.name}-{number}")
        while time.monotonic() < end:
            self.attempts.append(await caller.send(
                node.name, node.address(), "post", "k1", CALLER_TIMEOUT_SECONDS
            ))
            await asyncio.sleep(SMALL_INTERVAL_SECONDS)
        await caller.close()

    async def load(self, is_chunked):
        nodes = self.cluster.nodes[:2]
        end = time.monotonic() + LARGE_ROUNDS * ROUND_SECONDS
        tasks = [
            asyncio.ensure_future(self.keep_sending_small(node, number, end))
            for node in nodes for number in range(SMALL_CALLERS)
        ]
        for round_number in range(LARGE_ROUNDS):
            tasks += [
                asyncio.ensure_future(self.send_large(
                    node, f"large-{node.name}-{round_number}-{number}", is_chunked
                ))
                for node in nodes for number in range(LARGE_CALLERS)
            ]
            await asyncio.sleep(ROUND_SECONDS)
        await asyncio.gather(*tasks)

    def check_memory(self):
        peaks = [peak_mb(it.process) for it in self.cluster.nodes]
        self.assertLess(max(peaks), VM_MEMORY_MB, peaks)

    def check_processes(self):
        exits = [it.process.child.poll() for it in self.cluster.nodes]
        self.assertEqual(exits, [None] * self.NODES)

    def is_right(self, request, run_count):
        if request.status == 200:
            expected = complete_body(request.request_id, LARGE_BODY)
            return run_count == 1 and request.body == expected
        return (
            request.status == 503
            and run_count == 0
            and json.loads(request.body)["error"]["run"] == "not-run"
            # Callers heed it up to a third of the time they have left.
            and 0 <= float(request.headers["retry-after"]) <= CALLER_TIMEOUT_SECONDS / 3
        )

    def check_large(self):
        """Each request is served or refused as not run."""
        received = self.cluster.shared_state.received_requests
        ran = [it.request_id for it in received if it.ran]
        wrong = [it for it in self.large if not self.is_right(it, ran.count(it.request_id))]
        self.assertEqual(wrong, [])
        # A node has room for one of these bodies, at least.
        served = sum(it.status == 200 for it in self.large)
        self.assertGreaterEqual(served, len(self.large) // LARGE_CALLERS)

    def check_small(self):
        self.assertGreater(len(self.attempts), 100)
        self.assertEqual(set(self.first_statuses), {200})
        self.assertEqual(len(self.first_statuses), len(self.large))
        unserved = [
            it for it in self.attempts
            if it.status != 200 or it.response_body != it.expected
        ]
        self.assertEqual(unserved, [])

    def check_load(self, is_chunked):
        self.cluster.loop.run(self.load(is_chunked))
        for check in (
            self.check_memory, self.check_processes, self.check_large, self.check_small
        ):
            with self.subTest(check.__name__):
                check()

    # Guards against bodies that are kept without a bound of them all.
    def test_bodies_with_length(self):
        self.check_load(is_chunked=False)

    # Guards against the same when nothing states how large a body will be.
    def test_bodies_in_chunks(self):
        self.check_load(is_chunked=True)


if __name__ == "__main__":
    unittest.main()
