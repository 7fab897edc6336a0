"""Failures of a deployment."""

from ..common import StandinError

__all__ = ["CallError", "NotReadyError", "ProcessExitedError"]


class CallError(StandinError):
    """A call to a process of the deployment failed."""

    def __init__(self, *, url, reason):
        super().__init__(f"{url}: {reason}")


class NotReadyError(StandinError):
    """A process was not ready within its time limit."""

    def __init__(self, *, name, seconds, log):
        super().__init__(f"{name} not ready after {seconds} s, see {log}")


class ProcessExitedError(StandinError):
    """A process ended while it was being waited for."""

    def __init__(self, *, name, code, log):
        text = log.read_text(errors="replace")[-2000:] if log else ""
        super().__init__(f"{name} exited with {code}: {text}")
