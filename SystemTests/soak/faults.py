"""The troubles of a soak. Each is a series of timed acts on the cluster; the
acts of several overlap."""

import asyncio
import time
from dataclasses import dataclass
from typing import Callable


@dataclass(order=True)
class Act:
    """One thing that is done from outside at a time."""

    at: float  # Seconds from the soak's start.
    number: int
    text: str = ""
    do: Callable = None


class Faults:
    """Draws troubles and turns them into acts, all from one seed."""

    def __init__(self, rng, cluster, record):
        self.rng = rng
        self.cluster = cluster
        self.record = record
        self.acts = []
        self.busy = {}  # Node or upstream -> when it is whole again.

    def draw(self, count, seconds):
        """The acts of that many troubles, which begin within that time, in the
        order of time."""
        kinds = [
            self.kill, self.kill_all, self.freeze, self.release, self.signals,
            self.cut_store, self.store_trouble, self.crash, self.drain,
            self.upstream_trouble,
        ]
        for _ in range(count):
            self.rng.choice(kinds)(self.rng.uniform(1, seconds))
        return sorted(self.acts)

    def _act(self, at, text, do):
        self.acts.append(Act(at, len(self.acts), text, do))

    def _take(self, thing, at, seconds):
        """Whether nothing else is done to it meanwhile."""
        if at < self.busy.get(id(thing), 0):
            return False
        self.busy[id(thing)] = at + seconds
        return True

    def _apart(self, node, at, seconds, name, begin, end):
        """Trouble of one node, during which it counts as out of touch."""
        if not self._take(node, at, seconds + 0.5):
            return

        def start():
            self.record.lose_touch(node.name, time.monotonic())
            begin()

        def stop():
            end()
            self.record.regain_touch(node.name, time.monotonic())

        self._act(at, f"{name} {node.name}", start)
        self._act(at + seconds, f"{name} {node.name} is over", stop)

    def kill(self, at):
        node = self.rng.choice(self.cluster.nodes)
        down = self.rng.uniform(0.1, 2)
        self._apart(
            node, at, down, "kill", node.process.kill, node.process.start
        )

    def kill_all(self, at):
        for node in self.cluster.nodes:
            self._apart(
                node, at, 0.3, "kill all:", node.process.kill,
                node.process.start,
            )

    def freeze(self, at):
        node = self.rng.choice(self.cluster.nodes)
        pause = self.rng.choice([0.3, 1, 3, 6])
        self._apart(
            node, at, pause, "freeze", node.process.freeze, node.process.thaw
        )

    def release(self, at):
        """One node after the other is asked to leave and started again."""
        for node in self.cluster.nodes:
            self._leave(node, at)
            at += self.rng.choice([0.5, 3])

    def _leave(self, node, at):
        def begin():
            now = time.monotonic()
            self.record.node_leaves[node.name].append([now, now + 3600])
            node.process.terminate()

        def end():
            code = node.process.wait(10)
            self.record.node_leaves[node.name][-1][1] = time.monotonic()
            if code != 0:
                self.record.exits.append(f"{node.name} left with {code}")
                node.process.kill()
            node.process.start()

        self._apart(node, at, 5, "leave", begin, end)

    def signals(self, at):
        """The settings file changes, some times with a signal and some wrong."""
        node = self.rng.choice(self.cluster.nodes)
        if not self._take(node, at, 1.5):
            return  # A process doesn't start with wrong settings.
        for n in range(3):
            extra = self.rng.choice(["", "--repeat_ratio=0.1", "--grace_s=oops"])
            signalled = self.rng.random() < 0.5
            self._act(
                at + n * 0.2, f"new settings {extra} {node.name}",
                lambda extra=extra, signalled=signalled: self._reload(
                    node, extra, signalled
                ),
            )
        self._act(at + 1, f"old settings {node.name}",
                  lambda: self._reload(node, "", True))

    def _reload(self, node, extra, signalled):
        node.write_settings(self.cluster.seeds(), extra)
        if signalled and node.process.running():
            node.process.hang_up()

    def cut_store(self, at):
        """One node doesn't reach the store, or slowly, or is thrown out."""
        node = self.rng.choice(self.cluster.nodes)
        relay = node.store_relay
        begin = self.rng.choice(
            [relay.cut, relay.cut_answers, relay.drop_connections,
             lambda: relay.delay(0.3)]
        )
        self._apart(
            node, at, self.rng.choice([1, 4, 7]), "cut the store from", begin,
            relay.heal,
        )

    def store_trouble(self, at):
        """The store is away, slow, silent or loses answers, for all."""
        kind = self.rng.choice(["away", "slow", "silent", "lost"])
        seconds = self.rng.choice([0.5, 3, 6])
        if not self._take(self.cluster.store, at, seconds + 0.5):
            return

        def begin():
            for node in self.cluster.nodes:
                self.record.lose_touch(node.name, time.monotonic())
            self.cluster.store.trouble = kind

        def end():
            self.cluster.store.trouble = None
            for node in self.cluster.nodes:
                self.record.regain_touch(node.name, time.monotonic())

        self._act(at, f"store {kind}", begin)
        self._act(at + seconds, "store is back", end)

    def crash(self, at):
        upstream = self.rng.choice(self.cluster.upstreams)
        down = self.rng.choice([0.1, 1, 3])
        if not self._take(upstream, at, down + 0.2):
            return
        run = self.cluster.loop.run
        self._act(at, f"crash {upstream.address}", lambda: run(upstream.crash()))
        self._act(at + down, f"start {upstream.address}",
                  lambda: run(upstream.start()))

    def drain(self, at):
        upstream = self.rng.choice(self.cluster.upstreams)
        serves = self.rng.choice([3, 5])
        if not self._take(upstream, at, serves + 1):
            return

        def begin():
            self.record.leaving[upstream.id] = time.monotonic()
            asyncio.run_coroutine_threadsafe(
                upstream.drain(serves), self.cluster.loop.loop
            )

        self._act(at, f"drain {upstream.address}", begin)
        self._act(at + serves + 0.5, f"start {upstream.address}",
                  lambda: self.cluster.loop.run(upstream.start()))

    def upstream_trouble(self, at):
        upstream = self.rng.choice(self.cluster.upstreams)
        kind = self.rng.choice(
            ["lost", "half", "errors", "hang", "shed", "slow", "crossed"]
        )
        seconds = self.rng.choice([0.5, 2, 5])
        if not self._take(upstream, at, seconds + 0.2):
            return

        def change(trouble):
            upstream.trouble = trouble

        self._act(at, f"{upstream.address} {kind}", lambda: change(kind))
        self._act(at + seconds, f"{upstream.address} is sound",
                  lambda: change(None))
