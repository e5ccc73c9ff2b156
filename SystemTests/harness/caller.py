"""HTTP and streaming clients that call the system, and the expected text of
the engine stand-ins."""

import http.client
import json
import socket
import threading
import time
import zlib
from dataclasses import dataclass, field


def expected_text(prompt, tokens, start=0):
    """Returns the text that the engine stand-in generates for a prompt, as
    StandIns/TokenText.h defines it."""
    checksum = zlib.crc32(prompt.encode())
    return "".join(f"t{n}-{checksum:08x} " for n in range(start, tokens))


@dataclass
class Response:
    """A fully received response, or the error that ended the call."""

    status: int = 0
    headers: dict = field(default_factory=dict)
    body: bytes = b""
    error: str = ""
    seconds: float = 0.0

    @property
    def json(self):
        return json.loads(self.body) if self.body else {}

    @property
    def run_header(self):
        """Value of the Peridothoist-Run header, which a refusal carries."""
        return self.headers.get("peridothoist-run", "")


def call(address, method, path, body=None, headers=None, timeout=30):
    """Makes one call on a new connection and closes the connection."""
    started = time.monotonic()
    response = Response()
    host, port = address.rsplit(":", 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
    try:
        if isinstance(body, (dict, list)):
            body = json.dumps(body)
        connection.request(method, path, body=body, headers=headers or {})
        http_response = connection.getresponse()
        response.status = http_response.status
        response.headers = {k.lower(): v for k, v in http_response.getheaders()}
        response.body = http_response.read()
    except http.client.IncompleteRead as error:
        response.body = error.partial
        response.error = repr(error)
    except (OSError, http.client.HTTPException) as error:
        response.error = repr(error)
    finally:
        connection.close()
    response.seconds = time.monotonic() - started
    return response


def call_json(address, method, path, body=None, timeout=10):
    """Makes a call and returns the JSON of its response. Raises AssertionError
    when the call fails."""
    response = call(address, method, path, body, timeout=timeout)
    if response.error or response.status >= 300:
        raise AssertionError(
            f"{method} {address}{path}: {response.status} {response.error} "
            f"{response.body!r}"
        )
    return response.json


class Stream:
    """A streamed completion and the part of it that has been read."""

    def __init__(self, address, path, body, headers, timeout=30):
        host, port = address.rsplit(":", 1)
        self.connection = http.client.HTTPConnection(host, int(port), timeout=timeout)
        self.text = ""
        self.tokens = 0
        self.is_complete = False
        self.error = ""
        self.error_event = None
        self.first_token_seconds = None
        self.started = time.monotonic()
        self.connection.request("POST", path, body=json.dumps(body), headers=headers)
        self.http_response = self.connection.getresponse()
        self.status = self.http_response.status
        self.headers = {k.lower(): v for k, v in self.http_response.getheaders()}

    def read_all(self, max_tokens=None):
        """Reads events until the stream ends, or until max_tokens more tokens
        have arrived."""
        token_limit = None if max_tokens is None else self.tokens + max_tokens
        try:
            while token_limit is None or self.tokens < token_limit:
                line = self.http_response.readline()
                if not line:
                    break
                self._parse_line(line.decode().rstrip("\r\n"))
        except (OSError, http.client.HTTPException) as error:
            self.error = repr(error)
        if token_limit is None:
            self.close()
        return self

    def close(self):
        """Closes the connection, as a caller does when it abandons a request."""
        try:
            self.connection.sock.shutdown(socket.SHUT_RDWR)
        except (OSError, AttributeError):
            pass
        self.http_response.close()
        self.connection.close()

    def _parse_line(self, line):
        if line == "event: error":
            self.error_event = {}
        if not line.startswith("data: "):
            return
        data = line[len("data: "):]
        if data == "[DONE]":
            self.is_complete = True
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
    """Calls entry processes with one caller key."""

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

    def send_non_idempotent(self, path, idempotency_key, body, timeout=30):
        """Sends a non-idempotent request with its idempotency key."""
        extra = {"Idempotency-Key": idempotency_key}
        return self.call("POST", path, body, extra, timeout)

    def request_completion(
        self, prompt, max_tokens=20, path="/v1/completions", timeout=30
    ):
        """Sends a completion request without streaming."""
        body = {"model": "m1", "prompt": prompt, "max_tokens": max_tokens}
        return self.call("POST", path, body, timeout=timeout)

    def open_stream(
        self, prompt, max_tokens=20, path="/v1/completions", timeout=30
    ):
        """Sends a completion request with streaming."""
        body = {
            "model": "m1",
            "prompt": prompt,
            "max_tokens": max_tokens,
            "stream": True,
        }
        return Stream(self.address, path, body, self.headers(), timeout)


class BackgroundLoad:
    """Calls a function repeatedly in threads and collects its results and
    exceptions."""

    def __init__(self, function, threads=1, pause_seconds=0.0):
        self.function = function
        self.pause_seconds = pause_seconds
        self.results = []
        self.failures = []
        self.stop_requested = threading.Event()
        self.threads = [
            threading.Thread(target=self._run_thread, args=(n,), daemon=True)
            for n in range(threads)
        ]

    def __enter__(self):
        for thread in self.threads:
            thread.start()
        return self

    def __exit__(self, *_):
        self.stop_requested.set()
        for thread in self.threads:
            thread.join(60)
        return False

    def _run_thread(self, thread_index):
        iteration = 0
        while not self.stop_requested.is_set():
            try:
                self.results.append(self.function(thread_index, iteration))
            except Exception as error:  # pylint: disable=broad-except
                self.failures.append(repr(error))
            iteration += 1
            time.sleep(self.pause_seconds)
