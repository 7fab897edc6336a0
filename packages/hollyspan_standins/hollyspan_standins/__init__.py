"""Stand-ins for the systems that the daemons communicate with."""
