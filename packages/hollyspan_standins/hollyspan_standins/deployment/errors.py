"""Errors of deployments."""

from ..common import StandinError

__all__ = ["CallError", "NoPortError", "NotReadyError", "ProcessExitedError"]

LOG_TAIL_CHARACTERS = 2000


class CallError(StandinError):
    """A call to a process of the deployment failed."""

    def __init__(self, *, url, reason):
        super().__init__(f"{url}: {reason}")


class NoPortError(StandinError):
    """No port is free for a process."""


class NotReadyError(StandinError):
    """A process did not become ready in time."""

    def __init__(self, *, name, seconds, log):
        text = read_log_tail(log)
        super().__init__(f"{name} not ready after {seconds} s: {text}")


class ProcessExitedError(StandinError):
    """A process exited while the launcher waited for it."""

    def __init__(self, *, name, code, log):
        super().__init__(f"{name} exited with {code}: {read_log_tail(log)}")


def read_log_tail(path):
    """Return the last characters of a log file."""
    if not path.exists():
        return ""
    return path.read_text(errors="replace")[-LOG_TAIL_CHARACTERS:]
