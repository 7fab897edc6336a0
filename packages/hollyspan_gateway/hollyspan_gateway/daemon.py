"""Assembly and stop of one gateway."""

import contextlib
import os
import signal
import time

import eliot
from twisted.internet import defer
from twisted.web import http

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_core.signals import handle_once

from .clock import wait
from .gateway import Gateway
from .gateway import MEMBERS_PREFIX
from .jobs.worker import Worker
from .metrics import Metrics
from .online.server import ClientSite
from .peers import copies
from .peers import READS_PATH
from .store import Store

__all__ = ["run_gateway"]

# Bytes of a body before a configuration states the limit.
INITIAL_BODY_BYTES = 4 * 1024 * 1024
# Seconds that a client's connection may be idle.
IDLE_S = 20.0
LISTEN_BACKLOG = 512
# Seconds after the request to stop for which new connections still come: the
# balancer takes a daemon out after two missed questions, one a second.
BALANCER_S = 2.6
# Seconds before the end by force at which the process leaves by itself.
LEAVE_MARGIN_S = 0.4
DRAIN_CHECK_S = 0.05
# Seconds between two lines with the counters.
COUNTERS_S = 5.0
METRICS_PATH = b"/metrics"
# Seconds after the start before the metrics' library is imported: clients and
# peers come first.
METRICS_DELAY_S = 2.0
# Seconds between two measurements of the loop's delay.
LAG_S = 1.0
# Seconds before a failed registration is tried again.
REGISTER_RETRY_S = 0.3
# Seconds after the start before items are run, so that peers are heard first.
WORKER_DELAY_S = 1.0


