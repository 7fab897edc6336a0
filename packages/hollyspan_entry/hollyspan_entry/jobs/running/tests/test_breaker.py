from hollyspan_entry.jobs.running.breaker import CircuitBreaker
from hollyspan_entry.jobs.running.breaker import MAX_BACKOFF_S


def fail(breaker, *times):
    for now in times:
        breaker.record_failure(now=now)


def test_few_failures_do_not_open_the_breaker():
    breaker = CircuitBreaker()
    fail(breaker, 0.0, 0.0)
    assert breaker.count_allowed(running=5, now=0.0) is None


def test_failing_upstream_gets_one_item_at_a_time():
    breaker = CircuitBreaker()
    fail(breaker, 0.0, 0.0, 0.0)
    assert breaker.count_allowed(running=0, now=0.9) == 0
    assert breaker.count_allowed(running=0, now=1.0) == 1
    assert breaker.count_allowed(running=1, now=1.0) == 0


def test_backoff_doubles_up_to_a_limit():
    breaker = CircuitBreaker()
    fail(breaker, *[0.0] * 4)
    assert breaker.open_until == 2.0
    fail(breaker, *[0.0] * 40)
    assert breaker.open_until == MAX_BACKOFF_S


def test_success_closes_the_breaker():
    breaker = CircuitBreaker()
    fail(breaker, 0.0, 0.0, 0.0)
    breaker.record_success()
    assert breaker.count_allowed(running=0, now=0.0) is None
