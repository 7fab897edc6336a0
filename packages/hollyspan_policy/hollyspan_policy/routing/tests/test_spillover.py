from hollyspan_policy.routing import choose_data_centre
from hollyspan_policy.routing import DataCentreView


def build_view(name, **fields):
    values = {"free_slots": 10, "age": 0.2, "round_trip": 0.06}
    return DataCentreView(data_centre=name, **{**values, **fields})


def choose(candidates, *, wait=1.0, size=2000, seed="r"):
    chosen = choose_data_centre(
        candidates, wait_seconds=wait, content_bytes=size, seed=seed
    )
    return chosen and chosen.data_centre


def test_request_stays_when_the_wait_is_short():
    assert choose([build_view("kriti-a")], wait=0.1) is None


def test_request_stays_when_transfer_costs_more_than_the_wait():
    assert choose([build_view("kriti-a")], size=2_000_000) is None


def test_data_centre_without_free_slots_is_skipped():
    full = build_view("kriti-a", free_slots=0)
    assert choose([full]) is None
    assert choose([full, build_view("attiki-a")]) == "attiki-a"


def test_stale_counts_and_requests_sent_since_reduce_free_slots():
    assert choose([build_view("kriti-a", age=30.0)]) is None
    assert choose([build_view("kriti-a", sent=10)]) is None


def test_requests_spread_in_proportion_to_free_slots():
    candidates = [build_view("kriti-a"), build_view("attiki-a", free_slots=30)]
    chosen = [choose(candidates, seed=str(n)) for n in range(400)]
    assert 50 < chosen.count("kriti-a") < 150
