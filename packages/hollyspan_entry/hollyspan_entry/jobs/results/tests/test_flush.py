import pytest

from hollyspan_core.errors import StoreReplyLostError
from hollyspan_entry.jobs.results.flush import flush_chunk
from hollyspan_entry.jobs.results.ledger import read_ledger


def read(store, run, chunk):
    return run(
        read_ledger(
            store,
            job=chunk.record.job,
            chunk=chunk.chunk,
            items=len(chunk.items),
        )
    )


def test_first_stored_result_of_two_holders_is_kept(
    create, store, run, hold, result
):
    record = create()
    former, present = hold(record), hold(record)
    former.buffer_record(result(0, text="former"))
    present.buffer_record(result(0, text="present"))
    present.buffer_record(result(1, text="present"))
    run(flush_chunk(store, former))
    run(flush_chunk(store, present))
    assert present.contested
    assert present.list_done() == {0, 1}
    ledger = read(store, run, present)
    assert ledger.completed == 2
    assert ledger.parts == 2


def test_part_with_lost_reply_is_written_once(
    create, store, run, hold, result
):
    chunk = hold(create())
    chunk.buffer_record(result(0))
    store.lost_reply_prefix = "results/"
    with pytest.raises(StoreReplyLostError):
        run(flush_chunk(store, chunk))
    assert chunk.list_done() == {0}
    store.lost_reply_prefix = None
    chunk.buffer_record(result(1))
    run(flush_chunk(store, chunk))
    assert not chunk.contested
    ledger = read(store, run, chunk)
    assert (ledger.parts, ledger.completed) == (2, 2)
    assert ledger.is_complete


def test_started_items_that_did_not_run_are_withdrawn(
    create, store, run, hold
):
    chunk = hold(create())
    for item in chunk.items:
        chunk.mark_started(item)
    run(flush_chunk(store, chunk))
    chunk.items[0].start_attempt(stream_id="s", upstream="u")
    chunk.stop()
    chunk.withdraw_start_marks()
    run(flush_chunk(store, chunk))
    assert read(store, run, chunk).started == {0}


def test_later_start_mark_of_two_holders_is_dropped(
    create, store, run, hold, result
):
    record = create()
    former, present = hold(record), hold(record)
    former.mark_started(former.items[0])
    present.mark_started(present.items[0])
    run(flush_chunk(store, present))
    run(flush_chunk(store, former))
    assert former.contested
    assert read(store, run, former).parts == 1
