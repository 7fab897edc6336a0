"""One child process."""

import json
import selectors
import signal
import subprocess
import time

from .errors import NotReadyError
from .errors import ProcessExitedError

__all__ = ["Process"]

READY_SECONDS = 20.0


class Process:
    """A process that the launcher started.

    Parameters
    ----------
    name : str
    arguments : list of str
    log : pathlib.Path
        Takes what the process writes to its standard error.
    tells_ready : bool
        Whether it prints a ready line on its standard output.
    """

    def __init__(self, *, name, arguments, log, tells_ready):
        self.name = name
        self.arguments = arguments
        self.log = log
        self.tells_ready = tells_ready
        self.child = None
        self.ready = {}
        self.is_frozen = False
        self.exit_codes = []

    @property
    def is_running(self):
        """Whether the process is alive."""
        return self.child is not None and self.child.poll() is None

    def start(self, *more):
        """Start the process; more arguments go behind its own.

        Notes
        -----
        The process gets its own session, so that a Ctrl-C in the terminal
        reaches the launcher alone, which then stops all in order.
        """
        with open(self.log, "ab") as log:
            self.child = subprocess.Popen(
                [*self.arguments, *more],
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE if self.tells_ready else log,
                stderr=log,
                start_new_session=True,
            )

    def read_ready(self, seconds=READY_SECONDS):
        """Wait for the ready line and return it."""
        with selectors.DefaultSelector() as selector:
            selector.register(self.child.stdout, selectors.EVENT_READ)
            if not selector.select(seconds):
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

    def wait_until(self, test, seconds=READY_SECONDS):
        """Wait until a test holds while the process runs."""
        limit = time.monotonic() + seconds
        while not test():
            self.check_running()
            if time.monotonic() > limit:
                raise NotReadyError(
                    name=self.name, seconds=seconds, log=self.log
                )
            time.sleep(0.05)

    def kill(self):
        """End the process at once."""
        if self.is_running:
            self.child.kill()
        self.collect()

    def freeze(self):
        """Stop the process until it is thawed."""
        self.child.send_signal(signal.SIGSTOP)
        self.is_frozen = True

    def thaw(self):
        """Let a frozen process go on."""
        self.child.send_signal(signal.SIGCONT)
        self.is_frozen = False

    def terminate(self):
        """Ask the process to stop; does not wait."""
        if self.is_running:
            if self.is_frozen:
                self.thaw()
            self.child.terminate()

    def collect(self, seconds=None):
        """Wait for the end of the process, and kill it after a limit."""
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
