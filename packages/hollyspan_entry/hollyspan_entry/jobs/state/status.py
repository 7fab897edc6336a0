"""Status of a job."""

import enum

__all__ = ["JobStatus"]


class JobStatus(enum.Enum):
    """Status of a job, with the values of OpenAI's batch object."""

    IN_PROGRESS = "in_progress"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLING = "cancelling"
    CANCELLED = "cancelled"

    @property
    def ended(self):
        """True when the job has reached a final status."""
        return self not in (JobStatus.IN_PROGRESS, JobStatus.CANCELLING)
