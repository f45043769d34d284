"""The requests package."""
