"""Tests of reservations against shares of a limit."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from hollyspan_policy.quota import choose_reservation
from hollyspan_policy.quota import compute_rooms
from hollyspan_policy.quota import Share

COUNTS = st.integers(0, 400)


@st.composite
def build_shares(draw):
    count = draw(st.integers(1, 5))
    shares, released = [], []
    for _ in range(count):
        accepted = draw(COUNTS)
        shares.append(Share(accepted=accepted))
        released.append(draw(st.integers(0, accepted)))
    if count > 1:
        lent = draw(st.integers(-100, 100))
        shares[0].borrowed, shares[1].borrowed = lent, -lent
    return shares, released


def count_waiting(shares, released):
    return sum(share.accepted for share in shares) - sum(released)


def reserve(shares, released, **options):
    """Return the shares after a reservation, None when nothing fits."""
    chosen = choose_reservation(shares, released=released, **options)
    if chosen is None:
        return None
    _, changed = chosen
    return [changed.get(each, shares[each]) for each in range(len(shares))]


@settings(derandomize=True, max_examples=400)
@given(build_shares(), st.integers(0, 2000), st.integers(1, 300), st.data())
def test_work_is_accepted_when_it_fits_under_the_limit_and_only_then(
    state, limit, tokens, data
):
    shares, released = state
    limit -= limit % len(shares)
    after = reserve(
        shares,
        released,
        limit=limit,
        tokens=tokens,
        preferred=data.draw(st.integers(0, len(shares) - 1)),
    )
    waiting = count_waiting(shares, released)
    assert (after is not None) == (waiting + tokens <= limit)
    if after is not None:
        assert count_waiting(after, released) == waiting + tokens
        assert sum(share.borrowed for share in after) == 0


@settings(derandomize=True, max_examples=400)
@given(build_shares(), st.integers(0, 2000), st.integers(1, 300), st.data())
def test_a_single_share_changes_only_when_the_others_keep_their_part(
    state, limit, tokens, data
):
    # Whatever else is accepted against the other shares at the same moment.
    shares, released = state
    chosen = choose_reservation(
        shares,
        released=released,
        limit=limit,
        tokens=tokens,
        preferred=data.draw(st.integers(0, len(shares) - 1)),
    )
    if chosen is None:
        return
    index, changed = chosen
    after = [changed.get(each, shares[each]) for each in range(len(shares))]
    rooms = compute_rooms(after, released=released, limit=limit)
    if len(changed) < len(shares):
        assert set(changed) == {index}
        assert min(rooms) >= 0
    assert rooms[index] >= 0


def test_the_preferred_share_is_used_while_it_has_room():
    shares = [Share() for _ in range(4)]
    index, changed = choose_reservation(
        shares, released=[0] * 4, limit=400, tokens=100, preferred=2
    )
    assert (index, set(changed)) == (2, {2})
    shares[2] = changed[2]
    index, changed = choose_reservation(
        shares, released=[0] * 4, limit=400, tokens=1, preferred=2
    )
    assert index != 2
    assert len(changed) == 1


def test_work_larger_than_a_share_borrows_from_the_others():
    shares = [Share() for _ in range(4)]
    index, changed = choose_reservation(
        shares, released=[0] * 4, limit=400, tokens=250, preferred=0
    )
    assert changed[index].borrowed == 150
    assert sum(share.borrowed for share in changed.values()) == 0


def test_room_beside_an_overfull_share_is_not_room_under_the_limit():
    # The limit was lowered from 800 to 400 while 300 tokens waited in a share.
    shares = [Share(accepted=300), Share(), Share(), Share()]
    options = {"released": [0] * 4, "limit": 400, "preferred": 1}
    assert choose_reservation(shares, tokens=101, **options) is None
    _, changed = choose_reservation(shares, tokens=100, **options)
    assert len(changed) == 4
