"""One runner sends bytes without end in the body of one stream. Other callers of the same
node ask a plain service meanwhile."""

import os
import subprocess
import sys
import threading
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
sys.dont_write_bytecode = True
import rig_2  # noqa: E402

TIMEOUT_SECONDS = 0.8  # timeoutMs of the route of plain requests, as on the sheet's site.
LATER_SECONDS = 0.5  # "half a second later"
MIN_COUNT = 8  # Of unanswered requests, for the share to mean anything.
POSTERS = 12
WATCHED_SECONDS = 13.0
SPOILED = int(os.environ.get("SPOILED", "1"))  # Answers that the runner spoils.

ROUTE = {"host": "site", "maxAttempts": 1}
CONFIGURATION = {
    "version": 1,
    "routes": [
        {**ROUTE, "name": "stream", "pathPrefix": "/stream/", "kind": "streaming",
         "service": "lm", "timeoutMs": 14000, "targetLatencyMs": 900, "gapAimMs": 300,
         "resumable": False, "sticky": True},
        {**ROUTE, "name": "post", "pathPrefix": "/post/", "kind": "unsafe",
         "service": "ledger", "timeoutMs": 800, "targetLatencyMs": 100},
    ],
    "services": [
        {"name": "ledger"},
        {"name": "lm", "engine": {"slots": 64, "stride": 15, "kvCapacity": 39101,
                                  "handleTtlS": 0.5}},
    ],
    "tenants": [{"name": "t", "apiKeys": ["k"]}],
}


class SpoilingRunner:
    """The runner that spoils, with its entry in the store."""

    def __init__(self, deployment, spoiled):
        self.deployment = deployment
        self.address = f"{deployment.network}.180:9000"
        self.process = subprocess.Popen(
            [sys.executable, "-B", os.path.join(FOLDER, "runner.py"),
             *self.address.split(":"), "i-spoils", str(spoiled)],
            stdout=subprocess.PIPE, text=True,
        )
        self.said = []
        self.reader = threading.Thread(target=self._read, daemon=True)
        self.reader.start()
        self.is_ended = threading.Event()
        self.beats = threading.Thread(target=self._beat, daemon=True)
        self.beats.start()

    def _read(self):
        for line in self.process.stdout:
            self.said.append(line.strip())
            self.deployment.record("the runner " + line.strip())

    def _beat(self):
        sequence = 0
        while not self.is_ended.wait(0 if sequence == 0 else rig_2.HEARTBEAT_SECONDS):
            sequence += 1
            entry = {"service": "lm", "address": self.address, "zone": rig_2.ZONES[0],
                     "slots": 64, "state": "ready", "born": 1765000000000,
                     "sequence": sequence, "version": "v1", "stage": "decode"}
            self.deployment.on_loop(self.deployment.store.put, "servers", "i-spoils", entry)

    def stop(self):
        self.is_ended.set()
        self.beats.join()
        self.process.kill()
        self.process.wait()


class Posters:
    """Callers of the plain service at one node, each with one request at a time."""

    def __init__(self, node, record):
        self.node = node
        self.record = record
        self.results = []  # (sent at, seconds until the answer, status)
        self.end = 0.0
        self.threads = []

    def run(self, tag, seconds):
        self.results = []
        self.end = time.monotonic() + seconds
        self.threads = [threading.Thread(target=self._post, args=(f"{tag}-{n}",))
                        for n in range(POSTERS)]
        for it in self.threads:
            it.start()

    def wait(self):
        for it in self.threads:
            it.join()

    def _post(self, name):
        count = 0
        while time.monotonic() < self.end:
            count += 1
            headers = {"Host": "site", "Request-Id": f"{name}-{count}",
                       "Request-Deadline": "1500", "Authorization": "Bearer k"}
            sent_at = time.monotonic()
            answer = rig_2.call(self.node.front, "POST", "/post/x", body=b"x",
                                headers=headers, timeout=6)
            self.results.append((sent_at, answer.seconds, answer.status))
            time.sleep(0.15)

    def judge(self, tag):
        """Returns how many requests were unanswered at their route's timeout, and of
        these how many half a second later."""
        at_timeout = [it for it in self.results if it[1] > TIMEOUT_SECONDS or not it[2]]
        later = [it for it in at_timeout if it[1] > TIMEOUT_SECONDS + LATER_SECONDS or not it[2]]
        statuses = {it[2] for it in self.results}
        counts = {it: sum(r[2] == it for r in self.results) for it in sorted(statuses)}
        longest = max(it[1] for it in self.results)
        self.record(f"{tag}: {len(self.results)} requests, by status {counts} (0: no answer in "
                    f"6 s), the longest {longest:.2f} s; {len(at_timeout)} unanswered at their "
                    f"route's timeout, {len(later)} of these half a second later")
        return len(at_timeout), len(later)


def play(deployment, record, with_trouble):
    node = deployment.nodes[0]
    runner = SpoilingRunner(deployment, SPOILED if with_trouble else 0)
    callers = []
    try:
        time.sleep(3)
        posters = Posters(node, record)
        posters.run("before", 3)
        posters.wait()
        at_timeout, _ = posters.judge("before")
        if at_timeout:
            return None  # The machine is too busy.
        # Streams, one after the other, until the runner has got those that it spoils.
        host, port = node.front.split(":")
        for n in range(40):
            callers.append(subprocess.Popen(
                [sys.executable, "-B", os.path.join(FOLDER, "caller.py"), host, port,
                 f"stream-{n}"], stdout=subprocess.PIPE, text=True))
            time.sleep(0.4)
            if len(runner.said) >= SPOILED:
                break
        if with_trouble and not runner.said:
            return None
        posters.run("during", WATCHED_SECONDS)
        posters.wait()
        for it in callers:
            record("caller of " + it.communicate(timeout=20)[0].strip())
        at_timeout, later = posters.judge("during")
        for sent_at, seconds, status in posters.results:
            if seconds > TIMEOUT_SECONDS:
                record(f"  sent {sent_at - record.started:.3f}, {seconds:.2f} s, status {status}")
        record(f"the node's process: {node.process.cpu_seconds():.1f} s of processor time, "
               f"{'running' if node.process.is_running() else 'ENDED'}")
        return not (at_timeout >= MIN_COUNT and later > at_timeout / 2)
    finally:
        runner.stop()
        for it in callers:
            if it.poll() is None:
                it.kill()
                it.wait()


# TROUBLE=0: the same without the disruption.
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

if __name__ == "__main__":
    rig_2.main(FOLDER, play, WITH_TROUBLE, configuration=CONFIGURATION, nodes=6, plain=3, prefills=2,
               decodes=3)
