"""Delays and traffic between data centres and between regions."""

from ..common import StandinError

__all__ = ["count_traffic", "set_distances", "UnknownEndError"]

DEFAULT_BETWEEN_CENTRES_SECONDS = 0.001
DEFAULT_BETWEEN_REGIONS_SECONDS = 0.015


class UnknownEndError(StandinError):
    """A link ends at no process of the deployment."""


def set_distances(
    deployment,
    *,
    between_centres=DEFAULT_BETWEEN_CENTRES_SECONDS,
    between_regions=DEFAULT_BETWEEN_REGIONS_SECONDS,
):
    """Delay the proxied links by how far apart their ends are.

    Parameters
    ----------
    deployment : Deployment
    between_centres, between_regions : float
        One-way delay in seconds.

    Notes
    -----
    The links to the platform and those within a data centre keep their
    delay.
    """
    far = {False: [], True: []}
    for name in deployment.count_links():
        ends = find_ends(deployment, name)
        if ends is None:
            continue
        source, target = ends
        if source.data_centre != target.data_centre:
            far[source.region != target.region].append(name)
    if far[False]:
        deployment.set_links(*far[False], delay_seconds=between_centres)
    if far[True]:
        deployment.set_links(*far[True], delay_seconds=between_regions)


def count_traffic(deployment):
    """Return the bytes between each ordered pair of regions.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    dict of tuple of str to int
        By the regions of sender and receiver; the two are the same for
        traffic within a region.
    """
    totals = {}
    for name, link in deployment.count_links().items():
        ends = find_ends(deployment, name)
        if ends is None:
            continue
        there = (ends[0].region, ends[1].region)
        back = (ends[1].region, ends[0].region)
        totals[there] = totals.get(there, 0) + link["request_bytes"]
        totals[back] = totals.get(back, 0) + link["reply_bytes"]
    return totals


def find_ends(deployment, link):
    """Return the members at the ends of a link; None for the platform's.

    Raises
    ------
    UnknownEndError
        If an end is not known.
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
