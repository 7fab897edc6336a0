"""Startup and shutdown of one gateway process."""

import contextlib
import os
import signal
import time

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import DrainingError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.loop_watch import open_loop_watch
from hollyspan_core.signals import handle_once
from hollyspan_core.values import parse_address

from .clock import wait
from .gateway import Gateway
from .gateway import MEMBERS_PREFIX
from .indirect_probes import answer_indirect_probe
from .indirect_probes import INDIRECT_PROBES_PATH
from .jobs.body_limits import choose_peer_request_limit
from .jobs.body_limits import choose_request_limit
from .jobs.worker import Worker
from .metrics import Metrics
from .online.forwarded import FORWARDED_PATH
from .online.peer_requests import answer_forwarded
from .online.server import ClientSite
from .peers import JOB_READS_PATH
from .peers import snapshots
from .shutdown import Shutdown
from .store import Store
from .work import DRAINING_RETRY_AFTER_S

__all__ = ["run_gateway"]

# Limit on request bodies until a configuration sets one.
INITIAL_BODY_LIMIT_BYTES = 4 * 1024 * 1024
# Idle timeout of connections; a configuration may replace it for clients.
IDLE_TIMEOUT_S = 20.0
LISTEN_BACKLOG = 512
# Interval between log lines with the counters.
COUNTERS_LOG_INTERVAL_S = 5.0
METRICS_PATH = b"/metrics"
# Interval between measurements of the event loop's delay.
LAG_CHECK_INTERVAL_S = 1.0
# Delay before a failed registration is retried.
REGISTRATION_RETRY_S = 0.3
# Delay after startup before items are run, so that peers' heartbeats arrive
# first.
WORKER_START_DELAY_S = 1.0


def run_gateway(reactor, *, settings, dialect, create_wire):
    """Run a gateway until it receives SIGTERM.

    Parameters
    ----------
    reactor : twisted reactor
    settings : GatewaySettings
    dialect : object
        Encoders and decoders of the platform's formats.
    create_wire : callable
        Returns the wire client of the store.
    """
    gateway = Gateway(
        reactor=reactor,
        settings=settings,
        store=Store(
            wire=create_wire(reactor, settings.store_address),
            reactor=reactor,
            create_token=lambda: os.urandom(16),
        ),
        dialect=dialect,
        metrics=Metrics(),
        incarnation=time.time_ns() // 1000,
    )
    with contextlib.ExitStack() as stack:
        stack.enter_context(open_loop_watch(reactor))
        if settings.client_port is not None:
            gateway.site = listen_for_clients(reactor, gateway)
        start_components(reactor, gateway)
        stack.callback(gateway.pool.close)
        shutdown = Shutdown(reactor=reactor, gateway=gateway)
        reactor.addSystemEventTrigger(
            "after",
            "startup",
            lambda: handle_once(shutdown.request_shutdown, (signal.SIGTERM,)),
        )
        eliot.log_message(
            "gateway:started",
            instance=settings.instance,
            data_centre=settings.data_centre,
            runs_batch=settings.runs_batch,
        )
        log_counters(gateway)
        reactor.run()
        eliot.log_message("gateway:ended", instance=settings.instance)


def listen_for_clients(reactor, gateway):
    """Listen for clients and for the balancer's health checks."""
    settings = gateway.settings
    site = ClientSite(
        reactor=reactor,
        handle=lambda request: gateway.dialect.dispatch(gateway, request),
        body_limit=INITIAL_BODY_LIMIT_BYTES,
        idle_seconds=IDLE_TIMEOUT_S,
        find_room=gateway.submissions.find_room,
        all_body_bytes=choose_request_limit(settings.memory_bytes),
        refuse=lambda request: refuse_late(gateway, request),
    )
    reactor.listenTCP(
        settings.client_port,
        site,
        backlog=LISTEN_BACKLOG,
        interface=settings.ip,
    )
    ready = ClientSite(
        reactor=reactor,
        handle=lambda request: answer_readiness(gateway, request),
        body_limit=0,
        idle_seconds=IDLE_TIMEOUT_S,
    )
    reactor.listenTCP(settings.ready_port, ready, interface=settings.ip)
    return site


def answer_readiness(gateway, request):
    """Answer a health check of the balancer."""
    status = http.OK if gateway.is_ready else http.SERVICE_UNAVAILABLE
    request.answer(status, [], b"")


def refuse_late(gateway, request):
    """Refuse a request that comes behind the last answer in a stop."""
    error = DrainingError(
        "the gateway is shutting down",
        outcome=Outcome.NOT_RUN,
        retry_after=DRAINING_RETRY_AFTER_S,
    )
    eliot.log_message(
        "request:not_taken",
        sender=request.getClientIP(),
        code=error.code,
        reason=error.message,
    )
    gateway.metrics.count_request(error.code)
    request.answer(*gateway.dialect.encode_failure(error))


