"""Delays and traffic between data centres and between regions."""

from ..common import StandinError

__all__ = ["count_traffic", "set_link_delays", "UnknownEndError"]

DEFAULT_DATA_CENTRE_DELAY_S = 0.001
DEFAULT_REGION_DELAY_S = 0.015


class UnknownEndError(StandinError):
    """A link has an endpoint that is no process of the deployment."""


def set_link_delays(
    deployment,
    *,
    data_centre_delay=DEFAULT_DATA_CENTRE_DELAY_S,
    region_delay=DEFAULT_REGION_DELAY_S,
):
    """Set the delays of proxied links by the locations of their endpoints.

    Parameters
    ----------
    deployment : Deployment
    data_centre_delay, region_delay : float
        One-way delay in seconds of links between data centres of a region
        and of links between regions.

    Notes
    -----
    Links to the platform and links within a data centre keep their delay.
    """
    link_names = {False: [], True: []}
    for name in deployment.fetch_links():
        ends = find_ends(deployment, name)
        if ends is None:
            continue
        source, target = ends
        if source.data_centre != target.data_centre:
            link_names[source.region != target.region].append(name)
    if link_names[False]:
        deployment.set_link_faults(
            *link_names[False], delay_seconds=data_centre_delay
        )
    if link_names[True]:
        deployment.set_link_faults(
            *link_names[True], delay_seconds=region_delay
        )


def count_traffic(deployment):
    """Return the number of bytes sent between each ordered pair of regions.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    dict of tuple of str to int
        Bytes by sending and receiving region; both are the same for traffic
        within a region.
    """
    totals = {}
    for name, link in deployment.fetch_links().items():
        ends = find_ends(deployment, name)
        if ends is None:
            continue
        forward = (ends[0].region, ends[1].region)
        backward = (ends[1].region, ends[0].region)
        totals[forward] = totals.get(forward, 0) + link["request_bytes"]
        totals[backward] = totals.get(backward, 0) + link["reply_bytes"]
    return totals


def find_ends(deployment, link):
    """Return the endpoints of a link, or None for a link to the platform.

    Raises
    ------
    UnknownEndError
        If an endpoint is no process of the deployment.
    """
    kind, _, names = link.partition(":")
    if kind in ("store", "instances"):
        return None
    members = {m.name: m for m in deployment.daemons + deployment.upstreams}
    try:
        source, target = (members[name] for name in names.split(">"))
    except KeyError as error:
        raise UnknownEndError(link) from error
    return source, target
