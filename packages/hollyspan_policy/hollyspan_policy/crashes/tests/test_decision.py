"""Tests of which parts of prompts are blocked after ends of upstreams."""

from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.crashes import choose_blocks
from hollyspan_policy.crashes import CrashEvidence
from hollyspan_policy.crashes import EndRecord
from hollyspan_policy.crashes import list_explained_blocks
from hollyspan_policy.crashes import list_implicated_keys
from hollyspan_policy.crashes import narrow_block

COMMON, FATAL, BESIDE = 1, 2, 3


def collect(*ends, survivals=()):
    """Return the evidence of ends, one a second, and of survivals."""
    evidence = CrashEvidence()
    for number, requests in enumerate(ends):
        evidence.note_end(number, requests, at=10.0 + number)
    for part, at in survivals:
        evidence.note_survival((part,), at=at)
    return evidence


def choose(evidence, *, blocked=()):
    ends = evidence.list_ends(now=20.0)
    return choose_blocks(ends, survivals=evidence.survivals, blocked=blocked)


def test_a_part_of_three_ends_is_blocked():
    ends = [[(COMMON, FATAL)], [(COMMON, FATAL, 8)], [(COMMON, FATAL)]]
    evidence = collect(*ends, survivals=[(COMMON, 12.0)])
    assert choose(evidence) == [frozenset({FATAL})]


def test_two_ends_are_not_enough():
    evidence = collect([(FATAL,)], [(FATAL,)])
    assert choose(evidence) == []
    implicated = list_implicated_keys(
        evidence.list_ends(now=20.0), survivals={}
    )
    assert implicated == {FATAL}


def test_parts_that_always_come_together_are_blocked_together():
    evidence = collect(*[[(COMMON, FATAL)]] * 3)
    assert choose(evidence) == [frozenset({COMMON, FATAL})]


def collect_job(*parts, beside=(), survivals=()):
    """Return three ends in the midst of items with some parts."""
    ends = [[parts, (*beside, number)] for number in (7, 8, 9)]
    return collect(*ends, survivals=survivals)


# Failure: a part that ends upstreams was blocked together with the own part of
# the first job that had it, and each further job ended three upstreams more.
def test_a_part_of_a_blocked_job_is_blocked_by_itself():
    evidence = collect_job(FATAL, BESIDE)
    assert choose(evidence) == [frozenset({FATAL}), frozenset({BESIDE})]


def test_a_part_of_a_blocked_job_that_was_ever_survived_is_not_blocked():
    evidence = collect_job(FATAL, BESIDE, survivals=[(BESIDE, 1.0)])
    assert choose(evidence) == [frozenset({FATAL})]


def test_a_part_of_all_prompts_is_not_blocked_beside_a_blocked_job():
    evidence = collect_job(COMMON, FATAL, BESIDE, beside=(COMMON,))
    assert choose(evidence) == [frozenset({FATAL}), frozenset({BESIDE})]


def test_a_part_of_a_blocked_job_is_not_explained_by_the_other():
    ends = [[(FATAL, BESIDE), (BESIDE, 7)], [(FATAL, BESIDE), (8,)]] * 2
    evidence = collect(*ends)
    blocks = [frozenset({FATAL}), frozenset({BESIDE})]
    assert sorted(choose(evidence), key=sorted) == blocks
    known = evidence.list_ends(now=20.0)
    assert not list_explained_blocks(
        blocks, known, survivals={}, blocked=blocks
    )


def test_a_part_that_was_survived_since_is_not_blocked():
    evidence = collect(*[[(FATAL,)]] * 5, survivals=[(FATAL, 14.5)])
    assert choose(evidence) == []


def test_upstreams_lost_together_block_no_usual_part():
    # All end at the same moment, each with requests that have just begun.
    evidence = CrashEvidence()
    evidence.note_survival((COMMON,), at=9.0)
    for number in range(20):
        requests = [(COMMON, 100 + number), (COMMON, 200 + number)]
        evidence.note_end(number, requests, at=10.0)
    assert choose(evidence) == []


def test_a_request_that_only_ran_beside_is_not_blocked():
    # It was sent again and met the fatal part three times.
    ends = [[(FATAL, n), (BESIDE,)] for n in (7, 8, 9)]
    assert choose(collect(*ends)) == []
    ends.append([(FATAL, 10)])
    evidence = collect(*ends)
    assert choose(evidence) == [frozenset({FATAL})]
    assert choose(evidence, blocked=[frozenset({FATAL})]) == []


