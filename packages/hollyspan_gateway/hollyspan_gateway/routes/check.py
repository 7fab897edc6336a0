"""Check of a configuration of routes and workspaces before it is sent."""

from .route import RouteKind

__all__ = [
    "EXIT_INVALID",
    "describe_differences",
    "find_contradictions",
    "find_unmatchable",
    "report_findings",
]

EXIT_FINDINGS = 1
EXIT_INVALID = 65

# Attributes of routes and workspaces that a difference names.
ROUTE_FIELDS = (
    "services",
    "timeout",
    "latency_target",
    "priority",
    "max_attempts",
    "is_resumable",
    "max_pause",
    "completion_seconds",
    "retention_seconds",
    "max_waiting_tokens",
    "is_public",
)
WORKSPACE_FIELDS = ("priority", "rate", "burst")


def report_findings(table, routes, *, errors, in_force, output):
    """Print what was found in a configuration, and what it changes.

    Parameters
    ----------
    table : RouteTable
    routes : list of Route
    errors : list of str
        Parts that cannot be read, with their places.
    in_force : RouteTable or None
    output : text file

    Returns
    -------
    int
        Exit status: 0 without findings, 1 with some, 65 with errors.
    """
    findings = find_unmatchable(table, routes)
    contradictions = find_contradictions(table, routes)
    changes = []
    if in_force is not None:
        changes = describe_differences(table, in_force)
    for title, lines in (
        ("error", errors),
        ("never matches", findings),
        ("contradiction", contradictions),
        ("change", changes),
    ):
        for line in lines:
            print(f"{title}: {line}", file=output)
    if errors:
        return EXIT_INVALID
    return EXIT_FINDINGS if findings or contradictions else 0


def find_unmatchable(table, routes):
    """Find entries that no request can ever match.

    Parameters
    ----------
    table : RouteTable
    routes : list of Route
        All routes of the configuration, in its order; of several with one
        host and prefix, the last one is in force.

    Returns
    -------
    list of str
    """
    findings = []
    last = {(each.host, each.prefix): each for each in routes}
    for number, route in enumerate(routes):
        place = describe_route(route, number)
        if last[route.host, route.prefix] is not route:
            findings.append(
                f"{place}: a later route has the same host and prefix"
            )
        if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
            findings.append(
                f"{place}: the prefix {route.prefix!r} does not begin and end "
                "with a slash, so that no path is matched"
            )
        findings += find_unused_services(table, route, place)
    if table.workspaces is not None:
        findings += find_unreachable_workspaces(table.workspaces)
        if not table.workspaces.by_digest:
            findings += [
                f"{describe_route(route, number)}: no workspace has a key, "
                "and the route is not public"
                for number, route in enumerate(routes)
                if not route.is_public
            ]
    return findings


def find_unused_services(table, route, place):
    """Find services of a route to which it sends nothing."""
    findings = []
    total = sum(weight for _, weight in route.services)
    for name, weight in route.services:
        if name not in table.services:
            findings.append(f"{place}: there is no service {name}")
        if weight <= 0 and total > 0:
            findings.append(f"{place}: service {name} has weight {weight:g}")
    if total <= 0:
        findings.append(f"{place}: the weights of its services add up to 0")
    return findings


def find_unreachable_workspaces(workspaces):
    """Find workspaces that no key leads to."""
    reached = {each.name for each in workspaces.by_digest.values()}
    return [
        f"workspace {name}: it has no key that is its alone"
        for name in sorted(workspaces.by_name)
        if name not in reached
    ]


def find_contradictions(table, routes):
    """Find limits that contradict each other.

    Parameters
    ----------
    table : RouteTable
    routes : list of Route

    Returns
    -------
    list of str
    """
    findings = []
    for number, route in enumerate(routes):
        place = describe_route(route, number)
        findings += [f"{place}: {text}" for text in compare_limits(route)]
    if table.workspaces is not None:
        for name, workspace in sorted(table.workspaces.by_name.items()):
            if workspace.burst and not workspace.rate:
                findings.append(
                    f"workspace {name}: a burst of {workspace.burst:g} "
                    "without a rate limits nothing"
                )
    return findings


