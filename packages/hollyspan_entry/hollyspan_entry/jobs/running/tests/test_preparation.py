import pytest

from hollyspan_core.errors import StoreConflictError
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.jobs.results.flush import flush_chunk
from hollyspan_entry.jobs.running.attempts import open_attempt_counts
from hollyspan_entry.jobs.running.preparation import admit_items
from hollyspan_entry.jobs.running.preparation import prepare_items

SERVICES = {"m": {"kind": "model"}}


def admit(chunk, *, services=SERVICES):
    admit_items(chunk, attempts_limit=3, services=services)


def test_new_idempotent_items_are_ready_immediately(create, hold):
    chunk = hold(create())
    admit(chunk)
    assert chunk.count_ready("m") == 2


def test_items_of_an_unknown_model_fail(create, hold):
    chunk = hold(create())
    admit(chunk, services={})
    assert [r.line["error"]["code"] for r in chunk.buffer] == [
        "model_not_found",
        "model_not_found",
    ]
    assert chunk.count_remaining() == 0


def test_attempts_are_recorded_first_after_a_takeover(
    create, store, run, hold
):
    record = create()
    hold(record)
    chunk = hold(record)
    assert chunk.attempt_counts.is_takeover
    admit(chunk)
    assert chunk.count_ready() == 0
    run(prepare_items(store, chunk))
    assert chunk.count_ready() == 2
    assert run(open_attempt_counts(store, record.job, 0)).counts == {
        0: 1,
        1: 1,
    }


def test_item_that_crashes_its_holders_fails_at_the_limit(
    create, store, run, hold
):
    record = create()
    chunk = hold(record)
    for attempts in (1, 2, 3):
        chunk = hold(record)
        admit(chunk)
        while not chunk.count_ready():
            run(prepare_items(store, chunk))
        alone = 2 if attempts == 1 else 1
        assert chunk.count_ready() == alone
        if attempts > 1:
            # The first suspect runs alone and crashes its holder again.
            assert chunk.pop_ready("m").index == 0
    chunk = hold(record)
    admit(chunk)
    (failure,) = chunk.buffer
    assert failure.item == 0
    assert failure.line["error"]["code"] == "attempts_exhausted"
    assert [item.index for item in chunk.suspects] == [1]


def test_claim_of_a_released_chunk_is_not_a_takeover(create, run, hold):
    record = create()
    chunk = hold(record)
    run(chunk.attempt_counts.release(chunk.list_attempts()))
    assert not hold(record).attempt_counts.is_takeover


def test_former_holder_cannot_record_attempts(create, store, run, hold):
    record = create()
    former = hold(record)
    hold(record)
    former.attempt_counts.counts[0] = 0
    with pytest.raises(StoreConflictError):
        run(former.attempt_counts.record_attempts({0: 1}))


def test_non_idempotent_items_are_marked_before_they_run(
    create, store, run, hold
):
    record = create()
    record.idempotent = False
    chunk = hold(record)
    admit(chunk)
    store.outage = True
    with pytest.raises(StoreUnavailableError):
        run(prepare_items(store, chunk))
    assert chunk.count_ready() == 0
    store.outage = False
    run(prepare_items(store, chunk))
    assert chunk.count_ready() == 2
    assert chunk.ledger.started == {0, 1}


def test_started_item_of_a_failed_holder_never_runs_again(
    create, store, run, hold
):
    record = create()
    record.idempotent = False
    former = hold(record)
    former.mark_started(former.items[1])
    run(flush_chunk(store, former))
    chunk = hold(record)
    admit(chunk)
    assert [item.index for item in chunk.waiting] == [0]
    (failure,) = chunk.buffer
    assert failure.item == 1
    assert failure.line["error"]["outcome"] == "unknown"


def test_item_marked_first_by_another_holder_is_not_run(
    create, store, run, hold
):
    record = create()
    record.idempotent = False
    former, present = hold(record), hold(record)
    admit(former)
    admit(present)
    run(prepare_items(store, present))
    run(prepare_items(store, former))
    assert former.contested
    assert former.count_ready() == 0
    assert present.count_ready() == 2
