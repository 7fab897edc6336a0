from hollyspan_policy.routing import choose_data_centre
from hollyspan_policy.routing import DataCentreView


def build_place(name, **fields):
    values = {"free_slots": 10, "age": 0.2, "round_trip": 0.06}
    return DataCentreView(data_centre=name, **{**values, **fields})


def choose(places, *, wait=1.0, size=2000, seed="r"):
    chosen = choose_data_centre(
        places, wait_seconds=wait, content_bytes=size, seed=seed
    )
    return chosen and chosen.data_centre


def test_kept_when_the_wait_is_short():
    assert choose([build_place("kriti-a")], wait=0.1) is None


def test_kept_when_the_bytes_outweigh_the_wait():
    assert choose([build_place("kriti-a")], size=2_000_000) is None


def test_place_without_room_is_passed_over():
    full = build_place("kriti-a", free_slots=0)
    assert choose([full]) is None
    assert choose([full, build_place("attiki-a")]) == "attiki-a"


def test_old_word_of_room_and_requests_sent_since_count_less():
    assert choose([build_place("kriti-a", age=30.0)]) is None
    assert choose([build_place("kriti-a", sent=10)]) is None


def test_requests_spread_by_room():
    places = [build_place("kriti-a"), build_place("attiki-a", free_slots=30)]
    chosen = [choose(places, seed=str(n)) for n in range(400)]
    assert 50 < chosen.count("kriti-a") < 150