def run_gateway(reactor, *, settings, dialect, create_wire):
    """Run a gateway until it is told to stop.

    Parameters
    ----------
    reactor : twisted reactor
    settings : GatewaySettings
    dialect : object
        Functions that translate to and from the platform's formats.
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
        if settings.client_port is not None:
            gateway.site = listen_for_clients(reactor, gateway)
        start_parts(reactor, gateway)
        stack.callback(gateway.pool.close)
        stopping = Stop(reactor=reactor, gateway=gateway)
        reactor.addSystemEventTrigger(
            "after",
            "startup",
            lambda: handle_once(stopping.ask, (signal.SIGTERM,)),
        )
        reactor.addSystemEventTrigger(
            "after",
            "startup",
            lambda: signal.signal(signal.SIGHUP, signal.SIG_IGN),
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
    """Open the addresses for clients and for the balancer."""
    settings = gateway.settings
    site = ClientSite(
        reactor=reactor,
        handle=lambda request: gateway.dialect.dispatch(gateway, request),
        body_limit=INITIAL_BODY_BYTES,
        idle_seconds=IDLE_S,
    )
    reactor.listenTCP(
        settings.client_port,
        site,
        backlog=LISTEN_BACKLOG,
        interface=settings.ip,
    )
    ready = ClientSite(
        reactor=reactor,
        handle=lambda request: answer_ready(gateway, request),
        body_limit=0,
        idle_seconds=IDLE_S,
    )
    reactor.listenTCP(settings.ready_port, ready, interface=settings.ip)
    return site


def answer_ready(gateway, request):
    """Tell the balancer whether clients can be served."""
    status = http.OK if gateway.is_ready else http.SERVICE_UNAVAILABLE
    request.answer(status, [], b"")


def answer_internal(gateway, request):
    """Answer a peer or a scrape of the metrics."""
    if request.uri == METRICS_PATH:
        answer_metrics(gateway, request)
        return
    if request.uri.startswith(READS_PATH):
        target = request.uri.removeprefix(READS_PATH).decode("latin-1")
        gateway.reading.answer_peer(request, target)
        return
    mirror = gateway.mirrors.get(
        request.uri.removeprefix(copies.PATH).decode("latin-1")
    )
    if mirror is None:
        request.answer(http.NOT_FOUND, [], b"")
        return
    request.answer(http.OK, [], copies.encode_copy(mirror))


def answer_metrics(gateway, request):
    """Answer with the metrics as text."""
    if gateway.read_metrics is None:
        request.answer(http.SERVICE_UNAVAILABLE, [], b"not ready\n")
        return
    headers = [(b"Content-Type", b"text/plain; version=0.0.4")]
    request.answer(http.OK, headers, gateway.read_metrics())


def create_metrics(gateway):
    """Create the instruments, which takes an import of some 0.1 s."""
    from .metrics.instruments import create_instruments

    gateway.read_metrics = create_instruments(gateway)


def measure_lag(gateway, due):
    """Record by how much a timer of the loop is late."""
    now = gateway.reactor.seconds()
    gateway.metrics.record("lag", max(0.0, now - due))
    gateway.reactor.callLater(LAG_S, measure_lag, gateway, now + LAG_S)


def start_parts(reactor, gateway):
    """Start what follows the store and the peers."""
    settings = gateway.settings
    internal = ClientSite(
        reactor=reactor,
        handle=lambda request: answer_internal(gateway, request),
        body_limit=0,
        idle_seconds=IDLE_S,
    )
    for port in (settings.copies_port, settings.metrics_port):
        reactor.listenTCP(port, internal, interface=settings.ip)
    reactor.listenUDP(settings.peer_port, gateway.peers, interface=settings.ip)
    reactor.callLater(METRICS_DELAY_S, create_metrics, gateway)
    measure_lag(gateway, reactor.seconds())
    gateway.configuration_mirror.start()
    gateway.upstreams_mirror.start()
    defer.ensureDeferred(register(gateway)).addErrback(eliot.write_failure)
    if settings.runs_batch:
        gateway.worker = Worker(gateway=gateway)
        reactor.callLater(WORKER_DELAY_S, gateway.worker.start)


def log_counters(gateway):
    """Log the counters now and then, for those without a metrics reader."""
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
    gateway.reactor.callLater(COUNTERS_S, log_counters, gateway)


async def register(gateway):
    """Put this gateway into the store and learn of the others."""
    settings = gateway.settings
    address = f"{settings.ip}:{settings.peer_port}"
    while True:
        try:
            await gateway.store.put(
                MEMBERS_PREFIX + settings.instance, address.encode()
            )
            page = await gateway.store.list(MEMBERS_PREFIX)
            break
        except StoreUnavailableError as failure:
            eliot.log_message("member:unregistered", reason=failure.message)
            await wait(gateway.reactor, REGISTER_RETRY_S)
    for entry in page.entries:
        host, _, port = entry.content.decode().rpartition(":")
        name = entry.key.removeprefix(MEMBERS_PREFIX)
        gateway.peers.add(name, (host, int(port)))
    eliot.log_message("member:registered", known=len(page.entries))


class Stop:
    """Stops a gateway without cutting a request off.

    Parameters
    ----------
    reactor : twisted reactor
    gateway : Gateway
    """

    def __init__(self, *, reactor, gateway):
        self.reactor = reactor
        self.gateway = gateway
        self.site = gateway.site
        self.began = None

    def ask(self):
        """Begin to stop; called from a signal."""
        self.reactor.callFromThread(self.begin)

    def begin(self):
        """Report not ready, and leave once the work is done."""
        if self.began is not None:
            return
        self.began = self.reactor.seconds()
        gateway = self.gateway
        gateway.drain()
        if gateway.worker is not None:
            gateway.worker.is_stopping = True
        gateway.peers.send_full(gateway.peers.list_live())
        eliot.log_message(
            "gateway:draining",
            connections=len(self.site.channels) if self.site else 0,
            items=len(gateway.worker.running) if gateway.worker else 0,
        )
        self.reactor.callLater(DRAIN_CHECK_S, self.check)

    def check(self):
        """Leave when nothing is in flight or the grace is over."""
        spent = self.reactor.seconds() - self.began
        limit = self.gateway.settings.grace_seconds - LEAVE_MARGIN_S
        if spent < limit and not self.is_done(spent):
            self.reactor.callLater(DRAIN_CHECK_S, self.check)
            return
        eliot.log_message("gateway:stopping", seconds=spent)
        if self.gateway.worker is not None:
            self.gateway.worker.stop()
        self.reactor.stop()

    def is_done(self, spent):
        if self.gateway.worker is not None and self.gateway.worker.running:
            return False
        if self.site is None:
            return True
        if spent < BALANCER_S:
            return False
        self.site.close_idle()
        return not self.site.channels
