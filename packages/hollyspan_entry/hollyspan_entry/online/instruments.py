"""OpenTelemetry instruments of online requests."""

from opentelemetry.metrics import Observation

__all__ = ["add_instruments"]

SECONDS_UNIT = "s"


def add_instruments(state):
    """Create the instruments and record each request when it ends.

    Parameters
    ----------
    state : OnlineState
    """
    meter = state.runtime.meter
    duration = meter.create_histogram(
        "gen_ai.server.request.duration", unit=SECONDS_UNIT
    )
    time_to_first_token = meter.create_histogram(
        "gen_ai.server.time_to_first_token", unit=SECONDS_UNIT
    )
    time_per_output_token = meter.create_histogram(
        "gen_ai.server.time_per_output_token", unit=SECONDS_UNIT
    )
    meter.create_observable_up_down_counter(
        "http.server.active_requests",
        [lambda options: [Observation(state.in_flight)]],
        unit="{request}",
    )

    def observe(record):
        attributes = {"gen_ai.request.model": record.service}
        if record.first_token is not None:
            time_to_first_token.record(record.first_token, attributes)
        if record.between_tokens is not None:
            time_per_output_token.record(record.between_tokens, attributes)
        if record.code is not None:
            attributes["error.type"] = record.code
        duration.record(record.seconds, attributes)

    state.runtime.request_listeners.append(observe)
