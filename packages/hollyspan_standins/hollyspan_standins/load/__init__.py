"""Open-loop load: seeded arrivals, recorded per request."""

from .arrivals import generate_arrivals
from .mix import build_cooperative_mix
from .mix import build_trust_mix
from .mix import Mix
from .prompts import PromptSource
from .runner import run_load
from .sample import Sample
from .summary import summarize_samples

__all__ = [
    "Mix",
    "PromptSource",
    "Sample",
    "build_cooperative_mix",
    "build_trust_mix",
    "generate_arrivals",
    "run_load",
    "summarize_samples",
]
