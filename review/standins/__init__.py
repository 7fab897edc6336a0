"""Stand-ins of the platform, its replicas and clients for the review cases."""
