"""Operators' calls of the daemons of a deployment."""

import json
import time

from ..common import StandinError
from .client import Caller
from .errors import RefusedError

__all__ = ["Operator", "OperatorWaitError"]

OPERATOR_KEY = "operator-key"
POLL_SECONDS = 0.05
CALL_SECONDS = 20.0


class OperatorWaitError(StandinError):
    """A state was not reached in time."""


class Operator:
    """An operator who notes which generations are in force.

    Parameters
    ----------
    deployment : Deployment

    Attributes
    ----------
    observations : list of tuple of str, float, float and int
        Daemon, begin and end of the call, and the generation that it
        showed.
    """

    def __init__(self, *, deployment):
        self.deployment = deployment
        self.observations = []

    def open(self, daemon):
        """Return a client of the interface of one daemon."""
        return Caller(
            url=self.deployment.url(daemon),
            key=OPERATOR_KEY,
            timeout=CALL_SECONDS,
        )

    def get(self, daemon, path):
        """Return what a daemon answers."""
        return self.open(daemon).get(f"/operator/v1/{path}")

    def post(self, daemon, path, document):
        """Send a document to a daemon and return its answer."""
        return self.open(daemon).post(f"/operator/v1/{path}", document)

    def change(self, daemon, *, reason):
        """Submit a changed document based on what the daemon shows.

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
        """Return the generation that a daemon shows, or 0 without one."""
        began = time.time()
        try:
            generation = self.get(daemon, "configuration")["generation"]
        except (OSError, RefusedError):
            return 0
        ended = time.time()
        self.observations.append((daemon, began, ended, generation))
        return generation

    def wait_in_force(self, generation, *, daemons, seconds):
        """Wait until daemons show a generation; return the seconds taken.

        Raises
        ------
        OperatorWaitError
            Some daemon does not in time.
        """
        start = time.monotonic()
        behind = list(daemons)
        while behind:
            behind = [d for d in behind if self.observe(d) < generation]
            taken = time.monotonic() - start
            if behind and taken > seconds:
                raise OperatorWaitError(
                    f"generation {generation} not on {behind}"
                )
            time.sleep(POLL_SECONDS)
        return time.monotonic() - start

    def read_applied(self):
        """Return what the daemons' logs tell of applied generations."""
        found = []
        for daemon in self.deployment.daemon_names:
            path = self.deployment.folder / f"{daemon}.jsonl"
            for line in path.read_text().splitlines():
                if '"configuration:applied"' in line:
                    entry = json.loads(line)
                    moment = entry["timestamp"]
                    found.append((daemon, moment, moment, entry["generation"]))
        return found
