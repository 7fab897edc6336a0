"""Tests of the local rerun of a request whose forwarding failed."""

from types import SimpleNamespace

import pytest

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.errors import StreamLostError
from hollyspan_entry.online.forwarding import may_run_locally
from hollyspan_policy.retries import RetryBudget


@pytest.mark.parametrize(
    ("error", "expected"),
    [
        (OverloadedError("no room"), [True, True]),
        (PeerUnavailableError("no link", outcome=Outcome.NOT_RUN), [True] * 2),
        (PeerUnavailableError("the link has ended"), [True, False]),
        (StreamLostError("lost"), [False, False]),
    ],
)
def test_rerun_after_lost_connection_counts_as_retry(error, expected):
    state = SimpleNamespace(budget=RetryBudget(ratio=0.1))
    assert [may_run_locally(state, error) for _ in range(2)] == expected
