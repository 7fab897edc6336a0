"""Open-loop load generator with seeded arrivals and a sample per request."""

from .arrivals import generate_arrivals
from .job import Job
from .jobs import plan_jobs
from .mix import build_cooperative_mix
from .mix import build_trust_mix
from .mix import Mix
from .prompts import PromptSource
from .runner import run_load
from .sample import Sample
from .summary import summarize_samples

__all__ = [
    "Job",
    "Mix",
    "PromptSource",
    "Sample",
    "build_cooperative_mix",
    "build_trust_mix",
    "generate_arrivals",
    "plan_jobs",
    "run_load",
    "summarize_samples",
]
