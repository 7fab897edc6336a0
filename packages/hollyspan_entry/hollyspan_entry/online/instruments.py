"""Instruments of the online path."""

from opentelemetry.metrics import Observation

__all__ = ["add_instruments"]

SECONDS = "s"


def add_instruments(state):
    """Measure each request at its end.

    Parameters
    ----------
    state : OnlineState
    """
    meter = state.runtime.meter
    duration = meter.create_histogram(
        "gen_ai.server.request.duration", unit=SECONDS
    )
    first = meter.create_histogram(
        "gen_ai.server.time_to_first_token", unit=SECONDS
    )
    between = meter.create_histogram(
        "gen_ai.server.time_per_output_token", unit=SECONDS
    )
    meter.create_observable_up_down_counter(
        "http.server.active_requests",
        [lambda options: [Observation(state.in_flight)]],
        unit="{request}",
    )

    def observe(record):
        attributes = {"gen_ai.request.model": record.service}
        if record.first_token is not None:
            first.record(record.first_token, attributes)
        if record.between_tokens is not None:
            between.record(record.between_tokens, attributes)
        if record.code is not None:
            attributes["error.type"] = record.code
        duration.record(record.seconds, attributes)

    state.runtime.request_listeners.append(observe)
