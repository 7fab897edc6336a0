"""Tests of ends of upstreams that may have another cause than requests."""

import pytest

from hollyspan_policy.crashes import EndRecord
from hollyspan_policy.crashes import may_be_coincidence

PART = 1


def build_ends(*ends):
    """Build ends from (time, fingerprint or None) of a request."""
    records = []
    for at, fingerprint in ends:
        record = EndRecord(at=at)
        record.requests = {(PART, fingerprint) if fingerprint else (PART,)}
        record.fingerprints = {fingerprint} - {None}
        records.append(record)
    return records


@pytest.mark.parametrize(
    ("ends", "expected"),
    [
        ([(5.0, None), (5.1, None), (5.2, None)], True),
        ([(5.0, 7), (5.1, 8), (5.2, 9)], True),
        # Two losses of several upstreams.
        ([(5.0, None), (5.1, None), (9.0, None), (9.1, None)], True),
        # One request that is moved from one upstream to the next.
        ([(5.0, 7), (5.1, 7), (5.2, 7)], False),
        ([(5.0, None), (5.4, None), (5.8, None)], False),
        # Some of the ends are not known here.
        ([(5.0, None), (5.1, None)], False),
        ([], False),
    ],
)
def test_ends_at_few_moments_may_have_another_cause(ends, expected):
    keys = frozenset({PART})
    records = build_ends(*ends)
    assert may_be_coincidence(keys, records, survivals={}) is expected


# Failure: a block of a peer that knew no survival was tried after 30 s only at
# the gateways that did.
@pytest.mark.parametrize("survived_at", [4.0, 6.0, 12.0])
def test_moments_that_a_survival_refutes_do_not_count(survived_at):
    records = build_ends((1.0, None), (5.0, None), (9.0, None))
    keys = frozenset({PART})
    assert not may_be_coincidence(keys, records, survivals={})
    assert may_be_coincidence(keys, records, survivals={PART: survived_at})
