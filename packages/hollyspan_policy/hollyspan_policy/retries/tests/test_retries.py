from hypothesis import given
from hypothesis import strategies as st
import pytest

from hollyspan_core.errors import Outcome
from hollyspan_policy.retries import AttemptFailure
from hollyspan_policy.retries import compute_backoff
from hollyspan_policy.retries import decide_retry
from hollyspan_policy.retries import is_safe_to_retry
from hollyspan_policy.retries import RetryBudget


def build_failure(**fields):
    values = {
        "outcome": Outcome.NOT_RUN,
        "idempotent": True,
        "delivered": False,
        "attempts": 1,
    }
    return AttemptFailure(**{**values, **fields})


def decide(failure, **options):
    values = {
        "budget": RetryBudget(ratio=0.1),
        "retries": 2,
        "seconds_left": 5.0,
    }
    return decide_retry(failure, **{**values, **options})


@pytest.mark.parametrize(
    ("outcome", "idempotent", "delivered", "safe"),
    [
        (Outcome.NOT_RUN, False, False, True),
        (Outcome.UNKNOWN, True, False, True),
        (Outcome.UNKNOWN, False, False, False),
        (Outcome.UNKNOWN, True, True, False),
    ],
)
def test_only_safe_attempts_are_retried(outcome, idempotent, delivered, safe):
    failure = build_failure(
        outcome=outcome, idempotent=idempotent, delivered=delivered
    )
    assert is_safe_to_retry(failure) is safe
    assert decide(failure) is safe


def test_retries_are_limited_by_attempts_and_deadline():
    assert decide(build_failure(attempts=2))
    assert not decide(build_failure(attempts=3))
    assert not decide(build_failure(), seconds_left=0.1, backoff=0.2)


def test_refused_retry_does_not_use_the_budget():
    budget = RetryBudget(ratio=0.1)
    decide(build_failure(attempts=9), budget=budget)
    assert budget.tokens == 1.0


@given(st.integers(0, 300))
def test_retries_stay_within_the_budget_when_all_requests_fail(requests):
    budget = RetryBudget(ratio=0.1)
    retries = 0
    for _ in range(requests):
        budget.deposit()
        retries += decide(build_failure(), budget=budget)
    assert retries <= 1 + 0.1 * requests + 1e-6


@given(st.integers(1, 10_000), st.text())
def test_backoff_is_bounded_and_reproducible(attempts, seed):
    seconds = compute_backoff(attempts, seed=seed)
    assert 0.025 <= seconds <= 5.0
    assert seconds == compute_backoff(attempts, seed=seed)
