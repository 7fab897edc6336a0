"""Configuration that is in force on a daemon."""

import datetime

from ..schemas import find_default

__all__ = ["Configuration"]


class Configuration:
    """One generation of the fleet's configuration.

    Parameters
    ----------
    document : dict
        A document that is valid against the schema.
    """

    __slots__ = ("document", "generation", "services", "workspaces")

    def __init__(self, *, document):
        self.document = document
        self.generation = document["generation"]
        self.services = document["services"]
        self.workspaces = {
            entry["digest"]: entry["workspace"] for entry in document["keys"]
        }

    def get(self, name, *, scope, now):
        """Return the value in force for a scope.

        Parameters
        ----------
        name : str
            Section and name joined by a dot, as in ``batch.harm_weight``.
        scope : Scope
            Where the value is used.
        now : float
            Current time, seconds since the epoch; exceptions that have expired
            by then are ignored.

        Returns
        -------
        object
            The value of the last matching exception, else the document's
            default, else the schema's.
        """
        section, key = name.split(".")
        values = self.document["defaults"][section]
        value = values[key] if key in values else find_default(name)
        for exception in self.document["exceptions"]:
            if name in exception["set"] and is_in_force(
                exception, scope=scope, now=now
            ):
                value = exception["set"][name]
        return value


def is_in_force(exception, *, scope, now):
    """Return whether an exception matches a scope and has not expired."""
    until = exception.get("until")
    if until and datetime.datetime.fromisoformat(until).timestamp() <= now:
        return False
    return all(
        getattr(scope, field) == required
        for field, required in exception["scope"].items()
    )
