from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.admission import WorkspaceLimiter


def test_rate_and_concurrency_limits():
    limiter = WorkspaceLimiter(rate=2.0, max_in_flight=2, now=0.0)
    assert limiter.admit(now=0.0) == 0.0
    assert limiter.admit(now=0.0) == 0.0
    assert limiter.admit(now=0.0) == 0.5
    assert limiter.admit(now=5.0) == 1.0
    limiter.release()
    assert limiter.admit(now=5.0) == 0.0


@given(st.lists(st.floats(0, 0.5), max_size=60))
def test_admitted_requests_are_bounded_by_rate_and_burst(pauses):
    limiter = WorkspaceLimiter(rate=5.0, max_in_flight=1000, now=0.0)
    now = 0.0
    admitted = 0
    for pause in pauses:
        now += pause
        admitted += limiter.admit(now=now) == 0.0
    assert admitted <= 5.0 * now + 5.0 + 1e-6


def test_rate_below_one_admits_requests():
    limiter = WorkspaceLimiter(rate=0.1, max_in_flight=5, now=0.0)
    assert limiter.admit(now=0.0) == 0.0
    assert limiter.admit(now=0.0) == 10.0
    assert limiter.admit(now=10.0) == 0.0
