"""Upstream loads that this daemon reports to its peers."""

from hollyspan_core.messages import InFlight
from hollyspan_core.messages import UpstreamLoadReport

__all__ = ["describe_load", "list_loads", "list_reports"]


def list_loads(runtime):
    """List this daemon's nonzero loads on upstreams of its data centre."""
    data_centre = runtime.settings.data_centre
    return [
        describe_load(upstream)
        for upstream in runtime.upstreams.by_name.values()
        if upstream.data_centre == data_centre
        and (upstream.online or upstream.batch)
    ]


def list_reports(runtime):
    """List the load reports of the upstreams that this daemon owns."""
    return [
        UpstreamLoadReport(
            upstream=upstream.name,
            waiting=upstream.waiting,
            running=upstream.running,
            reachable=upstream.reachable,
        )
        for upstream in runtime.upstreams.by_name.values()
        if runtime.owners.find(upstream) == runtime.settings.instance
        and (upstream.last_report_at is not None or not upstream.reachable)
    ]


def describe_load(upstream):
    return InFlight(
        upstream=upstream.name, online=upstream.online, batch=upstream.batch
    )
