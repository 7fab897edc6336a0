"""Batch objects in OpenAI's format."""

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
        "output_file_id": get_file_id(record, "output", completed),
        "error_file_id": get_file_id(record, "errors", failed),
        "created_at": record.created_at,
        "in_progress_at": record.created_at,
        "expires_at": int(record.due),
        "finalizing_at": None,
        "completed_at": get_end_time(record, JobStatus.COMPLETED),
        "failed_at": get_end_time(record, JobStatus.FAILED),
        "expired_at": None,
        "cancelling_at": record.cancelling_at,
        "cancelled_at": get_end_time(record, JobStatus.CANCELLED),
        "request_counts": {
            "total": sum(record.items),
            "completed": completed,
            "failed": failed,
        },
        "metadata": record.metadata,
    }


def get_file_id(record, name, count):
    if not record.status.ended or not count:
        return None
    return build_output_id(record.job, name)


def get_end_time(record, status):
    return record.ended_at if record.status is status else None
