"""Route table of one configuration."""

from hollyspan_policy.hashing import hash_to_fraction

from .route import RouteKind

__all__ = ["RouteTable", "choose_service"]


class RouteTable:
    """Routes by host and prefix.

    Parameters
    ----------
    version : int
        Version that the operator assigned to the configuration.
    revision : int
        Revision of the store at which it was written; defines the order of
        configurations.
    routes : iterable of Route
    limits : Limits
    services : frozenset of str
        Names of the services in the configuration.
    is_complete : bool, optional
        False if the configuration has routes that cannot be read.
    workspaces : WorkspaceTable or None, optional
        None if requests need no key.
    has_all_workspaces : bool, optional
        False if the configuration has workspaces that cannot be read.
    """

    __slots__ = (
        "version",
        "revision",
        "limits",
        "services",
        "is_complete",
        "workspaces",
        "has_all_workspaces",
        "by_host",
    )

    def __init__(
        self,
        *,
        version,
        revision,
        routes,
        limits,
        services,
        is_complete=True,
        workspaces=None,
        has_all_workspaces=True,
    ):
        self.version = version
        self.revision = revision
        self.limits = limits
        self.services = services
        self.is_complete = is_complete
        self.workspaces = workspaces
        self.has_all_workspaces = has_all_workspaces
        self.by_host = {}
        for route in routes:
            self.by_host.setdefault(route.host, {})[route.prefix] = route

    def list_routes(self):
        """Return all routes."""
        return [
            route
            for prefixes in self.by_host.values()
            for route in prefixes.values()
        ]

    def has_batch_work(self, service):
        """Return whether a batch route leads to a service.

        Parameters
        ----------
        service : str
        """
        return any(
            route.kind is RouteKind.BATCH
            and any(name == service for name, _ in route.services)
            for route in self.list_routes()
        )

    def find(self, host, path):
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
        path : str
            Without the query.
        """
        prefixes = self.by_host.get(host)
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None


def choose_service(route, key):
    """Choose a service by weight, determined by the request's key.

    Parameters
    ----------
    route : Route
    key : str

    Returns
    -------
    str
    """
    if len(route.services) == 1:
        return route.services[0][0]
    total = sum(weight for _, weight in route.services)
    point = hash_to_fraction(route.name, key) * total
    for name, weight in route.services:
        point -= weight
        if point < 0:
            return name
    return route.services[-1][0]
