"""Commands on the fleet's configuration."""

import json as json_codec

from hollyspan_core.configuration import find_configuration_faults

from ..client import run_calls
from ..connection import read_connection
from ..documents import read_document
from ..errors import InputFileError
from ..output import format_table
from ..output import print_result
from .acceptance import submit_document

__all__ = [
    "apply_configuration",
    "check_configuration",
    "show_configuration",
    "show_history",
]

IN_FORCE_SECONDS = 12.0
HISTORY_ENTRIES = 20


def show_configuration(url=None, operator_key=None, json=False):
    """Show the configuration in force on the daemon that is asked.

    Parameters
    ----------
    url : str
        Base URL of a daemon; else HOLLYSPAN_URL.
    operator_key : str
        The operators' key; else HOLLYSPAN_KEY.
    json : bool
        Print the document alone, for programs.
    """

    async def read(caller):
        return await caller.get("configuration")

    document = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(document, as_json=json, describe=describe_document)


def describe_document(document):
    text = json_codec.dumps(document, indent=2)
    return f"generation {document['generation']} is in force:\n{text}"


def check_configuration(path, url=None, operator_key=None, json=False):
    """Check a document and show what it would change, for whom.

    All faults are named at once. Nothing is changed.

    Parameters
    ----------
    path : str
        A JSON file.
    url : str
        Base URL of a daemon; else HOLLYSPAN_URL.
    operator_key : str
        The operators' key; else HOLLYSPAN_KEY.
    json : bool
        Print JSON, for programs.
    """
    document = read_checked_document(path)

    async def check(caller):
        return await caller.post("configuration", document, dry_run=1)

    result = run_calls(check, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_check)


def read_checked_document(path):
    document = read_document(path)
    faults = find_configuration_faults(raise_first(document))
    if faults:
        raise InputFileError(f"{path}:\n  " + "\n  ".join(faults))
    return document


def raise_first(document):
    """Return a document as it will be accepted, if it is to be the first."""
    if isinstance(document, dict) and document.get("generation") == 0:
        return {**document, "generation": 1}
    return document


def describe_check(result):
    differences = result["differences"]
    if not differences:
        return "valid; nothing changes"
    rows = [
        [
            d["path"],
            d["scope"],
            show_value(d["before"]),
            show_value(d["after"]),
        ]
        for d in differences
    ]
    table = format_table(["value", "for", "before", "after"], rows)
    return f"valid; it would change:\n{table}"


def show_value(value):
    return None if value is None else json_codec.dumps(value)


def apply_configuration(
    path, wait=IN_FORCE_SECONDS, url=None, operator_key=None, json=False
):
    """Apply a document and wait until it is in force everywhere.

    The document's generation must be the one in force; when another
    operator was first, the command fails with exit code 4 and nothing is
    changed.

    Parameters
    ----------
    path : str
        A JSON file.
    wait : float
        Seconds to wait until all live daemons have it; 0 for none.
    url : str
        Base URL of a daemon; else HOLLYSPAN_URL.
    operator_key : str
        The operators' key; else HOLLYSPAN_KEY.
    json : bool
        Print JSON, for programs.
    """
    document = read_checked_document(path)

    async def submit(caller):
        return await submit_document(caller, document, wait=wait, quiet=json)

    result = run_calls(submit, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_acceptance)


def describe_acceptance(result):
    if result["behind"]:
        behind = ", ".join(result["behind"])
        return f"not yet known to be in force on {behind}"
    return f"generation {result['generation']} is in force on all daemons"


def show_history(
    limit=HISTORY_ENTRIES, url=None, operator_key=None, json=False
):
    """List the accepted configurations, the newest first.

    Parameters
    ----------
    limit : int
        Most entries to list.
    url : str
        Base URL of a daemon; else HOLLYSPAN_URL.
    operator_key : str
        The operators' key; else HOLLYSPAN_KEY.
    json : bool
        Print JSON, for programs.
    """

    async def read(caller):
        return await caller.get("configuration/history", limit=limit)

    result = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_history)


def describe_history(result):
    rows = [
        [entry["generation"], len(entry["exceptions"])]
        for entry in result["documents"]
    ]
    return format_table(["generation", "exceptions"], rows)
