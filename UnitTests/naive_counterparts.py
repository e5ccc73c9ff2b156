"""Shows that the tests of docs/PROOFS.md catch what they are for.

Each row replaces one check of the product by what a naive version would do, in
a copy of the sources, and runs the tests that must then fail:

    python3 UnitTests/naive_counterparts.py [RULE...]

A row whose tests pass, or whose text isn't found any more, ends the run with 1.
"""

import os
import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass

SEED = "seed=20261203"


@dataclass
class Row:
    """A naive version, and the test program that must find it wrong."""

    rule: str
    naive: str  # What the naive version does.
    file: str
    old: str
    new: str
    test: str


RELAY = "Peridothoist/Relay/"
ROWS = [
    Row("MIXED", "passes on any answer that came",
        "platform/PlatformUpstreams.cpp",
        "responseId == requestId && !encoded && (sealed || !success);",
        "responseId == requestId || sealed || !success || encoded;",
        "NodeProcessTest"),
    Row("UNASKED", "passes on headers that only the router may set",
        "platform/PlatformUpstreams.cpp", " && !IsRouterHeader(name)) {",
        " && (!IsRouterHeader(name) || true)) {", "PlatformWordsTest"),
    Row("TWICE", "sends what may have run to another upstream",
        RELAY + "RelayCallEnds.cpp",
        "if (!aState.mArrival.mRoute->MayRepeat()) {", "if (false) {",
        "RelayMachineTest"),
    Row("REFUSED", "passes on an upstream's 503 though it ran the request",
        RELAY + "RelayCallEnds.cpp",
        "if (ImpliesNotRun(aEnd.mAnswer.mStatus)) {",
        "if (ImpliesNotRun(0)) {",
        "RelayMachineTest"),
    Row("ORDER", "passes on events that the caller has",
        RELAY + "RelayCallEnds.cpp",
        "if (aEvent.mEventId && *aEvent.mEventId <= state.mLastEventId) {",
        "if (false) {", "RelayMachineTest"),
    Row("CONFIG-back", "takes whatever version it reads",
        RELAY + "ConfirmedView.h",
        "aConfiguration->mVersion < mConfiguration->mVersion", "false",
        "RelayViewTest"),
    Row("CONFIG-keys", "looks at the key on arrival only",
        RELAY + "RelayPlacement.cpp", "!mPolicy->RefusalFor(arrival, aNow);", "true;",
        "RelayMachineTest"),
    Row("DRAIN", "looks at the upstream's state at the choice only",
        RELAY + "RelayPlacement.cpp", "mRoster.TakesWork(call->mUpstream) &&", "",
        "RelayMachineTest"),
    Row("LOST", "ends without waiting for open requests",
        "Peridothoist/Node/NodeProcess.cpp",
        "mDraining && mExecutor.OpenRequestCount() == 0 &&\n"
        "                      mCallerServer->OpenExchanges() == 0;",
        "mDraining;", "NodeProcessTest"),
    Row("BUDGET-prefill", "counts no prefill that failed",
        RELAY + "RelayCallEnds.cpp",
        "  aState.mNextSendIsRetry = true;\n  aState.mSkipPrefill = true;",
        "  aState.mSkipPrefill = true;", "RelayMachineTest"),
    Row("BUDGET-restart", "gives a new process a whole budget",
        RELAY + "RepeatBudget.h", "return std::clamp(known, 0.0, 1.0);",
        "return 1 + 0 * known;", "RepeatBudgetTest"),
    Row("QUOTA-heard", "spends the part of VMs that it doesn't hear",
        RELAY + "UsageLedger.cpp", "return whole * mReachableFraction;", "return whole;",
        "UsageLedgerTest"),
    Row("GONE", "lets the call of a caller that left go on",
        RELAY + "RelayMachine.cpp",
        "  CancelCall(*state);\n  Finish(*state);\n  DispatchWaiting();",
        "  Finish(*state);\n  DispatchWaiting();", "RelayMachineTest"),
]


def copy_sources(folder):
    """A copy of what git knows of the sources, as they are now."""
    names = subprocess.run(
        ["git", "ls-files", "-co", "--exclude-standard"], check=True,
        capture_output=True, text=True,
    ).stdout.split("\n")
    for name in filter(None, names):
        if name.startswith(("journal/", "docs/")) or not os.path.exists(name):
            continue
        path = os.path.join(folder, name)
        os.makedirs(os.path.dirname(path), exist_ok=True)
        shutil.copy2(name, path)


def build(folder, *tests):
    subprocess.run(
        ["cmake", "--build", os.path.join(folder, "build"), "--target", *tests],
        check=True, stdout=subprocess.DEVNULL,
    )


def passes(folder, test):
    """Whether a test program passes there."""
    run = subprocess.run(
        [os.path.join(folder, "build", test)], cwd=os.path.join(folder, "build"),
        env={**os.environ, "RC_PARAMS": SEED}, stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL, timeout=300,
    )
    return run.returncode == 0


def play(folder, row):
    """What came of a row, and whether that is as it should be."""
    path = os.path.join(folder, row.file)
    with open(path) as file:
        text = file.read()
    if text.count(row.old) != 1:
        return f"its text stands {text.count(row.old)} times", False
    with open(path, "w") as file:
        file.write(text.replace(row.old, row.new))
    try:
        build(folder, row.test)
        found = not passes(folder, row.test)
    finally:
        with open(path, "w") as file:
            file.write(text)
    return ("found wrong" if found else "NOT FOUND"), found


def main():
    wanted = set(sys.argv[1:])
    rows = [row for row in ROWS if not wanted or row.rule in wanted]
    good = True
    with tempfile.TemporaryDirectory(prefix="peridothoist-naive-") as folder:
        copy_sources(folder)
        subprocess.run(
            ["cmake", "-S", folder, "-B", os.path.join(folder, "build"), "-G",
             "Ninja", "-DCMAKE_BUILD_TYPE=Release"],
            check=True, stdout=subprocess.DEVNULL,
        )
        tests = sorted({row.test for row in rows})
        build(folder, *tests)
        for test in tests:
            if not passes(folder, test):
                print(f"{test} fails without a change")
                return 1
        for row in rows:
            outcome, as_it_should = play(folder, row)
            good = good and as_it_should
            print(f"{row.rule}: {row.naive}: {row.test}: {outcome}", flush=True)
    return 0 if good else 1


if __name__ == "__main__":
    sys.exit(main())