def test_parts_that_nothing_tells_apart_are_blocked_after_five_ends():
    ends = [[(FATAL, n), (BESIDE, 20 + n)] for n in range(10, 15)]
    chosen = choose(collect(*ends))
    assert set(chosen) == {frozenset({FATAL}), frozenset({BESIDE})}


def test_the_narrower_of_two_explanations_is_blocked():
    # Requests with the common part alone were in flight as well.
    ends = [[(COMMON, FATAL), (COMMON, n)] for n in (7, 8, 9)]
    assert choose(collect(*ends)) == [frozenset({FATAL})]


def test_two_fatal_parts_are_both_blocked():
    ends = [[(COMMON, FATAL)]] * 3 + [[(COMMON, BESIDE)]] * 3
    evidence = collect(*ends, survivals=[(COMMON, 15.0)])
    chosen = choose(evidence)
    assert set(chosen) == {frozenset({FATAL}), frozenset({BESIDE})}


def test_a_block_shrinks_to_the_parts_that_were_not_survived():
    both = frozenset({COMMON, FATAL})
    assert narrow_block(both, at=10.0, survivals={COMMON: 11.0}) == {FATAL}
    survivals = {COMMON: 11.0, FATAL: 11.0}
    assert narrow_block(both, at=10.0, survivals=survivals) == both


def collect_repeated(*ends, survivals=()):
    """Return the evidence of ends, with each negative key a fingerprint."""
    evidence = collect(survivals=survivals)
    for number, requests in enumerate(ends):
        keys = set().union(*requests)
        evidence.note_end(
            number,
            requests,
            at=10.0 + number,
            fingerprints={key for key in keys if key < 0},
        )
    return evidence


def test_a_request_is_blocked_whatever_parts_it_names():
    ends = [[(COMMON, -1)], [(BESIDE, -1)], [(-1,)]]
    assert choose(collect_repeated(*ends)) == [frozenset({-1})]
    # Its only part was in the same requests at each end.
    ends = [[(FATAL, -1)]] * 3
    assert choose(collect_repeated(*ends)) == [frozenset({-1})]


def test_a_request_is_blocked_rather_than_a_part_of_one_beside():
    ends = [[(FATAL, -1), (FATAL, -7)], [(FATAL, -1)], [(FATAL, -1)]]
    assert choose(collect_repeated(*ends)) == [frozenset({-1})]
    ends.append([(BESIDE, -2), (FATAL, -8)])
    evidence = collect_repeated(*ends)
    assert choose(evidence, blocked=[frozenset({-1})]) == []


def test_a_part_of_different_requests_is_blocked():
    ends = [[(FATAL, -1)], [(FATAL, -1)], [(FATAL, -2)]]
    assert choose(collect_repeated(*ends)) == [frozenset({FATAL})]


def test_a_part_of_blocked_requests_is_blocked():
    ends = [[(FATAL, -1)]] * 3 + [[(FATAL, -2)]] * 2
    evidence = collect_repeated(*ends)
    blocked = [frozenset({-1})]
    assert choose(evidence, blocked=blocked) == [frozenset({FATAL})]
    assert choose(evidence, blocked=[*blocked, frozenset({FATAL})]) == []


def test_a_part_of_two_blocked_requests_is_blocked():
    ends = [[(FATAL, -1)]] * 4 + [[(FATAL, -2)]] * 4
    evidence = collect_repeated(*ends)
    assert choose(evidence, blocked=[frozenset({-1})]) == [
        frozenset({-2}),
        frozenset({FATAL}),
    ]


def test_several_requests_that_end_upstreams_together_are_blocked():
    # Each of them explains the ends of the others.
    ends = [[(-1,), (-2,), (-3,)]] * 5
    chosen = choose(collect_repeated(*ends))
    assert set(chosen) == {frozenset({-key}) for key in (1, 2, 3)}
    assert choose(collect_repeated(*ends[:2])) == []


def test_a_request_that_was_survived_is_not_blocked():
    ends = [[(-1,)]] * 6
    evidence = collect_repeated(*ends, survivals=[(-1, 15.5)])
    assert choose(evidence) == []


def test_evidence_is_bounded_and_ends():
    evidence = CrashEvidence()
    for number in range(1000):
        requests = [(number, other) for other in range(200)]
        evidence.note_end(number, requests, at=float(number))
        evidence.note_survival(range(number * 10, number * 10 + 10), at=1.0)
    assert len(evidence.ends) <= 64
    assert max(len(end.requests) for end in evidence.ends.values()) <= 64
    assert len(evidence.survivals) <= 4096
    assert evidence.list_ends(now=3000.0) == []
    assert evidence.ends == {}


