"""Ports to what the platform gives, and their HTTP clients."""
