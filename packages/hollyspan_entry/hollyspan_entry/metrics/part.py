"""Setup of the metrics in the daemon."""

import contextlib

from opentelemetry.metrics import Observation
from opentelemetry.sdk import metrics
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.resources import Resource

from ..http import add_resource
from ..http import AsyncResource

__all__ = ["open_metrics"]

METER_NAME = "hollyspan"
JSON_CONTENT_TYPE = b"application/json"


@contextlib.contextmanager
def open_metrics(runtime):
    """Create the meter and serve the current metrics.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    None

    Notes
    -----
    The metrics are collected on demand in the reactor thread, without an
    exporter or a thread of its own. The answer uses the JSON format of
    OpenTelemetry.
    """
    reader = export.InMemoryMetricReader()
    provider = metrics.MeterProvider(
        metric_readers=[reader],
        resource=Resource.create(build_attributes(runtime.settings)),
        shutdown_on_exit=False,
    )
    runtime.meter = provider.get_meter(METER_NAME)
    register_store_call_counter(runtime)

    async def answer_metrics(request, path):
        data = reader.get_metrics_data()
        request.setHeader(b"content-type", JSON_CONTENT_TYPE)
        request.write(b"{}" if data is None else data.to_json().encode())

    add_resource(runtime.root, "metrics", AsyncResource(handle=answer_metrics))
    try:
        yield
    finally:
        provider.shutdown()


def build_attributes(settings):
    return {
        "service.name": "hollyspand",
        "service.instance.id": settings.instance,
        "cloud.availability_zone": settings.data_centre,
        "cloud.region": settings.region,
    }


def register_store_call_counter(runtime):
    """Register a counter of the store calls by kind."""

    def observe(options):
        for kind, count in runtime.store.calls.items():
            yield Observation(count, {"db.operation.name": kind})

    runtime.meter.create_observable_counter(
        "hollyspan.store.calls", [observe], unit="{call}"
    )
