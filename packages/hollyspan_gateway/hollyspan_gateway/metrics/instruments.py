"""OpenTelemetry instruments of one gateway."""

import resource as process_resource
import time

from opentelemetry.exporter.prometheus import PrometheusMetricReader
from opentelemetry.metrics import Observation
from opentelemetry.sdk.metrics import MeterProvider
from opentelemetry.sdk.metrics.view import ExplicitBucketHistogramAggregation
from opentelemetry.sdk.metrics.view import View
from opentelemetry.sdk.resources import Resource
from prometheus_client import generate_latest

__all__ = ["create_instruments"]

SCOPE = "hollyspan"
# The kernel reports memory in KiB.
BYTES_PER_KIBIBYTE = 1024
# The latency targets of the services (0.3 and 0.5) are bounds of buckets.
TIME_BUCKETS_S = (
    0.005,
    0.01,
    0.02,
    0.05,
    0.1,
    0.2,
    0.3,
    0.5,
    1.0,
    2.0,
    5.0,
    10.0,
    20.0,
)
# Lateness after the deadline of an item's job; results on time count as 0.
LATENESS_BUCKETS_S = (0.0, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)
REQUEST_LABELS = ("outcome", "kind")
TIME_DESCRIPTIONS = {
    "first_event": "From a request to the first byte of its answer",
    "pause": "Longest time between two events of an answer",
    "held": "Wait of a request at the gateway for a slot",
    "request": "From a request to the end of its answer",
    "run": "One run of an item",
    "lag": "Delay of the loop",
    "report_age": "Age of an upstream's last report when it is chosen",
    "lateness": "Time by which an item's result is stored after it is due",
}


def create_instruments(gateway):
    """Create the instruments and return a function that reads them.

    Parameters
    ----------
    gateway : Gateway

    Returns
    -------
    callable
        Returns the metrics in the text exposition format, as bytes.
    """
    reader = PrometheusMetricReader()
    provider = MeterProvider(
        metric_readers=[reader],
        resource=Resource({"service.name": "hollyspan"}),
        views=[
            build_view(
                f"hollyspan_{name}_seconds",
                LATENESS_BUCKETS_S if name == "lateness" else TIME_BUCKETS_S,
            )
            for name in TIME_DESCRIPTIONS
        ],
        shutdown_on_exit=False,
    )
    meter = provider.get_meter(SCOPE)
    metrics = gateway.metrics
    add_counter(meter, "requests", REQUEST_LABELS, lambda: metrics.requests)
    add_counter(meter, "sends", ("result",), lambda: metrics.sends)
    add_counter(meter, "items", ("state",), lambda: metrics.items)
    add_counter(meter, "refusals", ("reason",), lambda: metrics.refusals)
    add_counter(
        meter,
        "refused_documents",
        ("kind",),
        lambda: gateway.refused.counts,
    )
    add_counter(
        meter,
        "refused_datagrams",
        ("line",),
        lambda: gateway.peers.intake.counts,
    )
    add_counter(
        meter,
        "pace_changes",
        ("reason",),
        lambda: gateway.placement.paces.changes,
    )
    add_counter(
        meter, "store_calls", ("call",), gateway.store.wire.describe_calls
    )
    add_gauges(meter, gateway)
    histograms = {
        name: meter.create_histogram(
            f"hollyspan_{name}_seconds", unit="s", description=text
        )
        for name, text in TIME_DESCRIPTIONS.items()
    }
    gateway.metrics.histograms = histograms
    while gateway.metrics.pending_times:
        name, seconds = gateway.metrics.pending_times.popleft()
        histograms[name].record(seconds)
    return generate_latest


def build_view(name, bounds):
    """Return a view that sets the buckets of one histogram."""
    return View(
        instrument_name=name,
        aggregation=ExplicitBucketHistogramAggregation(bounds),
    )


def add_counter(meter, name, labels, read):
    """Add a counter; a key holds one value for each label."""

    def observe(options):
        for key, count in read().items():
            values = key if isinstance(key, tuple) else (key,)
            yield Observation(count, dict(zip(labels, map(str, values))))

    meter.create_observable_counter(f"hollyspan_{name}", [observe])