@given(
    st.lists(
        st.lists(st.sampled_from(range(10, 16)), max_size=6),
        min_size=3,
        max_size=8,
    ),
    st.sets(st.sampled_from(range(10, 16))),
)
def test_the_fatal_part_is_blocked_and_survived_parts_are_not(
    others, survived
):
    ends = [
        [(COMMON, FATAL), *((COMMON, other) for other in beside)]
        for beside in others
    ]
    survivals = [(part, 30.0) for part in (COMMON, *survived)]
    chosen = choose(collect(*ends, survivals=survivals))
    blocked = frozenset().union(*chosen)
    assert not blocked & {COMMON, *survived}
    is_ambiguous = any(
        all(other in beside for beside in others)
        for other in range(10, 16)
        if other not in survived
    )
    assert FATAL in blocked or (is_ambiguous and len(ends) < 5)


@given(st.permutations(range(4)))
def test_the_order_of_reports_does_not_matter(order):
    evidence = CrashEvidence()
    for number in order:
        evidence.note_end(number, [(COMMON, FATAL)], at=10.0 + number)
        evidence.note_end(number, [(COMMON, FATAL)], at=11.0 + number)
        evidence.note_survival((COMMON,), at=13.0 - number)
    assert choose(evidence) == [frozenset({FATAL})]


def test_a_part_of_two_requests_is_blocked_though_another_ran_beside_one():
    common, part, first, second, beside = range(1, 6)
    ends = [EndRecord(at=float(at)) for at in range(8)]
    for end in ends[:4]:
        end.requests = {(common, part, first), (common, beside)}
        end.fingerprints = {first, beside}
    for end in ends[4:]:
        end.requests = {(common, part, second)}
        end.fingerprints = {second}
    blocks = choose_blocks(ends, survivals={common: 8.0})
    assert frozenset({part}) in blocks


def test_a_part_is_not_blocked_for_one_request_that_another_ran_beside():
    common, part, first, beside = range(1, 5)
    ends = [EndRecord(at=float(at)) for at in range(4)]
    for end in ends:
        end.requests = {(common, part, first), (common, beside)}
        end.fingerprints = {first, beside}
    assert choose_blocks(ends, survivals={common: 4.0}) == []


def test_two_parts_that_explain_the_same_ends_are_not_told_apart():
    common, part, other, first, second, beside = range(1, 7)
    ends = [EndRecord(at=float(at)) for at in range(8)]
    for end in ends[:4]:
        end.requests = {(part, first), (other, beside)}
        end.fingerprints = {first, beside}
    for end in ends[4:]:
        end.requests = {(part, other, second)}
        end.fingerprints = {second}
    blocks = choose_blocks(ends, survivals={common: 8.0})
    assert blocks == [frozenset({second})]


def collect_waves(*waves):
    """Return ends in waves, a request being a tuple that ends in its key."""
    ends = []
    for at, wave in enumerate(waves):
        for requests in wave:
            end = EndRecord(at=float(at))
            end.requests = set(requests)
            end.fingerprints = {request[-1] for request in requests}
            ends.append(end)
    return ends


# Failure: a part that all prompts share was blocked, and all requests with it
# refused, since more requests with it ran beside the fatal ones.
def test_a_shared_part_is_not_blocked_for_requests_beside_a_fatal_part():
    first, second = (COMMON, FATAL, -1), (COMMON, FATAL, -2)
    beside = (COMMON, 5, -5)
    ends = collect_waves(
        [
            [first, beside],
            [first, beside, (COMMON, 6, -6), (COMMON, 6, -7)],
            [first, beside, (COMMON, 7, -8)],
            [first, beside, (COMMON, 8, -9), (COMMON, 5, -10)],
        ],
        [[second], [second]],
    )
    assert choose_blocks(ends, survivals={}) == [frozenset({FATAL})]


