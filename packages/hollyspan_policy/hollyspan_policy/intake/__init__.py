"""Limits on what a process reads, in bytes, time and work.

Load pattern: one program among many sends without end, or in pieces so small
that reading them takes a multiple of the processor time of usual traffic. The
process bounds what it keeps and how much of its loop one sender takes.
"""

from .budget import ByteBudget
from .limits import IntakeLimits
from .meter import IntakeMeter
from .shares import WorkShares

__all__ = ["ByteBudget", "IntakeLimits", "IntakeMeter", "WorkShares"]
