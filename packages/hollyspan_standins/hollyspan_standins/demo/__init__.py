"""One online request and one batch job against a local deployment."""
