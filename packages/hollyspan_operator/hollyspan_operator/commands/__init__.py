"""Commands for operators."""

from .config import apply_configuration
from .config import check_configuration
from .config import show_configuration
from .config import show_history
from .exception import add_exception
from .exception import list_exceptions
from .exception import retire_exception
from .job import cancel_job
from .job import list_jobs
from .job import show_job
from .report import report_burn
from .status import show_status
from .trace import trace_request

__all__ = [
    "add_exception",
    "apply_configuration",
    "cancel_job",
    "check_configuration",
    "list_exceptions",
    "list_jobs",
    "report_burn",
    "retire_exception",
    "show_configuration",
    "show_history",
    "show_job",
    "show_status",
    "trace_request",
]
