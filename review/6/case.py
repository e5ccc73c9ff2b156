"""The store comes back from an older copy (a drill) just after a configuration was
acknowledged that takes a key away, gives one to another tenant and moves a route."""

import os
import sys
import time

FOLDER = os.path.dirname(os.path.abspath(__file__))
sys.path.insert(0, os.path.join(FOLDER, ".."))
sys.dont_write_bytecode = True
import rig_2  # noqa: E402

COPY_AGE_SECONDS = float(os.environ.get("COPY_AGE", "3"))  # "some seconds old"
AWAY_SECONDS = float(os.environ.get("AWAY", "0.5"))  # "away for a moment"
# What a runner writes again: "all" that it wrote since the copy, or its "last" entry.
REDO = os.environ.get("REDO", "all")
REVOKE_SECONDS = 5.0  # revokeMs
APPLY_SECONDS = 2.0  # configApplyMs
CONTACT_SECONDS = 3.0  # contactMs: from then on, the machines are in touch.
TRIES_UNTIL_SECONDS = 15.0  # Requests are sent for so long after the acknowledgement.


def configuration(version):
    """Version 2 takes the key "taken" away, gives the key "given" of t-one to t-two,
    and moves the route of safe requests to another service."""
    is_first = version == 1
    route = {"host": "site", "maxAttempts": 2, "timeoutMs": 1500, "targetLatencyMs": 100}
    return {
        "version": version,
        "routes": [
            {**route, "name": "post", "pathPrefix": "/post/", "kind": "unsafe",
             "service": "ledger"},
            {**route, "name": "look", "pathPrefix": "/look/", "kind": "safe",
             "service": "ledger" if is_first else "archive"},
        ],
        "services": [{"name": "ledger", "healthPath": "/health"},
                     {"name": "archive", "healthPath": "/health"}],
        "tenants": [
            {"name": "t-one", "apiKeys": ["taken", "given"] if is_first else ["other"]},
            {"name": "t-two", "apiKeys": ["kept"] if is_first else ["kept", "given"]},
        ],
    }


class DrillStore(rig_2.EraStore):
    """Remembers what was written, so that it can go back to an older copy."""

    def __init__(self, address):
        super().__init__(address)
        self.writes = []  # (time, table, key, value; None: removed), in order.

    def put(self, table, key, value):
        if self.fault == "away":
            return  # The writer gets no answer.
        super().put(table, key, value)
        self.writes.append((time.monotonic(), table, key, value))

    def remove(self, table, key):
        if self.fault == "away":
            return
        super().remove(table, key)
        self.writes.append((time.monotonic(), table, key, None))

    def _list_changes(self, query):
        if int(query["after"]) > self.version:
            return 410, {}  # It doesn't have that version.
        return super()._list_changes(query)

    def _redo(self, write):
        _, table, key, value = write
        if value is None:
            super().remove(table, key)
        else:
            super().put(table, key, value)

    def come_back(self, copied_at):
        """Goes back to the copy of a moment. What the operator wrote since is
        written again, then what each runner wrote, one runner after the other."""
        writes, self.writes = self.writes, []
        version_before = self.version
        self.tables, self.changes, self.version = {}, {}, 0
        for it in writes:
            if it[0] <= copied_at:
                self._redo(it)
        copied = self.version
        lost = [it for it in writes if it[0] > copied_at]
        runners = sorted((it for it in lost if it[1] == "servers"), key=lambda it: it[2])
        if REDO == "last":
            runners = list({it[2]: it for it in runners}.values())
        again = [it for it in lost if it[1] == "op"] + runners
        for it in again:
            self._redo(it)
        self.writes = [it for it in writes if it[0] <= copied_at] + again
        self.era += 1
        self.fault = None
        return version_before, copied, self.version, len(lost) - len(again)


class Requests:
    """Sends requests at each node in turn and notes what came of them."""

    def __init__(self, deployment):
        self.deployment = deployment
        self.count = 0

    def send(self, kind, key):
        """Returns a line about the request, the time of sending, its status, and the
        arrivals of it that ran."""
        node = self.deployment.nodes[self.count // 3 % len(self.deployment.nodes)]
        self.count += 1
        name = f"{kind}-{key}-{self.count}"
        headers = {"Host": "site", "Request-Id": name, "Request-Deadline": "1500",
                   "Authorization": f"Bearer {key}"}
        sent_at = time.monotonic()
        status = rig_2.call(node.front, "POST", f"/{kind}/x", body=b"x", headers=headers,
                            timeout=3).status
        runs = [it for it in self.deployment.runners_state.received_requests
                if it.ran and it.request_id == name]
        where = ", ".join(f"run by {it.service} for {it.headers.get('tenant-id')}"
                          for it in runs) or "not run"
        return f"{name} at {node.name}: {status}, {where}", sent_at, status, runs


def play(deployment, record, with_trouble):
    store = deployment.store
    requests = Requests(deployment)
    time.sleep(COPY_AGE_SECONDS + 3)
    for kind, key in (("post", "taken"), ("post", "given"), ("look", "kept")) * 2:
        line, _, status, _ = requests.send(kind, key)
        record("before: " + line)
        if status != 200:
            return None
    deployment.on_loop(store.put, "op", "config", configuration(2))
    acknowledged_at = time.monotonic()
    record(f"version 2 is acknowledged (store version {store.version})")
    if with_trouble:
        store.fault = "away"
        deployment.run(_drop(store))
        record("the store is away")
        time.sleep(AWAY_SECONDS)
        copied_at = time.monotonic() - AWAY_SECONDS - COPY_AGE_SECONDS
        result = deployment.on_loop(store.come_back, copied_at)
        acknowledged_at = time.monotonic()  # Version 2 was written again.
        record("the store is back: era %d; version %d before, %d of the copy, %d after the "
               "operator and the runners have written again; %d writes not repeated"
               % (store.era, *result))
    withdrawn = foreign = old = 0
    while time.monotonic() < acknowledged_at + TRIES_UNTIL_SECONDS:
        for kind, key in (("post", "taken"), ("post", "given"), ("look", "kept")):
            line, sent_at, _, runs = requests.send(kind, key)
            after = sent_at - acknowledged_at
            is_late = after > max(APPLY_SECONDS, CONTACT_SECONDS)
            broken = ""
            if key == "taken" and runs and after > REVOKE_SECONDS:
                withdrawn += 1
                broken = "  CONFIG: the key was taken away"
            elif key == "given" and is_late and any(
                it.headers.get("tenant-id") != "t-two" for it in runs
            ):
                foreign += 1
                broken = "  UNASKED: the key is t-two's"
            elif kind == "look" and is_late and any(it.service != "archive" for it in runs):
                old += 1
                broken = "  CONFIG: the route leads to archive"
            record(f"{after:6.2f} s after the acknowledgement: {line}{broken}")
        time.sleep(0.5)
    record(f"{withdrawn} requests with the withdrawn key ran that were sent over "
           f"{REVOKE_SECONDS:.0f} s after the acknowledgement; {foreign} ran for the wrong "
           f"tenant and {old} at the old service that were sent over {CONTACT_SECONDS:.0f} s "
           "after it")
    return withdrawn + foreign + old == 0


async def _drop(store):
    for writer in list(store.server.readers):
        writer.transport.abort()


# TROUBLE=0: the same without the disruption.
WITH_TROUBLE = os.environ.get("TROUBLE", "1") != "0"

if __name__ == "__main__":
    rig_2.main(FOLDER, play, WITH_TROUBLE, configuration=configuration(1), nodes=6, plain=3,
               prefills=4, decodes=8, others={"archive": 2}, store=DrillStore)
