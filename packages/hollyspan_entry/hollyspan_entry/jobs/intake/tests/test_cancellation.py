import pytest

from hollyspan_core.errors import BatchNotFoundError
from hollyspan_core.errors import BatchStateError
from hollyspan_core.errors import StoreReplyLostError
from hollyspan_entry.jobs.intake.cancellation import cancel_job
from hollyspan_entry.jobs.results.flush import flush_chunk
from hollyspan_entry.jobs.results.output import build_output_id
from hollyspan_entry.jobs.results.output import open_output
from hollyspan_entry.jobs.running.closing import close_chunk
from hollyspan_entry.jobs.running.closing import finish_cancelled_job
from hollyspan_entry.jobs.state.change import read_record
from hollyspan_entry.jobs.state.keys import build_claim_key
from hollyspan_entry.jobs.state.keys import build_queue_key
from hollyspan_entry.jobs.state.queue import decode_queue_entry
from hollyspan_entry.jobs.state.status import JobStatus


async def read_all(content):
    return b"".join([piece async for piece in content.read()])


def test_cancellation_with_lost_reply_can_be_repeated(create, store, run):
    job = create().job
    store.lost_reply_prefix = "jobs/"
    with pytest.raises(StoreReplyLostError):
        run(cancel_job(store, "w", job))
    store.lost_reply_prefix = None
    assert run(cancel_job(store, "w", job)).status is JobStatus.CANCELLING
    queued = decode_queue_entry(store.entries[build_queue_key(job)].content)
    assert queued.state == "cancelling"


def test_cancellation_finishes_when_no_chunk_is_held(
    create, store, run, hold, result
):
    record = create()
    run(store.create(build_claim_key(record.job, 0), b""))
    chunk = hold(record)
    chunk.buffer_record(result(1))
    run(flush_chunk(store, chunk))
    record = run(cancel_job(store, "w", record.job))
    assert not run(finish_cancelled_job(store, record))
    claim = store.entries[build_claim_key(record.job, 0)]
    run(store.delete(claim.key, revision=claim.revision))
    assert run(finish_cancelled_job(store, record))
    record = run(read_record(store, "w", record.job))
    assert record.status is JobStatus.CANCELLED
    assert (record.count("completed"), record.count("failed")) == (1, 0)
    assert build_queue_key(record.job) not in store.entries
    assert run(cancel_job(store, "w", record.job)).job == record.job

    # A part written later by a paused holder is ignored.
    chunk.buffer_record(result(0))
    run(flush_chunk(store, chunk))
    file = build_output_id(record.job, "output")
    output = run(open_output(store, "w", file))
    content = run(read_all(output))
    assert content.count(b"\n") == 1
    assert len(content) == output.description["bytes"]


def test_completed_job_cannot_be_cancelled(create, store, run, hold, result):
    record = create()
    for number, items in enumerate(record.items):
        chunk = hold(record, chunk=number)
        for item in range(items):
            chunk.buffer_record(result(item))
        run(flush_chunk(store, chunk))
        ended = run(close_chunk(store, chunk))
        assert (ended is not None) == (number + 1 == len(record.items))
    record = run(read_record(store, "w", record.job))
    assert record.status is JobStatus.COMPLETED
    assert build_queue_key(record.job) not in store.entries
    with pytest.raises(BatchStateError):
        run(cancel_job(store, "w", record.job))


def test_other_workspace_does_not_find_the_job(create, store, run):
    job = create().job
    with pytest.raises(BatchNotFoundError):
        run(cancel_job(store, "other", job))