def add_gauges(meter, gateway):
    """Add gauges of a gateway's state, evaluated at each scrape."""

    def add(name, read):
        meter.create_observable_gauge(
            f"hollyspan_{name}", [lambda options: [Observation(read())]]
        )

    def count_online():
        upstreams = gateway.directory.upstreams.values()
        return sum(upstream.online for upstream in upstreams)

    add("events", lambda: gateway.metrics.events)
    add("processor_seconds", time.process_time)
    add("peak_memory_bytes", read_peak_memory)
    add("online_in_flight", count_online)
    add_job_gauges(add, gateway)
    if gateway.worker is not None:
        add("batch_in_flight", lambda: len(gateway.worker.running))
        unreadable = gateway.worker.catalogue.unreadable
        add("jobs_unreadable", lambda: len(unreadable))
        add("shortages_avoided", lambda: gateway.worker.shortages.avoided)
    add("configuration_version", lambda: gateway.configuration_version or 0)
    add("workspaces_over_share", gateway.shares.count_over)
    add("peers_live", lambda: len(gateway.peers.list_live()))
    add("upstreams", lambda: len(gateway.directory.upstreams))
    speeds = gateway.placement.speeds
    alternatives = gateway.placement.alternatives
    add("upstreams_slow", speeds.count_slow)
    add("refused_moves", lambda: alternatives.refused_moves)
    add(
        "unreadable_loads",
        lambda: gateway.placement.load_reports.unreadable,
    )
    add("upstreams_limited", lambda: count_limited(gateway))
    add(
        "workspaces_over_rate",
        lambda: gateway.workspace_rates.keeping.count_limited(),
    )
    add("upstreams_paced", lambda: count_paced(gateway))
    add("parts_blocked", lambda: len(gateway.guard.blocks))
    add("connections_opened", lambda: gateway.pool.opened)
    add("keys_accepted", lambda: int(gateway.confirmation.accepts_keys))
    add("configuration_confirmed_age", lambda: gateway.confirmation.age)
    for name, mirror in gateway.mirrors.items():
        add(f"{name}_connected", lambda m=mirror: int(m.is_connected))
        add(f"{name}_revision", lambda m=mirror: m.revision)
    proof = gateway.proof_of_life
    for name in ("configuration", "upstreams", "jobs"):
        add(f"{name}_age", lambda n=name: proof.measure_age(n))
    add("proofs_asked", lambda: proof.asked)
    add("watches_silent", lambda: proof.found)


def add_job_gauges(add, gateway):
    """Add gauges of the bytes of jobs that a gateway holds."""
    bodies, submissions = gateway.bodies, gateway.submissions
    add("job_bytes_limit", lambda: bodies.limit)
    add("job_bodies_kept_bytes", lambda: bodies.cache.held_bytes)
    add("job_bodies_in_use_bytes", lambda: bodies.in_use_bytes)
    add("job_bodies_dropped", lambda: bodies.cache.dropped)
    add("job_records_read", lambda: bodies.reads)
    add("job_results_held_bytes", gateway.reading.count_held_bytes)
    add("submissions_held_bytes", lambda: submissions.held_bytes)
    add("submissions_refused", lambda: submissions.refused)
    add("submissions_without_room", lambda: submissions.without_room)
    if gateway.worker is not None:
        catalogue = gateway.worker.catalogue
        add("job_arrivals_bytes", lambda: catalogue.arrivals.held_bytes)
        room = catalogue.room
        add("job_descriptions_limit", lambda: room.limit)
        add("job_descriptions_bytes", lambda: room.held_bytes)
        add("jobs_waiting_for_room", lambda: len(room.waiting))
        add("jobs_beyond_room", lambda: room.beyond)
        add("jobs_known", lambda: len(catalogue.jobs))
        add("items_known", catalogue.count_items)
        add("items_forgotten", lambda: catalogue.forgotten)


def count_limited(gateway):
    """Return the number of upstreams that name a rate limit."""
    return sum(
        upstream.rate_limit.per_second is not None
        for upstream in gateway.directory.upstreams.values()
    )


def count_paced(gateway):
    """Return the number of upstreams that have a pace."""
    return sum(
        upstream.pace.allowed is not None
        for upstream in gateway.directory.upstreams.values()
    )


def read_peak_memory():
    """Return the peak resident memory of the process in bytes."""
    usage = process_resource.getrusage(process_resource.RUSAGE_SELF)
    return usage.ru_maxrss * BYTES_PER_KIBIBYTE
