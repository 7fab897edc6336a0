"""Resource usage of daemons, links and the store."""

import collections

import psutil

__all__ = ["Usage", "list_links", "measure_usage"]

BYTES_PER_MEGABYTE = 1_000_000


class Usage:
    """Resource usage of a deployment at one time.

    Parameters
    ----------
    cpu_seconds : float
        CPU time of all daemons.
    memory_megabytes : float
        Largest resident memory of a daemon.
    store_calls : dict
        Number of calls by kind.
    link_bytes : int
        Bytes sent between data centres.
    """

    __slots__ = (
        "cpu_seconds",
        "memory_megabytes",
        "store_calls",
        "link_bytes",
    )

    def __init__(
        self, *, cpu_seconds, memory_megabytes, store_calls, link_bytes
    ):
        self.cpu_seconds = cpu_seconds
        self.memory_megabytes = memory_megabytes
        self.store_calls = store_calls
        self.link_bytes = link_bytes


def measure_usage(deployment):
    """Measure the resource usage since the start.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    Usage
    """
    processes = [
        psutil.Process(deployment.find(name).child.pid)
        for name in deployment.daemon_names
    ]
    times = [process.cpu_times() for process in processes]
    memory = max(process.memory_info().rss for process in processes)
    return Usage(
        cpu_seconds=sum(t.user + t.system for t in times),
        memory_megabytes=memory / BYTES_PER_MEGABYTE,
        store_calls=collections.Counter(deployment.fetch_store_calls()),
        link_bytes=count_bytes_between(deployment),
    )


def count_bytes_between(deployment):
    """Count the bytes sent between data centres.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    int
    """
    links = deployment.fetch_links()
    return sum(
        links[name]["request_bytes"] + links[name]["reply_bytes"]
        for name in list_links(deployment, between=True)
    )


def list_links(deployment, *, between):
    """List the names of the links between daemons.

    Parameters
    ----------
    deployment : Deployment
    between : bool
        List the links between data centres, otherwise those within a data
        centre.

    Returns
    -------
    list of str
    """
    return [
        f"{kind}:{source.name}>{target.name}"
        for kind in ("http", "peer")
        for source in deployment.daemons
        for target in deployment.daemons
        if source is not target
        and (source.data_centre != target.data_centre) == between
    ]
