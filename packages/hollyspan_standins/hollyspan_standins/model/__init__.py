"""A simulation of a fleet that runs the decisions of the product."""

from .batch import TOKENS_PER_EVENT
from .clock import SimulationClock
from .engine import EngineModel
from .figures import compute_figures
from .fleet import FleetLayout
from .fleet import FleetModel
from .fleet import INTER_REGION_DELAY_S
from .fleet import run_fleet
from .memory import TokenMemory
from .pattern import build_pattern
from .pattern import PATTERNS
from .policies import LoadView
from .policies import POLICIES
from .policies import RunPolicy
from .stream import EngineStream
from .timing import EngineTiming

__all__ = [
    "EngineModel",
    "EngineStream",
    "EngineTiming",
    "FleetLayout",
    "FleetModel",
    "PATTERNS",
    "POLICIES",
    "INTER_REGION_DELAY_S",
    "RunPolicy",
    "TOKENS_PER_EVENT",
    "SimulationClock",
    "TokenMemory",
    "LoadView",
    "build_pattern",
    "compute_figures",
    "run_fleet",
]
