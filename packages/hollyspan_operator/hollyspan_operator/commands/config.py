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

DEFAULT_WAIT_S = 12.0
DEFAULT_HISTORY_ENTRIES = 20


def show_configuration(url=None, operator_key=None, json=False):
    """Show the configuration in force on the queried daemon.

    Parameters
    ----------
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print only the document, as JSON for programs.
    """

    async def read(caller):
        return await caller.get("configuration")

    document = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(document, as_json=json, describe=describe_document)


def describe_document(document):
    text = json_codec.dumps(document, indent=2)
    return f"generation {document['generation']} is in force:\n{text}"


def check_configuration(path, url=None, operator_key=None, json=False):
    """Check a document and show the changes that it would make.

    All faults are listed at once. Nothing is changed.

    Parameters
    ----------
    path : str
        JSON file with the document.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
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
    """Return the first document with the generation it gets on acceptance."""
    if isinstance(document, dict) and document.get("generation") == 0:
        return {**document, "generation": 1}
    return document


def describe_check(result):
    differences = result["differences"]
    if not differences:
        return "valid; no changes"
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
    path, wait=DEFAULT_WAIT_S, url=None, operator_key=None, json=False
):
    """Apply a document and wait until it is in force on all daemons.

    The generation of the document must be the one in force. If another
    operator has applied a document in the meantime, the command fails with
    exit code 4 and nothing is changed.

    Parameters
    ----------
    path : str
        JSON file with the document.
    wait : float
        Seconds to wait until all live daemons have it; 0 to not wait.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """
    document = read_checked_document(path)

    async def submit(caller):
        return await submit_document(caller, document, wait=wait, quiet=json)

    result = run_calls(submit, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_acceptance)


def describe_acceptance(result):
    if result["behind"]:
        behind = ", ".join(result["behind"])
        return f"not known to be in force yet on {behind}"
    return f"generation {result['generation']} is in force on all daemons"


def show_history(
    limit=DEFAULT_HISTORY_ENTRIES, url=None, operator_key=None, json=False
):
    """List the accepted configurations, newest first.

    Parameters
    ----------
    limit : int
        Maximum number of entries.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
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
