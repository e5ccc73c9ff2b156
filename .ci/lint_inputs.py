"""Prints, for each source file given on standard input, a digest of all that its
linter run depends on, and the file: "DIGEST FILE". The inputs are the file and its
headers, its compile command, the linter's settings and its version. A file whose
headers are not known to the build gets the digest "-"."""

import hashlib
import json
import os
import shlex
import subprocess
import sys

BUILD = "build"
SETTINGS = ".clang-tidy"


def file_digest(path, known={}):
    """Returns the digest of a file's contents; "" if it can't be read."""
    if path not in known:
        try:
            with open(path, "rb") as source:
                known[path] = hashlib.sha256(source.read()).hexdigest()
        except OSError:
            known[path] = ""
    return known[path]


def read_headers():
    """Returns the files that each object depends on, as the build recorded them."""
    recorded = subprocess.run(
        ["ninja", "-C", BUILD, "-t", "deps"],
        capture_output=True, text=True, check=True,
    ).stdout
    headers = {}
    target = None
    for line in recorded.splitlines():
        if line.startswith("    "):
            headers[target].append(os.path.join(BUILD, line.strip()))
        elif ": #deps" in line:
            target = line.split(":")[0]
            headers[target] = []
    return headers


def object_of(command):
    """Returns the object file that a compile command writes."""
    words = shlex.split(command)
    return words[words.index("-o") + 1]


def main():
    with open(os.path.join(BUILD, "compile_commands.json")) as source:
        commands = {os.path.relpath(it["file"]): it for it in json.load(source)}
    headers = read_headers()
    version = subprocess.run(
        ["clang-tidy", "--version"], capture_output=True, text=True, check=True
    ).stdout
    for path in sys.stdin.read().split():
        command = commands.get(path)
        files = headers.get(object_of(command["command"]), []) if command else []
        if not files:
            print("-", path)
            continue
        inputs = [version, file_digest(SETTINGS), command["command"]]
        inputs += [f"{it} {file_digest(it)}" for it in sorted([path, *files])]
        print(hashlib.sha256("\n".join(inputs).encode()).hexdigest(), path)


if __name__ == "__main__":
    main()
