"""Tests of how a stand-in runs as a process."""

import json
import os
import subprocess
import sys
import time

WAIT_SECONDS = 20
# Starts a stand-in, prints its number and ends without stopping it.
LAUNCHER = """
import subprocess, sys
arguments = [sys.executable, "-m", "hollyspan_standins.service"]
child = subprocess.Popen(
    arguments + ["--follow-parent"], stdout=subprocess.PIPE
)
child.stdout.readline()
print(child.pid)
"""


def is_alive(number):
    try:
        os.kill(number, 0)
    except ProcessLookupError:
        return False
    return True


def test_a_standin_ends_with_the_process_that_started_it():
    done = subprocess.run(
        [sys.executable, "-c", LAUNCHER],
        capture_output=True,
        check=True,
        timeout=WAIT_SECONDS,
    )
    number = json.loads(done.stdout)
    limit = time.monotonic() + WAIT_SECONDS
    while is_alive(number):
        assert time.monotonic() < limit
        time.sleep(0.1)
