"""Tests of ends of upstreams that have the same cause."""

import pytest

from hollyspan_policy.crashes import choose_blocks
from hollyspan_policy.crashes import CrashEvidence
from hollyspan_policy.crashes import EndRecord
from hollyspan_policy.crashes import has_common_cause
from hollyspan_policy.crashes import list_explained_blocks
from hollyspan_policy.crashes import may_be_coincidence

PART, OTHER, THIRD = 1, 2, 3
KEYS = frozenset({PART})


def build_ends(*ends):
    """Build ends from (time, requests)."""
    records = []
    for at, requests in ends:
        record = EndRecord(at=at)
        record.requests = set(requests)
        records.append(record)
    return records


@pytest.mark.parametrize(
    ("at", "requests", "expected"),
    [
        (5.05, [(OTHER,)], True),
        (4.95, [(OTHER,)], True),
        # Whether requests were in flight there or not.
        (5.05, [], True),
        (5.05, [(PART, OTHER)], False),
        (5.2, [(OTHER,)], False),
    ],
)
def test_an_end_beside_without_the_keys_is_a_common_cause(
    at, requests, expected
):
    end, other = build_ends((5.0, [(PART,)]), (at, requests))
    assert has_common_cause(KEYS, end, [end, other]) is expected


def test_an_end_that_a_block_explains_is_no_common_cause():
    end, other = ends = build_ends((5.0, [(PART,)]), (5.05, [(OTHER, THIRD)]))
    for block, expected in ((OTHER, False), (9, True)):
        blocked = [frozenset({block})]
        assert has_common_cause(KEYS, end, ends, blocked=blocked) is expected


def build_losses(count, *, beside):
    """Build losses of two upstreams, one of which has the part."""
    times = [5.0 + 3.0 * number for number in range(count)]
    with_part = build_ends(*((at, [(PART,)]) for at in times))
    return with_part, build_ends(*((at + 0.03, beside) for at in times))


# Failure: items of a job stayed open, since their part was blocked for ends
# that had nothing to do with it.
@pytest.mark.parametrize("beside", [[(OTHER,)], []])
def test_losses_beside_a_part_do_not_block_it(beside):
    with_part, others = build_losses(6, beside=beside)
    assert choose_blocks(with_part, survivals={}) == [KEYS]
    survivals = {OTHER: 30.0}
    ends = with_part + others
    assert choose_blocks(ends, survivals=survivals) == []
    # Others that do not count yet tell the same.
    chosen = choose_blocks(with_part, survivals=survivals, beside=others)
    assert chosen == []
    assert may_be_coincidence(KEYS, ends, survivals=survivals)
    assert not may_be_coincidence(KEYS, with_part, survivals=survivals)


def test_ends_at_other_moments_count_beside_losses():
    with_part, others = build_losses(2, beside=[(OTHER,)])
    alone = build_ends(*((at, [(PART,)]) for at in (4.0, 7.0, 9.5)))
    ends = with_part + others + alone
    assert choose_blocks(ends[:-1], survivals={OTHER: 30.0}) == []
    assert choose_blocks(ends, survivals={OTHER: 30.0}) == [KEYS]


def test_two_parts_that_always_end_upstreams_together_are_both_blocked():
    first, second = build_losses(4, beside=[(OTHER,)])
    assert choose_blocks(first + second, survivals={}) == []
    first, second = build_losses(5, beside=[(OTHER,)])
    chosen = choose_blocks(first + second, survivals={})
    assert set(chosen) == {KEYS, frozenset({OTHER})}
    # A third cause explains them better.
    third = build_ends(*((end.at, [(THIRD,)]) for end in first))
    assert choose_blocks(first + second + third, survivals={}) == []


def test_ends_beside_are_bounded_and_confirmed_soon():
    evidence = CrashEvidence()
    evidence.note_end(1, [(PART,)], at=5.0, is_confirmed=False)
    evidence.note_other_end(1, at=5.0)
    evidence.note_other_end(2, at=5.01, is_confirmed=False)
    assert len(evidence.list_beside(now=5.2)) == 2
    # The link of the gateway that has seen them may be to blame.
    assert evidence.list_beside(now=7.0) == []
    evidence.note_other_end(2, at=5.02)
    assert [end.at for end in evidence.list_beside(now=7.0)] == [5.01]
    for number in range(1000):
        evidence.note_other_end(10 + number, at=10.0 + number)
    assert len(evidence.other_ends) <= 64
    # It tells that the first end has another cause.
    assert 2 in evidence.other_ends


# Failure: a part that all prompts share was blocked, since an end whose
# reports had not all come excused the fatal part, and not the shared one.
def test_a_shared_part_does_not_answer_for_an_excused_narrower_one():
    shared, fatal = 10, 11
    ends = build_ends(
        *(
            (5.0 + number / 100, [(shared, fatal), (shared, 20 + number)])
            for number in range(3)
        )
    )
    beside = build_ends((5.11, [(shared, 30)]))
    assert choose_blocks(ends, survivals={}) == [frozenset({fatal})]
    assert choose_blocks(ends, survivals={}, beside=beside) == []
    beside[0].requests.add((shared, fatal))
    chosen = choose_blocks(ends + beside, survivals={})
    assert chosen == [frozenset({fatal})]


# Failure: the block of a part that all prompts share stayed, since the fatal
# part's ends had a common cause as well.
def test_an_excused_part_explains_the_block_of_a_wider_one():
    shared, fatal = 10, 11
    ends = build_ends(
        *(
            (5.0 + number / 100, [(shared, fatal), (shared, 20 + number)])
            for number in range(3)
        ),
        (5.05, [(OTHER,)]),
    )
    assert choose_blocks(ends, survivals={}) == []
    block = frozenset({shared})
    assert list_explained_blocks([block], ends, survivals={}) == [block]


# Failure: a part that ended all upstreams of a service again and again was not
# blocked: reports on restarted ones named their predecessors.
def test_an_end_that_reports_may_be_missing_of_excuses_no_part():
    evidence = CrashEvidence()
    for at in (5, 7, 9):
        evidence.note_end(at, [(PART,), (OTHER, 20 + at)], at=at)
        evidence.note_end(10 * at, [(OTHER, 30 + at)], at=at)
    evidence.note_survival((OTHER,), at=9.0)
    ends = evidence.list_ends(now=9.5)

    def choose():
        return choose_blocks(
            ends,
            survivals=evidence.survivals,
            beside=evidence.list_beside(now=9.5),
        )

    assert choose() == []
    for predecessor, at in enumerate((5, 7, 9)):
        evidence.note_unread(predecessor, at=at)
    assert choose() == [KEYS]


def test_an_end_with_unread_requests_excuses_no_part():
    excused, other = ends = build_ends((5.0, [(PART,)]), (5.05, [(OTHER,)]))
    assert has_common_cause(KEYS, excused, ends)
    other.has_unread = True
    assert not has_common_cause(KEYS, excused, ends)
