"""A small deployment for the scripts of this review: nodes of the deploy file as
separate processes on loopback addresses, the users' platform and runners as the
project's own stand-ins (platform/tests/users_platform), and a record of what
happened."""

import asyncio
import json
import os
import re
import shutil
import socket
import sys
import tempfile
import threading
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
sys.path[:0] = [os.path.join(ROOT, "SystemTests"), os.path.join(ROOT, "platform", "tests")]

from harness.caller import call  # noqa: E402
from harness.process import Process, wait_until  # noqa: E402
from harness.tcp_proxy import ProxyLoop, TcpProxy  # noqa: E402
from users_platform import upstreams as standins  # noqa: E402
from users_platform.callers import Caller  # noqa: E402
from users_platform.store import Store  # noqa: E402
from users_platform.upstreams import SharedState, Upstream  # noqa: E402
from users_platform.wire import response_bytes  # noqa: E402

NODE = os.path.join(ROOT, "target", "peridothoist-node")
ZONES = ("z-uno", "z-dos", "z-tres")
DIRECTORY, FRONT, READY, CONTROL, STORE = 8220, 8221, 8224, 8229, 8225
FIRST_PORT = 7600
HEARTBEAT_SECONDS = 1.2  # heartbeatMs of DEPLOY.md.

HELD, BROKEN, CANNOT_RUN = 0, 1, 2

# The settings of DEPLOY.md's example and of the small deployments' sheets.
BOUNDS = {
    "revokeMs": 5000, "configApplyMs": 2000, "drainMs": 2000, "quotaWindowS": 8,
    "graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10,
}


def render(template, fields):
    """Fills in a template as DEPLOY.md tells: values and sections."""

    def look_up(name):
        value = fields
        for part in name.split("."):
            value = value[int(part)] if isinstance(value, list) else (value or {}).get(part)
            if value is None:
                return None
        return value

    def section(match):
        return match.group(2) if look_up(match.group(1)) else ""

    def value(match):
        found = look_up(match.group(1))
        if isinstance(found, list):
            return ",".join(map(str, found))
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)\}\}", value, text)


def run_command():
    """Returns the command of the deploy file's role."""
    with open(os.path.join(ROOT, "deploy", "system.toml")) as file:
        command = re.search(r'^run = "(.*)"', file.read(), re.M).group(1)
    return [os.path.join(ROOT, command.split()[0]), *command.split()[1:]]


def free_network(count):
    """Returns the prefix of a loopback network of which no address is in use."""
    for n in range(200):
        network = f"127.{60 + (os.getpid() + n) % 150}.{1 + (os.getpid() // 150 + n) % 250}"
        try:
            for host in (2, *range(10, 10 + count)):
                for port in (FRONT, STORE):
                    with socket.socket() as it:
                        it.bind((f"{network}.{host}", port))
            return network
        except OSError:
            continue
    raise OSError("no free loopback network")


class Record:
    """Writes record.txt, one line an event, with seconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.lock = threading.Lock()
        self.file = open(os.path.join(folder, "record.txt"), "w")

    def __call__(self, text):
        with self.lock:
            self.file.write(f"{time.monotonic() - self.started:8.3f} {text}\n")
            self.file.flush()


class Node:
    """One machine's process. Its calls to the store go through a proxy."""

    def __init__(self, deployment, number, memory_mb):
        self.deployment = deployment
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.host = f"{deployment.network}.{10 + number}"
        self.memory_mb = memory_mb
        self.front = f"{self.host}:{FRONT}"
        self.store_proxy = TcpProxy(
            deployment.loop, f"{self.host}:{STORE}", deployment.store.server.address
        )
        self.settings = os.path.join(deployment.folder, self.name + ".flags")
        self.process = Process(
            self.name, run_command(), deployment.folder,
            {"PERIDOTHOIST_NODE_FILE": self.settings},
        )

    def write_settings(self, seeds):
        address = f"{self.host}:"
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.host,
            "portRange": [FIRST_PORT, FIRST_PORT + 15], "seeds": seeds,
            "listen": {
                "front": address + str(FRONT), "ready": address + str(READY),
                "control": address + str(CONTROL), "directory": address + str(DIRECTORY),
            },
            "limits": {"memoryMb": self.memory_mb},
            "platform": {"address": address + str(STORE)},
            "bounds": BOUNDS,
        }
        with open(os.path.join(ROOT, "deploy", "node.flags")) as file:
            text = render(file.read(), fields)
        with open(self.settings, "w") as file:
            # Runners tell machines apart by the address of their calls.
            file.write(text + f"--call_from={self.host}\n")

    def is_ready(self):
        return call(f"{self.host}:{READY}", "GET", "/-/ready", timeout=1).status == 200


