"""Metrics as a part of the daemon."""

import contextlib

from opentelemetry.metrics import Observation
from opentelemetry.sdk import metrics
from opentelemetry.sdk.metrics import export
from opentelemetry.sdk.resources import Resource

from ..http import add_resource
from ..http import AsyncResource

__all__ = ["open_metrics"]

SCOPE = "hollyspan"
JSON = b"application/json"


@contextlib.contextmanager
def open_metrics(runtime):
    """Create the instruments' meter and serve what they hold.

    Parameters
    ----------
    runtime : Runtime

    Yields
    ------
    None

    Notes
    -----
    The reader is asked on demand, on the loop; there is no exporter and no
    thread. The answer is OpenTelemetry's own JSON.
    """
    reader = export.InMemoryMetricReader()
    provider = metrics.MeterProvider(
        metric_readers=[reader],
        resource=Resource.create(build_attributes(runtime.settings)),
        shutdown_on_exit=False,
    )
    runtime.meter = provider.get_meter(SCOPE)
    add_store_calls(runtime)

    async def answer_metrics(request, path):
        data = reader.get_metrics_data()
        request.setHeader(b"content-type", JSON)
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


def add_store_calls(runtime):
    """Count the calls to the platform's store by kind."""

    def observe(options):
        for kind, count in runtime.store.calls.items():
            yield Observation(count, {"db.operation.name": kind})

    runtime.meter.create_observable_counter(
        "hollyspan.store.calls", [observe], unit="{call}"
    )