def compare_limits(route):
    """Yield what the limits of one route contradict."""
    is_batch = route.kind is RouteKind.BATCH
    target = route.latency_target
    if not is_batch and target is not None and target > route.timeout:
        yield (
            f"the target of {target:g} s is beyond the timeout of "
            f"{route.timeout:g} s"
        )
    if (
        route.kind is RouteKind.STREAM
        and route.max_pause is not None
        and route.max_pause > route.timeout
    ):
        yield (
            f"pauses of {route.max_pause:g} s are beyond the timeout of "
            f"{route.timeout:g} s"
        )
    if route.max_attempts > 1 and not is_batch and not route.is_repeatable:
        yield (
            f"{route.max_attempts} attempts for requests that run once: "
            "further ones are made only after a refusal"
        )
    if is_batch and None not in (
        route.completion_seconds,
        route.retention_seconds,
    ):
        if route.completion_seconds > route.retention_seconds:
            yield (
                f"items may be given up after {route.retention_seconds:g} s, "
                f"before they are due after {route.completion_seconds:g} s"
            )
    if is_batch and route.is_public and route.max_waiting_tokens:
        yield "the limit on waiting tokens is shared by all callers"


def describe_differences(table, in_force):
    """Say in words what a configuration changes.

    Parameters
    ----------
    table : RouteTable
    in_force : RouteTable

    Returns
    -------
    list of str
        Empty if nothing changes but the version.
    """
    old = {(each.host, each.prefix): each for each in in_force.list_routes()}
    new = {(each.host, each.prefix): each for each in table.list_routes()}
    changes = []
    for key in sorted(old.keys() | new.keys()):
        place = f"route {key[0]}{key[1]}"
        if key not in new:
            changes.append(f"{place} is removed")
        elif key not in old:
            changes.append(f"{place} is added")
        else:
            if old[key].kind is not new[key].kind:
                changes.append(
                    f"{place}: kind {old[key].kind.value} becomes "
                    f"{new[key].kind.value}"
                )
            changes += compare_fields(
                place, old[key], new[key], fields=ROUTE_FIELDS
            )
    changes += compare_workspaces(in_force.workspaces, table.workspaces)
    changes += compare_fields(
        "limits", in_force.limits, table.limits, fields=table.limits.__slots__
    )
    return changes


def compare_workspaces(old, new):
    """Return the changes of workspaces and of the number of their keys."""
    if old is None or new is None:
        if old is new:
            return []
        return [
            (
                "requests need a key of a workspace"
                if old is None
                else "requests need no key any more"
            )
        ]
    changes = []
    for name in sorted(old.by_name.keys() | new.by_name.keys()):
        place = f"workspace {name}"
        if name not in new.by_name:
            changes.append(f"{place} is removed, with its keys")
        elif name not in old.by_name:
            changes.append(f"{place} is added")
        else:
            changes += compare_fields(
                place,
                old.by_name[name],
                new.by_name[name],
                fields=WORKSPACE_FIELDS,
            )
            before, after = list_keys(old, name), list_keys(new, name)
            if after - before:
                changes.append(f"{place}: {len(after - before)} keys added")
            if before - after:
                changes.append(
                    f"{place}: {len(before - after)} keys withdrawn"
                )
    return changes


def list_keys(workspaces, name):
    """Return the digests of the keys of a workspace."""
    return {
        digest
        for digest, workspace in workspaces.by_digest.items()
        if workspace.name == name
    }


def compare_fields(place, old, new, *, fields):
    """Return a text for each field whose values differ."""
    return [
        f"{place}: {field} {getattr(old, field)} becomes "
        f"{getattr(new, field)}"
        for field in fields
        if getattr(old, field) != getattr(new, field)
    ]


def describe_route(route, number):
    """Return the place of a route in the document."""
    return f"route {number} ({route.name or route.prefix})"
