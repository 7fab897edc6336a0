"""Entry daemon that routes requests from callers to upstreams."""