def answer_internal(gateway, request):
    """Answer a request of a peer or a scrape of the metrics."""
    if request.uri == METRICS_PATH:
        answer_metrics(gateway, request)
        return
    if request.uri.startswith(JOB_READS_PATH):
        target = request.uri.removeprefix(JOB_READS_PATH).decode("latin-1")
        gateway.reading.answer_peer(request, target)
        return
    if request.uri.startswith(FORWARDED_PATH):
        answer_forwarded(gateway, request, idle_seconds=IDLE_TIMEOUT_S)
        return
    if request.uri.startswith(INDIRECT_PROBES_PATH):
        answer_indirect_probe(gateway, request)
        return
    mirror = gateway.mirrors.get(
        request.uri.removeprefix(snapshots.SNAPSHOTS_PATH).decode("latin-1")
    )
    if mirror is None:
        request.answer(http.NOT_FOUND, [], b"")
        return
    request.answer(http.OK, [], snapshots.encode_snapshot(mirror))


def answer_metrics(gateway, request):
    """Answer with the metrics in the text exposition format."""
    if gateway.read_metrics is None:
        create_metrics(gateway)
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    request.answer(http.OK, headers, gateway.read_metrics())


def create_metrics(gateway):
    """Create the instruments at the first scrape.

    The import of the metrics library takes about 0.1 s and 3 MB, which a
    gateway that nobody scrapes need not spend.
    """
    from .metrics.instruments import create_instruments

    gateway.read_metrics = create_instruments(gateway)


def measure_lag(gateway, due):
    """Record the delay of a timer of the event loop."""
    now = gateway.reactor.seconds()
    gateway.metrics.record("lag", max(0.0, now - due))
    gateway.reactor.callLater(
        LAG_CHECK_INTERVAL_S, measure_lag, gateway, now + LAG_CHECK_INTERVAL_S
    )


def start_components(reactor, gateway):
    """Start the internal listeners, the mirrors and the worker."""
    settings = gateway.settings
    internal = ClientSite(
        reactor=reactor,
        handle=lambda request: answer_internal(gateway, request),
        body_limit=INITIAL_BODY_LIMIT_BYTES,
        idle_seconds=IDLE_TIMEOUT_S,
        all_body_bytes=choose_peer_request_limit(settings.memory_bytes),
    )
    gateway.internal_site = internal
    for port in (settings.snapshot_port, settings.metrics_port):
        reactor.listenTCP(port, internal, interface=settings.ip)
    reactor.listenUDP(settings.peer_port, gateway.peers, interface=settings.ip)
    measure_lag(gateway, reactor.seconds())
    gateway.configuration_mirror.start()
    gateway.upstreams_mirror.start()
    gateway.confirmation.start()
    gateway.proof_of_life.start()
    gateway.guard.records.start()
    defer.ensureDeferred(register(gateway)).addErrback(eliot.write_failure)
    if settings.runs_batch:
        gateway.worker = Worker(gateway=gateway)
        reactor.callLater(WORKER_START_DELAY_S, gateway.worker.start)


def log_counters(gateway):
    """Log the counters at intervals, for use without a metrics reader."""
    eliot.log_message(
        "gateway:counters",
        store_calls=gateway.store.wire.describe_calls(),
        connections=gateway.pool.opened,
        events=gateway.metrics.events,
        requests={
            f"{outcome} {kind}": count
            for (outcome, kind), count in gateway.metrics.requests.items()
        },
        items=dict(gateway.metrics.items),
    )
    gateway.reactor.callLater(COUNTERS_LOG_INTERVAL_S, log_counters, gateway)


async def register(gateway):
    """Register this gateway in the store and add the other members."""
    settings = gateway.settings
    address = f"{settings.ip}:{settings.peer_port}"
    while True:
        try:
            key = MEMBERS_PREFIX + settings.instance
            earlier = await gateway.store.get(key)
            # Of two gateways that start together, one at least reads the
            # other's entry.
            await gateway.store.put(key, address.encode())
            page = await gateway.store.list(MEMBERS_PREFIX)
            break
        except StoreUnavailableError as error:
            eliot.log_message("member:unregistered", reason=error.message)
            await wait(gateway.reactor, REGISTRATION_RETRY_S)
    if earlier is None:
        gateway.stream_versions.note_first_start()
    members = {}
    for entry in page.entries:
        name = entry.key.removeprefix(MEMBERS_PREFIX)
        try:
            members[name] = parse_address(entry.content.decode())
        except ValueError as error:
            gateway.refused.note("member", name=entry.key, reason=repr(error))
    gateway.peers.add(members)
    eliot.log_message("member:registered", known=len(page.entries))