# Failure: a sound part was blocked in place of the fatal one, which then was
# not found, since two requests with it had been sent to the same upstreams.
def test_a_part_is_not_blocked_while_another_explains_the_same_ends():
    first, second, third = (COMMON, FATAL, -1), (COMMON, FATAL, -2), -3
    beside, other = (COMMON, BESIDE, -4), (COMMON, BESIDE, -5)
    waves = [
        [
            [first, beside],
            [first, beside],
            [first, beside],
            [first, beside, (COMMON, BESIDE, -6)],
        ],
        [[second, other]] * 3,
    ]
    survivals = {COMMON: 2.0}
    assert choose_blocks(collect_waves(*waves), survivals=survivals) == []
    waves.append([[(COMMON, FATAL, third)]])
    assert choose_blocks(collect_waves(*waves), survivals=survivals) == [
        frozenset({FATAL})
    ]


def test_a_part_is_blocked_after_five_ends_that_another_explains_as_well():
    # One request with the fatal part was sent to three upstreams.
    requests = [-1, -1, -1, -2, -3, -4, -5]
    ends = collect_waves(
        [
            [(FATAL, request), (BESIDE, -10 - number)]
            for number, request in enumerate(requests)
        ]
    )
    assert choose_blocks(ends, survivals={}) == [frozenset({BESIDE})]


def test_an_end_of_another_cause_does_not_speak_against_a_shared_part():
    ends = collect_waves(
        *([[(COMMON, FATAL, -number)]] for number in range(1, 4)),
        [[(COMMON, BESIDE, -5)]],
        [[(COMMON, 6, -6)]],
    )
    assert choose_blocks(ends, survivals={}) == [frozenset({FATAL})]


@given(
    st.lists(
        st.lists(
            st.lists(st.integers(10, 18), max_size=3), min_size=1, max_size=4
        ),
        min_size=3,
        max_size=6,
    )
)
def test_what_runs_beside_a_fatal_part_does_not_block_a_shared_one(waves):
    ends = []
    requests = iter(range(-1, -1000, -1))
    for at, wave in enumerate(waves):
        fatal = (COMMON, FATAL, next(requests))
        for beside in wave:
            others = [(COMMON, part, next(requests)) for part in beside]
            ends += collect_waves([[fatal, *others]])
    blocks = choose_blocks(ends, survivals={})
    assert frozenset({COMMON}) not in blocks


WAVES = st.lists(
    st.lists(
        st.lists(st.integers(10, 18), max_size=3), min_size=1, max_size=4
    ),
    min_size=3,
    max_size=6,
)


def build_waves(waves):
    """Return ends in waves, each of one fatal request."""
    ends = []
    requests = iter(range(-1, -1000, -1))
    for wave in waves:
        fatal = (COMMON, FATAL, next(requests))
        for beside in wave:
            others = [(COMMON, part, next(requests)) for part in beside]
            ends += collect_waves([[fatal, *others]])
    return ends


# Failure: a daemon that had fewer of the reports blocked a part that all
# prompts share, and the block stayed when the other reports came.
@given(WAVES, st.sets(st.integers(0, 23)), st.booleans())
def test_late_reports_withdraw_the_block_of_a_shared_part(
    waves, unreported, is_told
):
    ends = build_waves(waves)
    partial = build_waves(waves)
    for number in unreported.intersection(range(len(partial))):
        partial[number].requests = {
            request
            for request in partial[number].requests
            if FATAL not in request
        }
    decided = choose_blocks(partial, survivals={})
    told = choose_blocks(ends, survivals={})
    explained = list_explained_blocks(
        decided, ends, survivals={}, blocked=told if is_told else ()
    )
    blocks = [keys for keys in decided if keys not in explained]
    blocks += choose_blocks(ends, survivals={}, blocked=blocks)
    shared = frozenset({COMMON})
    if any(keys <= {COMMON, FATAL} for keys in told):
        assert shared not in blocks
        if decided == [shared]:
            assert set(blocks) == set(told)


@given(WAVES)
def test_a_decision_on_all_reports_explains_none_of_its_blocks(waves):
    ends = build_waves(waves)
    blocks = choose_blocks(ends, survivals={})
    assert not list_explained_blocks(
        blocks, ends, survivals={}, blocked=blocks
    )


# Failure: the block of a fatal part was dropped, since a sound part was beside
# it at three of its five ends, and one more request was sent on.
def test_a_block_with_an_end_of_its_own_is_not_explained():
    sound = 50
    ends = [EndRecord(at=float(at)) for at in range(5)]
    for number, end in enumerate(ends):
        parts = (FATAL,) if number < 2 else (FATAL, sound)
        end.requests = {(*parts, 1000 + number)}
    assert not list_explained_blocks(
        [frozenset({FATAL})], ends, survivals={}, blocked=[frozenset({FATAL})]
    )
