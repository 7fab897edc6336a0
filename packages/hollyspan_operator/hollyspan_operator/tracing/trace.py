"""Selection of the lines that explain one request."""

__all__ = ["build_trace"]

# Fields that name what a line is about.
NAMES = ("request", "job", "item")
# Kinds that say what a daemon believes; the last of each before the request
# tells what it knew then.
BELIEFS = frozenset(
    (
        "configuration:in_force",
        "gateway:started",
        "gateway:draining",
        "mirror:connected",
        "mirror:lost",
        "peers:changed",
    )
)
# Kinds that concern one upstream.
UPSTREAM_KINDS = frozenset(
    (
        "upstream:gone",
        "upstream:leaving",
        "upstream:listed",
        "upstream:suspect",
    )
)
# Seconds around the request in which changes of its upstreams are shown.
AROUND_S = 5.0


def build_trace(lines, identifier):
    """Select what explains a request, an item or a job.

    Parameters
    ----------
    lines : iterable of LogLine
        Of any daemons, in any order.
    identifier : str

    Returns
    -------
    list of LogLine
        In order of time: the lines that name it, those of its upstreams
        around that time, and what each daemon that took part believed
        before.
    """
    lines = sorted(lines, key=lambda line: line.time)
    own = [line for line in lines if is_about(line, identifier)]
    if not own:
        return []
    start = own[0].time
    end = own[-1].time
    instances = {line.instance for line in own}
    upstreams = {line.fields.get("upstream") for line in own} - {None}
    chosen = list(own)
    beliefs = {}
    for line in lines:
        if line.instance not in instances:
            continue
        if line.kind in BELIEFS:
            if line.time <= start:
                topic = line.fields.get("prefix")
                beliefs[line.instance, line.kind, topic] = line
            elif line.time <= end:
                chosen.append(line)
        elif (
            line.kind in UPSTREAM_KINDS
            and line.fields.get("upstream") in upstreams
            and start - AROUND_S <= line.time <= end + AROUND_S
        ):
            chosen.append(line)
    chosen += beliefs.values()
    return sorted(chosen, key=lambda line: line.time)


def is_about(line, identifier):
    return any(line.fields.get(name) == identifier for name in NAMES)
