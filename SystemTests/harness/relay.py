"""TCP relays that can be cut, delayed and healed.

A relay stands in for the network before one address. A cut holds back all
bytes of the connections it applies to, in both directions, as a broken network
does; after heal() they flow again. Cuts can be limited to connections from
certain processes, which are told apart by the owner of the connecting socket.
"""

import asyncio
import os
import threading

CHUNK_BYTES = 65536
POLL_SECONDS = 0.01


class RelayLoop:
    """The thread that runs all relays of one cluster."""

    def __init__(self):
        self.loop = asyncio.new_event_loop()
        self.thread = threading.Thread(target=self.loop.run_forever, daemon=True)
        self.thread.start()

    def run(self, coroutine):
        """Runs a coroutine on the loop and returns its result."""
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


class Source:
    """Who a connection comes from, looked up when first asked for."""

    def __init__(self, port, owner_of):
        self.port = port
        self.owner_of = owner_of
        self.known = False
        self.name = None

    def owner(self):
        if not self.known:
            self.name = self.owner_of(self.port)
            self.known = True
        return self.name


class Relay:
    """Passes connections to one address on to another."""

    def __init__(self, relays, listen, target, owner_of=None):
        """owner_of(local_port) names the owner of a connecting socket."""
        self.relays = relays
        self.listen = listen
        self.target = target
        self.owner_of = owner_of or (lambda port: None)
        self.cut_all = False
        self.cut_owners = set()
        self.answers_cut = False
        self.delay_seconds = 0.0
        self.server = None
        self.writers = set()
        self.bytes_passed = 0  # In both directions.

    def start(self):
        host, port = self.listen.rsplit(":", 1)
        self.server = self.relays.run(
            asyncio.start_server(self._serve, host, int(port))
        )

    def stop(self):
        self.relays.run(self._close())

    def cut(self, *owners):
        """Holds back all bytes, or those of these owners' connections."""
        if owners:
            self.cut_owners |= set(owners)
        else:
            self.cut_all = True

    def cut_answers(self):
        """Holds back the bytes that come from the target only."""
        self.answers_cut = True

    def heal(self):
        """Ends every cut and delay."""
        self.cut_all = False
        self.answers_cut = False
        self.cut_owners = set()
        self.delay_seconds = 0.0

    def delay(self, seconds):
        """Passes bytes on after this time."""
        self.delay_seconds = seconds

    def drop_connections(self):
        """Closes all connections; new ones are taken."""

        async def drop():
            for writer in list(self.writers):
                writer.transport.abort()

        self.relays.run(drop())

    def _is_cut(self, source):
        if self.cut_all or not self.cut_owners:
            return self.cut_all
        return source.owner() in self.cut_owners

    async def _close(self):
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        try:
            await self._pass_on(reader, writer)
        except asyncio.CancelledError:
            writer.transport.abort()  # The cluster stops.

    async def _pass_on(self, reader, writer):
        port = writer.get_extra_info("peername")[1]
        source = Source(port, self.owner_of)
        while self._is_cut(source):
            await asyncio.sleep(POLL_SECONDS)
        host, port = self.target.rsplit(":", 1)
        try:
            far_reader, far_writer = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, far_writer}
        try:
            await asyncio.gather(
                self._pump(source, reader, far_writer, answers=False),
                self._pump(source, far_reader, writer, answers=True),
            )
        finally:
            self.writers -= {writer, far_writer}
            writer.close()
            far_writer.close()

    async def _pump(self, source, reader, writer, answers):
        try:
            while True:
                data = await reader.read(CHUNK_BYTES)
                if self.delay_seconds:
                    await asyncio.sleep(self.delay_seconds)
                while self._is_cut(source) or (answers and self.answers_cut):
                    await asyncio.sleep(POLL_SECONDS)
                if not data:
                    writer.write_eof()
                    return
                self.bytes_passed += len(data)
                writer.write(data)
                await writer.drain()
        except (OSError, RuntimeError):
            writer.transport.abort()


def socket_owner(local_port, processes):
    """The name of the process that owns a TCP socket with this local port."""
    inodes = _inodes_of_port(local_port)
    for process in processes:
        if process.running() and inodes & _inodes_of_process(process.pid):
            return process.name
    return None


def _inodes_of_port(local_port):
    inodes = set()
    for path in ("/proc/net/tcp", "/proc/net/tcp6"):
        with open(path) as table:
            for line in list(table)[1:]:
                fields = line.split()
                if int(fields[1].rsplit(":", 1)[1], 16) == local_port:
                    inodes.add(fields[9])
    return inodes


def _inodes_of_process(pid):
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
