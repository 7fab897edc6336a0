"""A running deployment."""

import json

from ..common import StandinError
from .calls import fetch_json
from .calls import is_answering
from .calls import post_json
from .ports import ADDRESS
from .process import READY_SECONDS

__all__ = ["Deployment", "UnknownProcessError", "read_lines"]

# Time for a daemon to finish what is in flight after SIGTERM.
DAEMON_STOP_SECONDS = 70.0
STANDIN_STOP_SECONDS = 5.0


class UnknownProcessError(StandinError):
    """No process of the deployment has this name."""


class Deployment:
    """Processes by name, and what tests do to them.

    Parameters
    ----------
    folder : pathlib.Path
        Holds settings, logs and records.
    daemons : list of Daemon
    upstreams : list of Upstream
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
        """Names of the daemons, in the order of their places."""
        return [daemon.name for daemon in self.daemons]

    def list_upstreams(self, *, kind="engine", data_centre=None):
        """Return the names of upstreams of a kind."""
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
        """Return the base URL of a process, without any proxy."""
        return f"http://{ADDRESS}:{self.ports[name]}"

    def kill(self, name):
        """End a process at once (SIGKILL)."""
        self.find(name).kill()

    def freeze(self, name):
        """Stop a process until it is thawed (SIGSTOP)."""
        self.find(name).freeze()

    def thaw(self, name):
        """Let a frozen process go on (SIGCONT)."""
        self.find(name).thaw()

    def terminate(self, name):
        """Ask a process to stop (SIGTERM), without waiting."""
        self.find(name).terminate()

    def wait(self, name, seconds=DAEMON_STOP_SECONDS):
        """Wait for the end of a process and return its exit code."""
        return self.find(name).collect(seconds)

    def start(self, name, *, wait=True):
        """Start a process that has ended, on its old port."""
        process = self.find(name)
        if process.tells_ready:
            process.start("--port", str(self.ports[name]))
            process.read_ready()
            return
        process.start()
        if wait:
            self.wait_ready(name)

    def restart(self, name, *, wait=True):
        """Stop a process gracefully and start it again."""
        self.terminate(name)
        code = self.wait(name)
        self.start(name, wait=wait)
        return code

    def wait_ready(self, name, seconds=READY_SECONDS):
        """Wait until a daemon says that it is ready."""
        url = f"{self.url(name)}/readyz"
        self.find(name).wait_until(lambda: is_answering(url), seconds)

    def control(self, name, path="/control", /, **fields):
        """Post to the control endpoint of a stand-in."""
        return post_json(f"{self.url(name)}{path}", fields)

    def set_links(self, *patterns, **faults):
        """Set faults on the links whose names match.

        Parameters
        ----------
        *patterns : str
            As in :mod:`fnmatch`, such as ``"store:attiki-a-*"``.
        **faults
            ``cut``, ``freeze``, ``delay_seconds``, ``drop_replies``.
        """
        answer = self.control("proxy", links=list(patterns), **faults)
        return answer["changed"]

    def cut_off(self, data_centre, *, is_cut=True, platform=True):
        """Separate a data centre from the others and the platform."""
        inside = {d.name for d in self.daemons if d.data_centre == data_centre}
        inside.update(
            u.name for u in self.upstreams if u.data_centre == data_centre
        )
        names = [
            name
            for name in fetch_json(f"{self.url('proxy')}/control/links")
            if is_across(name, inside, platform)
        ]
        return self.set_links(*names, cut=is_cut)

    def count_links(self):
        """Return the state and counts of all links."""
        return fetch_json(f"{self.url('proxy')}/control/links")

    def count_store_calls(self):
        """Return the store's counts of calls by kind."""
        return fetch_json(f"{self.url('store')}/control/calls")

    def set_leaving(self, name, *, by_itself=True, by_list=True):
        """Announce that an upstream is leaving."""
        if by_itself:
            self.control(name, leaving=True)
        if by_list:
            self.control(
                "instances",
                "/control/set",
                name=name,
                ready=False,
                terminating=True,
            )

    def read_records(self, *names):
        """Return the records of upstreams, in the order of their times."""
        records = []
        for name in names or [u.name for u in self.upstreams]:
            records.extend(read_lines(self.folder / f"{name}.records.jsonl"))
        return sorted(records, key=lambda record: record["time"])

    def stop(self):
        """Stop all processes, the daemons first; note their exit codes."""
        self._stop(self.daemon_names, DAEMON_STOP_SECONDS)
        others = [n for n in self.processes if n not in self.daemon_names]
        self._stop(others, STANDIN_STOP_SECONDS)

    def _stop(self, names, seconds):
        running = [
            self.processes[name]
            for name in names
            if name in self.processes and self.processes[name].child
        ]
        for process in running:
            process.terminate()
        for process in running:
            self.stop_codes[process.name] = process.collect(seconds)


def is_across(link, inside, platform):
    """Return whether a link leads out of or into a data centre."""
    kind, _, ends = link.partition(":")
    if kind in ("store", "instances"):
        return platform and ends in inside
    source, _, target = ends.partition(">")
    return (source in inside) != (target in inside)


def read_lines(path):
    """Return the JSON lines of a file; a last, cut line is left out.

    Parameters
    ----------
    path : pathlib.Path

    Returns
    -------
    list of dict
    """
    if not path.exists():
        return []
    text = path.read_text(encoding="utf-8")
    whole = text[: text.rfind("\n") + 1]
    return [json.loads(line) for line in whole.splitlines() if line]
