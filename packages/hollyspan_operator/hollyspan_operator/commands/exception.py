"""Commands on the exceptions to the fleet's defaults."""

from ..client import run_calls
from ..connection import read_connection
from ..errors import MissingReasonError
from ..errors import MissingScopeError
from ..errors import UnknownExceptionError
from ..output import format_table
from ..output import print_result
from .acceptance import submit_document
from .config import DEFAULT_WAIT_S
from .config import describe_acceptance

__all__ = ["add_exception", "list_exceptions", "retire_exception"]


def list_exceptions(url=None, operator_key=None, json=False):
    """List the exceptions with their reasons.

    Parameters
    ----------
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """

    async def read(caller):
        document = await caller.get("configuration")
        return document["exceptions"]

    result = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_exceptions)


def describe_exceptions(exceptions):
    rows = [
        [
            entry["id"],
            describe_pairs(entry["scope"]),
            describe_pairs(entry["set"]),
            entry.get("until"),
            entry["reason"],
        ]
        for entry in exceptions
    ]
    return format_table(["id", "scope", "set", "until", "reason"], rows)


def describe_pairs(pairs):
    return " ".join(f"{name}={value}" for name, value in pairs.items())


def add_exception(
    name,
    value,
    reason=None,
    id=None,
    until=None,
    service=None,
    workspace=None,
    data_centre=None,
    upstream=None,
    wait=DEFAULT_WAIT_S,
    url=None,
    operator_key=None,
    json=False,
):
    """Add an exception to a default.

    Parameters
    ----------
    name : str
        Name of the default, such as ``batch.harm_weight``.
    value : object
        Value that replaces the default.
    reason : str
        Reason for the exception; required.
    id : str
        Identifier of the exception; by default made of name and scope.
    until : str
        ISO 8601 time with time zone at which the exception ends; by default
        it has no end.
    service, workspace, data_centre, upstream : str
        Scope of the exception; at least one is required.
    wait : float
        Seconds to wait until all live daemons have it; 0 to not wait.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """
    if not reason:
        raise MissingReasonError("an exception needs a reason")
    scope = build_scope(
        service=service,
        workspace=workspace,
        data_centre=data_centre,
        upstream=upstream,
    )
    exception = {
        "id": id or "-".join([name, *scope.values()]),
        "scope": scope,
        "set": {name: value},
        "reason": str(reason),
        "until": until,
    }

    async def add(caller):
        document = await caller.get("configuration")
        document["exceptions"].append(exception)
        return await submit_document(caller, document, wait=wait, quiet=json)

    result = run_calls(add, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_acceptance)


def build_scope(**names):
    scope = {field: str(name) for field, name in names.items() if name}
    if not scope:
        raise MissingScopeError("an exception needs a scope")
    return scope


def retire_exception(
    id, wait=DEFAULT_WAIT_S, url=None, operator_key=None, json=False
):
    """Retire an exception, so that the default applies again.

    Parameters
    ----------
    id : str
        Identifier of the exception.
    wait : float
        Seconds to wait until all live daemons have it; 0 to not wait.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """

    async def retire(caller):
        document = await caller.get("configuration")
        kept = [e for e in document["exceptions"] if e["id"] != str(id)]
        if len(kept) == len(document["exceptions"]):
            raise UnknownExceptionError(f"no exception '{id}'")
        document["exceptions"] = kept
        return await submit_document(caller, document, wait=wait, quiet=json)

    result = run_calls(retire, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_acceptance)
