"""Starts a small deployment on loopback addresses for the scripts of this review:
nodes with the command and the settings template of the deploy file, and the
project's own stand-ins for the store and the runners."""

import os
import re
import sys
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
sys.path[:0] = [
    os.path.join(ROOT, "SystemTests"), os.path.join(ROOT, "platform", "tests")
]
# The folder into which the deploy file builds.
os.environ["PERIDOTHOIST_BUILD"] = os.path.join(ROOT, "target")

from harness.process import Process  # noqa: E402
from users_platform import nodes as standins  # noqa: E402

PORT_RANGE = (8300, 8315)
# As on the sheet of the small deployment amesbs-flota.
BOUNDS = {
    "revokeMs": 5000, "configApplyMs": 2000, "drainMs": 2000, "quotaWindowS": 8,
    "graceS": 8, "retryBudgetRatio": 0.2, "budgetSlack": 52, "budgetWindowS": 10,
}


def render(template, fields):
    """Fills in the placeholders and sections that the settings template uses."""

    def value(path):
        item = fields
        for name in path.split("."):
            if isinstance(item, (list, tuple)):
                item = item[int(name)] if int(name) < len(item) else None
            else:
                item = item.get(name) if isinstance(item, dict) else None
        return item

    def text(item):
        if isinstance(item, (list, tuple)):
            return ",".join(map(str, item))
        return "" if item is None else str(item)

    section = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.S)
    template = section.sub(
        lambda it: it[2] if value(it[1]) is not None else "", template
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda it: text(value(it[1])), template)


class Node(standins.Node):
    """One machine. Its process is started as the deploy file says."""

    def __init__(self, cluster, number):
        super().__init__(cluster, number)
        self.process = Process(
            self.name,
            [os.path.join(ROOT, "target", "peridothoist-node")],
            cluster.folder,
            {"PERIDOTHOIST_NODE_FILE": self.settings_path},
        )

    def write_settings(self, seeds, extra=""):
        with open(os.path.join(ROOT, "deploy", "node.flags")) as file:
            template = file.read()
        fields = {
            "node": self.name, "zone": self.zone, "ip": self.host,
            "portRange": PORT_RANGE, "seeds": seeds, "bounds": BOUNDS,
            "listen": {
                "front": self.address(standins.CALLERS),
                "ready": self.address(standins.READY),
                "directory": self.address(standins.DIRECTORY),
            },
            "platform": {"address": self.address(standins.STORE)},
        }
        # On loopback, runners see which machine calls by its source address.
        content = render(template, fields) + f"--call_from={self.host}\n" + extra
        with open(self.settings_path + ".new", "w") as file:
            file.write(content)
        os.replace(self.settings_path + ".new", self.settings_path)


class Deployment(standins.NodeCluster):
    """Nodes, a store, plain runners ("ledger") and model runners ("lm")."""

    def __init__(self, nodes=3, **runners):
        original, standins.Node = standins.Node, Node
        try:
            super().__init__(nodes=nodes, **runners)
        finally:
            standins.Node = original


class Record:
    """The lines of record.txt: what was sent, answered and run."""

    def __init__(self, folder):
        self.path = os.path.join(folder, "record.txt")
        self.start = time.monotonic()
        self.file = open(self.path, "w")

    def write(self, text):
        line = f"{time.monotonic() - self.start:8.3f} s  {text}"
        print(line, file=self.file, flush=True)

    def write_runs(self, requests, at=None):
        """Writes what the runners received, in order of arrival."""
        for it in requests:
            line = (
                f"runner {it.upstream} ({it.service}) received {it.request_id!r}"
                f" tenant={it.headers.get('tenant-id', '-')} ran={it.ran}"
                f" prefill={it.prefill}"
            )
            print(f"{it.received_at - self.start:8.3f} s  {line}", file=self.file)
        self.file.flush()


def run_case(body):
    """Runs body() and exits with 1 if it returns True (the rule was broken), 0 if
    it held, and 2 if the case couldn't run."""
    try:
        broken = body()
    except BaseException as error:  # Whatever keeps the case from being run.
        print(f"could not run: {type(error).__name__}: {error}", file=sys.stderr)
        os._exit(2)
    sys.stdout.flush()
    os._exit(1 if broken else 0)
