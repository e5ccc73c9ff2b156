"""A caller of streams as a process of its own: python3 caller.py IP PORT NAME. Sends one
stream and reads it until it ends, or until its deadline. Prints what came."""

import socket
import sys
import time

DEADLINE_SECONDS = 14.0
GAP_SECONDS = 3.6  # Four times the objective, after which callers leave.

host, port, name = sys.argv[1:4]
with socket.create_connection((host, int(port)), timeout=1) as connection:
    connection.settimeout(GAP_SECONDS)
    connection.sendall(
        (f"POST /stream/x HTTP/1.1\r\nHost: site\r\nRequest-Id: {name}\r\n"
         f"Request-Deadline: {int(DEADLINE_SECONDS * 1000)}\r\nAuthorization: Bearer k\r\n"
         "Token-Count: 3000,6\r\nContent-Length: 1\r\n\r\nx").encode()
    )
    end = time.monotonic() + DEADLINE_SECONDS
    size, head, tail = 0, b"", b""
    how = "left at its deadline"
    while time.monotonic() < end:
        try:
            data = connection.recv(1 << 20)
        except socket.timeout:
            how = "left after a pause"
            break
        except OSError as error:
            how = repr(error)
            break
        size += len(data)
        head = head or data[:12]
        tail = (tail + data)[-5:]
        if not data or tail == b"0\r\n\r\n":
            how = "complete" if data else "closed by the node"
            break
print(f"{name}: {head.decode('latin-1').strip()}, {size} bytes, {how}", flush=True)
