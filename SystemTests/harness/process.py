"""Child processes of the tests, each with its output in a log file."""

import ctypes
import os
import signal
import subprocess
import time

STOP_TIMEOUT_SECONDS = 10

_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def _kill_with_parent():
    """Makes the kernel kill the child when its parent thread ends, so that no
    child outlives a killed test."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)


class Process:
    """A child process, which is signalled by its pid only, never by name."""

    def __init__(self, name, command, log_folder, environment=None):
        self.name = name
        self.command = [str(it) for it in command]
        self.log_path = os.path.join(log_folder, name + ".log")
        self.environment = {**os.environ, **(environment or {})}
        self.child = None
        self.is_asked_to_end = False  # By kill() or terminate(), since the start.

    def start(self):
        """Starts the program and appends its output to its log. Must be called
        from the main thread, since the kernel kills the child when the thread
        that started it ends."""
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, env=self.environment,
                preexec_fn=_kill_with_parent,
            )
        self.is_asked_to_end = False

    @property
    def pid(self):
        return self.child.pid if self.child else None

    def is_running(self):
        return self.child is not None and self.child.poll() is None

    def has_ended_by_itself(self):
        """Returns whether the process has ended although kill() and terminate() were
        not called. Its exit code is child.returncode."""
        return (
            self.child is not None
            and not self.is_asked_to_end
            and self.child.poll() is not None
        )

    def kill(self):
        """Sends SIGKILL to simulate the loss of a VM, and waits for the exit."""
        self.is_asked_to_end = True
        if self.is_running():
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()

    def suspend(self):
        """Suspends the process with SIGSTOP to simulate a paused VM."""
        self.child.send_signal(signal.SIGSTOP)

    def resume(self):
        """Resumes the process with SIGCONT."""
        self.child.send_signal(signal.SIGCONT)

    def terminate(self):
        """Sends SIGTERM, which requests a graceful shutdown, without waiting."""
        self.is_asked_to_end = True
        if self.is_running():
            self.child.send_signal(signal.SIGTERM)

    def send_sighup(self):
        """Sends SIGHUP, which makes the process reload its settings file."""
        self.child.send_signal(signal.SIGHUP)

    def wait(self, seconds):
        """Returns the exit code, or None when the process still runs after this
        number of seconds."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def restart(self):
        """Kills the process if it is running, and starts the program again."""
        self.kill()
        self.start()

    def stop(self):
        """Terminates the process, and kills it when it has not exited within
        STOP_TIMEOUT_SECONDS."""
        if not self.is_running():
            return
        self.resume()
        self.terminate()
        if self.wait(STOP_TIMEOUT_SECONDS) is None:
            self.kill()

    def log(self):
        """Returns the output of the process so far."""
        with open(self.log_path, "r", errors="replace") as log:
            return log.read()

    def cpu_seconds(self):
        """Returns the processor time used so far, from /proc."""
        with open(f"/proc/{self.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        """Returns the resident memory, from /proc."""
        with open(f"/proc/{self.pid}/statm") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def wait_until(condition, seconds, description):
    """Polls a condition until it holds and returns its value. Raises TimeoutError
    with the description when it does not hold within this number of seconds."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"condition not met within {seconds} s: {description}")
        time.sleep(0.02)
