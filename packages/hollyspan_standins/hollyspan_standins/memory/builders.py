"""Builders of routes, request heads, upstream entries and events."""

from hollyspan_core.workspaces import WorkspaceTable
from hollyspan_gateway.jobs import Item
from hollyspan_gateway.jobs import Job
from hollyspan_gateway.online import RequestHead
from hollyspan_gateway.routes import Limits
from hollyspan_gateway.routes import Route
from hollyspan_gateway.routes import RouteKind
from hollyspan_gateway.routes import RouteTable
from hollyspan_gateway.upstreams import UpstreamEntry

__all__ = [
    "build_entry",
    "build_events",
    "build_head",
    "build_job",
    "build_route",
    "build_table",
]


def build_route(**changes):
    values = {
        "name": "r",
        "host": "h",
        "prefix": "/s/",
        "kind": RouteKind.STREAM,
        "services": [("m", 1)],
        "timeout": 5.0,
        "latency_target": 0.3,
        "priority": 0,
        "max_attempts": 2,
        "is_resumable": True,
        "max_pause": 0.5,
    }
    values.update(changes)
    return Route(**values)


def build_table(routes, *, version=1, revision=1, workspaces=(), **changes):
    return RouteTable(
        version=version,
        revision=revision,
        routes=routes,
        limits=Limits(
            header_bytes=1, body_bytes=1, header_seconds=1, idle_seconds=1
        ),
        services=frozenset(("m",)),
        workspaces=build_workspaces(workspaces),
        **changes,
    )


def build_entry(name, *, data_centre="a", port=1, slots=8, **changes):
    values = {
        "name": name,
        "service": "m",
        "address": ("10.0.0.1", port),
        "data_centre": data_centre,
        "slots": slots,
        "is_ready": True,
    }
    values.update(changes)
    return UpstreamEntry(**values)


def build_job(name, *, tokens, submitted=0.0):
    """Build a job with one item for each number of tokens."""
    return Job(
        identifier=name,
        host="h",
        path="/b/",
        submitted=submitted,
        due=submitted + 18.0,
        retained_until=submitted + 60.0,
        items=[
            Item(
                identifier=f"{name}i{number}",
                path="/b/x",
                headers=[],
                body=b"",
                tokens=count,
            )
            for number, count in enumerate(tokens)
        ],
    )


def build_workspaces(workspaces):
    """Return a table of workspaces, each with its name as its key's digest.

    A table, or None, is returned as it is.
    """
    if workspaces is None or isinstance(workspaces, WorkspaceTable):
        return workspaces
    by_digest = {each.name: each for each in workspaces}
    return WorkspaceTable(by_digest=by_digest) if by_digest else None


def build_head(
    identifier="q1",
    *,
    resume_after=None,
    resumes=None,
    shared_parts=(),
    fingerprint=0,
    **changes,
):
    return RequestHead(
        identifier=identifier,
        host="h",
        method=b"POST",
        target=b"/s/x",
        deadline_seconds=5.0,
        resume_after=resume_after,
        resumes=resumes,
        prompt_tokens=0,
        output_tokens=0,
        shared_parts=shared_parts,
        fingerprint=fingerprint,
        forwarded=[],
        **changes,
    )


def build_events(first, last, *, text="t"):
    return b"".join(
        b"id: %d\ndata: %s%d\n\n" % (number, text.encode(), number)
        for number in range(first, last + 1)
    )
