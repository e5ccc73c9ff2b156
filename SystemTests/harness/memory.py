"""Memory of a child process, from /proc."""

VM_MEMORY_MB = 88  # Of the smallest VM.


def _status_mb(process, name):
    with open(f"/proc/{process.pid}/status") as status:
        for line in status:
            if line.startswith(name + ":"):
                return int(line.split()[1]) / 1024
    raise ValueError(f"{name} is not in the status of {process.name}")


def resident_mb(process):
    """Returns the resident memory, in MB of 2^20 bytes."""
    return _status_mb(process, "VmRSS")


def peak_mb(process):
    """Returns the most resident memory since the process's start, which the kernel
    records without gaps."""
    return _status_mb(process, "VmHWM")
