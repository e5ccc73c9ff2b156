"""One program of ours as a child process, with its log in a file."""

import ctypes
import os
import signal
import subprocess
import time

STOP_SECONDS = 10

_PR_SET_PDEATHSIG = 1
_libc = ctypes.CDLL(None)


def _end_with_parent():
    """Has the kernel end a child whose test is killed."""
    _libc.prctl(_PR_SET_PDEATHSIG, signal.SIGKILL)



class Process:
    """Starts a program and ends it by its own pid, never by name."""

    def __init__(self, name, command, log_folder, environment=None):
        self.name = name
        self.command = [str(it) for it in command]
        self.log_path = os.path.join(log_folder, name + ".log")
        self.environment = {**os.environ, **(environment or {})}
        self.child = None

    def start(self):
        """Starts the program, adding to its log. From the main thread: the
        child ends with the thread that started it."""
        with open(self.log_path, "ab") as log:
            self.child = subprocess.Popen(
                self.command, stdout=log, stderr=log, env=self.environment,
                preexec_fn=_end_with_parent,
            )

    @property
    def pid(self):
        return self.child.pid if self.child else None

    def running(self):
        return self.child is not None and self.child.poll() is None

    def kill(self):
        """SIGKILL, as when a VM is lost."""
        if self.running():
            self.child.send_signal(signal.SIGKILL)
            self.child.wait()

    def freeze(self):
        """SIGSTOP, as when a VM is paused."""
        self.child.send_signal(signal.SIGSTOP)

    def thaw(self):
        """SIGCONT."""
        self.child.send_signal(signal.SIGCONT)

    def terminate(self):
        """SIGTERM: asks for a graceful shutdown, and does not wait."""
        if self.running():
            self.child.send_signal(signal.SIGTERM)

    def hang_up(self):
        """SIGHUP: says that the settings file changed."""
        self.child.send_signal(signal.SIGHUP)

    def wait(self, seconds):
        """The exit code, or None when it still runs after that time."""
        try:
            return self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            return None

    def restart(self):
        """Kills the program if it runs, and starts it again."""
        self.kill()
        self.start()

    def stop(self):
        """Ends the program, gracefully if it lets us."""
        if not self.running():
            return
        self.thaw()
        self.terminate()
        if self.wait(STOP_SECONDS) is None:
            self.kill()

    def log(self):
        """What it has printed so far."""
        with open(self.log_path, "r", errors="replace") as log:
            return log.read()

    def cpu_seconds(self):
        """Processor time used so far, from /proc."""
        with open(f"/proc/{self.pid}/stat") as stat:
            fields = stat.read().rsplit(")", 1)[1].split()
        return (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK")

    def resident_bytes(self):
        """Resident memory, from /proc."""
        with open(f"/proc/{self.pid}/statm") as statm:
            return int(statm.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def wait_until(condition, seconds, what):
    """Polls a condition until it holds; raises with its text in time."""
    deadline = time.monotonic() + seconds
    while True:
        value = condition()
        if value:
            return value
        if time.monotonic() > deadline:
            raise TimeoutError(f"not within {seconds} s: {what}")
        time.sleep(0.02)
