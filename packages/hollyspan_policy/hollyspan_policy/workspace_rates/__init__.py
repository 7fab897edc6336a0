"""Rates of workspaces, counted over all daemons."""

from .demand import DemandMeter
from .gate import RateGate
from .keepers import choose_keepers
from .ledger import RateLedger
from .presence import estimate_heard_part
from .retry_after import estimate_return
from .steps import choose_limited_delay
from .steps import choose_step
from .tolerance import RateTolerance
from .use import RateAnswer
from .use import RateUse

__all__ = [
    "DemandMeter",
    "RateAnswer",
    "RateGate",
    "RateLedger",
    "RateTolerance",
    "RateUse",
    "choose_keepers",
    "choose_limited_delay",
    "choose_step",
    "estimate_heard_part",
    "estimate_return",
]
