"""Child process of the launcher."""

import contextlib
import json
import os
import selectors
import signal
import subprocess
import time

from .errors import NotReadyError
from .errors import ProcessExitedError

__all__ = ["Process"]

READY_TIMEOUT_S = 20.0
# Time in which a process writes its stacks.
STACKS_TIMEOUT_S = 5.0


class Process:
    """Child process with its log file.

    Parameters
    ----------
    name : str
    arguments : list of str
    log : pathlib.Path
        File that receives the standard error of the process.
    prints_ready_line : bool
        Whether the process prints a ready line to its standard output.

    Attributes
    ----------
    ready : dict
        Content of the ready line.
    exit_codes : list of int
        Exit codes of all runs that have ended.
    """

    def __init__(self, *, name, arguments, log, prints_ready_line):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.prints_ready_line = prints_ready_line
        self.child = None
        self.ready = {}
        self.is_frozen = False
        self.exit_codes = []

    @property
    def is_running(self):
        """Whether the process is running."""
        return self.child is not None and self.child.poll() is None

    def start(self, *extra_arguments):
        """Start the process with additional arguments after its own.

        Notes
        -----
        The process gets its own session, so that Ctrl-C in the terminal
        interrupts only the launcher, which then stops all processes in
        order.
        """
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [*self.arguments, *extra_arguments],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if self.prints_ready_line else log,
                stderr=log,
                start_new_session=True,
                env={**os.environ, "PYTHONFAULTHANDLER": "1"},
            )

    def read_ready_line(self, seconds=READY_TIMEOUT_S):
        """Wait for the ready line and return its decoded content."""
        with selectors.DefaultSelector() as selector:
            selector.register(self.child.stdout, selectors.EVENT_READ)
            if not selector.select(seconds):
                self.write_stacks()
                raise NotReadyError(
                    name=self.name, seconds=seconds, log=self.log
                )
        line = self.child.stdout.readline()
        if not line:
            self.child.wait()
            self.check_running()
        self.ready = json.loads(line)
        return self.ready

    def check_running(self):
        """Raise ProcessExitedError if the process has ended."""
        if not self.is_running:
            code = self.child.returncode if self.child else None
            raise ProcessExitedError(name=self.name, code=code, log=self.log)

    def wait_until(self, condition, seconds=READY_TIMEOUT_S):
        """Wait until a condition holds, as long as the process runs."""
        deadline = time.monotonic() + seconds
        while not condition():
            self.check_running()
            if time.monotonic() > deadline:
                self.write_stacks()
                raise NotReadyError(
                    name=self.name, seconds=seconds, log=self.log
                )
            time.sleep(0.05)

    def write_stacks(self):
        """End the process and let it write its stacks to its log."""
        if self.is_frozen:
            return
        self.child.send_signal(signal.SIGABRT)
        with contextlib.suppress(subprocess.TimeoutExpired):
            self.child.wait(STACKS_TIMEOUT_S)

    def kill(self):
        """Kill the process and wait for its exit."""
        if self.is_running:
            self.child.kill()
        self.wait_for_exit()

    def freeze(self):
        """Suspend the process until it is thawed."""
        self.child.send_signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self):
        """Resume a frozen process."""
        self.child.send_signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self):
        """Send SIGTERM without waiting for the exit."""
        if self.is_running:
            if self.is_frozen:
                self.thaw()
            self.child.terminate()

    def wait_for_exit(self, seconds=None):
        """Wait for the exit of the process and return its exit code.

        A process that has not exited after ``seconds`` is killed.
        """
        if self.child is None:
            return None
        try:
            code = self.child.wait(seconds)
        except subprocess.TimeoutExpired:
            self.child.kill()
            code = self.child.wait()
        if self.child.stdout is not None:
            self.child.stdout.close()
        self.is_frozen = False
        self.exit_codes.append(code)
        self.child = None
        return code
