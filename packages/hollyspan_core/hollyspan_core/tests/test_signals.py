"""Signals in series, also while the interpreter ends."""

import signal
import subprocess
import sys

import pytest

from hollyspan_core.signals import handle_once

# A signal that arrives after the interpreter has put its handlers back, while
# a thread that blocks nothing is left.
LATE_SIGNAL = """
import os, signal, threading, time
from hollyspan_core.signals import handle_once

class Last:
    def __del__(self, kill=os.kill, pid=os.getpid(), sleep=time.sleep):
        kill(pid, 15)
        sleep(0.05)

def act():
    print("asked")

handle_once(act, [signal.SIGTERM])
threading.Thread(target=time.sleep, args=(60,), daemon=True).start()
os.kill(os.getpid(), signal.SIGTERM)
last = Last()
"""


@pytest.fixture
def restore():
    before = {
        number: signal.getsignal(number)
        for number in (signal.SIGUSR1, signal.SIGUSR2)
    }
    yield
    for number, handler in before.items():
        signal.signal(number, handler)


def test_only_the_first_signal_acts(restore):
    asked = []
    handle_once(lambda: asked.append(1), (signal.SIGUSR1, signal.SIGUSR2))
    signal.raise_signal(signal.SIGUSR1)
    signal.raise_signal(signal.SIGUSR2)
    signal.raise_signal(signal.SIGUSR1)
    assert asked == [1]


def test_a_signal_at_the_very_end_changes_no_exit_code():
    ended = subprocess.run(
        [sys.executable, "-c", LATE_SIGNAL], capture_output=True, text=True
    )
    assert ended.stdout == "asked\n"
    assert ended.returncode == 0
