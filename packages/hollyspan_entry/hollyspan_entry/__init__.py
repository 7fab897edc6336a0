"""The entry daemon between callers and upstreams."""
