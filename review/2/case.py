"""A request is hidden in the body of another one, whose head states its length in
a way that HTTP/1.1 forbids. It must not run."""

import os
import socket
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.dirname(FOLDER))

import rig  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def hidden_request(name):
    return (
        f"POST /post/hidden HTTP/1.1\r\nHost: site\r\nRequest-Id: hidden-{name}\r\n"
        "Authorization: Bearer k1\r\nContent-Length: 0\r\n\r\n"
    ).encode()


def lengths(name, size):
    """Returns the lines that state the length of the outer request's body."""
    sound = f"Content-Length: {size}\r\n"
    if not TROUBLE:
        return sound
    return {
        "two-lengths": "Content-Length: 0\r\n" + sound,
        "space-before-colon": f"Content-Length : {size}\r\n",
    }[name]


def exchange(address, data):
    """Sends the bytes on a new connection and returns all that is answered."""
    host, port = address.rsplit(":", 1)
    answer = b""
    with socket.create_connection((host, int(port)), timeout=2) as connection:
        connection.settimeout(1.5)
        connection.sendall(data)
        try:
            while part := connection.recv(65536):
                answer += part
        except OSError:
            pass
    return answer


def body():
    record = rig.Record(FOLDER)
    deployment = rig.Deployment(nodes=3, ledgers=3, prefills=1, decodes=2)
    try:
        deployment.start()
        time.sleep(1)
        for name in ("two-lengths", "space-before-colon"):
            for node in deployment.nodes:
                request_id = f"{name}-{node.name}"
                hidden = hidden_request(request_id)
                head = (
                    "POST /post/x HTTP/1.1\r\nHost: site\r\n"
                    f"Request-Id: sent-{request_id}\r\nRequest-Deadline: 1500\r\n"
                    f"Authorization: Bearer k1\r\n{lengths(name, len(hidden))}\r\n"
                )
                record.write(f"client sends to {node.name}: {head.encode() + hidden!r}")
                answer = exchange(node.address(), head.encode() + hidden)
                count = answer.count(b"HTTP/1.1 200")
                record.write(f"client gets {count} answers with status 200: {answer[:60]!r}")
        received = deployment.shared_state.received_requests
        record.write_runs(received)
        smuggled = [
            it.request_id for it in received
            if it.ran and it.request_id.startswith("hidden-")
        ]
        record.write(f"hidden requests that ran: {smuggled}")
        return bool(smuggled)
    finally:
        deployment.stop()


rig.run_case(body)
