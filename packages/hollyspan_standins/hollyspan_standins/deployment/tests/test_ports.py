"""Tests of the ports of processes that are started and started again."""

import subprocess
import sys

from hollyspan_standins.deployment import pick_port

PROCESSES = 12
PORTS = 240
PROGRAM = f"""
import sys
from hollyspan_standins.deployment import pick_port
print(*(pick_port() for _ in range({PORTS})), flush=True)
sys.stdin.read()
"""


def test_programs_pick_no_port_of_a_process_that_is_being_restarted():
    # None of the ports is bound, as while a process ends and starts again.
    programs = [
        subprocess.Popen(
            [sys.executable, "-c", PROGRAM],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    try:
        picked = [
            port
            for program in programs
            for port in program.stdout.readline().split()
        ]
    finally:
        for program in programs:
            program.communicate()
    assert len(picked) == PROCESSES * PORTS == len(set(picked))


def test_a_program_picks_no_port_again_soon():
    assert len({pick_port() for _ in range(200)}) == 200
