"""Assembly and lifecycle of the entry daemon."""

import contextlib
import os
import signal
import time

import eliot
from twisted.internet import defer
from twisted.internet import task
from twisted.web import resource

from hollyspan_core.loop_watch import open_loop_watch
from hollyspan_core.signals import handle_once
from hollyspan_policy.membership import MemberTable

from .addresses import open_address_resolver
from .burn import open_burn
from .configurations import ConfigurationHolder
from .configurations import open_configurations
from .drain import drain
from .files import build_upload_request
from .files import open_files
from .http import AsyncResource
from .http import DrainingSite
from .http import write_json
from .instances import open_instances
from .intake import open_agent
from .jobs import open_jobs
from .metrics import open_metrics
from .online import open_online
from .operators import open_operators
from .peers import open_peers
from .runtime import Runtime
from .services import open_services
from .store import open_store
from .upstreams import open_upstreams
from .upstreams import UpstreamRegistry

__all__ = ["run_daemon"]

MICROSECONDS_PER_SECOND = 1_000_000
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def create_token():
    return os.urandom(16)


@contextlib.contextmanager
def open_runtime(settings, *, reactor):
    timing = settings.timing
    with contextlib.ExitStack() as stack:
        store = stack.enter_context(
            open_store(
                url=settings.store_url,
                reactor=reactor,
                timeout=timing.store_timeout,
                create_token=create_token,
            )
        )
        agent = stack.enter_context(
            open_agent(reactor, timeout=timing.connect_timeout)
        )
        yield Runtime(
            settings=settings,
            reactor=reactor,
            agent=agent,
            store=store,
            configurations=ConfigurationHolder(),
            upstreams=UpstreamRegistry(),
            members=MemberTable(timeout=timing.peer_timeout),
            root=resource.Resource(),
            incarnation=int(time.time() * MICROSECONDS_PER_SECOND),
            create_token=create_token,
        )


def add_health(runtime):
    async def answer_health(request, path):
        write_json(request, {"status": "ok"})

    async def answer_ready(request, path):
        checks = {
            name: check() for name, check in runtime.readiness_checks.items()
        }
        ready = not runtime.draining and all(checks.values())
        status = 200 if ready else 503
        write_json(request, {"ready": ready, "checks": checks}, status=status)

    runtime.root.putChild(b"healthz", AsyncResource(handle=answer_health))
    runtime.root.putChild(b"readyz", AsyncResource(handle=answer_ready))
    runtime.readiness_checks["configuration"] = (
        lambda: runtime.configurations.current is not None
    )


# Parts of the daemon in the order in which they are opened. Each function
# takes the runtime and returns a context manager.
PARTS = (
    open_metrics,
    open_configurations,
    open_instances,
    open_peers,
    open_burn,
    open_operators,
    open_upstreams,
    open_online,
    open_services,
    open_files,
    open_jobs,
)


def run_daemon(settings):
    """Run the daemon until SIGTERM or SIGINT.

    Parameters
    ----------
    settings : Settings

    Raises
    ------
    SystemExit
        Code 0 after a planned stop, 1 after a failure.
    """
    from twisted.internet import reactor

    stop = defer.Deferred()

    async def run(reactor):
        with contextlib.ExitStack() as stack:
            stack.enter_context(open_address_resolver(reactor))
            runtime = stack.enter_context(
                open_runtime(settings, reactor=reactor)
            )
            stack.enter_context(open_loop_watch(reactor))
            add_health(runtime)
            for open_part in PARTS:
                stack.enter_context(open_part(runtime))
            site = DrainingSite(
                runtime.root,
                requestFactory=build_upload_request(runtime),
                parsePOSTFormSubmission=False,
            )
            port = reactor.listenTCP(
                settings.http_port, site, interface=settings.http_address
            )
            eliot.log_message(message_type="daemon:start")
            await stop
            await drain(runtime, site=site, port=port)
        eliot.log_message(message_type="daemon:stop")

    def request_stop():
        reactor.callFromThread(fire_once, stop)

    reactor.callWhenRunning(handle_once, request_stop, STOP_SIGNALS)
    task.react(lambda r: defer.ensureDeferred(run(r)), ())


def fire_once(stop):
    if not stop.called:
        stop.callback(None)
