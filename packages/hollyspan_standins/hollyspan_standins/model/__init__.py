"""A model of a fleet in simulated time, which runs the product's decisions."""

from .batch import STRIDE
from .clock import SimulationClock
from .engine import EngineModel
from .figures import compute_figures
from .fleet import FleetLayout
from .fleet import FleetModel
from .fleet import REMOTE_S
from .fleet import run_fleet
from .memory import TokenMemory
from .pattern import build_pattern
from .pattern import PATTERNS
from .policies import POLICIES
from .policies import RunPolicy
from .policies import View
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
    "REMOTE_S",
    "RunPolicy",
    "STRIDE",
    "SimulationClock",
    "TokenMemory",
    "View",
    "build_pattern",
    "compute_figures",
    "run_fleet",
]
