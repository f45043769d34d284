"""Measurements of the decisions and of the running system."""
