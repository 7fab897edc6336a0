from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.admission import WorkspaceLimiter


def test_rate_and_concurrency():
    limiter = WorkspaceLimiter(rate=2.0, concurrent=2, now=0.0)
    assert limiter.enter(now=0.0) == 0.0
    assert limiter.enter(now=0.0) == 0.0
    assert limiter.enter(now=0.0) == 0.5
    assert limiter.enter(now=5.0) == 1.0
    limiter.leave()
    assert limiter.enter(now=5.0) == 0.0


@given(st.lists(st.floats(0, 0.5), max_size=60))
def test_no_more_than_the_rate_and_one_second_saved(pauses):
    limiter = WorkspaceLimiter(rate=5.0, concurrent=1000, now=0.0)
    now = 0.0
    entered = 0
    for pause in pauses:
        now += pause
        entered += limiter.enter(now=now) == 0.0
    assert entered <= 5.0 * now + 5.0 + 1e-6


def test_a_rate_below_one_lets_requests_in():
    limiter = WorkspaceLimiter(rate=0.1, concurrent=5, now=0.0)
    assert limiter.enter(now=0.0) == 0.0
    assert limiter.enter(now=0.0) == 10.0
    assert limiter.enter(now=10.0) == 0.0
