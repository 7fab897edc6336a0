"""Choice of the chunks of batch jobs to claim."""

from .choice import choose_chunk
from .feasibility import order_jobs
from .holding import count_chunks_to_claim
from .view import JobView

__all__ = ["JobView", "choose_chunk", "count_chunks_to_claim", "order_jobs"]
