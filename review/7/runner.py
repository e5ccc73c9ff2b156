"""A decode runner as a process of its own: python3 runner.py IP PORT ID SPOILED. It
answers as PROTOCOL.md tells, but spoils the first SPOILED streams: after a sound head it
sends line ends without end in the body, until the caller closes. Prints a line when it
begins and ends one."""

import socket
import sys
import threading
import time

EVENT_SECONDS = 0.015
FILLER = b"\n" * 32768
CHUNK = b"%x\r\n" % len(FILLER) + FILLER + b"\r\n"
JSON = "Content-Type: application/json\r\n"


class Runner:
    def __init__(self, name, spoiled):
        self.name = name
        self.left_to_spoil = spoiled
        self.holds = 0
        self.lock = threading.Lock()

    def answer(self, connection, status, headers="", body=b""):
        head = f"HTTP/1.1 {status} X\r\n{headers}Content-Length: {len(body)}\r\n\r\n"
        connection.sendall(head.encode() + body)

    def serve(self, connection):
        try:
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            while self.serve_one(connection):
                pass
        except OSError:
            pass
        finally:
            connection.close()

    def serve_one(self, connection):
        received = b""
        while b"\r\n\r\n" not in received:
            data = connection.recv(65536)
            if not data:
                return False
            received += data
        head, _, body = received.partition(b"\r\n\r\n")
        first, *lines = head.decode("latin-1").split("\r\n")
        headers = {n.lower(): v.strip() for n, _, v in (it.partition(":") for it in lines)}
        missing = int(headers.get("content-length", 0)) - len(body)
        while missing > 0:
            data = connection.recv(65536)
            if not data:
                return False
            missing -= len(data)
        path = first.split(" ")[1]
        is_prefill = headers.get("serving-stage") == "prefill"
        if headers.get("expect-instance", self.name) != self.name or is_prefill:
            self.answer(connection, 421, f"Instance-Id: {self.name}\r\n")
        elif path == "/-/hold-take":
            self.holds += 1
            self.answer(connection, 200, JSON, b'{"hold":"h%d"}' % self.holds)
        elif path.startswith("/-/"):
            self.answer(connection, 200, JSON, b"{}")
        elif "kv-source" in headers and self.left_to_spoil == 0:
            self.answer(connection, 503, "Not-Processed: 1\r\n")  # It can't be fetched.
        else:
            self.stream(connection, headers)
        return True

    def stream(self, connection, headers):
        request = headers["request-id"]
        connection.sendall(
            (f"HTTP/1.1 200 X\r\nRequest-Id: {request}\r\nResponse-Seal: {self.name}.{request}"
             "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").encode()
        )
        with self.lock:
            is_spoiled = self.left_to_spoil > 0
            self.left_to_spoil -= is_spoiled
        if is_spoiled:
            self.spoil(connection, request)
            return
        count = int(headers["token-count"].split(",")[1])
        for number in range(int(headers.get("last-event-id", 0)) + 1, count + 1):
            event = b"id: %d\ndata: %s-%d\n\n" % (number, request.encode(), number)
            connection.sendall(b"%x\r\n" % len(event) + event + b"\r\n")
            time.sleep(EVENT_SECONDS)
        connection.sendall(b"0\r\n\r\n")

    def spoil(self, connection, request):
        print(f"spoils {request}", flush=True)
        sent = 0
        try:
            while True:
                connection.sendall(CHUNK)
                sent += len(FILLER)
        finally:
            print(f"closed {request} after {sent} bytes", flush=True)


def main():
    host, port, name, spoiled = sys.argv[1:5]
    runner = Runner(name, int(spoiled))
    server = socket.socket()
    server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    server.bind((host, int(port)))
    server.listen(128)
    while True:
        connection, _ = server.accept()
        threading.Thread(target=runner.serve, args=(connection,), daemon=True).start()


main()
