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


# Failure: a stand-in whose parent had ended on the ready line, before the
# stand-in read who it was, or before its loop ran, went on for ever.
def test_standin_exits_if_its_parent_ends_on_the_ready_line():
    script = (
        "import os\n"
        "from hollyspan_standins.common import program\n"
        "os.getppid = lambda: program.PARENT + 1\n"
        "options = program.build_parser('').parse_args(['--follow-parent'])\n"
        "program.run_reactor(options)\n"
    )
    subprocess.run(
        [sys.executable, "-c", script], check=True, timeout=EXIT_TIMEOUT_S
    )
