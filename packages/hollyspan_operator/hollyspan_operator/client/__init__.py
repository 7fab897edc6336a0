"""Client for the operators' API of a daemon."""

from .operator_client import OperatorClient
from .operator_client import run_calls

__all__ = ["OperatorClient", "run_calls"]
