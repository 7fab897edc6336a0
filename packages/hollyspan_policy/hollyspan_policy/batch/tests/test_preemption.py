from hypothesis import given
from hypothesis import strategies as st

from hollyspan_policy.batch import choose_preempted
from hollyspan_policy.batch import StreamView


def build_stream(stream, **fields):
    values = {"due": 100.0, "resumable": True, "generated": 10}
    return StreamView(stream=stream, **{**values, **fields})


def list_names(streams, count):
    return [view.stream for view in choose_preempted(streams, count=count)]


def test_resumable_stream_is_preempted_first():
    streams = [
        build_stream("anew", resumable=False, due=999.0),
        build_stream("resumed", generated=500),
    ]
    assert list_names(streams, 1) == ["resumed"]


def test_streams_are_preempted_by_latest_due_time_then_most_tokens():
    streams = [
        build_stream("early", due=1.0, generated=70),
        build_stream("late-long", due=9.0, generated=50),
        build_stream("late-short", due=9.0, generated=5),
    ]
    assert list_names(streams, 3) == ["late-long", "late-short", "early"]


def test_stream_without_a_token_is_preempted_last():
    streams = [
        build_stream("starting", due=9.0, generated=0),
        build_stream("running", due=1.0, generated=5),
    ]
    assert list_names(streams, 1) == ["running"]


@given(st.lists(st.integers(0, 5), max_size=8), st.integers(-2, 10))
def test_no_more_streams_are_preempted_than_requested(lengths, count):
    streams = [
        build_stream(str(index), generated=tokens)
        for index, tokens in enumerate(lengths)
    ]
    chosen = list_names(streams, count)
    assert len(chosen) == min(max(0, count), len(streams))
    assert len(set(chosen)) == len(chosen)
