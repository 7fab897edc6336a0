"""Validation of configuration documents beyond their JSON Schema."""

import datetime

from ..schemas import find_faults
from ..schemas import find_value_faults

__all__ = ["find_configuration_faults"]


def find_configuration_faults(document):
    """Find all faults of a configuration document.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    list of str
        One message per fault, with its path in the document; empty if the
        document is valid.
    """
    faults = find_faults(document, schema="configuration")
    if faults:
        return faults
    faults.extend(find_repeated_ids(document))
    faults.extend(find_repeated_digests(document))
    for index, exception in enumerate(document["exceptions"]):
        path = f"$.exceptions[{index}]"
        faults.extend(find_set_faults(exception, path=path))
        faults.extend(find_time_faults(exception, path=path))
        faults.extend(
            find_scope_faults(exception, path=path, document=document)
        )
    return faults


def find_repeated_ids(document):
    """Return a fault for each exception whose id is used already."""
    seen = set()
    faults = []
    for index, exception in enumerate(document["exceptions"]):
        name = exception["id"]
        if name in seen:
            faults.append(f"$.exceptions[{index}].id: '{name}' is a duplicate")
        seen.add(name)
    return faults


def find_repeated_digests(document):
    """Return a fault for each key whose digest is used already."""
    seen = set()
    faults = []
    for index, entry in enumerate(document["keys"]):
        if entry["digest"] in seen:
            faults.append(f"$.keys[{index}].digest: duplicate digest")
        seen.add(entry["digest"])
    return faults


def find_set_faults(exception, *, path):
    """Return the faults of the values that an exception sets."""
    faults = []
    for name, value in exception["set"].items():
        location = f"{path}.set['{name}']"
        value_faults = find_value_faults(name, value)
        faults.extend(f"{location}: {fault}" for fault in value_faults)
    return faults


def find_time_faults(exception, *, path):
    """Return the faults of the expiry time of an exception."""
    until = exception.get("until")
    if until is None:
        return []
    try:
        expiry = datetime.datetime.fromisoformat(until)
    except ValueError:
        return [f"{path}.until: '{until}' is not an ISO 8601 time"]
    if expiry.tzinfo is None:
        return [f"{path}.until: '{until}' has no time zone"]
    return []


def find_scope_faults(exception, *, path, document):
    """Return a fault if an exception names an unknown service."""
    service = exception["scope"].get("service")
    if service is None or service in document["services"]:
        return []
    return [f"{path}.scope.service: no service '{service}'"]
