"""Stand-ins for the systems around the daemons."""
