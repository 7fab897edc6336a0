"""Links through the fault proxy and the matching instance list entries."""

__all__ = ["build_entries", "build_links", "LINK_KINDS"]

LINK_KINDS = ("store", "instances", "upstreams", "peers")


def build_links(kinds, daemons, upstreams, ports):
    """Build the descriptions of the links to proxy.

    Parameters
    ----------
    kinds : iterable of str
        Kinds to proxy, from ``LINK_KINDS``.
    daemons : list of Daemon
    upstreams : list of Upstream
    ports : dict of str to int
        Ports of ``store``, of the upstreams by name, and of the views of
        the instance list as ``view:DAEMON``.

    Notes
    -----
    Every daemon has its own links, named ``store:SOURCE``,
    ``instances:SOURCE``, ``upstream:SOURCE>TARGET``,
    ``http:SOURCE>TARGET`` and ``peer:SOURCE>TARGET``, so that the connection
    of any pair can be cut.
    """
    links = []
    for daemon in daemons:
        source = daemon.name
        if "store" in kinds:
            links.append(build_link(f"store:{source}", ports["store"]))
        if "instances" in kinds:
            view = ports[f"view:{source}"]
            links.append(build_link(f"instances:{source}", view))
        if "upstreams" in kinds:
            links.extend(
                build_link(f"upstream:{source}>{u.name}", ports[u.name])
                for u in upstreams
            )
        if "peers" in kinds:
            links.extend(build_peer_links(daemon, daemons))
    return links


def build_peer_links(daemon, daemons):
    """Build the links from one daemon to all other daemons."""
    links = []
    for other in daemons:
        if other is not daemon:
            pair = f"{daemon.name}>{other.name}"
            links.append(build_link(f"http:{pair}", other.http_port))
            links.append(build_link(f"peer:{pair}", other.peer_port, "both"))
    return links


def build_link(name, target, kind="tcp"):
    """Build the description of one link."""
    return {"name": name, "kind": kind, "target": target}


def build_entries(daemons, upstreams, ports, proxied):
    """Build the initial entries of the instance list.

    Parameters
    ----------
    daemons : list of Daemon
    upstreams : list of Upstream
    ports : dict of str to int
        Ports of the upstreams by name.
    proxied : dict of str to int
        Ports of the proxied links by name.
    """
    entries = [build_upstream_entry(u, ports[u.name]) for u in upstreams]
    entries.extend(build_daemon_entry(daemon) for daemon in daemons)
    for entry in entries:
        entry["views"] = {
            daemon.name: build_view(entry, daemon.name, proxied)
            for daemon in daemons
        }
    return entries


def build_upstream_entry(upstream, port):
    """Build the entry of an engine or service."""
    return {
        "name": upstream.name,
        "service": upstream.service,
        "kind": upstream.kind,
        "ports": {"http": port},
        "zone": upstream.data_centre,
    }


def build_daemon_entry(daemon):
    """Build the entry of a daemon."""
    return {
        "name": daemon.name,
        "service": "hollyspand",
        "kind": "daemon",
        "ports": {"http": daemon.http_port, "peer": daemon.peer_port},
        "zone": daemon.data_centre,
    }


def build_view(entry, source, proxied):
    """Return the ports of an entry that are listed for one daemon."""
    pair = f"{source}>{entry['name']}"
    names = {"http": f"http:{pair}", "peer": f"peer:{pair}"}
    if entry["kind"] != "daemon":
        names = {"http": f"upstream:{pair}"}
    return {
        name: proxied.get(names[name], port)
        for name, port in entry["ports"].items()
    }
