"""Ways to hold workspaces to rates over a fleet, in simulated time.

    python -m benchmarks.workspace_rates [--sizes=12x77,58x77] [--seed=1]

Workspaces of skewed size send in waves through all gateways; three of them
send six times their usual for some seconds. Each way to count is played with
the same load: excess is the most requests of any workspace in a window less
its bound (above 0 breaks it), wrong the percentage of requests that were
refused while a bucket of the whole fleet had room.
"""

import time

import fire

from hollyspan_core.workspaces import Workspace
from hollyspan_policy.membership import choose_heartbeat_interval
from hollyspan_policy.membership import count_heartbeats_per_round
from hollyspan_policy.workspace_rates import DemandMeter
from hollyspan_policy.workspace_rates import RateTolerance
from hollyspan_standins.rates import RateFleet

__all__ = ["compare"]

TOLERANCE = RateTolerance(window_seconds=5.0, overage=0.1, slack=20.0)
REQUESTS_PER_GATEWAY = 3.3
SKEW = 1.2
# Of a limit to the usual rate.
LIMIT_FACTOR = 1.6
FLOOD_FACTOR = 6.0
FLOODED = (0, 3, 20)
CALM_S = 10.0
FLOOD_S = 8.0
AFTER_S = 4.0
# Way to an owner and back, on average of regions.
OWNER_WAY_S = 0.006
STORE_WAY_S = 0.012
# Time for which a batch of tokens lasts at a gateway of average demand.
BATCH_S = 0.5


class Bucket:
    """A token bucket."""

    __slots__ = ("tokens", "at")

    def __init__(self, tokens, at):
        self.tokens = tokens
        self.at = at

    def refill(self, *, rate, capacity, now):
        self.tokens = min(capacity, self.tokens + (now - self.at) * rate)
        self.at = now
        return self.tokens


class ShareFleet(RateFleet):
    """Baseline: a bucket at each gateway, with a share of the rate."""

    def __init__(self, **options):
        super().__init__(**options)
        self.local = {}

    def find_part(self, number, name, now):
        """Return an equal share."""
        return 1.0 / self.size

    def decide(self, number, name, sends, is_forwarded):
        now = self.clock.seconds()
        part = self.find_part(number, name, now)
        workspace = self.workspaces[name]
        capacity = part * self.tolerance.measure_capacity(
            rate=workspace.rate, burst=workspace.burst
        )
        capacity = max(1.0, capacity)
        bucket = self.local.setdefault((number, name), Bucket(capacity, now))
        bucket.refill(rate=workspace.rate * part, capacity=capacity, now=now)
        if bucket.tokens < 1.0:
            return 1.0
        bucket.tokens -= 1.0
        return None


class DemandShareFleet(ShareFleet):
    """Baseline: shares by the demand that heartbeats tell."""

    def __init__(self, **options):
        super().__init__(**options)
        self.meters = {}
        self.totals = {}
        self.interval = choose_heartbeat_interval(
            self.size
        ) * count_heartbeats_per_round(self.size)

    def find_part(self, number, name, now):
        """Return the own demand in that of all, as last heard."""
        meters = self.meters.setdefault(name, {})
        meter = meters.get(number)
        if meter is None:
            meter = meters[number] = DemandMeter(seconds=2.0, now=now)
        meter.add(1, now=now)
        told, total = self.totals.get(name, (-self.interval, 0.0))
        if now - told >= self.interval / 2:
            total = sum(each.measure(now=now) for each in meters.values())
            self.totals[name] = now, total
        own = meter.measure(now=now)
        return max(1.0 / self.size, own / max(total, own))


class OwnerFleet(RateFleet):
    """Baseline: tokens leased in batches from one owner."""

    way_seconds = OWNER_WAY_S

    def __init__(self, **options):
        super().__init__(**options)
        self.owned = {}
        self.leased = {}
        self.calls = 0
        self.waits = 0.0

    def decide(self, number, name, sends, is_forwarded):
        now = self.clock.seconds()
        leased = self.leased.setdefault((number, name), [0.0, now])
        workspace = self.workspaces[name]
        batch = max(1.0, workspace.rate * BATCH_S / self.size)
        if now - leased[1] > 4 * BATCH_S:
            # A batch that was not used in time is lost.
            leased[0] = 0.0
        if leased[0] < 1.0:
            self.calls += 1
            self.waits += 2 * self.way_seconds
            leased[0] += self.lease(workspace, batch, now)
            leased[1] = now
        if leased[0] < 1.0:
            return 1.0
        leased[0] -= 1.0
        return None

    def lease(self, workspace, batch, now):
        """Return the tokens of a batch, as far as there are any."""
        capacity = self.tolerance.measure_capacity(
            rate=workspace.rate, burst=workspace.burst
        )
        bucket = self.owned.setdefault(workspace.name, Bucket(capacity, now))
        bucket.refill(rate=workspace.rate, capacity=capacity, now=now)
        given = min(batch, max(0.0, bucket.tokens))
        bucket.tokens -= given
        return given


