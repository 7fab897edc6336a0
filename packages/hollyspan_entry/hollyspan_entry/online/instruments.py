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

    def observe(measurements):
        attributes = {"gen_ai.request.model": measurements.service}
        if measurements.first_token is not None:
            time_to_first_token.record(measurements.first_token, attributes)
        if measurements.between_tokens is not None:
            time_per_output_token.record(
                measurements.between_tokens, attributes
            )
        if measurements.code is not None:
            attributes["error.type"] = measurements.code
        duration.record(measurements.seconds, attributes)

    state.runtime.request_listeners.append(observe)
