"""Commands on batch jobs."""

from ..client import run_calls
from ..connection import read_connection
from ..output import format_table
from ..output import print_result

__all__ = ["cancel_job", "list_jobs", "show_job"]


def list_jobs(workspace=None, url=None, operator_key=None, json=False):
    """List the batch jobs of all workspaces.

    Parameters
    ----------
    workspace : str
        List only the jobs of this workspace.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """

    async def read(caller):
        return await caller.get("jobs", workspace=workspace)

    result = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_jobs)


def describe_jobs(result):
    rows = [
        [
            job["id"],
            job["workspace"],
            job["status"],
            job["request_counts"]["completed"],
            job["request_counts"]["failed"],
            job["request_counts"]["total"],
        ]
        for job in result["jobs"]
    ]
    headings = ["job", "workspace", "status", "completed", "failed", "total"]
    return format_table(headings, rows)


def show_job(id, url=None, operator_key=None, json=False):
    """Show one batch job.

    Parameters
    ----------
    id : str
        Identifier of the job.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """

    async def read(caller):
        return await caller.get(f"jobs/{id}")

    result = run_calls(read, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_job)


def describe_job(job):
    return "\n".join(f"{name}: {value}" for name, value in job.items())


def cancel_job(id, url=None, operator_key=None, json=False):
    """Cancel a batch job; finished results remain available.

    Parameters
    ----------
    id : str
        Identifier of the job.
    url : str
        Base URL of a daemon; by default HOLLYSPAN_URL.
    operator_key : str
        The operators' key; by default HOLLYSPAN_KEY.
    json : bool
        Print JSON for programs.
    """

    async def cancel(caller):
        return await caller.post(f"jobs/{id}/cancel")

    result = run_calls(cancel, **read_connection(url=url, key=operator_key))
    print_result(result, as_json=json, describe=describe_job)
