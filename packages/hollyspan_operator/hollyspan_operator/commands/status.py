"""Command that shows the state of the fleet."""

from ..client import run_calls
from ..connection import read_connection
from ..output import format_table
from ..output import print_result

__all__ = ["show_status"]


def show_status(url=None, operator_key=None, json=False):
    """Show the instances, their configurations and the upstreams.

    The output shows the state as seen by the queried daemon.

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
        return await caller.get("status")

    result = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_status)


def describe_status(status):
    head = (
        f"instance {status['instance']} in {status['data_centre']},"
        f" generation {status['generation']}"
    )
    members = format_table(
        ["instance", "data_centre", "generation", "state"],
        [
            [m["instance"], m["data_centre"], m["generation"], m["state"]]
            for m in status["members"]
        ],
    )
    upstreams = format_table(
        ["upstream", "service", "data_centre", "state", "online", "batch"],
        [
            [
                u["name"],
                u["service"],
                u["data_centre"],
                u["state"],
                u["online"],
                u["batch"],
            ]
            for u in status["upstreams"]
        ],
    )
    return f"{head}\n\n{members}\n\n{upstreams}"
