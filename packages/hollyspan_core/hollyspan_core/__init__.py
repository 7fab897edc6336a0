"""Value types, errors, settings, configuration and messages."""
