"""Gateway for routed requests and jobs in front of model replicas."""
