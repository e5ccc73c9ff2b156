"""Generates the faults of a soak. Each fault is a series of timed actions on the
cluster; the actions of different faults can overlap."""

import asyncio
import time
from dataclasses import dataclass
from typing import Callable

from users_platform.wire import BROKEN_HEADS


@dataclass(order=True)
class FaultAction:
    """One action on the cluster and the time at which it is due."""

    start_time: float  # Seconds since the start of the soak.
    number: int  # Order of creation; orders actions that are due together.
    text: str = ""
    run: Callable = None


class FaultSchedule:
    """Generates faults from one seed and schedules their actions."""

    def __init__(
        self, rng, cluster, record, path_rng=None, zone_rng=None, response_rng=None
    ):
        """path_rng: draws the faults of paths and of leaving; apart from the others,
        so that a seed's other faults stay what they were before these were added.
        None: there are none. zone_rng: the same for evacuations. response_rng: the same
        for broken responses."""
        self.rng = rng
        self.path_rng = path_rng
        self.zone_rng = zone_rng
        self.response_rng = response_rng
        self.cluster = cluster
        self.record = record
        self.actions = []
        self.reserved_until = {}  # id(target) -> time of release.

    def generate(self, count, seconds):
        """Returns the actions of this many faults, which begin within this
        number of seconds, ordered by time."""
        kinds = [
            self.kill, self.kill_all, self.suspend, self.rolling_restart,
            self.change_settings, self.disturb_store_connection,
            self.disturb_store, self.crash, self.drain, self.disturb_upstream,
            self.pause_engines,
        ]
        for _ in range(count):
            self.rng.choice(kinds)(self.rng.uniform(1, seconds))
        if self.path_rng is not None:
            for _ in range(max(1, count // 4)):
                self.cut_off(self.path_rng.uniform(1, seconds))
                self.state_leaving(self.path_rng.uniform(1, seconds))
        if self.zone_rng is not None:
            self.evacuate(self.zone_rng.uniform(1, seconds / 2))
        if self.response_rng is not None:
            for _ in range(max(1, count // 4)):
                self.break_responses(self.response_rng.uniform(1, seconds))
        return sorted(self.actions)

    def _schedule(self, start_time, text, run):
        self.actions.append(FaultAction(start_time, len(self.actions), text, run))

    def _reserve(self, target, start_time, seconds):
        """Reserves a node, an upstream or the store for a fault. Returns False
        when an earlier fault of it has not ended by then."""
        if start_time < self.reserved_until.get(id(target), 0):
            return False
        self.reserved_until[id(target)] = start_time + seconds
        return True

    def _schedule_node_fault(
        self, node, start_time, seconds, name, start_fault, end_fault
    ):
        """Schedules a fault of one node, which counts as disconnected while the
        fault lasts. Returns False when another fault of it has not ended by then."""
        if not self._reserve(node, start_time, seconds + 0.5):
            return False

        def start():
            self.record.mark_disconnected(node.name, time.monotonic())
            start_fault()

        def stop():
            end_fault()
            self.record.mark_reconnected(node.name, time.monotonic())

        self._schedule(start_time, f"{name} {node.name}", start)
        self._schedule(start_time + seconds, f"{name} {node.name} is over", stop)
        return True

    def kill(self, start_time):
        """Kills a node and restarts it 0.1 to 2 s later."""
        node = self.rng.choice(self.cluster.nodes)
        downtime = self.rng.uniform(0.1, 2)
        self._schedule_node_fault(
            node, start_time, downtime, "kill", node.process.kill,
            node.process.start
        )

    def kill_all(self, start_time):
        """Kills all nodes at once and restarts them 0.3 s later."""
        for node in self.cluster.nodes:
            self._schedule_node_fault(
                node, start_time, 0.3, "kill all:", node.process.kill,
                node.process.start,
            )

    def suspend(self, start_time):
        """Suspends a node with SIGSTOP for 0.3 to 6 s."""
        node = self.rng.choice(self.cluster.nodes)
        pause = self.rng.choice([0.3, 1, 3, 6])
        self._schedule_node_fault(
            node, start_time, pause, "freeze", node.process.suspend,
            node.process.resume
        )

    def rolling_restart(self, start_time):
        """Terminates and restarts all nodes, one after the other."""
        for node in self.cluster.nodes:
            self._terminate_and_restart(node, start_time)
            start_time += self.rng.choice([0.5, 3])

    def _terminate_and_restart(self, node, start_time):
        def start_fault():
            now = time.monotonic()
            self.record.termination_spans[node.name].append([now, now + 3600])
            node.process.terminate()

        def end_fault():
            code = node.process.wait(10)
            self.record.termination_spans[node.name][-1][1] = time.monotonic()
            if code != 0:
                self.record.failed_exits.append(
                    f"{node.name} exited with {code} after SIGTERM"
                )
                node.process.kill()
            node.process.start()

        self._schedule_node_fault(
            node, start_time, 5, "terminate", start_fault, end_fault
        )

    def change_settings(self, start_time):
        """Changes the settings file of a node several times, with and without
        SIGHUP, in part to invalid settings."""
        node = self.rng.choice(self.cluster.nodes)
        if not self._reserve(node, start_time, 1.5):
            return  # With invalid settings, another fault could not restart it.
        for n in range(3):
            extra = self.rng.choice(["", "--repeat_ratio=0.1", "--grace_s=oops"])
            send_signal = self.rng.random() < 0.5
            self._schedule(
                start_time + n * 0.2, f"new settings {extra} {node.name}",
                lambda extra=extra, send_signal=send_signal: self._reload(
                    node, extra, send_signal
                ),
            )
        self._schedule(
            start_time + 1, f"old settings {node.name}",
            lambda: self._reload(node, "", True)
        )

    def _reload(self, node, extra, send_signal):
        node.write_settings(self.cluster.seeds(), extra)
        if send_signal and node.process.is_running():
            node.process.send_sighup()

    def disturb_store_connection(self, start_time):
        """Disturbs the connection of one node to the store: cut, responses cut,
        reset or delayed."""
        node = self.rng.choice(self.cluster.nodes)
        proxy = node.store_proxy
        start_fault = self.rng.choice(
            [proxy.cut, proxy.cut_responses, proxy.drop_connections,
             lambda: proxy.delay(0.3)]
        )
        self._schedule_node_fault(
            node, start_time, self.rng.choice([1, 4, 7]),
            "disturb the store connection of", start_fault, proxy.heal,
        )

    def disturb_store(self, start_time):
        """Makes the store unavailable, slow or silent, or makes it lose its
        responses, for all nodes."""
        kind = self.rng.choice(["away", "slow", "silent", "lost"])
        seconds = self.rng.choice([0.5, 3, 6])
        if not self._reserve(self.cluster.store, start_time, seconds + 0.5):
            return

        def start_fault():
            for node in self.cluster.nodes:
                self.record.mark_disconnected(node.name, time.monotonic())
            self.cluster.store.fault = kind

        def end_fault():
            self.cluster.store.fault = None
            for node in self.cluster.nodes:
                self.record.mark_reconnected(node.name, time.monotonic())

        self._schedule(start_time, f"store {kind}", start_fault)
        self._schedule(start_time + seconds, "store fault is over", end_fault)

    def crash(self, start_time):
        """Crashes an upstream and restarts it."""
        upstream = self.rng.choice(self.cluster.upstreams)
        downtime = self.rng.choice([0.1, 1, 3])
        if not self._reserve(upstream, start_time, downtime + 0.2):
            return
        run = self.cluster.loop.run
        self._schedule(
            start_time, f"crash {upstream.address}", lambda: run(upstream.crash())
        )
        self._schedule(
            start_time + downtime, f"start {upstream.address}",
            lambda: run(upstream.start())
        )

    def drain(self, start_time):
        """Lets an upstream report that it leaves, serve for some seconds, exit and
        start again."""
        upstream = self.rng.choice(self.cluster.upstreams)
        serving_seconds = self.rng.choice([3, 5])
        if not self._reserve(upstream, start_time, serving_seconds + 1):
            return

        def start_fault():
            self.record.left_at[upstream.id] = time.monotonic()
            asyncio.run_coroutine_threadsafe(
                upstream.drain(serving_seconds), self.cluster.loop.loop
            )

        self._schedule(start_time, f"drain {upstream.address}", start_fault)
        self._schedule(
            start_time + serving_seconds + 0.5, f"start {upstream.address}",
            lambda: self.cluster.loop.run(upstream.start())
        )

    def disturb_upstream(self, start_time):
        """Makes an upstream fail in one way, or pause, for some seconds."""
        upstream = self.rng.choice(self.cluster.upstreams)
        kind = self.rng.choice(
            ["lost", "half", "errors", "hang", "shed", "slow", "crossed", "pause"]
        )
        seconds = self.rng.choice([0.5, 2, 5])
        if not self._reserve(upstream, start_time, seconds + 0.2):
            return

        def set_fault(fault):
            upstream.fault = fault

        self._schedule(
            start_time, f"{upstream.address} {kind}", lambda: set_fault(kind)
        )
        self._schedule(
            start_time + seconds, f"{upstream.address} fault is over",
            lambda: set_fault(None)
        )

    def cut_off(self, start_time):
        """Partitions some nodes, or all of a zone, from all upstreams. Callers, the
        store and the other nodes still reach them."""
        rng = self.path_rng
        nodes = rng.sample(self.cluster.nodes, rng.choice([1, 2, 3]))
        if rng.random() < 0.3:
            nodes = [it for it in self.cluster.nodes if it.zone == nodes[0].zone]
        how = rng.choice(["hang", "reset", "live"])
        seconds = rng.choice([1, 4, 7])
        if not self._reserve(self.cluster, start_time, seconds + 0.5):
            return
        nodes = [
            it for it in nodes if self._schedule_node_fault(
                it, start_time, seconds, "cut off", lambda: None, lambda: None
            )
        ]
        self._schedule(
            start_time, f"upstreams {how} for {[it.name for it in nodes]}",
            lambda: self.cluster.cut_off(nodes, how),
        )
        self._schedule(start_time + seconds, "paths are healed", self.cluster.heal)

    def state_leaving(self, start_time):
        """Lets an upstream say in its responses that it leaves, while the list says
        that it is ready, and start again later, at times under the same id."""
        rng = self.path_rng
        upstream = rng.choice(self.cluster.upstreams)
        serving_seconds = rng.choice([3, 6])
        keeps_id = rng.random() < 0.5
        if not self._reserve(upstream, start_time, serving_seconds + 1):
            return

        def start_fault():
            upstream.states_leaving = True

        async def restart():
            await upstream.crash()
            await upstream.start(keeps_id)

        self._schedule(
            start_time, f"{upstream.address} states its leaving", start_fault
        )
        self._schedule(
            start_time + serving_seconds, f"restart {upstream.address}",
            lambda: self.cluster.loop.run(restart()),
        )

    def evacuate(self, start_time):
        """Evacuates a zone for some seconds. At times its upstreams become cold
        moments before it is taken back, without saying so in their entries yet."""
        rng = self.zone_rng
        zone = rng.choice(sorted({it.zone for it in self.cluster.upstreams}))
        seconds = rng.choice([7, 9])  # Beyond the bound.
        becomes_cold = rng.random() < 0.7
        store = self.cluster.store
        evacuation = [zone, None, None]

        def start_fault():
            store.evacuate(zone)
            evacuation[1] = time.monotonic()
            self.record.evacuations.append(evacuation)

        def end_fault():
            for upstream in self.cluster.upstreams:
                if becomes_cold and upstream.zone == zone:
                    upstream.cool()
            evacuation[2] = time.monotonic()
            store.take_back(zone)

        self._schedule(start_time, f"evacuate {zone}", start_fault)
        self._schedule(start_time + seconds, f"take back {zone}", end_fault)

    def break_responses(self, start_time):
        """Makes an upstream, or at times the store, send responses that are broken."""
        rng = self.response_rng
        target = rng.choice([*self.cluster.upstreams, self.cluster.store])
        kinds = [*BROKEN_HEADS]
        if target is not self.cluster.store:
            kinds.append("broken_chunk")
        kind = rng.choice(kinds)
        seconds = rng.choice([0.5, 1.5])
        if not self._reserve(target, start_time, seconds + 0.2):
            return

        def set_fault(fault):
            if target is self.cluster.store:
                mark = self.record.mark_disconnected if fault else self.record.mark_reconnected
                for node in self.cluster.nodes:
                    mark(node.name, time.monotonic())
            target.fault = fault

        name = getattr(target, "address", "store")
        self._schedule(start_time, f"{name} {kind}", lambda: set_fault(kind))
        self._schedule(
            start_time + seconds, f"{name} fault is over", lambda: set_fault(None)
        )

    def pause_engines(self, start_time):
        """Makes one decode engine pause for some seconds while all others pause too
        or refuse requests."""
        engines = [it for it in self.cluster.upstreams if it.service == "lm"]
        number = self.rng.randrange(len(engines))
        other_kind = self.rng.choice(["pause", "shed"])
        seconds = self.rng.choice([0.5, 2, 5])
        engines = [
            it for it in engines if self._reserve(it, start_time, seconds + 0.2)
        ]

        def start_fault():
            # Engines change their stage, so it is known only now which ones decode.
            decodes = [it for it in engines if it.stage == "decode"]
            for n, engine in enumerate(decodes):
                is_first = n == number % len(decodes)
                engine.fault = "pause" if is_first else other_kind

        def end_fault():
            for engine in engines:
                engine.fault = None

        self._schedule(start_time, f"pause engines, others {other_kind}", start_fault)
        self._schedule(start_time + seconds, "engines no longer pause", end_fault)
