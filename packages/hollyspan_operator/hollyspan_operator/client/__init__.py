"""Calls of the operators' interface of a daemon."""

from .caller import Caller
from .caller import run_calls

__all__ = ["Caller", "run_calls"]
