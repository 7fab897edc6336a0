"""Demonstration of online requests and a batch job in a local deployment."""
