"""Tests of what follows when a request could not be handed on."""

from types import SimpleNamespace

import pytest

from hollyspan_core.errors import Outcome
from hollyspan_core.errors import OverloadedError
from hollyspan_core.errors import PeerUnavailableError
from hollyspan_core.errors import StreamLostError
from hollyspan_entry.online.forwarding import may_run_here
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
def test_a_lost_link_counts_as_a_retry(error, expected):
    state = SimpleNamespace(budget=RetryBudget(ratio=0.1))
    assert [may_run_here(state, error) for _ in range(2)] == expected
