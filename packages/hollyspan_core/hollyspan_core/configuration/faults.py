"""Faults of a configuration document beyond its JSON Schema."""

import datetime

from ..schemas import find_faults
from ..schemas import find_value_faults

__all__ = ["find_configuration_faults"]


def find_configuration_faults(document):
    """Name all faults of a configuration document at once.

    Parameters
    ----------
    document : object
        Decoded JSON.

    Returns
    -------
    list of str
        One entry a fault, with its path in the document; empty when valid.
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
    seen = set()
    faults = []
    for index, exception in enumerate(document["exceptions"]):
        name = exception["id"]
        if name in seen:
            faults.append(f"$.exceptions[{index}].id: '{name}' stands twice")
        seen.add(name)
    return faults


def find_repeated_digests(document):
    seen = set()
    faults = []
    for index, entry in enumerate(document["keys"]):
        if entry["digest"] in seen:
            faults.append(f"$.keys[{index}].digest: stands twice")
        seen.add(entry["digest"])
    return faults


def find_set_faults(exception, *, path):
    faults = []
    for name, value in exception["set"].items():
        where = f"{path}.set['{name}']"
        found = find_value_faults(name, value)
        faults.extend(f"{where}: {fault}" for fault in found)
    return faults


def find_time_faults(exception, *, path):
    until = exception.get("until")
    if until is None:
        return []
    try:
        moment = datetime.datetime.fromisoformat(until)
    except ValueError:
        return [f"{path}.until: '{until}' is no ISO 8601 time"]
    if moment.tzinfo is None:
        return [f"{path}.until: '{until}' has no time zone"]
    return []


def find_scope_faults(exception, *, path, document):
    service = exception["scope"].get("service")
    if service is None or service in document["services"]:
        return []
    return [f"{path}.scope.service: no service '{service}'"]
