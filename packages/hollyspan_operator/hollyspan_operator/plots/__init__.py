"""Plots of operators' reports."""

from .burn import plot_burn

__all__ = ["plot_burn"]
