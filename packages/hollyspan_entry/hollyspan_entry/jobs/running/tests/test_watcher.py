"""Tests of the watcher of the job queue."""

from types import SimpleNamespace

import pytest

from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.jobs.intake.cancellation import cancel_job
from hollyspan_entry.jobs.running.claim import delete_claim
from hollyspan_entry.jobs.running.watcher import QueueWatcher
from hollyspan_entry.jobs.state.change import read_record
from hollyspan_entry.jobs.state.keys import build_claim_key
from hollyspan_entry.jobs.state.status import JobStatus


@pytest.fixture
def watch(store, run, monkeypatch):
    """Return a function that builds a watcher and grants its lease."""
    idle = SimpleNamespace(stop=lambda: None)
    monkeypatch.setattr(
        store, "watch", lambda *args, **options: idle, raising=False
    )

    def build(*, held=()):
        lease = run(store.grant_lease(3.0))
        settings = SimpleNamespace(timing=SimpleNamespace(watch_refresh=2.0))
        watcher = QueueWatcher(
            runtime=SimpleNamespace(store=store, settings=settings),
            is_held=lambda job, chunk: (job, chunk) in held,
            needs_fresh_state=lambda known: False,
            get_lease_id=lambda: lease,
            on_stopped=lambda job: None,
            on_change=lambda: None,
        )
        return watcher, lease

    return build


def test_claim_left_by_a_failed_delete_does_not_block_cancellation(
    create, store, run, watch
):
    watcher, lease = watch()
    job = create().job
    claim = run(store.create(build_claim_key(job, 0), b"", lease=lease))
    run(cancel_job(store, "w", job))
    store.outage = True
    run(delete_claim(store, job, 0, claim.revision))
    with pytest.raises(StoreUnavailableError):
        run(watcher.poll())
    store.outage = False
    # The daemon keeps renewing its lease, so the claim does not expire.
    for _ in range(3):
        run(watcher.poll())
    record = run(read_record(store, "w", job))
    assert record.status is JobStatus.CANCELLED
    assert claim.key not in store.entries


def test_claim_of_a_held_chunk_delays_cancellation(create, store, run, watch):
    held = set()
    watcher, lease = watch(held=held)
    job = create().job
    held.add((job, 0))
    run(store.create(build_claim_key(job, 0), b"", lease=lease))
    run(cancel_job(store, "w", job))
    run(watcher.poll())
    record = run(read_record(store, "w", job))
    assert record.status is JobStatus.CANCELLING


def test_claim_of_another_daemon_delays_cancellation(
    create, store, run, watch
):
    watcher, _ = watch()
    other = run(store.grant_lease(3.0))
    job = create().job
    run(store.create(build_claim_key(job, 0), b"", lease=other))
    run(cancel_job(store, "w", job))
    run(watcher.poll())
    record = run(read_record(store, "w", job))
    assert record.status is JobStatus.CANCELLING
    store.expire(other)
    run(watcher.poll())
    record = run(read_record(store, "w", job))
    assert record.status is JobStatus.CANCELLED
