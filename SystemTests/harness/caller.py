"""Callers: HTTP with http.client, streams, and checks of engine answers."""

import http.client
import json
import socket
import threading
import time
import zlib
from dataclasses import dataclass, field


def expected_text(prompt, tokens, start=0):
    """What the engine stand-in answers to a prompt: see StandIns/TokenText.h."""
    checksum = zlib.crc32(prompt.encode())
    return "".join(f"t{n}-{checksum:08x} " for n in range(start, tokens))


@dataclass
class Answer:
    """One whole answer, or how the call failed."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    seconds: float = 0.0

    @property
    def json(self):
        return json.loads(self.body) if self.body else {}

    @property
    def run(self):
        """The Peridothoist-Run header of a refusal."""
        return self.headers.get("peridothoist-run", "")


def call(address, method, path, body=None, headers=None, timeout=30):
    """Makes one call on a connection of its own."""
    started = time.monotonic()
    answer = Answer()
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        response = connection.getresponse()
        answer.status = response.status
        answer.headers = {k.lower(): v for k, v in response.getheaders()}
        answer.body = response.read()
    except http.client.IncompleteRead as error:
        answer.body = error.partial
        answer.error = repr(error)
    except (OSError, http.client.HTTPException) as error:
        answer.error = repr(error)
    finally:
        connection.close()
    answer.seconds = time.monotonic() - started
    return answer


def call_json(address, method, path, body=None, timeout=10):
    """Makes a call that must succeed, and returns its JSON."""
    answer = call(address, method, path, body, timeout=timeout)
    if answer.error or answer.status >= 300:
        raise AssertionError(
            f"{method} {address}{path}: {answer.status} {answer.error} {answer.body!r}"
        )
    return answer.json


class Stream:
    """A completion stream as it is read."""

    def __init__(self, address, path, body, headers, timeout=30):
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        self.text = ""
        self.tokens = 0
        self.complete = False
        self.error = ""
        self.error_event = None
        self.first_token_seconds = None
        self.started = time.monotonic()
        self.connection.request("POST", path, body=json.dumps(body), headers=headers)
        self.response = self.connection.getresponse()
        self.status = self.response.status
        self.headers = {k.lower(): v for k, v in self.response.getheaders()}

    def read_all(self, max_tokens=None):
        """Reads events to the end, or until max_tokens more came."""
        wanted = None if max_tokens is None else self.tokens + max_tokens
        try:
            while wanted is None or self.tokens < wanted:
                line = self.response.readline()
                if not line:
                    break
                self._take(line.decode().rstrip("\r\n"))
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        if wanted is None:
            self.close()
        return self

    def close(self):
        """Closes the connection, as a caller that gives up."""
        try:
            self.connection.sock.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            pass
        self.response.close()
        self.connection.close()

    def _take(self, line):
        if line == "event: error":
            self.error_event = {}
        if not line.startswith("data: "):
            return
        data = line[len("data: "):]
        if data == "[DONE]":
            self.complete = True
            return
        event = json.loads(data)
        if self.error_event is not None or "error" in event:
            self.error_event = event
            return
        for choice in event.get("choices", []):
            text = choice.get("text") or choice.get("delta", {}).get("content") or ""
            if text:
                self.tokens += 1
                self.text += text
                if self.first_token_seconds is None:
                    self.first_token_seconds = time.monotonic() - self.started


class Caller:
    """Calls entries with one key."""

    def __init__(self, address, key=None):
        self.address = address
        self.key = key

    def headers(self, extra=None):
        headers = {"Content-Type": "application/json"}
        if self.key:
            headers["Authorization"] = f"Bearer {self.key}"
        headers.update(extra or {})
        return headers

    def call(self, method, path, body=None, headers=None, timeout=30):
        return call(
            self.address, method, path, body, self.headers(headers), timeout=timeout
        )

    def once(self, path, idempotency_key, body, timeout=30):
        """A request that must not repeat."""
        extra = {"Idempotency-Key": idempotency_key}
        return self.call("POST", path, body, extra, timeout)

    def complete(self, prompt, max_tokens=20, path="/v1/completions", timeout=30):
        """A completion that isn't streamed."""
        body = {"model": "m1", "prompt": prompt, "max_tokens": max_tokens}
        return self.call("POST", path, body, timeout=timeout)

    def stream(self, prompt, max_tokens=20, path="/v1/completions", timeout=30):
        """Starts a streamed completion."""
        body = {
            "model": "m1",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        return Stream(self.address, path, body, self.headers(), timeout)


class Background:
    """Runs a function over and over in threads and gathers what it returns."""

    def __init__(self, function, threads=1, pause_seconds=0.0):
        self.function = function
        self.pause_seconds = pause_seconds
        self.results = []
        self.failures = []
        self.stopping = threading.Event()
        self.threads = [
            threading.Thread(target=self._run, args=(n,), daemon=True)
            for n in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stopping.set()
        for thread in self.threads:
            thread.join(60)
        return False

    def _run(self, number):
        step = 0
        while not self.stopping.is_set():
            try:
                self.results.append(self.function(number, step))
            except Exception as error:  # pylint: disable=broad-except
                self.failures.append(repr(error))
            step += 1
            time.sleep(self.pause_seconds)
