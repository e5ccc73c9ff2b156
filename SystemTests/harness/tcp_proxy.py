"""TCP proxies that simulate network faults.

A proxy listens in place of one address. A cut holds back all bytes of the
connections it applies to, in both directions, as a network partition does;
heal() lets them through again. A cut can be limited to connections from certain
processes, which are identified by the owner of the connecting socket.
"""

import asyncio
import os
import socket
import struct
import threading

CHUNK_BYTES = 65536
# Of sock_diag(7) and netlink(7).
NETLINK_SOCK_DIAG, SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST = 4, 20, 1
NETLINK_HEADER_BYTES = 16
INODE_OFFSET = NETLINK_HEADER_BYTES + 68  # Of struct inet_diag_msg.
POLL_SECONDS = 0.01


class ProxyLoop:
    """An event loop with its own thread. Runs the proxies of a cluster; in a
    NodeCluster, also the stand-ins and the callers."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine):
        """Runs a coroutine on the loop and returns its result. Waits for 10 s at
        most."""
        return asyncio.run_coroutine_threadsafe(coroutine, self.loop).result(10)

    def stop(self):
        self.run(self._cancel_all())
        self.loop.call_soon_threadsafe(self.loop.stop)
        self.thread.join(5)
        self.loop.close()

    @staticmethod
    async def _cancel_all():
        tasks = asyncio.all_tasks() - {asyncio.current_task()}
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


class ConnectionSource:
    """The owner of the connecting socket, looked up on first use."""

    def __init__(self, endpoints, find_owner):
        self.endpoints = endpoints
        self.find_owner = find_owner
        self.is_resolved = False
        self.name = None

    def owner(self):
        if not self.is_resolved:
            self.name = self.find_owner(self.endpoints)
            self.is_resolved = True
        return self.name


class TcpProxy:
    """Forwards connections from one address to another."""

    def __init__(self, proxy_loop, listen, target, find_owner=None):
        """find_owner(endpoints) returns the name of the owner of a connecting socket,
        or None; see socket_owner()."""
        self.proxy_loop = proxy_loop
        self.listen = listen
        self.target = target
        self.find_owner = find_owner or (lambda endpoints: None)
        self.is_cut_for_all = False
        self.cut_owners = set()
        self.is_response_cut = False
        self.delay_seconds = 0.0
        self.bytes_per_second = 0  # Of responses; 0: no limit.
        self.free_at = 0.0  # When the limited link has sent what it was given.
        self.server = None
        self.writers = set()
        self.bytes_forwarded = 0  # Total of both directions.

    def start(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = self.proxy_loop.run(
            asyncio.start_server(self._serve, host, int(port))
        )

    def stop(self):
        self.proxy_loop.run(self._close())

    def cut(self, *owners):
        """Holds back the bytes of all connections, or only of connections from
        these owners."""
        if owners:
            self.cut_owners |= set(owners)
        else:
            self.is_cut_for_all = True

    def cut_responses(self):
        """Holds back only the bytes that come from the target."""
        self.is_response_cut = True

    def heal(self):
        """Removes all cuts, the delay and the limit."""
        self.is_cut_for_all = False
        self.is_response_cut = False
        self.cut_owners = set()
        self.delay_seconds = 0.0
        self.bytes_per_second = 0

    def narrow(self, bytes_per_second):
        """Limits the bytes that come from the target, over all connections."""
        self.bytes_per_second = bytes_per_second

    def delay(self, seconds):
        """Delays all further bytes by this number of seconds."""
        self.delay_seconds = seconds

    def drop_connections(self):
        """Resets all open connections; new ones are still accepted."""

        async def drop():
            for writer in list(self.writers):
                writer.transport.abort()

        self.proxy_loop.run(drop())

    def _is_cut(self, source):
        if self.is_cut_for_all or not self.cut_owners:
            return self.is_cut_for_all
        return source.owner() in self.cut_owners

    async def _close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            await self._forward_connection(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()  # The cluster is stopping.

    async def _forward_connection(self, reader, writer):
        endpoints = [writer.get_extra_info(it) for it in ("peername", "sockname")]
        source = ConnectionSource(endpoints, self.find_owner)
        while self._is_cut(source):
            await asyncio.sleep(POLL_SECONDS)
        host, port = self.target.rsplit(":", 1)
        try:
            target_reader, target_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, target_writer}
        try:
            await asyncio.gather(
                self._forward(source, reader, target_writer, is_response=False),
                self._forward(source, target_reader, writer, is_response=True),
            )
        finally:
            self.writers -= {writer, target_writer}
            writer.close()
            target_writer.close()

    async def _wait_for_link(self, size):
        """Waits until the limited link has sent this many more bytes."""
        now = self.proxy_loop.loop.time()
        self.free_at = max(self.free_at, now) + size / self.bytes_per_second
        await asyncio.sleep(self.free_at - now)

    async def _forward(self, source, reader, writer, is_response):
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                if is_response and self.bytes_per_second:
                    await self._wait_for_link(len(data))
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                while self._is_cut(source) or (is_response and self.is_response_cut):
                    await asyncio.sleep(POLL_SECONDS)
                if not data:
                    writer.write_eof()
                    return
                self.bytes_forwarded += len(data)
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            writer.transport.abort()


def socket_owner(endpoints, processes):
    """Returns the name of the process that owns the socket of a TCP connection, or
    None. endpoints: addresses, as of socket.getsockname(), of the socket and of its
    peer."""
    inode = _find_inode(*endpoints)
    for process in processes:
        if process.is_running() and inode in _find_process_inodes(process.pid):
            return process.name
    return None


def _find_inode(local, peer):
    """Returns the inode of one TCP socket as text, or None. Asks the kernel for that
    socket only; /proc/net/tcp lists all of the machine, also those in TIME_WAIT. See
    sock_diag(7) for the messages."""
    addresses = b"".join(
        socket.inet_aton(host) + bytes(12) for host, _ in (local, peer)
    )
    ports = struct.pack("!HH", local[1], peer[1])
    any_interface, no_cookie, all_states = 0, 0xFFFFFFFF, 0xFFFFFFFF
    request = struct.pack("=BBBBI", socket.AF_INET, socket.IPPROTO_TCP, 0, 0, all_states)
    request += ports + addresses
    request += struct.pack("=III", any_interface, no_cookie, no_cookie)
    header = struct.pack(
        "=IHHII", NETLINK_HEADER_BYTES + len(request), SOCK_DIAG_BY_FAMILY, NLM_F_REQUEST, 1, 0
    )
    with socket.socket(socket.AF_NETLINK, socket.SOCK_RAW, NETLINK_SOCK_DIAG) as link:
        link.send(header + request)
        response = link.recv(CHUNK_BYTES)
    if struct.unpack_from("=IH", response)[1] != SOCK_DIAG_BY_FAMILY:
        return None  # An error: there is no such socket.
    return str(struct.unpack_from("=I", response, INODE_OFFSET)[0])


def _find_process_inodes(pid):
    inodes = set()
    folder = f"/proc/{pid}/fd"
    try:
        names = os.listdir(folder)
    except OSError:
        return inodes
    for name in names:
        try:
            link = os.readlink(os.path.join(folder, name))
        except OSError:
            continue
        if link.startswith("socket:["):
            inodes.add(link[len("socket:["):-1])
    return inodes
