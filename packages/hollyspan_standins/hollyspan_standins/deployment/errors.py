"""Failures of a deployment."""

from ..common import StandinError

__all__ = ["CallError", "NotReadyError", "ProcessExitedError"]

TAIL_CHARACTERS = 2000


class CallError(StandinError):
    """A call to a process of the deployment failed."""

    def __init__(self, *, url, reason):
        super().__init__(f"{url}: {reason}")


class NotReadyError(StandinError):
    """A process was not ready within its time limit."""

    def __init__(self, *, name, seconds, log):
        text = read_tail(log)
        super().__init__(f"{name} not ready after {seconds} s: {text}")


class ProcessExitedError(StandinError):
    """A process ended while it was being waited for."""

    def __init__(self, *, name, code, log):
        super().__init__(f"{name} exited with {code}: {read_tail(log)}")


def read_tail(path):
    """Return the end of a log file."""
    if not path.exists():
        return ""
    return path.read_text(errors="replace")[-TAIL_CHARACTERS:]
