"""The batch object in OpenAI's shape."""

from ..results import build_output_id
from ..state import JobStatus

__all__ = ["build_batch_object"]


def build_batch_object(record):
    """Return the batch object of a job.

    Parameters
    ----------
    record : JobRecord

    Returns
    -------
    dict
    """
    completed = record.count("completed")
    failed = record.count("failed")
    return {
        "id": record.job,
        "object": "batch",
        "endpoint": record.endpoint,
        "errors": None,
        "input_file_id": record.file,
        "completion_window": record.completion_window,
        "status": record.status.value,
        "output_file_id": find_file(record, "output", completed),
        "error_file_id": find_file(record, "errors", failed),
        "created_at": record.created_at,
        "in_progress_at": record.created_at,
        "expires_at": int(record.due),
        "finalizing_at": None,
        "completed_at": find_end(record, JobStatus.COMPLETED),
        "failed_at": find_end(record, JobStatus.FAILED),
        "expired_at": None,
        "cancelling_at": record.cancelling_at,
        "cancelled_at": find_end(record, JobStatus.CANCELLED),
        "request_counts": {
            "total": sum(record.items),
            "completed": completed,
            "failed": failed,
        },
        "metadata": record.metadata,
    }


def find_file(record, name, count):
    if not record.status.ended or not count:
        return None
    return build_output_id(record.job, name)


def find_end(record, status):
    return record.ended_at if record.status is status else None
