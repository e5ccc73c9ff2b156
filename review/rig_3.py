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
from users_platform.callers import Caller  # noqa: E402
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


class StreamClient:
    """A client with one stream, which it takes up again while it is broken."""

    def __init__(self, deployment, number, rng, events, deadline, max_tries):
        self.deployment = deployment
        self.number = number
        self.rng = rng
        self.events = events
        self.deadline = deadline
        self.max_tries = max_tries  # Refused connections don't count.
        self.attempts = []
        self.held = b""  # The whole events that the client holds.
        self.began_with = ""  # Id of the attempt that brought the first event.
        self.is_whole = False

    @property
    def versions(self):
        """The software versions of the events that the client holds."""
        return sorted(set(re.findall(r"@(v\d)\n", self.held.decode())))

    async def run(self):
        """Sends the request, and takes the stream up again while it is broken and there
        is time: each attempt on a new connection to any machine, after the Retry-After of
        the one before."""
        end = time.monotonic() + self.deadline
        caller = Caller(f"client-{self.number}")
        body = f"body {self.number}".encode()
        while not self.is_whole and len(self.attempts) < self.max_tries:
            left = end - time.monotonic()
            if left < 0.1:
                break
            machine = self.rng.choice(self.deployment.machines)
            attempt = await caller.send(
                machine.name, machine.address(), "stream", "k1", left, self.events,
                resumes=self.began_with, last_event_id=self.held.count(b"\n\n"),
                body=body,
            )
            await caller.close()
            if attempt.failure == "connection refused":
                await asyncio.sleep(0.2)
                continue
            self.attempts.append(attempt)
            self._take(attempt)
            retry_after = float(attempt.headers.get("retry-after", 0.2))
            left = end - time.monotonic()
            if not self.is_whole:
                await asyncio.sleep(max(0, min(retry_after, left / 3)))

    def _take(self, attempt):
        if attempt.status != 200:
            return
        whole = attempt.response_body.rpartition(b"\n\n")
        if whole[1]:
            self.held += whole[0] + whole[1]
            self.began_with = self.began_with or attempt.request_id
        self.is_whole = self.held.count(b"\n\n") == self.events

    def lines(self):
        """Returns what the client sent and received, for the record."""
        lines = [f"client {self.number}: versions held {self.versions}"]
        for it in self.attempts:
            lines.append(
                f"{it.sent_at - self.deployment.started_at:8.3f} s  {it.request_id} at "
                f"{it.node}: after event {it.last_event_id}, resumes '{it.resumes}', "
                f"status {it.status} {it.failure}"
            )
        return lines


class TakeUps:
    """The streams that clients take up again at machines in touch, and the new ones that
    they send there meanwhile. is_in_touch: tells it of an attempt."""

    MIN_STREAMS = 12

    def __init__(self, clients, is_in_touch):
        self.taken_up, self.going_on, self.new, self.begun = [], [], [], []
        for client in clients:
            again = [it for it in client.attempts if it.resumes and is_in_touch(it)]
            if again:
                self.taken_up.append(client)
                if any(it.status == 200 and it.response_body for it in again):
                    self.going_on.append(client)
            first = client.attempts[0] if client.attempts else None
            if first is not None and is_in_touch(first):
                self.new.append(client)
                if first.status == 200 and first.response_body:
                    self.begun.append(client)

    @property
    def share_again(self):
        return len(self.going_on) / max(1, len(self.taken_up))

    @property
    def share_new(self):
        return len(self.begun) / max(1, len(self.new))

    def break_rule(self):
        """Returns whether the share that goes on is under half of that which begins."""
        is_enough = len(self.taken_up) >= self.MIN_STREAMS
        return is_enough and self.share_again < self.share_new / 2

    def describe(self):
        return (
            f"{len(self.taken_up)} taken up again, {len(self.going_on)} go on "
            f"({self.share_again:.2f}); {len(self.new)} new ones, {len(self.begun)} begin "
            f"({self.share_new:.2f})"
        )


def lines_of_runs(deployment):
    """Returns what the runners ran, for the record."""
    return [
        f"{it.received_at - deployment.started_at:8.3f} s  {it.request_id} run by "
        f"{it.upstream} ({it.version}) after event {it.last_event_id}"
        for it in deployment.shared_state.received_requests
        if it.ran
    ]


def stream_configuration(timeout_ms):
    """Returns a configuration with one route, whose streams may be resumed."""
    return {
        "version": 1,
        "routes": [
            {
                "name": "stream", "host": "site", "pathPrefix": "/stream/",
                "kind": "streaming", "service": "lm", "maxAttempts": 2,
                "timeoutMs": timeout_ms, "targetLatencyMs": 900, "gapAimMs": 300,
                "priority": 1, "public": False, "sticky": True, "resumable": True,
            }
        ],
        "services": [
            {
                "name": "lm", "healthPath": "/health", "maxConns": 360,
                "engine": {
                    "slots": 64, "kvCapacity": 39101, "stride": 1, "handleTtlS": 0.5,
                },
            }
        ],
        "tenants": [{"name": "w1", "apiKeys": ["k1"]}],
    }
