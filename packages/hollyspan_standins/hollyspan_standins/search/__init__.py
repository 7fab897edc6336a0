"""Search for faults of the gateways in simulated time."""
