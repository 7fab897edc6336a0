from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.batch import ArrivalEstimator


def test_no_headroom_without_arrivals():
    arrivals = ArrivalEstimator(window=0.1)
    arrivals.observe(0, now=0.0)
    assert arrivals.estimate_quantile(0.999, now=60.0) == 0


def test_burst_decays_from_the_histogram():
    arrivals = ArrivalEstimator(window=0.1, time_constant=10.0)
    arrivals.observe(5, now=0.0)
    assert arrivals.estimate_quantile(0.99, now=1.0) == 5
    assert arrivals.estimate_quantile(0.99, now=120.0) == 0


def test_steady_arrivals_raise_the_quantile():
    arrivals = ArrivalEstimator(window=0.1)
    for step in range(600):
        arrivals.observe(1, now=step * 0.1)
    assert arrivals.estimate_quantile(0.5, now=60.0) >= 1


@given(
    st.lists(st.tuples(st.integers(0, 9), st.floats(0, 3)), max_size=30),
    st.floats(0, 0.999),
    st.floats(0, 0.999),
)
def test_quantile_rises_with_its_level(steps, one, other):
    arrivals = ArrivalEstimator(window=0.1)
    now = 0.0
    for count, pause in steps:
        arrivals.observe(count, now=now)
        now += pause
    low, high = sorted((one, other))
    assert arrivals.estimate_quantile(
        low, now=now
    ) <= arrivals.estimate_quantile(high, now=now)
