"""Start of a deployment."""

from contextlib import contextmanager
from contextlib import ExitStack
import json
from pathlib import Path
import sys
import tempfile

from .configuration import build_configuration
from .configuration import write_configuration
from .deployment import Deployment
from .layout import build_layouts
from .links import build_entries
from .links import build_links
from .members import build_daemons
from .members import build_upstreams
from .ports import pick_port
from .process import Process
from .settings import write_settings

__all__ = ["open_deployment"]

DEFAULT_MODEL = "pips-lm"
DAEMON_EXECUTABLE = Path(sys.executable).parent / "hollyspand"


@contextmanager
def open_deployment(
    *,
    layouts=None,
    model=DEFAULT_MODEL,
    proxied=(),
    folder=None,
    timing=None,
    configuration=None,
    slots=8,
    engine_options=(),
    service_options=(),
    store_options=(),
    instance_list_lag=1.0,
    first_port=None,
    seed=1,
    start_daemons=True,
    is_configured=True,
):
    """Start a deployment and stop it when the block ends.

    Parameters
    ----------
    layouts : list of DataCentreLayout, optional
        Data centres; by default three, with an engine and a daemon each.
    model : str
        Name of the model that the engines serve.
    proxied : iterable of str
        Kinds of links that pass through the fault proxy; see
        :data:`~.links.LINK_KINDS`.
    folder : path, optional
        Folder of settings, logs and records; by default a temporary one.
    timing : dict, optional
        The ``timing`` settings of the daemons.
    configuration : dict, optional
        Initial configuration document.
    slots : int
        Slots of each engine.
    engine_options, service_options, store_options : iterable of str
        Additional command-line arguments of each engine, of each service
        and of the store.
    instance_list_lag : float
        Lag of the instance list in seconds.
    first_port : int, optional
        HTTP port of the first daemon.
    seed : int
        Seed from which the seed of each process is derived.
    start_daemons : bool
        Whether the daemons are started. Otherwise tests start them one by
        one with :meth:`Deployment.start`.
    is_configured : bool
        Whether the initial configuration is written to the store.

    Yields
    ------
    Deployment
    """
    layouts = layouts or build_layouts("attiki", "makedonia", "kriti")
    with ExitStack() as stack:
        if folder is None:
            folder = stack.enter_context(
                tempfile.TemporaryDirectory(prefix="hollyspan-")
            )
        folder = Path(folder)
        folder.mkdir(parents=True, exist_ok=True)
        deployment = Deployment(
            folder=folder,
            daemons=build_daemons(layouts, folder, first_port),
            upstreams=build_upstreams(layouts, model),
        )
        stack.callback(deployment.stop)
        launcher = Launcher(deployment=deployment, seed=seed)
        launcher.start_standin("store", options=store_options)
        launcher.start_upstreams(model, slots, engine_options, service_options)
        links = launcher.start_platform(set(proxied), instance_list_lag)
        if configuration is None:
            configuration = build_configuration(
                model=model,
                services=sorted(
                    {name for layout in layouts for name in layout.services}
                ),
                slots=slots,
            )
        if is_configured:
            write_configuration(deployment.url("store"), configuration)
        launcher.prepare_daemons(links, timing or {})
        if start_daemons:
            launcher.start_daemons()
        yield deployment


class Launcher:
    """Starts the processes of a deployment group by group.

    Parameters
    ----------
    deployment : Deployment
    seed : int
        Seed from which the seed of each process is derived.
    """

    def __init__(self, *, deployment, seed):
        self.deployment = deployment
        self.seed = seed

    def start_standin(self, name, *, module=None, options=()):
        """Start a stand-in and wait until it listens."""
        process = self.add_standin(name, module=module, options=options)
        process.start()
        self.record_port(process)
        return process

    def add_standin(self, name, *, module=None, options=()):
        """Prepare a stand-in without starting it."""
        module = f"hollyspan_standins.{module or name}"
        self.seed += 1
        arguments = [sys.executable, "-m", module]
        arguments += ["--follow-parent", "--seed", str(self.seed), *options]
        return self.add_process(name, arguments, prints_ready_line=True)

    def add_process(self, name, arguments, *, prints_ready_line):
        """Prepare a process without starting it."""
        process = Process(
            name=name,
            arguments=arguments,
            log=self.deployment.folder / f"{name}.log",
            prints_ready_line=prints_ready_line,
        )
        self.deployment.processes[name] = process
        return process

    def record_port(self, process):
        """Wait for the ready line of a stand-in and store its port."""
        ready = process.read_ready_line()
        self.deployment.ports[process.name] = ready["port"]

    def start_upstreams(self, model, slots, engine_options, service_options):
        """Start all engines and plain services concurrently."""
        started = []
        for upstream in self.deployment.upstreams:
            record = self.deployment.folder / f"{upstream.name}.records.jsonl"
            options = ["--name", upstream.name, "--record", str(record)]
            if upstream.kind == "engine":
                options += ["--model", model, "--slots", str(slots)]
                options += engine_options
            else:
                options += service_options
            process = self.add_standin(
                upstream.name, module=upstream.kind, options=options
            )
            process.start()
            started.append(process)
        for process in started:
            self.record_port(process)

    def start_platform(self, kinds, instance_list_lag):
        """Start the proxy, if any link is proxied, and the instance list.

        Returns
        -------
        dict of str to int
            Ports of the proxied links and of the views of the instance
            list, by name of the link.
        """
        deployment = self.deployment
        views = {name: pick_port() for name in deployment.daemon_names}
        ports = dict(deployment.ports)
        ports.update({f"view:{name}": p for name, p in views.items()})
        links = self.start_proxy(
            build_links(kinds, deployment.daemons, deployment.upstreams, ports)
        )
        entries = build_entries(
            deployment.daemons, deployment.upstreams, ports, links
        )
        options = ["--lag", str(instance_list_lag)]
        options += ["--initial", self.write_json("instances.json", entries)]
        options += ["--views", self.write_json("views.json", views)]
        self.start_standin("instances", options=options)
        return {**{f"instances:{n}": p for n, p in views.items()}, **links}

    def start_proxy(self, links):
        """Start the fault proxy unless there are no links to proxy."""
        if not links:
            return {}
        options = ["--links", json.dumps(links)]
        return self.start_standin("proxy", options=options).ready["links"]

    def prepare_daemons(self, links, timing):
        """Write the settings of the daemons and prepare their processes."""
        deployment = self.deployment
        for daemon in deployment.daemons:
            store = links.get(f"store:{daemon.name}")
            instances = links[f"instances:{daemon.name}"]
            path = deployment.folder / f"{daemon.name}.settings.json"
            if daemon.data_folder is not None:
                daemon.data_folder.mkdir(exist_ok=True)
            write_settings(
                path,
                daemon=daemon,
                store=f"http://127.0.0.1:{store or deployment.ports['store']}",
                instances=f"http://127.0.0.1:{instances}",
                log=deployment.folder / f"{daemon.name}.jsonl",
                timing=timing,
            )
            arguments = [str(DAEMON_EXECUTABLE), "--settings", str(path)]
            self.add_process(daemon.name, arguments, prints_ready_line=False)

    def start_daemons(self):
        """Start all daemons concurrently and wait until each is ready."""
        for name in self.deployment.daemon_names:
            self.deployment.start(name, wait=False)
        for name in self.deployment.daemon_names:
            self.deployment.wait_ready(name)

    def write_json(self, name, document):
        """Write a JSON file to the folder and return its path as text."""
        path = self.deployment.folder / name
        path.write_text(json.dumps(document), encoding="utf-8")
        return str(path)
