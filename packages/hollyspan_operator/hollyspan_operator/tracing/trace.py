"""Selection of the log lines that concern one request, item or job."""

__all__ = ["build_trace"]

# Fields that identify the subject of a line.
IDENTIFIER_FIELDS = ("request", "job", "item")
# Message types that report the state of a daemon; the last line of each type
# before the request shows the state in which the request was handled.
STATE_KINDS = frozenset(
    (
        "configuration:in_force",
        "gateway:started",
        "gateway:draining",
        "mirror:connected",
        "mirror:lost",
        "peers:changed",
    )
)
# Message types that concern one upstream.
UPSTREAM_KINDS = frozenset(
    (
        "upstream:gone",
        "upstream:leaving",
        "upstream:listed",
        "upstream:suspect",
    )
)
# Changes of the upstreams are included from this many seconds before the
# request until as many seconds after it.
UPSTREAM_MARGIN_S = 5.0


def build_trace(lines, identifier):
    """Select the log lines that concern a request, an item or a job.

    Parameters
    ----------
    lines : iterable of LogLine
        Log lines of any daemons, in any order.
    identifier : str
        Identifier of the request, item or job.

    Returns
    -------
    list of LogLine
        The lines that contain the identifier, the changes of its upstreams
        around that time, and the state of each participating daemon before
        and during it, sorted by time.
    """
    lines = sorted(lines, key=lambda line: line.time)
    matching = [line for line in lines if has_identifier(line, identifier)]
    if not matching:
        return []
    start = matching[0].time
    end = matching[-1].time
    instances = {line.instance for line in matching}
    upstreams = {line.fields.get("upstream") for line in matching} - {None}
    selected = list(matching)
    states = {}
    for line in lines:
        if line.instance not in instances:
            continue
        if line.kind in STATE_KINDS:
            if line.time <= start:
                prefix = line.fields.get("prefix")
                states[line.instance, line.kind, prefix] = line
            elif line.time <= end:
                selected.append(line)
        elif (
            line.kind in UPSTREAM_KINDS
            and line.fields.get("upstream") in upstreams
            and start - UPSTREAM_MARGIN_S
            <= line.time
            <= end + UPSTREAM_MARGIN_S
        ):
            selected.append(line)
    selected += states.values()
    return sorted(selected, key=lambda line: line.time)


def has_identifier(line, identifier):
    return any(
        line.fields.get(name) == identifier for name in IDENTIFIER_FIELDS
    )
