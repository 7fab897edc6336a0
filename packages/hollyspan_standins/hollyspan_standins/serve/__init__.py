"""Local deployment that runs in the foreground."""
