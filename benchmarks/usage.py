"""Use of processors, memory, links and the store."""

import collections

import psutil

__all__ = ["Usage", "list_links", "measure_usage"]

BYTES_PER_MEGABYTE = 1_000_000


class Usage:
    """What the processes of a deployment had used at one moment.

    Parameters
    ----------
    cpu_seconds : float
        Of all daemons.
    memory_megabytes : float
        Largest resident set of a daemon.
    store_calls : dict
        Count by kind.
    link_bytes : int
        Between the data centres.
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
    """Measure what has been used so far.

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
    """Count the bytes that went between data centres.

    Parameters
    ----------
    deployment : Deployment

    Returns
    -------
    int
    """
    links = deployment.count_links()
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
        Those between data centres, else those within one.

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
