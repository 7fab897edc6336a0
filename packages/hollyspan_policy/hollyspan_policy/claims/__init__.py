"""Choice of the chunks of batch jobs to claim."""

from .choice import choose_chunk
from .feasibility import order_jobs
from .holding import count_chunks_to_hold
from .view import JobView

__all__ = ["JobView", "choose_chunk", "count_chunks_to_hold", "order_jobs"]
