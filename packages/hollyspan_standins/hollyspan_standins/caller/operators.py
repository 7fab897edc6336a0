"""Client of the operators' interface of a deployment's daemons."""

import json
import time

from ..common import StandinError
from .client import Caller
from .errors import RefusedError

__all__ = ["Operator", "OperatorWaitError"]

OPERATOR_KEY = "operator-key"
POLL_INTERVAL_S = 0.05
CALL_TIMEOUT_S = 20.0


class OperatorWaitError(StandinError):
    """A generation was not in force on all daemons in time."""


class Operator:
    """Operator that records the generations that daemons show.

    Parameters
    ----------
    deployment : Deployment

    Attributes
    ----------
    observations : list of tuple of str, float, float and int
        Daemon, start and end of the call in seconds since the epoch, and
        the generation shown.
    """

    def __init__(self, *, deployment):
        self.deployment = deployment
        self.observations = []

    def open(self, daemon):
        """Return a client of the operators' interface of one daemon."""
        return Caller(
            url=self.deployment.url(daemon),
            key=OPERATOR_KEY,
            timeout=CALL_TIMEOUT_S,
        )

    def get(self, daemon, path):
        """Send a GET request to a daemon and return its answer."""
        return self.open(daemon).get(f"/operator/v1/{path}")

    def post(self, daemon, path, document):
        """Send a document to a daemon and return its answer."""
        return self.open(daemon).post(f"/operator/v1/{path}", document)

    def submit_change(self, daemon, *, reason):
        """Submit a change of the configuration that the daemon shows.

        Returns
        -------
        int
            The accepted generation.
        """
        document = self.get(daemon, "configuration")
        document["exceptions"] = [
            {
                "id": "e1",
                "scope": {"workspace": "dev"},
                "set": {"batch.harm_weight": 1.0},
                "reason": reason,
            }
        ]
        return self.post(daemon, "configuration", document)["generation"]

    def observe(self, daemon):
        """Record and return the generation of a daemon; 0 on failure."""
        started_at = time.time()
        try:
            generation = self.get(daemon, "configuration")["generation"]
        except (OSError, RefusedError):
            return 0
        ended_at = time.time()
        self.observations.append((daemon, started_at, ended_at, generation))
        return generation

    def wait_in_force(self, generation, *, daemons, seconds):
        """Wait until daemons show a generation; return the elapsed seconds.

        Raises
        ------
        OperatorWaitError
            If a daemon does not show the generation in time.
        """
        start = time.monotonic()
        pending = list(daemons)
        while pending:
            pending = [d for d in pending if self.observe(d) < generation]
            elapsed = time.monotonic() - start
            if pending and elapsed > seconds:
                raise OperatorWaitError(
                    f"generation {generation} not on {pending}"
                )
            time.sleep(POLL_INTERVAL_S)
        return time.monotonic() - start

    def read_applied_generations(self):
        """Return the applied generations from the logs of the daemons.

        The tuples have the format of ``observations``, with the time of the
        log line as both start and end.
        """
        applied = []
        for daemon in self.deployment.daemon_names:
            path = self.deployment.folder / f"{daemon}.jsonl"
            for line in path.read_text().splitlines():
                if '"configuration:applied"' in line:
                    entry = json.loads(line)
                    logged_at = entry["timestamp"]
                    applied.append(
                        (daemon, logged_at, logged_at, entry["generation"])
                    )
        return applied
