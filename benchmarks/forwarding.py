"""Cost of ways to serve callers of gateways that have lost their links.

    python -m benchmarks.forwarding [--gateways=12,80,390]

One data centre of the fleet is cut off from all upstreams. Counts requests and
bytes a second at the gateways that run them, how evenly they spread, and the
processor time of the choice and of the message that tells of it.
"""

import collections
import statistics
import sys
import time

import fire

from hollyspan_gateway.peers import encode_message
from hollyspan_gateway.peers import FleetMessage
from hollyspan_policy.reach import choose_forwarder
from hollyspan_policy.reach import Forwarder

__all__ = ["compare"]

# Requests a second at one gateway, and tokens a second in all, of the size to
# design for; an event carries ten tokens.
REQUESTS_PER_GATEWAY = 2_400 / 390
TOKENS_PER_REQUEST = 890_000 / 2_400
TOKENS_PER_EVENT = 10
# Places of that size.
DATA_CENTRES = 21
REGIONS = 7
# Sizes with headers, as the load tool sends them: a request, the head of its
# answer, and an event in a chunk of its own.
REQUEST_BYTES = 2_500
HEAD_BYTES = 300
EVENT_BYTES = 120
# Time that a request is in flight.
REQUEST_S = 1.0
SIMULATED_S = 20.0


def list_gateways(count):
    """Return (data centre, region) of each gateway."""
    places = []
    for number in range(count):
        data_centre = number % min(DATA_CENTRES, max(3, count // 4))
        places.append((data_centre, data_centre % REGIONS))
    return places


def simulate(count):
    """Let the gateways of one data centre choose others for their requests.

    Returns
    -------
    (int, collections.Counter, float)
        Cut-off gateways, requests by the gateway that ran them, and seconds
        of processor time for one choice.
    """
    places = list_gateways(count)
    cut_off = [n for n, (centre, _) in enumerate(places) if centre == 0]
    able = [n for n, (centre, _) in enumerate(places) if centre != 0]
    ran = collections.Counter({n: 0 for n in able})
    interval = 1.0 / REQUESTS_PER_GATEWAY
    choices = 0
    seconds = 0.0
    for chooser in cut_off:
        in_flight = collections.deque()
        counts = collections.Counter()
        for step in range(round(SIMULATED_S / interval)):
            now = step * interval
            while in_flight and in_flight[0][0] <= now:
                counts[in_flight.popleft()[1]] -= 1
            started = time.process_time()
            chosen = choose_forwarder(
                [
                    Forwarder(
                        identifier=str(n),
                        is_near=places[n][1] == places[chooser][1],
                        in_flight=counts[n],
                        lost_share=0.0,
                    )
                    for n in able
                ],
                key=f"{chooser} {step}",
            )
            seconds += time.process_time() - started
            choices += 1
            number = int(chosen.identifier)
            ran[number] += 1
            counts[number] += 1
            in_flight.append((now + REQUEST_S, number))
    return len(cut_off), ran, seconds / choices


def measure_heartbeat():
    """Return the bytes that reach adds to a heartbeat."""

    def build(**reach):
        return FleetMessage(
            sender=2**63 + 5,
            incarnation=1_790_000_000_000_000,
            sequence=100_000,
            is_full=True,
            loads=[],
            region=2**63 + 7,
            heartbeat_seconds=1.0,
            **reach,
        )

    whole = build(runs_online=True, memory_seconds=1e9)
    lost = build(runs_online=True, memory_seconds=1e9, lost_share=1.0)
    return (
        len(encode_message(whole)) - len(encode_message(build())),
        len(encode_message(lost)) - len(encode_message(whole)),
    )


def compare(*, gateways=(12, 80, 390)):
    """Print the costs for each size of the fleet."""
    request_bytes = (
        REQUEST_BYTES
        + HEAD_BYTES
        + TOKENS_PER_REQUEST / TOKENS_PER_EVENT * EVENT_BYTES
    )
    print(f"bytes of a forwarded request: {request_bytes:.0f}")
    print("bytes that reach adds to a heartbeat:", *measure_heartbeat())
    for count in gateways:
        cut_off, ran, seconds = simulate(count)
        rates = [each / SIMULATED_S for each in ran.values() if each]
        mean = statistics.mean(rates)
        print(
            f"{count} gateways, {cut_off} cut off: "
            f"{cut_off * REQUESTS_PER_GATEWAY:.0f} requests/s go over "
            f"{len(rates)} gateways, {mean:.2f} each, {max(rates):.2f} at most"
            f" ({max(rates) / REQUESTS_PER_GATEWAY:.2f} of its own), "
            f"{max(rates) * request_bytes / 1000:.1f} KB/s at most; choice "
            f"{seconds * 1e6:.0f} us, "
            f"{seconds * REQUESTS_PER_GATEWAY:.2%} of a core"
        )


if __name__ == "__main__":
    sys.exit(fire.Fire(compare))
