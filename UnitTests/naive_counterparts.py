"""Verifies by mutation that the tests of docs/PROOFS.md detect the faults they guard
against.

Each row replaces one check of the product by naive code, in a copy of the sources,
and runs the test program that must then fail:

    python3 UnitTests/naive_counterparts.py [RULE...]

Exits with 1 when the test program of a row passes, or when the text to replace does
not occur exactly once.
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
    """A mutation, and the test program that must fail with it."""

    rule: str
    naive: str  # Behaviour of the mutated code.
    file: str
    old: str
    new: str
    test: str


RELAY = "Peridothoist/Relay/"
ROUTING = "Peridothoist/Routing/"
ROWS = [
    Row("MIXED", "forwards any response that it receives",
        "platform/PlatformUpstreamProtocol.cpp",
        "responseId == requestId && !isEncoded && (isSealed || !isSuccess);",
        "responseId == requestId || isSealed || !isSuccess || isEncoded;",
        "NodeProcessTest"),
    Row("UNASKED", "forwards headers that only the router may set",
        "platform/PlatformUpstreamProtocol.cpp", " && !IsRouterHeader(name)) {",
        " && (!IsRouterHeader(name) || true)) {", "PlatformProtocolTest"),
    Row("TWICE", "retries a request that may have run on another upstream",
        RELAY + "RelayCallEnds.cpp",
        "if (!aState.mRequest.mRoute->IsRetryable()) {", "if (false) {",
        "RelayStateMachineTest"),
    Row("REFUSED", "forwards a 503 of an upstream that ran the request",
        RELAY + "RelayCallEnds.cpp",
        "if (ImpliesNotRun(aEnd.mResponse.mStatus)) {",
        "if (ImpliesNotRun(0)) {",
        "RelayStateMachineTest"),
    Row("ORDER", "forwards events that the caller already has",
        RELAY + "RelayCallEnds.cpp",
        "if (aEvent.mEventId && *aEvent.mEventId <= state.mLastEventId) {",
        "if (false) {", "RelayStateMachineTest"),
    Row("CONFIG-back", "accepts any version that it reads, also an older one",
        RELAY + "ConfirmedView.h",
        "aConfiguration->mVersion < mConfiguration->mVersion", "false",
        "RelayViewTest"),
    Row("CONFIG-keys", "checks the key only on arrival",
        RELAY + "RelayPlacement.cpp", "!mPolicy->CheckRelay(request, aNow);", "true;",
        "RelayStateMachineTest"),
    Row("DRAIN", "checks the state of the upstream only at selection",
        RELAY + "RelayPlacement.cpp",
        "mUpstreamList.AcceptsRequests(call->mUpstream) &&", "",
        "RelayStateMachineTest"),
    Row("LOST", "exits without waiting for open requests",
        "Peridothoist/Node/NodeProcess.cpp",
        "mIsDraining && mExecutor.OpenRequestCount() == 0 &&\n"
        "                      mCallerServer->OpenExchangeCount() == 0;",
        "mIsDraining;", "NodeProcessTest"),
    Row("BUDGET-prefill", "does not count a failed prefill as a retry",
        RELAY + "RelayCallEnds.cpp",
        "  aState.mNextSendIsRetry = true;\n  aState.mSkipPrefill = true;",
        "  aState.mSkipPrefill = true;", "RelayStateMachineTest"),
    Row("BUDGET-restart", "gives a new process a full retry budget",
        RELAY + "RelayRetryBudget.h", "return std::clamp(known, 0.0, 1.0);",
        "return 1 + 0 * known;", "RelayRetryBudgetTest"),
    Row("QUOTA-heard", "spends the share of VMs that it cannot reach",
        RELAY + "WorkspaceRateLimiter.cpp", "return whole * mReachableFraction;", "return whole;",
        "WorkspaceRateLimiterTest"),
    Row("GONE", "does not cancel the call of a disconnected caller",
        RELAY + "RelayStateMachine.cpp",
        "  CancelCall(*state, CancelReason::CallerGone);\n  Finish(*state);\n"
        "  DispatchWaiting();",
        "  Finish(*state);\n  DispatchWaiting();", "RelayStateMachineTest"),
    Row("BUDGET-crashes", "counts only the crashes that it saw itself",
        RELAY + "CrashEvidence.cpp", "Merge(report.mContent, sighting, aNow);",
        "(void)sighting;", "CrashEvidenceTest"),
    Row("BUDGET-overlap", "counts upstreams that crash together one by one",
        RELAY + "CrashEvidence.cpp", "it.mAt - it.mRunTime >= *previous;", "true;",
        "CrashEvidenceTest"),
    Row("BUDGET-send", "checks for quarantined contents only before the call",
        RELAY + "RelayPlacement.cpp", "!IsQuarantined(state, aNow) &&", "",
        "RelayCrashesTest"),
    Row("UNEVEN-tokens", "counts the requests at a prefill engine, not tokens",
        RELAY + "UpstreamChooser.cpp", "  if (!countsTokens) {",
        "  if (!countsTokens || true) {", "UpstreamChooserTest"),
    Row("UNEVEN-backlog", "takes the wait behind other prompts for slowness",
        RELAY + "RelayPlacement.cpp",
        "return static_cast<double>(work.mTokens);", "return 1;",
        "UnevenUpstreamsTest"),
    Row("UNEVEN-process", "applies a peer's figures to any process",
        ROUTING + "UpstreamSpeeds.cpp",
        "if (!isCurrent || samples == 0) {",
        "if ((!isCurrent && false) || samples == 0) {",
        "UpstreamSpeedsTest"),
    Row("UNEVEN-stall", "counts all calls that a stall delays, in full",
        ROUTING + "UpstreamSpeeds.cpp",
        "std::clamp(difference, -kMaxDeviation, kMaxDeviation);",
        "difference;", "UpstreamSpeedsTest"),
    Row("UNEVEN-chance", "takes any measured difference for a speed",
        ROUTING + "UpstreamSpeeds.cpp",
        "return kStandardErrors * error <", "return 0 * error <",
        "UpstreamSpeedsTest"),
    Row("LIMIT-share", "uses the whole limit of an upstream at each VM",
        RELAY + "UpstreamLimiter.cpp", "std::min(own / all, MaxShareOf(",
        "std::min(1 + 0 * own / all, MaxShareOf(", "UpstreamLimiterTest"),
    Row("COLD-cap", "divides what a cold upstream bears by demand only",
        RELAY + "UpstreamLimiter.cpp", "return IsCold(aLimit, aNow) ? std::max(1.0, mSettings",
        "return false ? std::max(1.0, mSettings", "UpstreamLimiterTest"),
    Row("COLD-heard", "passes on for how long other VMs said that upstreams are cold",
        RELAY + "UpstreamLimiter.cpp", "if (aSource == ColdSource::Own) {", "if (true) {",
        "UpstreamLimiterTest"),
    Row("EVACUATE-choice", "chooses upstreams of evacuated zones",
        RELAY + "UpstreamList.h", "return !mIsLeaving && !mIsEvacuated;",
        "return !mIsLeaving;", "EvacuationTest"),
    Row("EVACUATE-later", "takes the zones of any read, also of an earlier one",
        RELAY + "ConfirmedView.h", "(isLater && aConfiguration",
        "((isLater || true) && aConfiguration", "RelayViewTest"),
    Row("LIMIT-sharers", "divides a limit over all VMs",
        RELAY + "UpstreamLimiter.cpp", "std::min(count, candidates.size())",
        "std::max(count, candidates.size())", "UpstreamLimiterTest"),
    Row("DRAIN-stated", "forgets with the next list what an upstream stated",
        RELAY + "UpstreamList.cpp", "  ApplyStatements(aListedAt);", "  (void)aListedAt;",
        "StatedLeavingTest"),
    Row("DRAIN-process", "takes the statement of one process for the next one's",
        RELAY + "UpstreamList.cpp",
        "      entry->second.mUpstream.mIncarnationId == process.mIncarnationId;",
        "      true;", "StatedLeavingTest"),
    Row("RECOVER-tunnel", "calls upstreams only directly",
        RELAY + "RelayPaths.cpp", "  return isNeeded ? mReach.ChooseTunnel(",
        "  return isNeeded && false ? mReach.ChooseTunnel(", "CutOffTest"),
    Row("RECOVER-gone", "takes what it can't reach for gone",
        RELAY + "RelayPaths.cpp", "    isGone = !isConfirming && !mReach.IsCutOff();",
        "    isGone = isConfirming || !isConfirming;", "CutOffTest"),
    Row("RECOVER-end", "ends a tunnel in order whatever ended it",
        "Peridothoist/Node/TunnelServer.cpp",
        "  ResetOnClose(socket);",
        "  (void)&ResetOnClose;", "TunnelServerTest"),
]


def copy_sources(folder):
    """Copies the tracked and the new files of the working tree, without journal/
    and docs/, to a folder."""
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
    """Returns whether a test program built in this folder passes."""
    completed = subprocess.run(
        [os.path.join(folder, "build", test)], cwd=os.path.join(folder, "build"),
        env={**os.environ, "RC_PARAMS": SEED}, stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL, timeout=300,
    )
    return completed.returncode == 0


def run_row(folder, row):
    """Applies a row, runs its test program and restores the file. Returns the result
    as text, and whether the test program detected the mutation."""
    path = os.path.join(folder, row.file)
    with open(path) as file:
        text = file.read()
    if text.count(row.old) != 1:
        return f"text to replace occurs {text.count(row.old)} times, not once", False
    with open(path, "w") as file:
        file.write(text.replace(row.old, row.new))
    try:
        build(folder, row.test)
        detected = not passes(folder, row.test)
    finally:
        with open(path, "w") as file:
            file.write(text)
    return ("detected" if detected else "NOT DETECTED"), detected


def main():
    wanted = set(sys.argv[1:])
    rows = [row for row in ROWS if not wanted or row.rule in wanted]
    all_detected = True
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
                print(f"{test} fails without a mutation")
                return 1
        for row in rows:
            result, detected = run_row(folder, row)
            all_detected = all_detected and detected
            print(f"{row.rule}: {row.naive}: {row.test}: {result}", flush=True)
    return 0 if all_detected else 1


if __name__ == "__main__":
    sys.exit(main())
