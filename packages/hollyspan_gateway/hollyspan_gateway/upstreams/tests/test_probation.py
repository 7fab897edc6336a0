"""Tests of links that count as working on trial."""

from hollyspan_gateway.upstreams.probation import Probation


def test_open_connections_are_no_proof_after_a_closed_trial():
    probation = Probation(seed="u1")
    delays = []
    for _ in range(5):
        assert probation.may_restore(now=probation.restorable_at)
        probation.begin_trial(now=10.0)
        probation.note_failure(now=10.0, is_conclusive=True)
        assert not probation.may_restore(now=10.2)
        delays.append(probation.restorable_at - 10.0)
    assert delays[2] > delays[0]
    assert max(delays) <= 4.0


def test_silence_on_trial_and_failures_before_are_no_relapse():
    probation = Probation(seed="u1")
    probation.note_failure(now=10.0, is_conclusive=True)
    probation.begin_trial(now=10.0)
    probation.note_failure(now=10.0, is_conclusive=False)
    assert probation.may_restore(now=10.0)
    assert not probation.relapses


def test_bytes_of_an_answer_end_a_trial():
    probation = Probation(seed="u1")
    probation.begin_trial(now=10.0)
    probation.note_failure(now=10.0, is_conclusive=True)
    probation.note_data()
    assert probation.may_restore(now=10.0)
    probation.begin_trial(now=10.0)
    probation.note_data()
    probation.note_failure(now=10.0, is_conclusive=True)
    assert probation.may_restore(now=10.0)


def test_one_request_is_a_trial_and_one_that_may_run_once_waits():
    probation = Probation(seed="u1")
    assert probation.may_try(now=10.0, is_repeatable=False)
    probation.begin_trial(now=10.0)
    assert not probation.may_try(now=10.5, is_repeatable=False)
    assert probation.may_try(now=10.5, is_repeatable=True)
    with probation.track():
        assert not probation.may_try(now=20.0, is_repeatable=True)
    assert probation.may_try(now=20.0, is_repeatable=False)