class EraStore(Store):
    """The store, which states its era in all answers."""

    era = 1

    async def _handle(self, request, writer):
        if self.fault == "away":
            writer.transport.abort()
            return False
        status, body = self._respond(request)
        headers = {"Store-Era": self.era, "Content-Type": "application/json"}
        writer.write(response_bytes(status, headers, json.dumps(body).encode()))
        return True


class Deployment:
    """Nodes, the store and runners."""

    def __init__(self, record, configuration, nodes=6, plain=3, prefills=0, decodes=0,
                 versions=("v1",), memory_mb=110, others=None, store=EraStore):
        self.record = record
        self.configuration = configuration
        self.network = free_network(60)
        self.folder = tempfile.mkdtemp(prefix="peridothoist-review-")
        self.loop = ProxyLoop()
        self.store = store(f"{self.network}.2:{STORE}")
        self.runners_state = SharedState(self.store)
        self.nodes = [Node(self, n, memory_mb) for n in range(nodes)]
        kinds = [("ledger", None)] * plain
        for service, count in (others or {}).items():
            kinds += [(service, None)] * count
        kinds += [("lm", "prefill")] * prefills + [("lm", "decode")] * decodes
        self.runners = [
            Upstream(
                self.runners_state, service, ZONES[n % len(ZONES)],
                f"{self.network}.{100 + n}:9000", stage=stage,
                version=versions[n % len(versions)],
            )
            for n, (service, stage) in enumerate(kinds)
        ]

    def run(self, coroutine):
        return self.loop.run(coroutine)

    def on_loop(self, function, *args):
        """Calls a function on the thread of the stand-ins; returns its result."""

        async def invoke():
            return function(*args)

        return self.loop.run(invoke())

    def start(self):
        standins.HEARTBEAT_SECONDS = HEARTBEAT_SECONDS
        self.run(self.store.server.start())
        self.on_loop(self.store.put, "op", "config", self.configuration)
        for runner in self.runners:
            self.run(runner.start())
            time.sleep(HEARTBEAT_SECONDS / len(self.runners))  # They don't write at once.
        seeds = [f"{node.host}:{CONTROL}" for node in self.nodes[:3]]
        for node in self.nodes:
            node.store_proxy.start()
            node.write_settings(seeds)
            node.process.start()
        for node in self.nodes:
            wait_until(node.is_ready, 20, f"{node.name} is ready")
        self.record(f"{len(self.nodes)} nodes ready, {len(self.runners)} runners")

    def stop(self):
        for node in self.nodes:
            if node.process.is_running():
                node.process.resume()
                node.process.kill()
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(self.folder, keep, dirs_exist_ok=True)
        for node in self.nodes:
            if node.store_proxy.server is not None:
                node.store_proxy.stop()
        self.runners_state.is_stopped = True
        for runner in self.runners:
            self.run(runner.crash())
        self.run(self.store.server.stop())
        self.run(asyncio.sleep(0.05))
        self.loop.stop()
        shutil.rmtree(self.folder, ignore_errors=True)


def main(folder, play, with_trouble, **deployment):
    """Plays a case: play(deployment, record, with_trouble) returns whether the rule
    held. Ends with the exit code that the issue asks for."""
    record = Record(folder)
    record("with the disruption" if with_trouble else "without the disruption")
    it = None
    code = CANNOT_RUN
    try:
        it = Deployment(record, **deployment)
        it.start()
        held = play(it, record, with_trouble)
        code = CANNOT_RUN if held is None else HELD if held else BROKEN
    except Exception as error:  # The case couldn't run.
        record(f"could not run: {error!r}")
    finally:
        if it is not None:
            try:
                it.stop()
            except Exception as error:
                record(f"while stopping: {error!r}")
    record({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}[code])
    sys.exit(code)
