"""Tests of stand-in processes."""

import json
import os
import subprocess
import sys
import time

EXIT_TIMEOUT_S = 20
# Starts a stand-in, prints its process ID and exits without stopping it.
LAUNCHER = """
import subprocess, sys
arguments = [sys.executable, "-m", "hollyspan_standins.service"]
child = subprocess.Popen(
    arguments + ["--follow-parent"], stdout=subprocess.PIPE
)
child.stdout.readline()
print(child.pid)
"""


def is_alive(pid):
    try:
        os.kill(pid, 0)
    except ProcessLookupError:
        return False
    return True


def test_standin_exits_with_its_parent_process():
    launcher = subprocess.run(
        [sys.executable, "-c", LAUNCHER],
        capture_output=True,
        check=True,
        timeout=EXIT_TIMEOUT_S,
    )
    pid = json.loads(launcher.stdout)
    deadline = time.monotonic() + EXIT_TIMEOUT_S
    while is_alive(pid):
        assert time.monotonic() < deadline
        time.sleep(0.1)
