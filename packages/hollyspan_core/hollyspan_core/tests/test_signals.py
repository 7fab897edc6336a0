"""Tests of repeated signals, also during interpreter shutdown."""

import signal
import subprocess
import sys

import pytest

from hollyspan_core.signals import handle_once

# Sends a signal after the interpreter has reset its handlers, while a thread
# that blocks no signals is still running.
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
def restored_handlers():
    previous_handlers = {
        number: signal.getsignal(number)
        for number in (signal.SIGUSR1, signal.SIGUSR2)
    }
    yield
    for number, handler in previous_handlers.items():
        signal.signal(number, handler)


def test_only_the_first_signal_calls_the_callback(restored_handlers):
    calls = []
    handle_once(lambda: calls.append(1), (signal.SIGUSR1, signal.SIGUSR2))
    signal.raise_signal(signal.SIGUSR1)
    signal.raise_signal(signal.SIGUSR2)
    signal.raise_signal(signal.SIGUSR1)
    assert calls == [1]


def test_a_signal_during_interpreter_shutdown_keeps_the_exit_code():
    process = subprocess.run(
        [sys.executable, "-c", LATE_SIGNAL], capture_output=True, text=True
    )
    assert process.stdout == "asked\n"
    assert process.returncode == 0
