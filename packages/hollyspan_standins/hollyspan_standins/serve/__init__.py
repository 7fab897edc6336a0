"""A local deployment that stays up in the foreground."""
