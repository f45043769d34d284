"""The side package."""
