"""Tests of the time after which refused work may come again."""

from hollyspan_policy.quota import estimate_retry_after


def test_the_missing_tokens_have_ended_by_then():
    times = [
        estimate_retry_after(3000, tokens_per_second=500.0, key=f"j{number}")
        for number in range(200)
    ]
    assert min(times) >= 6.0
    assert max(times) <= 12.0


def test_jobs_that_are_refused_together_return_at_different_times():
    times = sorted(
        estimate_retry_after(3000, tokens_per_second=500.0, key=f"j{number}")
        for number in range(200)
    )
    # Of 200 jobs in 6 s a tenth of a second holds 3.3 on average.
    crowds = [
        sum(start <= time < start + 0.1 for time in times) for start in times
    ]
    assert max(crowds) <= 12


def test_without_a_rate_the_time_is_short_and_without_progress_long():
    assert (
        2.0 <= estimate_retry_after(1, tokens_per_second=None, key="j") <= 4.0
    )
    assert estimate_retry_after(1, tokens_per_second=0.0, key="j") >= 30.0
