"""Reading and validation of the settings file."""

import json
from pathlib import Path

from ..errors import SettingsInvalidError
from ..schemas import find_faults
from .settings import Settings
from .timing import Timing

__all__ = ["read_settings"]


def read_settings(path):
    """Read the settings of a daemon.

    Parameters
    ----------
    path : str
        A JSON file.

    Returns
    -------
    Settings

    Raises
    ------
    SettingsInvalidError
        The file cannot be read or is invalid; the message lists all faults,
        each with its path in the document.
    """
    document = load_document(path)
    faults = find_faults(document, schema="settings")
    if faults:
        raise SettingsInvalidError("; ".join(faults))
    return build_settings(document)


def load_document(path):
    try:
        return json.loads(Path(path).read_bytes())
    except (OSError, ValueError, RecursionError) as error:
        raise SettingsInvalidError(f"settings file {path}: {error}") from error


def build_settings(document):
    http = document["http"]
    peer = document["peer"]
    return Settings(
        instance=document["instance"],
        data_centre=document["data_centre"],
        region=document["region"],
        http_address=http["address"],
        http_port=http["port"],
        peer_address=peer["address"],
        peer_port=peer["port"],
        peer_key=peer["key"].encode(),
        store_url=document["platform"]["store"],
        instances_url=document["platform"]["instances"],
        operator_key=document["operator"]["key"],
        signing_key=document["callers"]["signing_key"].encode(),
        data_folder=document.get("data_folder"),
        log_path=document.get("log", {}).get("path"),
        timing=Timing(**document.get("timing", {})),
    )