class StoreFleet(OwnerFleet):
    """Baseline: the same from counters in the store."""

    way_seconds = STORE_WAY_S


WAYS = {
    "equal shares": ShareFleet,
    "shares by demand": DemandShareFleet,
    "leases of an owner": OwnerFleet,
    "leases of the store": StoreFleet,
    "fractions of keepers (chosen)": RateFleet,
}


def build_workspaces(gateways, count):
    """Return workspaces with skewed limits, and their usual rates."""
    weights = [number**-SKEW for number in range(1, count + 1)]
    total = gateways * REQUESTS_PER_GATEWAY / sum(weights)
    usual = [weight * total for weight in weights]
    return usual, [
        Workspace(
            name=f"w{number}",
            rate=LIMIT_FACTOR * rate,
            burst=max(1.0, LIMIT_FACTOR * rate),
        )
        for number, rate in enumerate(usual)
    ]


def play(way, *, gateways, count, seed):
    """Play one way to count and print what it did."""
    began = time.process_time()
    usual, workspaces = build_workspaces(gateways, count)
    fleet = WAYS[way](
        gateways=gateways,
        workspaces=workspaces,
        tolerance=TOLERANCE,
        seed=seed,
    )
    start = fleet.clock.seconds()
    for number, rate in enumerate(usual):
        fleet.send_steadily(
            f"w{number}",
            rate=lambda now, rate=rate, number=number: measure_demand(
                rate, now - start, is_flooded=number in FLOODED
            ),
            seconds=CALM_S + FLOOD_S + AFTER_S,
        )
    fleet.clock.advance(CALM_S)
    calm = fleet.messages, fleet.sent_bytes, dict(fleet.received)
    fleet.clock.advance(FLOOD_S)
    flood = fleet.messages, fleet.sent_bytes, dict(fleet.received)
    fleet.clock.advance(AFTER_S)
    asked = sum(
        len(fleet.admitted[name]) + len(fleet.refused[name])
        for name in fleet.workspaces
    )
    seconds = CALM_S + FLOOD_S + AFTER_S
    excess = [fleet.measure_excess(name) for name in fleet.workspaces]
    result = {
        "gateways": gateways,
        "workspaces": count,
        "way": way,
        "excess": round(max(excess), 1),
        "over": sum(each > 0 for each in excess),
        "wrong_percent": round(100 * sum(fleet.wrongly.values()) / asked, 2),
    }
    if isinstance(fleet, OwnerFleet):
        result["calls_per_second"] = round(fleet.calls / seconds)
        result["wait_ms_per_request"] = round(1000 * fleet.waits / asked, 1)
    if fleet.messages:
        peak = max(
            flood[2].get(number, 0) - calm[2].get(number, 0)
            for number in range(gateways)
        )
        result |= {
            "calm_messages": round(calm[0] / CALM_S / gateways, 1),
            "calm_bytes": round(calm[1] / CALM_S / gateways),
            "flood_messages": round(
                (flood[0] - calm[0]) / FLOOD_S / gateways, 1
            ),
            "flood_bytes": round((flood[1] - calm[1]) / FLOOD_S / gateways),
            "flood_peak_received": round(peak / FLOOD_S),
            "calm_peak_received": round(max(calm[2].values()) / CALM_S),
        }
    result["processor_seconds"] = round(time.process_time() - began, 1)
    print(result, flush=True)


def measure_demand(rate, elapsed, *, is_flooded):
    """Return the requests a second of a workspace at a time."""
    wave = 0.38 if elapsed % 5.8 < 3.4 else 1.87
    in_flood = CALM_S <= elapsed < CALM_S + FLOOD_S
    return rate * wave * (FLOOD_FACTOR if is_flooded and in_flood else 1.0)


def compare(*, sizes="12x77,58x77", seed=1, ways=None):
    """Play all ways with fleets of some sizes.

    Parameters
    ----------
    sizes : str, optional
        GATEWAYSxWORKSPACES, separated by commas.
    seed : int, optional
    ways : str, optional
        A part of the names of the ways to play.
    """
    sizes = sizes if isinstance(sizes, str) else ",".join(sizes)
    for size in sizes.split(","):
        gateways, count = map(int, size.split("x"))
        for way in WAYS:
            if ways is None or ways in way:
                play(way, gateways=gateways, count=count, seed=seed)


if __name__ == "__main__":
    fire.Fire(compare)
