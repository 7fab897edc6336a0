import pytest

from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StreamLostError
from hollyspan_core.errors import UpstreamAnswerError
from hollyspan_core.errors import UpstreamLeavingError
from hollyspan_core.errors import UpstreamUnavailableError
from hollyspan_entry.online.retry import may_retry
from hollyspan_policy.retries import RetryBudget

LOST = StreamLostError("lost")
NEVER_SENT = UpstreamUnavailableError("refused", outcome=Outcome.NOT_RUN)
LEAVING = UpstreamLeavingError("leaving")
SERVER_ERROR = UpstreamAnswerError("fault", upstream_status=500)
REFUSED = UpstreamAnswerError("refused", upstream_status=400)
MID_STREAM = UpstreamAnswerError("error", upstream_status=200)


def decide(
    error,
    *,
    idempotent=True,
    delivered=False,
    attempts=1,
    tokens=1,
    seconds_left=1.0,
):
    budget = RetryBudget(ratio=0.1)
    budget.tokens = tokens
    return may_retry(
        error,
        idempotent=idempotent,
        delivered=delivered,
        attempts_left=attempts,
        seconds_left=seconds_left,
        budget=budget,
    )


@pytest.mark.parametrize("error", [LOST, NEVER_SENT, LEAVING, SERVER_ERROR])
def test_idempotent_requests_are_retried_within_the_budget(error):
    assert decide(error)
    assert not decide(error, delivered=True)


@pytest.mark.parametrize(
    "error", [REFUSED, MID_STREAM, InvalidRequestError("")]
)
def test_other_errors_are_not_retried(error):
    assert not decide(error)


@pytest.mark.parametrize("error", [LOST, SERVER_ERROR])
def test_non_idempotent_requests_are_not_run_again(error):
    assert not decide(error, idempotent=False)


@pytest.mark.parametrize("error", [NEVER_SENT, LEAVING])
def test_requests_that_never_ran_may_be_retried(error):
    assert decide(error, idempotent=False)


def test_budget_and_attempts_bound_retries():
    assert not decide(LOST, tokens=0)
    assert not decide(LOST, attempts=0)
    assert decide(LEAVING, tokens=0, attempts=0)


def test_nothing_is_retried_after_the_deadline():
    assert not decide(NEVER_SENT, seconds_left=0.0)
    assert decide(NEVER_SENT, seconds_left=0.1)
