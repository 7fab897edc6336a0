"""Service and version at which a resumed stream has to go on."""

from hollyspan_core.errors import StreamVersionError

__all__ = ["find_origin", "find_service"]

# Time to come back for a client whose stream cannot go on: it can begin anew
# at once.
RESTART_RETRY_AFTER_S = 0.1


async def find_origin(gateway, head, route, *, outcome):
    """Find out where the stream that a request resumes has to go on.

    Parameters
    ----------
    gateway : Gateway
    head : RequestHead
    route : Route
    outcome : Outcome
        Whether the request may have run.

    Returns
    -------
    (str, int)
        Service and key of the version that began the stream.

    Raises
    ------
    StreamVersionError
        The version is not known, or no upstream of it accepts work.
    """
    finding = await gateway.stream_versions.find(head)
    if finding.is_ambiguous:
        raise build_error("is ambiguous", outcome=outcome)
    version = finding.version
    if version is None or not finding.is_certain:
        recorded = await gateway.stream_versions.search.find(route)
        if recorded is None or version not in (None, recorded):
            raise build_error("is not known", outcome=outcome)
        version = recorded
    service = find_service(gateway, route, version, outcome=outcome)
    return service, version


def find_service(gateway, route, version, *, outcome, has_begun=False):
    """Return the service of a route whose upstreams serve a version.

    Parameters
    ----------
    gateway : Gateway
    route : Route
    version : int
    outcome : Outcome
        Whether the request may have run.
    has_begun : bool, optional
        True for a request that has begun elsewhere, perhaps before a
        configuration took the weight of its service.

    Raises
    ------
    StreamVersionError
        No upstream of the version accepts work.
    """
    # The version tells the service, which is drawn for each attempt.
    for service, weight in route.services:
        if (weight > 0 or has_begun) and gateway.placement.serves_version(
            service, version
        ):
            return service
    raise build_error("is not served any more", outcome=outcome)


def build_error(reason, *, outcome):
    return StreamVersionError(
        f"the version that began the stream {reason}; begin anew",
        outcome=outcome,
        retry_after=RESTART_RETRY_AFTER_S,
    )
