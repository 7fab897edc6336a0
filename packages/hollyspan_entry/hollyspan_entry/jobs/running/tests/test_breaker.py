from hollyspan_entry.jobs.running.breaker import Breaker
from hollyspan_entry.jobs.running.breaker import LONGEST_PAUSE_SECONDS


def fail(breaker, *times):
    for now in times:
        breaker.note_failure(now=now)


def test_few_failures_limit_nothing():
    breaker = Breaker()
    fail(breaker, 0.0, 0.0)
    assert breaker.count_allowed(running=5, now=0.0) is None


def test_failing_upstream_gets_one_item_at_a_time():
    breaker = Breaker()
    fail(breaker, 0.0, 0.0, 0.0)
    assert breaker.count_allowed(running=0, now=0.9) == 0
    assert breaker.count_allowed(running=0, now=1.0) == 1
    assert breaker.count_allowed(running=1, now=1.0) == 0


def test_pauses_double_up_to_a_limit():
    breaker = Breaker()
    fail(breaker, *[0.0] * 4)
    assert breaker.closed_at == 2.0
    fail(breaker, *[0.0] * 40)
    assert breaker.closed_at == LONGEST_PAUSE_SECONDS


def test_success_lifts_the_limit():
    breaker = Breaker()
    fail(breaker, 0.0, 0.0, 0.0)
    breaker.note_success()
    assert breaker.count_allowed(running=0, now=0.0) is None
