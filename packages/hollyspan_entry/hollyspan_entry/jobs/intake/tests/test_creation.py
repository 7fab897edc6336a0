import pytest

from hollyspan_core.errors import FileNotFoundInWorkspaceError
from hollyspan_core.errors import IdempotencyMismatchError
from hollyspan_core.errors import InvalidRequestError
from hollyspan_core.errors import Outcome
from hollyspan_core.errors import StoreUnavailableError
from hollyspan_entry.files.keys import build_manifest_key
from hollyspan_entry.jobs.state.keys import build_job_key
from hollyspan_entry.jobs.state.keys import build_queue_key
from hollyspan_entry.jobs.state.record import decode_record
from hollyspan_entry.jobs.state.status import JobStatus


def test_repeated_request_returns_the_same_job(create, store):
    first = create()
    assert create().job == first.job
    assert create(metadata={"run": "2"}).job != first.job
    assert build_queue_key(first.job) in store.entries


def test_idempotency_key_identifies_repeated_requests(create):
    first = create(key="k")
    assert create(key="k").job == first.job
    assert create(key="other").job != first.job
    with pytest.raises(IdempotencyMismatchError):
        create(key="k", completion_window="1h")


def test_repeated_request_queues_a_job_whose_queueing_failed(create, store):
    store.lost_reply_prefix = "jobs/"
    with pytest.raises(StoreUnavailableError) as error_info:
        create()
    assert error_info.value.outcome is Outcome.UNKNOWN
    assert not any(key.startswith("queue/") for key in store.entries)
    store.lost_reply_prefix = None
    record = create()
    assert build_queue_key(record.job) in store.entries


def test_outcome_without_store_is_not_run_only_without_key(create, store):
    store.outage = True
    with pytest.raises(StoreUnavailableError) as error_info:
        create()
    assert error_info.value.outcome is Outcome.NOT_RUN
    with pytest.raises(StoreUnavailableError) as error_info:
        create(key="k")
    assert error_info.value.outcome is Outcome.UNKNOWN


def test_outcome_is_unknown_if_the_outage_follows_the_record(create, store):
    create()

    def begin_outage(key):
        store.outage = True

    store.before_write = begin_outage
    with pytest.raises(StoreUnavailableError) as error_info:
        create()
    assert error_info.value.outcome is Outcome.UNKNOWN


def test_other_workspace_does_not_find_the_file(create):
    with pytest.raises(FileNotFoundInWorkspaceError):
        create(workspace="other")


def test_job_fails_if_its_file_is_deleted_while_it_is_queued(create, store):
    def delete_file(key):
        store.entries.pop(build_manifest_key("w", "file-1"))

    store.before_write = delete_file
    with pytest.raises(FileNotFoundInWorkspaceError):
        create()
    (key,) = [key for key in store.entries if key.startswith("jobs/")]
    record = decode_record(store.entries[key].content)
    assert record.status is JobStatus.FAILED
    assert build_job_key("w", record.job) == key
    assert build_queue_key(record.job) not in store.entries


@pytest.mark.parametrize(
    "changes",
    [
        {"endpoint": "/v1/embeddings"},
        {"endpoint": "/v1/chat/completions"},
        {"completion_window": "soon"},
        {"metadata": {"due": "tomorrow"}},
        {"metadata": {"n": 1}},
        {"input_file_id": 7},
    ],
)
def test_invalid_specification_is_rejected(create, changes):
    with pytest.raises(InvalidRequestError):
        create(**changes)


def test_due_time_of_the_metadata_overrides_the_window(create):
    record = create(metadata={"due": "2030-01-01T00:00:00Z"})
    assert record.due == 1893456000.0
