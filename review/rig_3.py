"""Starts a small deployment for the scripts of this review: the node processes with the
command and the settings template of the deploy file, and the project's own stand-ins for
the store and the runners. All addresses are loopback addresses."""

import asyncio
import os
import re
import shutil
import socket
import sys
import tempfile
import time
import tomllib

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [os.path.join(ROOT, "SystemTests"), os.path.join(ROOT, "platform", "tests")]

from harness.caller import call  # noqa: E402
from harness.process import Process, wait_until  # noqa: E402
from harness.tcp_proxy import ProxyLoop  # noqa: E402
from users_platform import upstreams  # noqa: E402
from users_platform.store import Store  # noqa: E402

CLIENTS, READY, DIRECTORY, CONTROL, STORE = 8221, 8224, 8220, 8229, 8225
PORT_RANGE = (7600, 7615)
RUNNER_PORT = 9000
HEARTBEAT_SECONDS = 1.2  # heartbeatMs of DEPLOY.md.
ZONES = ("zone-a", "zone-b", "zone-c")

# The bounds of the association's sheet in SYSTEM.md.
BOUNDS = {
    "seedLagS": 3, "reuseAfterS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "maxSkewMs": 5000, "revokeStrict": True, "revokeMs": 5000,
    "retryBudgetRatio": 0.2, "budgetWindowS": 10, "budgetSlack": 52, "quotaWindowS": 8,
    "quotaOverage": 0.1, "quotaSlack": 140000, "recoveryS": 12, "transitMs": 120,
    "againS": 5.7, "fencingEnforced": True, "leaseMs": 3000, "thawSlackMs": 300,
    "ttl_max_s": 5,
}


def could_not_run(reason):
    """Ends the script as one that could not run."""
    print("could not run:", reason)
    sys.exit(2)


def lookup(settings, name):
    """Returns the value of a placeholder; None if there is none."""
    value = settings
    for part in name.split("."):
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, (list, tuple)) and part.isdigit():
            value = value[int(part)] if int(part) < len(value) else None
        else:
            return None
    return value


def render(template, settings):
    """Fills in a template as DEPLOY.md says: sections of values that are there, and
    placeholders."""
    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    text = section.sub(
        lambda it: it.group(2) if lookup(settings, it.group(1)) else "", template
    )

    def value_of(match):
        value = lookup(settings, match.group(1))
        if isinstance(value, (list, tuple)):
            return ",".join(str(it) for it in value)
        return "" if value is None else str(value)

    return re.sub(r"\{\{([\w.]+)\}\}", value_of, text)


def free_network():
    """Returns the first three octets of loopback addresses on which nothing listens."""
    start = os.getpid()
    for n in range(200):
        number = start + 37 * n
        network = f"127.{30 + number // 250 % 180}.{1 + number % 250}"
        try:
            for host in range(2, 60):
                with socket.socket() as probe:
                    probe.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
                    probe.bind((f"{network}.{host}", CLIENTS))
            return network
        except OSError:
            continue
    could_not_run("no free loopback network")


class Machine:
    """One machine with its node process."""

    def __init__(self, deployment, number):
        self.deployment = deployment
        self.name = f"front-{number}"
        self.zone = ZONES[number % len(ZONES)]
        self.ip = f"{deployment.network}.{10 + number}"
        self.settings_path = os.path.join(deployment.folder, self.name + ".flags")
        self.process = Process(
            self.name,
            deployment.command,
            deployment.folder,
            {"PERIDOTHOIST_NODE_FILE": self.settings_path},
        )

    def address(self, port=CLIENTS):
        return f"{self.ip}:{port}"

    def write_settings(self):
        settings = {
            "node": self.name,
            "ip": self.ip,
            "zone": self.zone,
            "region": "region",
            "portRange": PORT_RANGE,
            "seeds": [it.address(CONTROL) for it in self.deployment.machines[:3]],
            "listen": {
                "front": self.address(CLIENTS),
                "ready": self.address(READY),
                "control": self.address(CONTROL),
                "directory": self.address(DIRECTORY),
            },
            "limits": {"memoryMb": 110},
            "bounds": BOUNDS,
            "platform": {"address": self.deployment.store.server.address},
        }
        with open(self.settings_path, "w") as file:
            file.write(render(self.deployment.template, settings))

    def is_ready(self):
        return call(self.address(READY), "GET", "/-/ready", timeout=2).status == 200


class Deployment:
    """Machines, the store and runners. runners: (service, stage, count) each; the stage
    of plain runners is None."""

    def __init__(self, machines, runners, configuration):
        upstreams.HEARTBEAT_SECONDS = HEARTBEAT_SECONDS
        with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
            role = tomllib.load(file)["roles"]["node"]
        words = role["run"].split(" ")
        self.command = [os.path.join(ROOT, words[0]), *words[1:]]
        if not os.access(self.command[0], os.X_OK):
            could_not_run(f"{words[0]} is not built")
        with open(os.path.join(ROOT, role["template"])) as file:
            self.template = file.read()
        self.network = free_network()
        self.folder = tempfile.mkdtemp(prefix="peridothoist-review-")
        self.loop = ProxyLoop()
        self.configuration = configuration
        self.store = Store(f"{self.network}.2:{STORE}")
        self.shared_state = upstreams.SharedState(self.store)
        self.machines = [Machine(self, n) for n in range(machines)]
        self.runners = []
        for service, stage, count in runners:
            for _ in range(count):
                n = len(self.runners)
                self.runners.append(self.make_runner(service, stage, n))
        self.record = []
        self.started_at = time.monotonic()

    def make_runner(self, service, stage, number):
        return upstreams.Upstream(
            self.shared_state,
            service,
            ZONES[number % len(ZONES)],
            f"{self.network}.{100 + number}:{RUNNER_PORT}",
            slots=64 if stage else 6,
            stage=stage,
        )

    def note(self, text):
        """Adds a line to the record."""
        self.record.append(f"{time.monotonic() - self.started_at:8.3f} s  {text}")

    def run(self, coroutine, timeout=100):
        """Runs a coroutine on the loop of the stand-ins."""
        future = asyncio.run_coroutine_threadsafe(coroutine, self.loop.loop)
        return future.result(timeout)

    def start(self):
        self.loop.run(self.store.server.start())
        self.store.put("op", "config", self.configuration)
        for runner in self.runners:
            self.loop.run(runner.start())
        for machine in self.machines:
            machine.write_settings()
            machine.process.start()
        try:
            for machine in self.machines:
                wait_until(machine.is_ready, 20, f"{machine.name} is ready")
        except TimeoutError as error:
            could_not_run(error)

    def stop(self):
        for machine in self.machines:
            if machine.process.is_running():
                machine.process.resume()
                machine.process.kill()
        self.shared_state.is_stopped = True
        for runner in self.runners:
            self.loop.run(runner.crash())
        self.loop.run(self.store.server.stop())
        self.loop.run(asyncio.sleep(0.05))
        self.loop.stop()
        shutil.rmtree(self.folder, ignore_errors=True)

    def write_record(self, folder, lines):
        """Writes record.txt: the notes, and lines on what was sent, answered and run."""
        with open(os.path.join(folder, "record.txt"), "w") as file:
            file.write("\n".join([*self.record, "", *lines]) + "\n")
