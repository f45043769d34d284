"""The upstreams package."""
