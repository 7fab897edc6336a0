"""Measurements of the policy on the stand-ins."""
