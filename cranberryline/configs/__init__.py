"""The configs package."""
