"""Processes of a running deployment."""

import json

from ..common import StandinError
from .calls import fetch_json
from .calls import is_answering
from .calls import post_json
from .ports import ADDRESS
from .process import READY_TIMEOUT_S

__all__ = ["Deployment", "UnknownProcessError", "read_json_lines"]

# Time for a daemon to finish the requests in flight after SIGTERM.
DAEMON_STOP_TIMEOUT_S = 70.0
STANDIN_STOP_TIMEOUT_S = 5.0


class UnknownProcessError(StandinError):
    """The deployment has no process with this name."""


class Deployment:
    """Running deployment, with methods to control its processes.

    Parameters
    ----------
    folder : pathlib.Path
        Folder of settings, logs and records.
    daemons : list of Daemon
    upstreams : list of Upstream

    Attributes
    ----------
    processes : dict of str to Process
        Processes by name.
    ports : dict of str to int
        HTTP port of each process by name.
    stop_codes : dict of str to int
        Exit codes of the processes that :meth:`stop` stopped.
    """

    def __init__(self, *, folder, daemons, upstreams):
        self.folder = folder
        self.daemons = daemons
        self.upstreams = upstreams
        self.processes = {}
        self.ports = {daemon.name: daemon.http_port for daemon in daemons}
        self.stop_codes = {}

    @property
    def daemon_names(self):
        """Names of the daemons, in the order of their data centres."""
        return [daemon.name for daemon in self.daemons]

    def list_upstreams(self, *, kind="engine", data_centre=None):
        """Return the names of the upstreams of a kind, in a data centre."""
        return [
            upstream.name
            for upstream in self.upstreams
            if upstream.kind == kind
            and data_centre in (None, upstream.data_centre)
        ]

    def find(self, name):
        """Return a process by name."""
        try:
            return self.processes[name]
        except KeyError:
            raise UnknownProcessError(name) from None

    def url(self, name):
        """Return the base URL of a process, bypassing the proxy."""
        return f"http://{ADDRESS}:{self.ports[name]}"

    def kill(self, name):
        """Kill a process (SIGKILL)."""
        self.find(name).kill()

    def freeze(self, name):
        """Suspend a process until it is thawed (SIGSTOP)."""
        self.find(name).freeze()

    def thaw(self, name):
        """Resume a frozen process (SIGCONT)."""
        self.find(name).thaw()

    def terminate(self, name):
        """Send SIGTERM to a process without waiting for its exit."""
        self.find(name).terminate()

    def wait(self, name, seconds=DAEMON_STOP_TIMEOUT_S):
        """Wait until a process has exited and return its exit code."""
        return self.find(name).wait_for_exit(seconds)

    def start(self, name, *, wait=True):
        """Start a process that has exited, on the same port as before."""
        process = self.find(name)
        if process.prints_ready_line:
            process.start("--port", str(self.ports[name]))
            process.read_ready_line()
            return
        process.start()
        if wait:
            self.wait_ready(name)

    def restart(self, name, *, wait=True):
        """Stop a process gracefully, start it again, return its exit code."""
        self.terminate(name)
        code = self.wait(name)
        self.start(name, wait=wait)
        return code

    def wait_ready(self, name, seconds=READY_TIMEOUT_S):
        """Wait until a daemon reports that it is ready."""
        url = f"{self.url(name)}/readyz"
        self.find(name).wait_until(lambda: is_answering(url), seconds)

    def control(self, name, path="/control", /, **fields):
        """Post fields to the control endpoint of a stand-in."""
        return post_json(f"{self.url(name)}{path}", fields)

    def set_link_faults(self, *patterns, **faults):
        """Set faults of the proxied links whose names match a pattern.

        Parameters
        ----------
        *patterns : str
            Patterns of :mod:`fnmatch`, such as ``"store:attiki-a-*"``.
        **faults
            ``cut``, ``freeze``, ``delay_seconds``, ``drop_replies``; see
            :class:`hollyspan_standins.proxy.Link`.

        Returns
        -------
        list of str
            Names of the links that match.
        """
        answer = self.control("proxy", links=list(patterns), **faults)
        return answer["changed"]

    def isolate_data_centre(self, data_centre, *, is_cut=True, platform=True):
        """Cut or restore the links of a data centre to all others.

        The links to the platform are included unless ``platform`` is false.
        """
        members = {
            d.name for d in self.daemons if d.data_centre == data_centre
        }
        members.update(
            u.name for u in self.upstreams if u.data_centre == data_centre
        )
        names = [
            name
            for name in fetch_json(f"{self.url('proxy')}/control/links")
            if crosses_boundary(name, members, platform)
        ]
        return self.set_link_faults(*names, cut=is_cut)

    def fetch_links(self):
        """Return the faults and byte counts of all proxied links by name."""
        return fetch_json(f"{self.url('proxy')}/control/links")

    def fetch_store_calls(self):
        """Return the number of calls that the store received by kind."""
        return fetch_json(f"{self.url('store')}/control/calls")

    def announce_leaving(
        self, name, *, by_upstream=True, by_instance_list=True
    ):
        """Announce that an upstream leaves.

        The upstream itself, the instance list or both announce it.
        """
        if by_upstream:
            self.control(name, leaving=True)
        if by_instance_list:
            self.control(
                "instances",
                "/control/set",
                name=name,
                ready=False,
                terminating=True,
            )

    def read_records(self, *names):
        """Return the records of upstreams, sorted by time."""
        records = []
        for name in names or [u.name for u in self.upstreams]:
            records.extend(
                read_json_lines(self.folder / f"{name}.records.jsonl")
            )
        return sorted(records, key=lambda record: record["time"])

    def stop(self):
        """Stop all processes, daemons first, and store their exit codes."""
        self._stop(self.daemon_names, DAEMON_STOP_TIMEOUT_S)
        others = [n for n in self.processes if n not in self.daemon_names]
        self._stop(others, STANDIN_STOP_TIMEOUT_S)

    def _stop(self, names, seconds):
        running = [
            self.processes[name]
            for name in names
            if name in self.processes and self.processes[name].child
        ]
        for process in running:
            process.terminate()
        for process in running:
            self.stop_codes[process.name] = process.wait_for_exit(seconds)


def crosses_boundary(link, members, platform):
    """Return whether a link crosses the boundary of a data centre.

    Parameters
    ----------
    link : str
    members : set of str
        Names of the daemons and upstreams of the data centre.
    platform : bool
        Whether links from these members to the platform count.
    """
    kind, _, ends = link.partition(":")
    if kind in ("store", "instances"):
        return platform and ends in members
    source, _, target = ends.partition(">")
    return (source in members) != (target in members)


def read_json_lines(path):
    """Return the decoded JSON lines of a file, without an incomplete last one.

    Parameters
    ----------
    path : pathlib.Path
        File, which may not exist yet.

    Returns
    -------
    list of dict
    """
    if not path.exists():
        return []
    text = path.read_text(encoding="utf-8")
    complete_lines = text[: text.rfind("\n") + 1]
    return [json.loads(line) for line in complete_lines.splitlines() if line]
