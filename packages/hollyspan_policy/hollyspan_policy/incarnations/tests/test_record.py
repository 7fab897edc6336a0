"""Tests of the signs and proofs of an upstream's process."""

import math

import pytest

from hollyspan_policy.incarnations import IncarnationRecord


@pytest.fixture
def record():
    record = IncarnationRecord()
    record.note_sign(at=10.0, now=10.0)
    return record


def test_after_a_sign_the_process_is_unproven():
    record = IncarnationRecord()
    assert not record.is_unproven
    assert record.note_sign(at=10.0, now=10.02)
    assert record.is_unproven
    assert not record.note_sign(at=10.0, now=10.05)


def test_only_connections_from_before_lead_to_the_process(record):
    assert record.has_reached(9.5)
    assert not record.has_reached(9.95)
    assert not record.has_reached(10.2)


def test_bytes_over_an_earlier_connection_are_a_proof(record):
    assert not record.note_bytes(opened_at=9.0, now=10.05)
    assert not record.note_bytes(opened_at=10.3, now=10.4)
    assert record.note_bytes(opened_at=9.0, now=10.2)
    assert not record.is_unproven


def test_a_sign_from_before_the_proof_is_ignored(record):
    record.prove(10.5)
    assert not record.note_sign(at=10.4, now=10.6)
    assert not record.is_unproven
    assert record.note_sign(at=10.55, now=10.6)


def test_a_proof_from_before_the_last_sign_does_not_count(record):
    record.note_sign(at=12.0, now=12.0)
    assert not record.prove(11.0)
    assert record.is_unproven
    assert record.prove(12.5)


def test_the_store_tells_once_a_new_process_would_be_listed(record):
    assert not record.note_listed(confirmed_at=14.9, connected_since=-math.inf)
    assert not record.note_listed(confirmed_at=16.0, connected_since=12.0)
    assert record.note_listed(confirmed_at=17.0, connected_since=12.0)


def test_a_process_that_is_gone_never_comes_back(record):
    record.note_gone()
    assert not record.prove(20.0)
    assert not record.note_bytes(opened_at=9.0, now=20.0)
    assert not record.note_listed(confirmed_at=30.0, connected_since=0.0)
    assert record.is_unproven


def test_no_connection_leads_to_a_process_gone_without_a_sign():
    record = IncarnationRecord()
    record.note_gone()
    assert record.is_unproven
    assert not record.has_reached(1.0)


def test_a_sign_behind_the_next_process_is_one_of_it(record):
    following = IncarnationRecord()
    following.follow(record, now=12.0)
    assert not following.is_unproven
    record.note_accepted(now=11.0)
    record.note_sign(at=11.5, now=11.5)
    following.follow(record, now=12.0)
    assert following.is_unproven
    assert not following.prove(11.4)
    assert following.prove(11.6)
